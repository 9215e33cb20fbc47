package placement

import "time"

// Work returns the estimated processing time of the request at the server, without waits
// and round trips.
func (c Choice) Work() time.Duration { return c.work }

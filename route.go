package sassafrastray

import "time"

type (
	// Route is one kind of request that a service answers. Of the routes
	// whose path and method match, the longest path wins.
	Route struct {
		Name RouteName `json:"name"`
		// Path is a path prefix that ends at a segment boundary.
		Path string `json:"path"`
		// Methods lists the allowed methods; empty means all.
		Methods []string `json:"methods,omitempty"`
		// Open routes ask for no key and pass headers through unchanged.
		Open bool `json:"open,omitempty"`
		// Idempotent requests may be executed twice, so they may be retried
		// after an unknown result.
		Idempotent bool `json:"idempotent,omitempty"`
		// BodyLimit is the largest request body in bytes.
		BodyLimit int64 `json:"body"`
		// Timeout bounds the whole request, from its header to the last
		// byte of the answer.
		Timeout time.Duration `json:"timeout"`
		// Stale is how long a VM that hears of no configuration goes on
		// accepting keys on this route. Zero means for ever.
		Stale time.Duration `json:"stale,omitempty"`

		// Host is the host of a route that belongs to no single service.
		Host string `json:"host,omitempty"`
		// Targets are the services that such a route's requests go to, by
		// weight.
		Targets []Target `json:"targets,omitempty"`
		// Objective is the time within which an answer is worth most.
		Objective time.Duration `json:"objective,omitempty"`
		// Priority ranks requests when not all can be served; 0 comes first.
		Priority int `json:"priority,omitempty"`
		// Attempts bounds the backend servers that one request is sent to.
		Attempts int `json:"attempts,omitempty"`
		// Sticky routes fare better on a backend server that has handled
		// the request's object lately.
		Sticky bool `json:"sticky,omitempty"`
		// Regions are where the route's requests may be served; empty means
		// everywhere.
		Regions []RegionName `json:"regions,omitempty"`
	}

	// Target is a service's part of a route's requests.
	Target struct {
		Service ServiceName `json:"service"`
		Weight  int         `json:"weight"`
	}
)

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
		// Public routes require no key and forward headers unchanged.
		Public bool `json:"open,omitempty"`
		// Idempotent requests may be executed twice, so they may be retried
		// after an unknown result.
		Idempotent bool `json:"idempotent,omitempty"`
		// BodyLimit is the largest request body in bytes.
		BodyLimit int64 `json:"body"`
		// Timeout bounds the whole request, from its header to the last byte
		// of the response.
		Timeout time.Duration `json:"timeout"`
		// MaxConfigAge is how long a VM that receives no configuration keeps
		// accepting keys on this route. Zero means no limit.
		MaxConfigAge time.Duration `json:"stale,omitempty"`

		// Host is set for a route that is not part of a single service.
		Host string `json:"host,omitempty"`
		// Targets are the services among which the requests of such a route
		// are split by weight.
		Targets []Target `json:"targets,omitempty"`
		// LatencyObjective is the response time that the route aims for. A
		// later response is worth less to the caller.
		LatencyObjective time.Duration `json:"objective,omitempty"`
		// Priority ranks requests when not all can be served; 0 comes first.
		Priority int `json:"priority,omitempty"`
		// MaxAttempts bounds the number of backend servers that one request
		// is sent to.
		MaxAttempts int `json:"attempts,omitempty"`
		// Sticky routes are served better by a backend server that has
		// recently handled the request's object.
		Sticky bool `json:"sticky,omitempty"`
		// Regions are where the route's requests may be served; empty means
		// everywhere.
		Regions []RegionName `json:"regions,omitempty"`
	}

	// Target is a service and its weight in a route's traffic split.
	Target struct {
		Service ServiceName `json:"service"`
		Weight  int         `json:"weight"`
	}
)

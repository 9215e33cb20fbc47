// Package split divides the requests of a route among its services by smooth
// weighted round-robin. After any number of requests the count of each service
// deviates from its share by at most one if there are two services, and by at
// most two if there are more.
package split

import (
	"sync"

	"sassafrastray"
)

// Splitter divides the requests of all routes of one VM. It is safe for
// concurrent use.
type Splitter struct {
	mu sync.Mutex
	// routes holds the current weight of each service, by route.
	routes map[sassafrastray.RouteName]map[sassafrastray.ServiceName]int
}

// New returns a Splitter that has seen no request.
func New() *Splitter {
	return &Splitter{routes: make(map[sassafrastray.RouteName]map[sassafrastray.ServiceName]int)}
}

// Next returns the service that gets the route's next request: the one with the
// highest current weight after each target's weight was added to its own.
func (s *Splitter) Next(r *sassafrastray.Route) sassafrastray.ServiceName {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.routes[r.Name]
	if current == nil {
		current = make(map[sassafrastray.ServiceName]int, len(r.Targets))
		s.routes[r.Name] = current
	}
	total, best := 0, sassafrastray.ServiceName("")
	for _, t := range r.Targets {
		total += t.Weight
		current[t.Service] += t.Weight
		if best == "" || current[t.Service] > current[best] {
			best = t.Service
		}
	}
	current[best] -= total
	return best
}

// Reset discards the current weights of all routes. It is called when the weights
// of their targets may have changed.
func (s *Splitter) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.routes)
}

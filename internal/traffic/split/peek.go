package split

import (
	"maps"

	"sassafrastray"
)

// Peek returns what Next would return, and changes nothing.
func (s *Splitter) Peek(r *sassafrastray.Route) sassafrastray.ServiceName {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := New()
	if current := s.routes[r.Name]; current != nil {
		c.routes[r.Name] = maps.Clone(current)
	}
	return c.Next(r)
}

package ingress

import (
	"sync"

	"sassafrastray"
)

// sizeGain is the weight of a new body in the mean size of a route.
const sizeGain = 1.0 / 16

// sizes holds the mean size of the bodies of each route's requests and their answers
// together. It is safe for concurrent use.
type sizes struct {
	mu   sync.Mutex
	mean map[sassafrastray.RouteName]float64
}

func newSizes() *sizes { return &sizes{mean: make(map[sassafrastray.RouteName]float64)} }

// record counts a request and its answer with so many bytes together.
func (s *sizes) record(r sassafrastray.RouteName, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.mean[r]
	if !ok {
		old = float64(bytes)
	}
	s.mean[r] = old + sizeGain*(float64(bytes)-old)
}

func (s *sizes) of(r sassafrastray.RouteName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.mean[r])
}

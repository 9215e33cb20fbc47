package ingress

import (
	"sync"
	"time"

	"sassafrastray"
)

const (
	// durationDecay is the part by which the longest duration of a route approaches the
	// duration of each further, shorter request.
	durationDecay = 1.0 / 256

	// durationFactor and durationMargin allow for a request that takes longer than the
	// longest of its route lately.
	durationFactor = 1.25
	durationMargin = 300 * time.Millisecond
)

// durations holds how long the longest requests of each route took lately. It is safe for
// concurrent use.
type durations struct {
	mu      sync.Mutex
	longest map[sassafrastray.RouteName]time.Duration
}

func newDurations() *durations {
	return &durations{longest: make(map[sassafrastray.RouteName]time.Duration)}
}

// record counts a request that took so long.
func (d *durations) record(r sassafrastray.RouteName, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.longest[r]
	if took < old {
		took = old - time.Duration(durationDecay*float64(old-took))
	}
	d.longest[r] = took
}

// bound returns how long a request of the route may be expected to take at most, or false
// if none ended yet.
func (d *durations) bound(r sassafrastray.RouteName) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest, ok := d.longest[r]
	return time.Duration(durationFactor*float64(longest)) + durationMargin, ok
}

// endsInTime reports whether the request would end before the VM stops: by its deadline,
// or if it takes no longer than others of its route.
func (h *Handler) endsInTime(q *request) bool {
	end := h.leavingUntil.Load()
	if end == nil {
		return true
	}
	last := q.deadline
	if d, ok := h.durations.bound(q.route.Name); ok {
		last = earliest(last, h.Clock.Now().Add(d))
	}
	return !last.After(*end)
}

package placement

import (
	"time"

	"sassafrastray"
)

// maxPause bounds a pause that a server names, so that none is left out for good.
const maxPause = 10 * time.Minute

// SetLeaving records that the choice's server says that it leaves, which its entry may not
// say yet. That holds for this incarnation of the server.
func (t *Table) SetLeaving(c Choice) {
	s := c.server
	if s == nil || s.saysLeaving {
		return
	}
	s.saysLeaving = true
	t.recordEvent(Event{Server: s.Name, Service: s.service.name, Leaving: true})
}

// SetPause records that the choice's server wants no requests of this VM for a time. Of
// several times the latest end counts. Then one request tells whether it takes others
// again.
func (t *Table) SetPause(c Choice, d time.Duration, now time.Time) {
	s := c.server
	if s == nil || d <= 0 {
		return
	}
	until := now.Add(min(d, maxPause))
	if !until.After(s.pausedUntil) {
		return
	}
	if !now.Before(s.pausedUntil) {
		t.recordEvent(Event{Server: s.Name, Service: s.service.name, PausedFor: until.Sub(now)})
	}
	s.pausedUntil, s.block = until, max(s.block, minBlock)
}

// leaves reports whether the server leaves, as its entry or one of its answers says.
func (s *server) leaves() bool { return s.Leaving || s.saysLeaving }

// Takes reports whether the choice's server may still get the request: it may have left
// or named a pause since the choice.
func (t *Table) Takes(c Choice, now time.Time) bool {
	s := c.server
	return s == nil || t.servers[s.Name] == s && !s.leaves() && !s.evacuated && !s.isPaused(now)
}

// Named returns a choice of the server with a name, which is not counted as a request
// there. It has no server if there is none of that name.
func (t *Table) Named(name sassafrastray.BackendName) Choice {
	s := t.servers[name]
	if s == nil {
		return Choice{Server: sassafrastray.BackendServer{Name: name}}
	}
	return Choice{Server: s.BackendServer, server: s}
}

// isPaused reports whether the server wants no requests of this VM now.
func (s *server) isPaused(now time.Time) bool { return now.Before(s.pausedUntil) }

// Package hangup notices callers that close their connection while their
// request is worked on. The HTTP server does not look at a connection while
// its handler runs.
package hangup

import (
	"net"
	"sync"
	"time"

	"sassafrastray/internal/traffic/upstream"
)

// Every is the time between two looks at the callers' connections.
const Every = 100 * time.Millisecond

type (
	// Request is told when its caller is gone.
	Request interface{ Hangup() }

	// Watch looks at the connections of requests under way.
	Watch struct {
		mu   sync.Mutex
		open map[Request]net.Conn
	}
)

// New returns a Watch of nothing.
func New() *Watch { return &Watch{open: make(map[Request]net.Conn)} }

// Run looks at the watched connections until stop is closed.
func (w *Watch) Run(stop <-chan struct{}) {
	t := time.NewTicker(Every)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			w.look()
		}
	}
}

func (w *Watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, c := range w.open {
		if open, _ := upstream.Peek(c); !open {
			delete(w.open, r)
			r.Hangup()
		}
	}
}

// Add watches the connection of a request until Remove.
func (w *Watch) Add(r Request, c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[r] = c
}

// Remove ends the watch of a request.
func (w *Watch) Remove(r Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, r)
}

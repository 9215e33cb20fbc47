// Package disconnect detects callers that close their connection while their
// request is being served. The HTTP server does not watch a connection while
// its handler runs, so a Watcher polls the connections instead.
package disconnect

import (
	"net"
	"sync"
	"time"

	"sassafrastray/internal/traffic/upstream"
)

// PollInterval is the time between two checks of the callers' connections.
const PollInterval = 100 * time.Millisecond

type (
	// Request is a request in progress. HandleDisconnect is called once its
	// caller has closed the connection, at most once, and must not call the
	// Watcher.
	Request interface{ HandleDisconnect() }

	// Watcher polls the connections of requests in progress. It is safe for
	// concurrent use.
	Watcher struct {
		mu    sync.Mutex
		conns map[Request]net.Conn
	}
)

// New returns a Watcher that watches no connection yet.
func New() *Watcher { return &Watcher{conns: make(map[Request]net.Conn)} }

// Run polls the watched connections every PollInterval until stop is closed.
func (w *Watcher) Run(stop <-chan struct{}) {
	t := time.NewTicker(PollInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			w.poll()
		}
	}
}

func (w *Watcher) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, c := range w.conns {
		if open, _ := upstream.Peek(c); !open {
			delete(w.conns, r)
			r.HandleDisconnect()
		}
	}
}

// Add starts watching the connection c of request r. The watch ends when c is
// found closed or Remove is called.
func (w *Watcher) Add(r Request, c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[r] = c
}

// Remove stops watching the connection of a request.
func (w *Watcher) Remove(r Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, r)
}

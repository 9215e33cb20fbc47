package entry

import (
	"net"
	"sync"
	"time"

	"sassafrastray/internal/traffic/upstream"
)

// hangupEvery is the time between two looks at the callers' connections.
const hangupEvery = 100 * time.Millisecond

type (
	// Hangups notices callers that close their connection while their
	// request is worked on. The HTTP server does not look at a connection
	// while its handler runs.
	Hangups struct {
		mu   sync.Mutex
		open map[*inbound]net.Conn
	}
)

// NewHangups returns a Hangups that watches nothing.
func NewHangups() *Hangups { return &Hangups{open: make(map[*inbound]net.Conn)} }

// Run looks at the watched connections until stop is closed.
func (h *Hangups) Run(stop <-chan struct{}) {
	t := time.NewTicker(hangupEvery)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			h.look()
		}
	}
}

func (h *Hangups) look() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for in, c := range h.open {
		if open, _ := upstream.Peek(c); !open {
			delete(h.open, in)
			in.hangup()
		}
	}
}

func (h *Hangups) add(in *inbound, c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open[in] = c
}

func (h *Hangups) remove(in *inbound) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, in)
}

package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/retry"
)

// headBytes is the assumed size of a header that crosses a link, in bytes.
const headBytes = 600

type (
	// Retries lets traffic share the policy on retries.
	Retries struct {
		mu     sync.Mutex
		policy *retry.Policy
	}

	// pacedBody waits before each part of a body.
	pacedBody struct {
		r    io.Reader
		wait func(n int) error
	}

	// shared draws from the runtime's random source, which needs no lock.
	shared struct{}
)

// NewRetries returns Retries over the policy, which it owns from now on.
func NewRetries(p *retry.Policy) *Retries { return &Retries{policy: p} }

func (r *Retries) request(s sassafrastray.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Request(s)
}

func (r *Retries) next(a retry.Attempt, now time.Time) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Next(a, now)
}

func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if n > 0 {
		if werr := b.wait(n); werr != nil {
			return 0, werr
		}
	}
	return n, err
}

// Uint64 returns a random number.
func (shared) Uint64() uint64 { return rand.Uint64() }

// Deadline, Done, Err and Value make a request the context of its own waits.

// Deadline returns the request's deadline.
func (in *inbound) Deadline() (time.Time, bool) { return in.deadline, true }

// Done is closed when the caller hangs up.
func (in *inbound) Done() <-chan struct{} { return in.leave }

// Err tells why waits should end.
func (in *inbound) Err() error {
	switch {
	case in.isGone():
		return context.Canceled
	case !time.Now().Before(in.deadline):
		return context.DeadlineExceeded
	}
	return nil
}

// Value returns nothing.
func (in *inbound) Value(any) any { return nil }

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

// assumedHeaderBytes is the assumed size of a request header that crosses a link.
const assumedHeaderBytes = 600

type (
	// Retries is a retry policy that is safe for concurrent use.
	Retries struct {
		mu     sync.Mutex
		policy *retry.Policy
	}

	// pacedBody reads a body and waits after each part until the part may be
	// sent.
	pacedBody struct {
		r    io.Reader
		wait func(n int) error
	}

	// runtimeSource is a rand.Source over the global functions of math/rand/v2,
	// which need no lock.
	runtimeSource struct{}
)

// NewRetries returns a Retries that takes ownership of the policy.
func NewRetries(p *retry.Policy) *Retries { return &Retries{policy: p} }

func (r *Retries) request(s sassafrastray.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.CountRequest(s)
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
func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

// Deadline, Done, Err and Value implement context.Context, so that a request can
// be passed as the context of its own waits.

// Deadline returns the request's deadline.
func (in *inbound) Deadline() (time.Time, bool) { return in.deadline, true }

// Done returns a channel that is closed when the caller disconnects.
func (in *inbound) Done() <-chan struct{} { return in.disconnected }

// Err returns context.Canceled if the caller has disconnected,
// context.DeadlineExceeded after the deadline, and nil otherwise.
func (in *inbound) Err() error {
	switch {
	case in.isGone():
		return context.Canceled
	case !time.Now().Before(in.deadline):
		return context.DeadlineExceeded
	}
	return nil
}

// Value returns nil.
func (in *inbound) Value(any) any { return nil }

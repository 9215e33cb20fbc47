// Package retry decides whether a request is retried.
//
// A request is retried only if that cannot run a non-idempotent request twice,
// if its deadline leaves time, and if the service's retry budget has a token.
package retry

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafrastray"
)

// Reasons for a decision.
const (
	Allowed    Reason = "allowed"  // the request may be retried
	Final      Reason = "final"    // the result is final
	MayHaveRun Reason = "maybe"    // the request may have run and is not idempotent
	Deadline   Reason = "deadline" // the deadline leaves no time for another attempt
	Attempts   Reason = "attempts" // the request has had its maximum number of attempts
	Budget     Reason = "budget"   // the service's retry budget is used up
)

type (
	// Reason says why a request is or is not retried.
	Reason string

	// Options limit the retries.
	Options struct {
		// Ratio bounds the ratio of a service's retries to its requests: it
		// is what each request adds to the budget. Reserve is the budget at
		// the start, and its maximum.
		Ratio   float64
		Reserve float64
		// MaxAttempts is the maximum number of attempts of one request.
		MaxAttempts int
		// Backoff is the mean pause before the second attempt. It doubles
		// with each further one.
		Backoff time.Duration
	}

	// Attempt is an attempt that ended. Number counts the attempts of a
	// request from 1.
	Attempt struct {
		Service    sassafrastray.ServiceName
		Number     int
		Idempotent bool
		Result     sassafrastray.Result
		Reason     sassafrastray.Reason
		Deadline   time.Time
		// Expected is the measured time that an attempt takes.
		Expected time.Duration
		// MaxAttempts replaces the option of that name for this request, if
		// it is set.
		MaxAttempts int
		// Unsent says that no backend server got a byte of the request. A
		// retry then takes no token from the budget.
		Unsent bool
		// Backend is the backend server of the attempt, if it got one, and
		// Exclude are those of earlier attempts.
		Backend sassafrastray.BackendName
		Exclude []sassafrastray.BackendName
	}

	// Decision says whether a request is retried, after which backoff, and
	// which backend servers must not get it.
	Decision struct {
		Retry   bool
		Reason  Reason
		Backoff time.Duration
		Exclude []sassafrastray.BackendName
	}

	// Policy holds the budgets of all services. It is not safe for
	// concurrent use.
	Policy struct {
		opt     Options
		rng     *rand.Rand
		budgets map[sassafrastray.ServiceName]float64
	}
)

// Defaults returns the default options.
func Defaults() Options {
	return Options{Ratio: 0.1, Reserve: 5, MaxAttempts: 3, Backoff: 10 * time.Millisecond}
}

// New returns a policy in which each service has a full budget.
func New(rng *rand.Rand, opt Options) *Policy {
	return &Policy{opt: opt, rng: rng, budgets: make(map[sassafrastray.ServiceName]float64)}
}

// SetReserve replaces the reserve, which limits each service's budget from its
// next request on.
func (p *Policy) SetReserve(reserve float64) { p.opt.Reserve = reserve }

// CountRequest adds to the service's budget for a new request. It is called once,
// before the first attempt.
func (p *Policy) CountRequest(s sassafrastray.ServiceName) {
	p.budgets[s] = min(p.opt.Reserve, p.tokens(s)+p.opt.Ratio)
}

// HasToken reports whether the service's budget has a token for a retry.
func (p *Policy) HasToken(s sassafrastray.ServiceName) bool { return p.tokens(s) >= 1 }

// tokens returns how many retries the service's budget allows.
func (p *Policy) tokens(s sassafrastray.ServiceName) float64 {
	if n, ok := p.budgets[s]; ok {
		return n
	}
	return p.opt.Reserve
}

// Next decides whether an attempt that ended is followed by another, and takes
// a token from the budget for a retry.
func (p *Policy) Next(a Attempt, now time.Time) Decision {
	if reason := p.refusalReason(a); reason != Allowed {
		return Decision{Reason: reason}
	}
	backoff := p.backoff(a)
	if !now.Add(backoff + a.Expected).Before(a.Deadline) {
		return Decision{Reason: Deadline}
	}
	if !vmUnavailable(a) && !a.Unsent {
		if p.tokens(a.Service) < 1 {
			return Decision{Reason: Budget}
		}
		p.budgets[a.Service] = p.tokens(a.Service) - 1
	}
	d := Decision{Retry: true, Reason: Allowed, Backoff: backoff, Exclude: a.Exclude}
	if a.Backend != "" && !slices.Contains(a.Exclude, a.Backend) {
		d.Exclude = append(slices.Clone(a.Exclude), a.Backend)
	}
	return d
}

// refusalReason returns why the attempt rules out a retry regardless of deadline
// and budget, or Allowed.
func (p *Policy) refusalReason(a Attempt) Reason {
	switch {
	case a.Result == sassafrastray.ResultRan || !retryable(a.Reason):
		return Final
	case a.Result != sassafrastray.ResultNotRun && !a.Idempotent:
		return MayHaveRun
	case a.Number >= p.maxAttempts(a):
		return Attempts
	}
	return Allowed
}

func (p *Policy) maxAttempts(a Attempt) int {
	if a.MaxAttempts > 0 {
		return a.MaxAttempts
	}
	return p.opt.MaxAttempts
}

// retryable reports whether another attempt may have a different result.
func retryable(r sassafrastray.Reason) bool {
	switch r {
	case sassafrastray.ReasonBusy, sassafrastray.ReasonBackend, sassafrastray.ReasonBadResponse,
		sassafrastray.ReasonShed, sassafrastray.ReasonLeaving, sassafrastray.ReasonVM:
		return true
	}
	return false
}

// vmUnavailable reports whether the chosen VM could not take the request because
// it is stopping, gone, or has an older configuration. That is no sign of load,
// so the retry takes no token from the budget.
func vmUnavailable(a Attempt) bool {
	unavailable := a.Reason == sassafrastray.ReasonLeaving || a.Reason == sassafrastray.ReasonVM
	return unavailable && a.Result == sassafrastray.ResultNotRun
}

// backoff returns the pause before the next attempt, with a jitter of plus or minus
// half of it. If the VM was unavailable, the request is retried at once.
func (p *Policy) backoff(a Attempt) time.Duration {
	if vmUnavailable(a) {
		return 0
	}
	d := p.opt.Backoff << min(10, max(0, a.Number-1))
	return d/2 + time.Duration(p.rng.Int64N(int64(d)+1))
}

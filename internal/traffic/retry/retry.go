// Package retry decides whether a request is tried again.
//
// A request is retried only if that can't run a non-idempotent request twice,
// if its deadline leaves time, and if the service's budget has a token.
package retry

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafrastray"
)

// Reasons for a decision.
const (
	Allowed  Reason = "allowed"  // it may be tried again
	Final    Reason = "final"    // the answer, or the refusal, stands
	Maybe    Reason = "maybe"    // it may have run and is not idempotent
	Deadline Reason = "deadline" // no time is left
	Attempts Reason = "attempts" // it was tried often enough
	Budget   Reason = "budget"   // the service has retried enough
)

type (
	// Reason tells why a request is or is not tried again.
	Reason string

	// Options bound the retries.
	Options struct {
		// Ratio is the greatest part of a service's requests that may be
		// retries, and Reserve how many retries may come before.
		Ratio   float64
		Reserve float64
		// Attempts is the greatest number of tries of one request.
		Attempts int
		// Pause is the mean pause before the second try; it doubles with
		// each further try.
		Pause time.Duration
	}

	// Attempt is a try that ended, the Number-th of its request from 1.
	Attempt struct {
		Service    sassafrastray.ServiceName
		Number     int
		Idempotent bool
		Result     sassafrastray.Result
		Reason     sassafrastray.Reason
		Deadline   time.Time
		// Expected is the measured time that a try takes.
		Expected time.Duration
		// Most bounds the tries of this request, if it is set.
		Most int
		// Unsent tells that no backend server got a byte, which costs the
		// budget nothing.
		Unsent bool
		// Backend is the backend server of the try, if it got one, and
		// Exclude those of earlier tries.
		Backend sassafrastray.BackendName
		Exclude []sassafrastray.BackendName
	}

	// Decision is whether, after which pause, and without which backend
	// servers a request is tried again.
	Decision struct {
		Retry   bool
		Reason  Reason
		Pause   time.Duration
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

// Defaults returns the usual bounds.
func Defaults() Options {
	return Options{Ratio: 0.1, Reserve: 5, Attempts: 3, Pause: 10 * time.Millisecond}
}

// New returns a policy whose services each have their reserve.
func New(rng *rand.Rand, opt Options) *Policy {
	return &Policy{opt: opt, rng: rng, budgets: make(map[sassafrastray.ServiceName]float64)}
}

// Bound replaces the reserve of each service.
func (p *Policy) Bound(reserve float64) { p.opt.Reserve = reserve }

// Request counts a request that is tried for the first time.
func (p *Policy) Request(s sassafrastray.ServiceName) {
	p.budgets[s] = min(p.opt.Reserve, p.tokens(s)+p.opt.Ratio)
}

// Affords reports whether the service's budget has a token for a retry.
func (p *Policy) Affords(s sassafrastray.ServiceName) bool { return p.tokens(s) >= 1 }

// tokens returns the retries that the service's budget allows.
func (p *Policy) tokens(s sassafrastray.ServiceName) float64 {
	if n, ok := p.budgets[s]; ok {
		return n
	}
	return p.opt.Reserve
}

// Next decides what follows a try that ended, and takes a token from the
// budget for a retry.
func (p *Policy) Next(a Attempt, now time.Time) Decision {
	if reason := p.refuse(a); reason != Allowed {
		return Decision{Reason: reason}
	}
	pause := p.pause(a)
	if !now.Add(pause + a.Expected).Before(a.Deadline) {
		return Decision{Reason: Deadline}
	}
	if !moved(a) && !a.Unsent {
		if p.tokens(a.Service) < 1 {
			return Decision{Reason: Budget}
		}
		p.budgets[a.Service] = p.tokens(a.Service) - 1
	}
	d := Decision{Retry: true, Reason: Allowed, Pause: pause, Exclude: a.Exclude}
	if a.Backend != "" && !slices.Contains(a.Exclude, a.Backend) {
		d.Exclude = append(slices.Clone(a.Exclude), a.Backend)
	}
	return d
}

// refuse returns why the try's end alone rules a retry out, or Allowed.
func (p *Policy) refuse(a Attempt) Reason {
	switch {
	case a.Result == sassafrastray.Ran || !passing(a.Reason):
		return Final
	case a.Result != sassafrastray.NotRun && !a.Idempotent:
		return Maybe
	case a.Number >= p.most(a):
		return Attempts
	}
	return Allowed
}

func (p *Policy) most(a Attempt) int {
	if a.Most > 0 {
		return a.Most
	}
	return p.opt.Attempts
}

// passing reports whether another try may end otherwise.
func passing(r sassafrastray.Reason) bool {
	switch r {
	case sassafrastray.ReasonBusy, sassafrastray.ReasonBackend, sassafrastray.ReasonBroken,
		sassafrastray.ReasonShed, sassafrastray.ReasonLeaving, sassafrastray.ReasonVM:
		return true
	}
	return false
}

// moved reports whether the chosen VM could not take the request, because it is
// stopping, gone or behind. That is no sign of load, and costs the budget
// nothing.
func moved(a Attempt) bool {
	away := a.Reason == sassafrastray.ReasonLeaving || a.Reason == sassafrastray.ReasonVM
	return away && a.Result == sassafrastray.NotRun
}

// pause returns a time between half of the pause of this try and one and a
// half of it. A request that was moved goes on at once.
func (p *Policy) pause(a Attempt) time.Duration {
	if moved(a) {
		return 0
	}
	d := p.opt.Pause << min(10, max(0, a.Number-1))
	return d/2 + time.Duration(p.rng.Int64N(int64(d)+1))
}

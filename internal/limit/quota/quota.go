// Package quota enforces limits that hold over the whole fleet: the rate and burst
// of a team at a service, and the cap of a link. It manages one VM's share of each.
//
// A limit consists of as many units as its burst has whole tokens. Each unit is a
// token bucket of capacity one that refills at rate/burst. Every place of the
// fleet owns some of the units, and the VM that holds the place may use them or
// lend them to other VMs for a few seconds. The sum of all rates and capacities
// in use is therefore never above the limit, so every window of length w admits
// at most rate*w + burst.
//
// A loan carries units, rate and tokens together. The borrower counts its length
// from when it requested the loan, and the lender from when it last granted it,
// plus a margin for clock drift, so that the loan ends at the borrower first.
// Safety does not depend on the delivery of messages: a lost one only leaves
// units unused until the loan expires.
//
// A Limiter takes the time as an argument, does no I/O and is not safe for
// concurrent use.
package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafrastray"
)

type (
	// Limit is a rate and a burst that all VMs together must not exceed.
	Limit struct {
		Key string
		// Rate is in tokens per second.
		Rate float64
		// Burst is in tokens; its fractional part is ignored. A limit with a
		// burst below one admits nothing.
		Burst float64
		// Domains are the failure domains whose places own the limit's units.
		// Empty means all.
		Domains []sassafrastray.DomainName
	}

	// Options configures a Limiter. All VMs of a fleet must use the same values
	// except for Domain.
	Options struct {
		// Domain is the VM's own failure domain.
		Domain sassafrastray.DomainName
		// LoanLength is how long a loan lasts without a renewal.
		LoanLength time.Duration
		// Drift is the greatest relative deviation of a VM's clock. Buckets
		// refill slower than their limit by this fraction.
		Drift float64
		// Margin covers the drift between the clocks of two VMs during
		// LoanLength.
		Margin time.Duration
		// MaxPause is the longest time between two calls of Tick after which
		// the VM may still assume that it holds its place.
		MaxPause time.Duration
		// SettleTime is how long a larger fraction of a limit waits after a
		// change of the configuration, so that all VMs have applied it.
		SettleTime time.Duration
		// MaxWait bounds how long a request may wait for a token.
		MaxWait time.Duration
		// TokenLoanLength is how long tokens lent without a rate may be used.
		TokenLoanLength time.Duration
		// Static disables lending.
		Static bool
	}

	// Verdict is the result of a Take.
	Verdict struct {
		// OK means that the tokens were taken.
		OK bool
		// Wait is how long to wait before a retry. If OK is false, a zero Wait
		// means that the request is refused.
		Wait time.Duration
		// Known is false if there is no limit with the key.
		Known bool
		// Stamp identifies the Take for Refund and Retry.
		Stamp Stamp
	}

	// Stamp records when tokens were taken and the overflow of their bucket at
	// that time, or until when a waiting request is counted.
	Stamp struct {
		taken    time.Time
		due      time.Time
		overflow float64
	}

	// Limiter manages one VM's shares of all limits.
	Limiter struct {
		self    sassafrastray.VMName
		inc     sassafrastray.Incarnation
		rng     *rand.Rand
		opt     Options
		entries map[string]*entry
		ordered []*entry
		domains []sassafrastray.FailureDomain
		// settledAt is when the last change of the places or of a burst will have
		// reached all VMs. A place is not used before then.
		settledAt time.Time

		place        *sassafrastray.Place
		lendingPlace *sassafrastray.Place // the last place held, whose units may still be lent
		usableFrom   time.Time
		active       bool
		suspended    bool
		lastTick     time.Time
		renewing     bool // in this Tick
		renewAt      time.Time

		peers  []*knownPeer
		nextID uint64
		outbox map[process]*Message
	}
)

// DefaultOptions returns the options of a production fleet.
func DefaultOptions() Options {
	return Options{
		LoanLength:      3 * time.Second,
		Drift:           0.0005,
		Margin:          100 * time.Millisecond,
		MaxPause:        2 * time.Second,
		SettleTime:      10 * time.Second,
		MaxWait:         300 * time.Millisecond,
		TokenLoanLength: 600 * time.Millisecond,
	}
}

// Quarantine is how long a new holder of a place waits before it uses the
// place, so that the loans of the previous holder have expired.
func (o Options) Quarantine() time.Duration { return o.LoanLength + o.Margin }

// New returns a Limiter without limits and without a place.
func New(self sassafrastray.VMName, inc sassafrastray.Incarnation, rng *rand.Rand, opt Options) *Limiter {
	return &Limiter{
		self:    self,
		inc:     inc,
		rng:     rng,
		opt:     opt,
		entries: make(map[string]*entry),
		outbox:  make(map[process]*Message),
	}
}

// SetPlace sets which place the VM holds, and from when it may use it. A nil
// place means none. SetPlace ends a suspension, so the caller must have read
// the place's record after the suspension began.
func (lim *Limiter) SetPlace(p *sassafrastray.Place, from time.Time) {
	lim.suspended, lim.active = false, false
	lim.usableFrom = from
	same := p != nil && lim.place != nil && *p == *lim.place
	lim.place = nil
	if p != nil {
		place := *p
		if lim.lendingPlace != nil && *lim.lendingPlace != place {
			lim.dropLent()
		}
		lim.place, lim.lendingPlace = &place, &place
	}
	for _, e := range lim.ordered {
		e.active = false
		if !same {
			e.initShare(lim.place, lim.domains)
		}
		e.resize()
	}
}

// Suspended reports whether the VM was paused for so long that another VM may
// have taken over its place. The base share stays unused until SetPlace is
// called.
func (lim *Limiter) Suspended() bool { return lim.suspended }

// Active reports whether the VM uses the share of a place.
func (lim *Limiter) Active() bool { return lim.active }

// dropLent forgets the loans that the VM granted as holder of another place.
// They count against that place, whose next holder waits until they have
// expired.
func (lim *Limiter) dropLent() {
	for _, e := range lim.ordered {
		e.lent = slices.DeleteFunc(e.lent, func(l lentLoan) bool { return !l.tokensOnly })
		e.queue = e.queue[:0]
	}
}

// Take takes n tokens of the limit with the key, or returns when to retry.
func (lim *Limiter) Take(key string, n float64, now time.Time) Verdict {
	e := lim.entries[key]
	if e == nil || e.removed {
		return Verdict{}
	}
	v := lim.take(e, n, now)
	if v.OK {
		e.waiting.serve(n, now)
	}
	return v
}

func (lim *Limiter) take(e *entry, n float64, now time.Time) Verdict {
	lim.updateActive(now)
	e.advance(now)
	if e.tokens >= n {
		e.take(n)
		return Verdict{OK: true, Known: true, Stamp: Stamp{taken: now, overflow: e.overflow}}
	}
	v := Verdict{Wait: e.retryWait(n, now, lim.opt), Known: true}
	if v.Wait > 0 {
		v.Stamp.due = e.waiting.add(n, now, v.Wait)
	} else {
		e.arrived += n
	}
	return v
}

// Retry is Take for a request that has waited for the Wait of an earlier Verdict.
// It first stops counting the request as waiting, so that the request does not
// wait for itself.
func (lim *Limiter) Retry(key string, n float64, s Stamp, now time.Time) Verdict {
	e := lim.entries[key]
	if e == nil || e.removed {
		return Verdict{}
	}
	e.waiting.remove(n, s.due, now)
	return lim.take(e, n, now)
}

// Ready reports whether a Take would succeed, without counting as demand. After
// Receive and Tick, a caller uses it to serve waiting requests before their own
// retry.
func (lim *Limiter) Ready(key string, n float64, now time.Time) bool {
	e := lim.entries[key]
	if e == nil || e.removed {
		return false
	}
	lim.updateActive(now)
	e.advance(now)
	return e.tokens >= n
}

// updateActive suspends the base share if the control loop was paused, and
// activates it when the quarantine is over and the configuration has settled.
func (lim *Limiter) updateActive(now time.Time) {
	if !lim.suspended && lim.place != nil && !lim.lastTick.IsZero() && now.Sub(lim.lastTick) > lim.opt.MaxPause {
		lim.suspend(now)
	}
	if !lim.active && !lim.suspended && lim.place != nil &&
		!now.Before(lim.usableFrom) && !now.Before(lim.settledAt) {
		lim.active = true
		for _, e := range lim.ordered {
			e.advance(now)
			e.active = true
			e.resize()
		}
	}
}

// suspend stops the use of the base share. It drops the tokens that the share
// would have gained during the pause, because another VM may have used them.
func (lim *Limiter) suspend(now time.Time) {
	lim.suspended, lim.active = true, false
	for _, e := range lim.ordered {
		e.active = false
		e.resize()
		e.refilledAt = now
		e.advance(now)
	}
}

// Tick expires, returns and renews loans, and requests more where the demand
// exceeds what the VM has. It must be called at least every MaxPause. It
// returns the messages to send.
func (lim *Limiter) Tick(now time.Time) []Message {
	lim.updateActive(now)
	elapsed := now.Sub(lim.lastTick)
	if lim.lastTick.IsZero() {
		elapsed = 0
	}
	lim.lastTick = now
	// All loans are renewed in the same ticks, so that each lender gets one
	// message for all of its loans.
	lim.renewing = !now.Before(lim.renewAt)
	if lim.renewing {
		lim.renewAt = now.Add(lim.opt.LoanLength / 4)
	}
	lim.purge(now)
	for _, e := range lim.ordered {
		e.expire(now)
		e.advance(now)
		e.raise(now)
		e.updateDemand(elapsed)
		if lim.opt.Static {
			continue
		}
		lim.serveQueue(e, now)
		lim.maintainLoans(e, now)
		lim.requestLoans(e, now)
	}
	return lim.flush()
}

// Package quota keeps one VM's part of every limit that counts over the whole
// fleet: the rate and burst of a team at a service, and the cap of a link.
//
// A limit consists of as many units as its burst has whole tokens. Each unit
// is a token bucket of capacity one that refills at rate/burst. Every place of
// the fleet owns some of the units, and the VM that holds the place may use
// them or lend them to other VMs for a few seconds. The sum of all rates and
// capacities in use is therefore never above the limit, so every window of
// length w admits at most rate*w + burst.
//
// A loan carries units, rate and tokens together. The borrower counts its
// length from when it asked, and the lender from when it last granted, plus a
// margin for clock drift, so the loan is over at the borrower first. Nothing
// depends on a message arriving: a lost one only leaves units unused until the
// loan lapses.
//
// A Book takes the time as an argument, does no I/O and is not safe for
// concurrent use.
package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafrastray"
)

type (
	// Limit is a rate and a burst that hold over all VMs together.
	Limit struct {
		Key string
		// Rate is in tokens per second.
		Rate float64
		// Burst is in tokens; its fraction is ignored. A limit with a burst
		// below one admits nothing.
		Burst float64
		// Domains are the failure domains whose places own the limit's
		// units. Empty means all.
		Domains []sassafrastray.DomainName
	}

	// Options sets the times by which all VMs of a fleet agree.
	Options struct {
		// Domain is the VM's own failure domain.
		Domain sassafrastray.DomainName
		// Length is how long a loan lasts without a renewal.
		Length time.Duration
		// Drift is the greatest deviation of a VM's clock, as a fraction. The
		// Book refills that much slower than the limit says.
		Drift float64
		// Margin covers the drift between two VMs' clocks during Length.
		Margin time.Duration
		// Pause is the longest time between two calls of Tick after which
		// the VM still trusts that it holds its place.
		Pause time.Duration
		// Settle is how long a larger fraction of a limit waits after a
		// change of configuration, so that all VMs have applied it.
		Settle time.Duration
		// Wait bounds how long the Book lets a request wait for a token.
		Wait time.Duration
		// Tokens is how long tokens lent without a rate may be used.
		Tokens time.Duration
		// Static turns lending off.
		Static bool
	}

	// Verdict is the answer to one Take.
	Verdict struct {
		// OK means that the tokens were taken.
		OK bool
		// Wait is when to try again. Zero without OK is a refusal.
		Wait time.Duration
		// Known is false if no limit has the key.
		Known bool
		// Stamp identifies the Take towards Refund and Again.
		Stamp Stamp
	}

	// Stamp is when tokens were taken and what their bucket had lost to its
	// capacity by then, or until when a request that waits is counted.
	Stamp struct {
		taken time.Time
		due   time.Time
		spill float64
	}

	// Book is one VM's part of all limits.
	Book struct {
		self    sassafrastray.VMName
		inc     sassafrastray.Incarnation
		rng     *rand.Rand
		opt     Options
		entries map[string]*entry
		order   []*entry
		domains []sassafrastray.FailureDomain
		// settled is when the last change of the places or of a burst is in
		// force everywhere. A place is not taken into use before.
		settled time.Time

		place     *sassafrastray.Place
		lender    *sassafrastray.Place
		from      time.Time
		active    bool
		suspended bool
		lastTick  time.Time
		renewing  bool // in this Tick
		renewAt   time.Time

		peers  []*neighbour
		nextID uint64
		out    map[party]*Message
	}
)

// DefaultOptions returns the times that a fleet uses.
func DefaultOptions() Options {
	return Options{
		Length: 3 * time.Second,
		Drift:  0.0005,
		Margin: 100 * time.Millisecond,
		Pause:  2 * time.Second,
		Settle: 10 * time.Second,
		Wait:   300 * time.Millisecond,
		Tokens: 600 * time.Millisecond,
	}
}

// Quarantine is how long a new holder of a place waits before it uses it, so
// that the loans of the previous holder have lapsed.
func (o Options) Quarantine() time.Duration { return o.Length + o.Margin }

// New returns a Book without limits and without a place.
func New(self sassafrastray.VMName, inc sassafrastray.Incarnation, rng *rand.Rand, opt Options) *Book {
	return &Book{
		self:    self,
		inc:     inc,
		rng:     rng,
		opt:     opt,
		entries: make(map[string]*entry),
		out:     make(map[party]*Message),
	}
}

// Hold tells which place the VM holds, and from when it may use it. A nil
// place means none. Hold ends a suspension, so the caller must have read the
// place's record after the suspension began.
func (b *Book) Hold(p *sassafrastray.Place, from time.Time) {
	b.suspended, b.active = false, false
	b.from = from
	same := p != nil && b.place != nil && *p == *b.place
	b.place = nil
	if p != nil {
		place := *p
		if b.lender != nil && *b.lender != place {
			b.forgetLent()
		}
		b.place, b.lender = &place, &place
	}
	for _, e := range b.order {
		e.active = false
		if !same {
			e.own(b.place, b.domains)
		}
		e.resize()
	}
}

// Suspended tells whether the VM was paused for so long that another VM may
// have taken its place over. The base share stays unused until Hold is called.
func (b *Book) Suspended() bool { return b.suspended }

// Active tells whether the VM uses the share of a place.
func (b *Book) Active() bool { return b.active }

// forgetLent drops the loans that the VM gave as holder of another place. They
// count against that place, whose next holder waits until they have lapsed.
func (b *Book) forgetLent() {
	for _, e := range b.order {
		e.lent = slices.DeleteFunc(e.lent, func(l lent) bool { return !l.tokensOnly })
		e.queue = e.queue[:0]
	}
}

// Take takes n tokens of the limit called key.
func (b *Book) Take(key string, n float64, now time.Time) Verdict {
	e := b.entries[key]
	if e == nil || e.removed {
		return Verdict{}
	}
	v := b.take(e, n, now)
	if v.OK {
		e.waiting.serve(n, now)
	}
	return v
}

func (b *Book) take(e *entry, n float64, now time.Time) Verdict {
	b.check(now)
	e.advance(now)
	if e.tokens >= n {
		e.take(n)
		return Verdict{OK: true, Known: true, Stamp: Stamp{taken: now, spill: e.spill}}
	}
	v := Verdict{Wait: e.delay(n, now, b.opt), Known: true}
	if v.Wait > 0 {
		v.Stamp.due = e.waiting.add(n, now, v.Wait)
	} else {
		e.arrived += n
	}
	return v
}

// Again is Take for a request that waited as long as an earlier verdict said.
// It no longer counts as one of those that wait ahead of it.
func (b *Book) Again(key string, n float64, s Stamp, now time.Time) Verdict {
	e := b.entries[key]
	if e == nil || e.removed {
		return Verdict{}
	}
	e.waiting.remove(n, s.due, now)
	return b.take(e, n, now)
}

// Ready tells whether a Take would succeed, without counting as demand. After
// Receive and Tick, a caller with waiting requests uses it to serve them
// before they try again by themselves.
func (b *Book) Ready(key string, n float64, now time.Time) bool {
	e := b.entries[key]
	if e == nil || e.removed {
		return false
	}
	b.check(now)
	e.advance(now)
	return e.tokens >= n
}

// check suspends the base share if the control loop was paused, and starts
// its use when the quarantine is over.
func (b *Book) check(now time.Time) {
	if !b.suspended && b.place != nil && !b.lastTick.IsZero() && now.Sub(b.lastTick) > b.opt.Pause {
		b.suspend(now)
	}
	if !b.active && !b.suspended && b.place != nil &&
		!now.Before(b.from) && !now.Before(b.settled) {
		b.active = true
		for _, e := range b.order {
			e.advance(now)
			e.active = true
			e.resize()
		}
	}
}

// suspend stops the use of the base share. What it would have refilled during
// the pause may have been another VM's already, so it is dropped.
func (b *Book) suspend(now time.Time) {
	b.suspended, b.active = true, false
	for _, e := range b.order {
		e.active = false
		e.resize()
		e.last = now
		e.advance(now)
	}
}

// Tick expires what has lapsed, renews and returns loans, and asks for more
// where demand is above what the VM has.
func (b *Book) Tick(now time.Time) []Message {
	b.check(now)
	elapsed := now.Sub(b.lastTick)
	if b.lastTick.IsZero() {
		elapsed = 0
	}
	b.lastTick = now
	// All loans are renewed in the same ticks, so that each other VM gets one
	// message for all of them.
	b.renewing = !now.Before(b.renewAt)
	if b.renewing {
		b.renewAt = now.Add(b.opt.Length / 4)
	}
	b.purge(now)
	for _, e := range b.order {
		e.expire(now)
		e.advance(now)
		e.raise(now)
		e.measure(elapsed)
		if b.opt.Static {
			continue
		}
		b.serve(e, now)
		b.keepLoans(e, now)
		b.ask(e, now)
	}
	return b.flush()
}

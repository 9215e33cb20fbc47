package quota

import (
	"math"
	"slices"
	"time"

	"sassafrastray"
)

type (
	// lent is a loan as its lender knows it. It counts as in use until the
	// borrower returns it or until has passed.
	lent struct {
		to     party
		id     uint64
		units  int64
		rate   float64
		tokens float64
		length time.Duration
		until  time.Time
		// tokensOnly loans have no rate. They may come out of units that are
		// themselves borrowed, because they end before those do.
		tokensOnly bool
	}

	// queued is an Ask that waits for a token.
	queued struct {
		from  party
		ask   Ask
		until time.Time
	}
)

// expire takes back the loans that have lapsed, without their tokens.
func (e *entry) expire(now time.Time) {
	lapsed := func(l lent) bool { return !now.Before(l.until) }
	if !slices.ContainsFunc(e.lent, lapsed) {
		return
	}
	e.advance(now)
	e.lent = slices.DeleteFunc(e.lent, lapsed)
	e.resize()
}

// find returns the index of a loan, or -1.
func (e *entry) find(to party, id uint64) int {
	return slices.IndexFunc(e.lent, func(l lent) bool { return l.to == to && l.id == id })
}

// onAsk lends, queues or declines. An Ask that was answered already is
// answered with the same grant, whose end does not move.
func (b *Book) onAsk(from party, a Ask, now time.Time) {
	e := b.entry(a.Key, now)
	if e == nil {
		b.decline(from, a)
		return
	}
	if i := e.find(from, a.ID); i >= 0 {
		b.grant(e, e.lent[i])
		return
	}
	if slices.ContainsFunc(e.queue, func(q queued) bool { return q.from == from && q.ask.ID == a.ID }) {
		return
	}
	if a.Hub {
		b.yield(e, from.vm, a.Demand, now)
	}
	switch {
	case a.Need <= 0:
		if b.lendUnits(e, from, a, now) {
			return
		}
		if units, _ := e.lentOut(); a.Hub && units > 0 {
			e.queue = append(e.queue, queued{from: from, ask: a, until: now.Add(b.opt.Wait)})
			return
		}
		b.decline(from, a)
	case len(e.queue) == 0 && b.lendTokens(e, from, a, now):
	case e.isHub && e.rate > 0:
		e.queue = append(e.queue, queued{from: from, ask: a, until: now.Add(b.opt.Wait)})
	default:
		b.redirect(e, from, a)
	}
}

// redirect declines an Ask for tokens and tells who the hub is.
func (b *Book) redirect(e *entry, to party, a Ask) {
	b.decline(to, a)
	if e.hub != nil {
		grants := b.to(to).Grants
		grants[len(grants)-1].Hub = e.hub.Name
	}
}

// yield makes an earlier hub step down in favour of another VM, and returns
// what it had gathered, so that the other finds it at its owners.
func (b *Book) yield(e *entry, to sassafrastray.VMName, demand float64, now time.Time) {
	own := candidate{name: b.self, demand: e.habit}
	if e.isHub && own.above(candidate{name: to, demand: demand}) {
		return
	}
	i := slices.IndexFunc(b.peers, func(n *neighbour) bool { return n.Name == to })
	if i < 0 {
		return
	}
	e.hub = b.peers[i]
	if e.isHub {
		e.isHub = false
		b.keepLoans(e, now)
	}
}

// lendUnits lends units of the base share that the own demand can spare, with
// their part of the rate and of the tokens.
func (b *Book) lendUnits(e *entry, from party, a Ask, now time.Time) bool {
	k := min(a.Units, e.spare(now.Add(b.opt.Tokens+b.opt.Margin)))
	if k <= 0 || e.capacity <= 0 {
		return false
	}
	// Loans under an earlier configuration may have more rate than their part.
	_, out := e.lentOut()
	rate := min(e.baseRate()*float64(k)/float64(e.share), e.baseRate()-out)
	if rate <= 0 {
		return false
	}
	tokens := min(e.tokens*float64(k)/e.capacity, float64(k), e.tokens)
	b.record(e, lent{
		to: from, id: a.ID, units: k, rate: rate, tokens: tokens, length: b.opt.Length,
	}, now)
	return true
}

// spare returns the units of the base share that the own demand does not need.
func (e *entry) spare(until time.Time) int64 {
	borrowed := int64(0)
	for _, l := range e.loans {
		borrowed += l.units
	}
	// An idle VM keeps half of what it owns, so that the first requests of a
	// large team find tokens. Requests that wait elsewhere get those too.
	keep := max(e.wanted(e.demand)-borrowed, e.share/2)
	return max(0, e.free(until)-keep)
}

// lendTokens lends whole tokens that no request here waits for. The units that
// hold them are with this VM for longer than the loan lasts, so they are not
// lent on to another lender's disadvantage.
func (b *Book) lendTokens(e *entry, from party, a Ask, now time.Time) bool {
	spare := int64(e.tokens - e.waiting.count(now))
	k := min(a.Need, spare, e.lasting(now.Add(b.opt.Tokens+b.opt.Margin), -1))
	if k <= 0 {
		return false
	}
	b.record(e, lent{
		to: from, id: a.ID, units: k, tokens: float64(k), length: b.opt.Tokens, tokensOnly: true,
	}, now)
	return true
}

// record takes a loan out of the bucket and sends the grant.
func (b *Book) record(e *entry, l lent, now time.Time) {
	l.until = now.Add(l.length + b.opt.Margin)
	e.tokens -= l.tokens
	e.lent = append(e.lent, l)
	e.resize()
	b.grant(e, l)
}

func (b *Book) grant(e *entry, l lent) {
	m := b.to(l.to)
	m.Grants = append(m.Grants, Grant{
		ID: l.id, Key: e.limit.Key, Units: l.units, Rate: l.rate, Tokens: l.tokens, Length: l.length,
	})
}

func (b *Book) decline(to party, a Ask) {
	m := b.to(to)
	m.Grants = append(m.Grants, Grant{ID: a.ID, Key: a.Key})
}

// serve answers queued asks for which there are tokens now.
func (b *Book) serve(e *entry, now time.Time) {
	e.queue = slices.DeleteFunc(e.queue, func(q queued) bool {
		if !now.Before(q.until) {
			b.decline(q.from, q.ask)
			return true
		}
		if q.ask.Need == 0 {
			return b.lendUnits(e, q.from, q.ask, now)
		}
		return b.lendTokens(e, q.from, q.ask, now)
	})
}

// onReturn takes a loan back with the tokens that the borrower gave up. A loan
// that was returned or has lapsed already gives nothing.
func (b *Book) onReturn(from party, r Return, now time.Time) {
	e := b.entry(r.Key, now)
	if e == nil {
		return
	}
	i := e.find(from, r.ID)
	if i < 0 {
		return
	}
	tokens := min(max(0, r.Tokens), float64(e.lent[i].units))
	e.lent = slices.Delete(e.lent, i, i+1)
	e.resize()
	e.tokens = min(e.tokens+tokens, e.capacity)
	b.serve(e, now)
}

// onRenewal prolongs a loan whose terms still fit the configuration, unless
// the demand here needs the units.
func (b *Book) onRenewal(from party, r Renewal, now time.Time) {
	e := b.entry(r.Key, now)
	if e == nil || !e.active || e.share == 0 || e.lack() > 0 {
		return
	}
	i := e.find(from, r.Loan)
	if i < 0 || e.lent[i].tokensOnly {
		return
	}
	l := &e.lent[i]
	units, _ := e.lentOut()
	rate := e.baseRate() * float64(l.units) / float64(e.share)
	if units > e.share || math.Abs(rate-l.rate) > 1e-9*rate {
		return
	}
	l.until = now.Add(b.opt.Quarantine())
	m := b.to(from)
	r.Length = b.opt.Length
	m.Renewed = append(m.Renewed, r)
}

package quota

import (
	"math"
	"slices"
	"time"
)

// recallEvery is the least time between two recalls of the same loan.
const recallEvery = 150 * time.Millisecond

type (
	// lent is a loan as its lender knows it. It counts as in use until the
	// borrower returns it or until has passed.
	lent struct {
		to       party
		id       uint64
		units    int64
		rate     float64
		tokens   float64
		until    time.Time
		recalled time.Time
	}

	// queued is an Ask that waits for a loan to be returned.
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
	if b.lend(e, from, a, now) {
		return
	}
	if a.Need == 0 || !e.active || e.share == 0 {
		b.decline(from, a)
		return
	}
	e.queue = append(e.queue, queued{from: from, ask: a, until: now.Add(b.opt.Wait)})
	b.recall(e, a.Need, now)
}

// lend gives what can be spared and tells whether that was anything. Tokens
// that requests elsewhere wait for go before demand that is only expected.
func (b *Book) lend(e *entry, from party, a Ask, now time.Time) bool {
	free := e.free()
	if free == 0 || e.unmet(now) > 0 {
		return false
	}
	borrowed := int64(0)
	for _, l := range e.loans {
		borrowed += l.units
	}
	spare := free - max(0, e.wanted()-borrowed)
	k := max(min(free, a.Need), min(spare, a.Units))
	if k <= 0 {
		return false
	}
	left := e.capacity - float64(k)
	tokens := max(e.tokens-left, min(e.tokens, float64(a.Need)), e.tokens*float64(k)/e.capacity)
	tokens = min(tokens, float64(k), e.tokens)
	e.tokens -= tokens
	l := lent{
		to: from, id: a.ID, units: k, tokens: tokens,
		rate:  e.baseRate() * float64(k) / float64(e.share),
		until: now.Add(b.opt.Quarantine()),
	}
	e.lent = append(e.lent, l)
	e.resize()
	b.grant(e, l)
	return true
}

func (b *Book) grant(e *entry, l lent) {
	m := b.to(l.to)
	m.Grants = append(m.Grants, Grant{
		ID: l.id, Key: e.limit.Key, Units: l.units, Rate: l.rate, Tokens: l.tokens, Length: b.opt.Length,
	})
}

func (b *Book) decline(to party, a Ask) {
	m := b.to(to)
	m.Grants = append(m.Grants, Grant{ID: a.ID, Key: a.Key})
}

// serve answers queued asks for which there are units now.
func (b *Book) serve(e *entry, now time.Time) {
	e.queue = slices.DeleteFunc(e.queue, func(q queued) bool {
		if !now.Before(q.until) {
			b.decline(q.from, q.ask)
			return true
		}
		return b.lend(e, q.from, q.ask, now)
	})
}

// recall asks borrowers to return loans of at least units in sum.
func (b *Book) recall(e *entry, units int64, now time.Time) {
	for i := range e.lent {
		if units <= 0 {
			return
		}
		l := &e.lent[i]
		units -= l.units
		if now.Sub(l.recalled) < recallEvery {
			continue
		}
		l.recalled = now
		m := b.to(l.to)
		m.Recalls = append(m.Recalls, Recall{ID: l.id, Key: e.limit.Key})
	}
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
// the units are needed here or by a VM whose requests wait.
func (b *Book) onRenewal(from party, r Renewal, now time.Time) {
	e := b.entry(r.Key, now)
	if e == nil || !e.active || e.share == 0 || len(e.queue) > 0 || e.unmet(now) > 0 {
		return
	}
	i := e.find(from, r.Loan)
	if i < 0 {
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

package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// resendAfter is when an unanswered ask is sent again.
	resendAfter = 250 * time.Millisecond
	// forgetAfter is when an unanswered ask is given up.
	forgetAfter = 800 * time.Millisecond
	// keepAtLeast is how long a loan is kept although demand has fallen.
	keepAtLeast = 150 * time.Millisecond
	// leastBackoff and mostBackoff bound the time between asks to a VM that
	// declines or does not answer.
	leastBackoff = 100 * time.Millisecond
	mostBackoff  = 1600 * time.Millisecond
)

type (
	// loan is a loan as its borrower knows it.
	loan struct {
		from     party
		id       uint64
		units    int64
		rate     float64
		since    time.Time
		end      time.Time
		recalled bool

		// The latest renewal: only its answer counts.
		attempt uint64
		asked   time.Time
	}

	// pending is an ask without an answer.
	pending struct {
		to     party
		ask    Ask
		asked  time.Time
		sent   time.Time
		expect float64 // tokens
	}

	// backoff keeps the borrower from asking a VM that has nothing.
	backoff struct {
		length time.Duration
		until  time.Time
	}
)

// onGrant takes a loan into use. Its length counts from when it was asked for.
// A grant for an ask that is no longer remembered is void, and the lender is
// told so.
func (b *Book) onGrant(from party, g Grant, now time.Time) {
	e := b.entry(g.Key, now)
	if e == nil {
		b.giveBack(from, Return{ID: g.ID, Key: g.Key})
		return
	}
	i := slices.IndexFunc(e.pending, func(p pending) bool { return p.to == from && p.ask.ID == g.ID })
	if i < 0 {
		held := slices.ContainsFunc(e.loans, func(l loan) bool { return l.from == from && l.id == g.ID })
		if !held && g.Units > 0 {
			b.giveBack(from, Return{ID: g.ID, Key: g.Key})
		}
		return
	}
	asked := e.pending[i].asked
	e.pending = slices.Delete(e.pending, i, i+1)
	if g.Units <= 0 {
		b.avoid(e, from, now)
		return
	}
	delete(e.backoff, from.vm)
	end := asked.Add(min(g.Length, b.opt.Length))
	if !now.Before(end) {
		b.giveBack(from, Return{ID: g.ID, Key: g.Key})
		return
	}
	e.loans = append(e.loans, loan{
		from: from, id: g.ID, units: g.Units, rate: max(0, g.Rate), since: now, end: end,
	})
	e.resize()
	e.tokens = min(e.tokens+min(max(0, g.Tokens), float64(g.Units)), e.capacity)
}

func (b *Book) giveBack(to party, r Return) {
	m := b.to(to)
	m.Returns = append(m.Returns, r)
}

// avoid doubles the time until the VM is asked again.
func (b *Book) avoid(e *entry, p party, now time.Time) {
	o := e.backoff[p.vm]
	o.length = min(max(2*o.length, leastBackoff), mostBackoff)
	o.until = now.Add(o.length)
	e.backoff[p.vm] = o
	for _, n := range b.peers {
		if s := n.spare[e.limit.Key]; s != nil && n.Name == p.vm {
			s.Units = 0
		}
	}
}

// onRenewed prolongs a loan, counted from the latest attempt to renew it.
func (b *Book) onRenewed(from party, r Renewal, now time.Time) {
	e := b.entry(r.Key, now)
	if e == nil {
		return
	}
	for i := range e.loans {
		l := &e.loans[i]
		if l.from == from && l.id == r.Loan && l.attempt == r.ID {
			l.end = l.asked.Add(min(r.Length, b.opt.Length))
			l.attempt = 0
			e.resize()
			return
		}
	}
}

// onRecall returns a loan unless requests here wait for tokens; then it is
// returned when they are served.
func (b *Book) onRecall(from party, r Recall, now time.Time) {
	e := b.entry(r.Key, now)
	if e == nil {
		return
	}
	i := slices.IndexFunc(e.loans, func(l loan) bool { return l.from == from && l.id == r.ID })
	switch {
	case i < 0:
	case e.unmet(now) > 0:
		e.loans[i].recalled = true
	default:
		b.returnLoan(e, i)
	}
}

// returnLoan ends loan i and gives back as many tokens as its units hold.
func (b *Book) returnLoan(e *entry, i int) {
	l := e.loans[i]
	tokens := min(float64(l.units), e.tokens)
	e.tokens -= tokens
	e.loans = slices.Delete(e.loans, i, i+1)
	e.resize()
	b.giveBack(l.from, Return{ID: l.id, Key: e.limit.Key, Tokens: tokens})
}

// keepLoans returns the loans that demand no longer needs and renews the
// others.
func (b *Book) keepLoans(e *entry, now time.Time) {
	unmet := e.unmet(now) > 0
	for i := len(e.loans) - 1; i >= 0; i-- {
		l := &e.loans[i]
		idle := int64(e.capacity)-l.units >= e.wanted() && now.Sub(l.since) >= keepAtLeast
		if !unmet && (idle || l.recalled) {
			b.returnLoan(e, i)
			continue
		}
		if l.end.Sub(now) > b.opt.Length/2 || now.Sub(l.asked) < b.opt.Length/8 {
			continue
		}
		b.nextID++
		l.attempt, l.asked = b.nextID, now
		m := b.to(l.from)
		m.Renewals = append(m.Renewals, Renewal{ID: l.attempt, Loan: l.id, Key: e.limit.Key})
	}
}

// ask asks the nearest VMs with something to spare for what the VM lacks.
func (b *Book) ask(e *entry, now time.Time) {
	unmet, lack := b.lacks(e, now)
	if unmet <= 0 && lack <= 0 {
		return
	}
	for _, n := range b.peers {
		if unmet <= 0 && lack <= 0 {
			return
		}
		s := n.spare[e.limit.Key]
		if s == nil || s.Units <= 0 || !e.mayAsk(n, now) {
			continue
		}
		need := min(int64(math.Ceil(max(0, unmet))), s.Units)
		units := min(max(0, lack), s.Units)
		expect := min(s.estimate(e.unitRate(), now), float64(max(need, units)))
		b.send(e, n, Ask{Units: units, Need: need}, expect, now)
		unmet -= expect
		lack -= max(need, units)
		s.Units -= max(need, units)
		s.Tokens = max(0, s.Tokens-expect)
	}
	// The rest is lent to VMs that may need it less by now.
	for _, n := range b.peers {
		if unmet <= 0 {
			return
		}
		s := n.spare[e.limit.Key]
		if s == nil || s.Lent <= 0 || !e.mayAsk(n, now) {
			continue
		}
		need := min(int64(math.Ceil(unmet)), s.Lent)
		b.send(e, n, Ask{Need: need}, float64(need)/2, now)
		unmet -= float64(need) / 2
	}
}

// lacks returns the tokens and the units for which no ask is pending. Asks
// that were not answered are sent again and then forgotten.
func (b *Book) lacks(e *entry, now time.Time) (unmet float64, units int64) {
	unmet = e.unmet(now)
	if unmet < e.rate*resendAfter.Seconds()/5 {
		unmet = 0
	}
	if e.demand > 0.95*e.rate {
		units = e.wanted() - int64(e.capacity)
	}
	e.pending = slices.DeleteFunc(e.pending, func(p pending) bool {
		if now.Sub(p.asked) < forgetAfter {
			return false
		}
		b.avoid(e, p.to, now)
		return true
	})
	for i := range e.pending {
		p := &e.pending[i]
		unmet -= p.expect
		units -= max(p.ask.Units, p.ask.Need)
		if now.Sub(p.sent) >= resendAfter {
			p.sent = now
			m := b.to(p.to)
			m.Asks = append(m.Asks, p.ask)
		}
	}
	return unmet, units
}

// mayAsk tells whether a VM can be asked: it has no ask pending and has not
// declined a moment ago.
func (e *entry) mayAsk(n *neighbour, now time.Time) bool {
	if now.Before(e.backoff[n.Name].until) {
		return false
	}
	return !slices.ContainsFunc(e.pending, func(p pending) bool { return p.to.vm == n.Name })
}

func (b *Book) send(e *entry, n *neighbour, a Ask, expect float64, now time.Time) {
	b.nextID++
	a.ID, a.Key = b.nextID, e.limit.Key
	p := party{vm: n.Name, inc: n.Inc}
	e.pending = append(e.pending, pending{to: p, ask: a, asked: now, sent: now, expect: expect})
	m := b.to(p)
	m.Asks = append(m.Asks, a)
}

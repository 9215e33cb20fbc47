package quota

import (
	"math"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// resendAfter is when an unanswered ask is sent again.
	resendAfter = 250 * time.Millisecond
	// forgetAfter is when an unanswered ask is given up.
	forgetAfter = 800 * time.Millisecond
	// soonEnough is how long the own rate may take for what requests wait
	// for before other VMs are asked.
	soonEnough = 50 * time.Millisecond
	// keepAtLeast is how long a loan is kept although demand has fallen.
	keepAtLeast = 40 * time.Millisecond
	// asksAtOnce bounds the asks into which a need for tokens is split, so
	// that a lender can serve it piece by piece.
	asksAtOnce = 8
	// leastBackoff and mostBackoff bound the time between asks to a VM that
	// declines or does not answer.
	leastBackoff = 100 * time.Millisecond
	mostBackoff  = 1600 * time.Millisecond
)

type (
	// loan is a loan as its borrower knows it.
	loan struct {
		from  party
		id    uint64
		units int64
		rate  float64
		since time.Time
		end   time.Time

		// The latest renewal: only its answer counts.
		attempt uint64
		asked   time.Time
	}

	// pending is an ask without an answer.
	pending struct {
		to    party
		ask   Ask
		asked time.Time
		sent  time.Time
	}

	backoffKey struct {
		vm    sassafrastray.VMName
		units bool
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
	asked, units := e.pending[i].asked, e.pending[i].ask.Units > 0
	e.pending = slices.Delete(e.pending, i, i+1)
	if g.Units <= 0 {
		b.avoid(e, from, units, now)
		b.follow(e, g.Hub)
		b.ask(e, now)
		return
	}
	delete(e.backoff, backoffKey{vm: from.vm, units: units})
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

// avoid keeps the VM from being asked again for a time. For units the time
// doubles each time; tokens may be there a moment later.
func (b *Book) avoid(e *entry, p party, units bool, now time.Time) {
	key := backoffKey{vm: p.vm, units: units}
	o := e.backoff[key]
	o.length = leastBackoff
	if units {
		o.length = min(max(2*e.backoff[key].length, leastBackoff), mostBackoff)
	}
	o.until = now.Add(o.length)
	e.backoff[key] = o
	for _, n := range b.peers {
		if s := n.spare[e.limit.Key]; s != nil && n.Name == p.vm {
			s.Units, s.Tokens = 0, 0
		}
	}
}

// follow takes over another VM's word on who the hub is.
func (b *Book) follow(e *entry, hub sassafrastray.VMName) {
	i := slices.IndexFunc(b.peers, func(n *neighbour) bool { return n.Name == hub })
	if i >= 0 && !e.isHub {
		e.hub = b.peers[i]
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

// returnLoan ends loan i and gives back as many tokens as its units hold, or
// of a loan whose tokens were spent only what the bucket can't keep.
func (b *Book) returnLoan(e *entry, i int, spent bool) {
	l := e.loans[i]
	tokens := min(float64(l.units), e.tokens)
	if spent {
		tokens = min(tokens, max(0, e.tokens-e.capacity+float64(l.units)))
	}
	e.tokens -= tokens
	e.loans = slices.Delete(e.loans, i, i+1)
	e.resize()
	b.giveBack(l.from, Return{ID: l.id, Key: e.limit.Key, Tokens: tokens})
}

// keepLoans returns the loans that are no longer needed and renews the others.
func (b *Book) keepLoans(e *entry, now time.Time) {
	waiting := e.waiting.sum(now) > 0
	soon := now.Add(b.opt.Tokens + b.opt.Margin)
	for i := len(e.loans) - 1; i >= 0; i-- {
		l := &e.loans[i]
		left := e.capacity - float64(l.units)
		if e.lasting(soon, i) < 0 {
			continue // tokens lent out of it are still under way
		}
		if l.rate == 0 {
			if e.tokens <= left || !waiting && now.Sub(l.since) >= keepAtLeast {
				b.returnLoan(e, i, e.tokens <= left)
			}
			continue
		}
		if !waiting && int64(left) >= e.target() && now.Sub(l.since) >= keepAtLeast {
			b.returnLoan(e, i, false)
			continue
		}
		if !b.renewing || l.end.Sub(now) > b.opt.Length*3/4 {
			continue
		}
		b.nextID++
		l.attempt, l.asked = b.nextID, now
		m := b.to(l.from)
		m.Renewals = append(m.Renewals, Renewal{ID: l.attempt, Loan: l.id, Key: e.limit.Key})
	}
}

// target returns how many units the VM should have: what its demand needs,
// and at the hub all that no other VM lacks.
func (e *entry) target() int64 {
	if e.isHub && e.busy {
		return max(e.wanted(e.demand), e.units-e.wants)
	}
	return e.wanted(e.demand)
}

// ask asks other VMs for the tokens that requests wait for, and for the units
// that the demand lacks.
func (b *Book) ask(e *entry, now time.Time) {
	b.forget(e, now)
	b.askTokens(e, now)
	lack := e.lack()
	if e.isHub {
		lack = e.target() - int64(e.capacity) - e.tokensOut()
	}
	if lack > 0 {
		b.askUnits(e, lack, now)
	}
}

// askTokens asks near VMs that seem to have tokens, then the hub, and all
// others if the hub is unknown or has just declined.
func (b *Book) askTokens(e *entry, now time.Time) {
	unmet := e.unmet(now)
	for _, p := range e.pending {
		unmet -= float64(p.ask.Need)
	}
	if unmet <= e.rate*soonEnough.Seconds() {
		return
	}
	unmet = b.askPeers(e, unmet, 1, now)
	if e.hub != nil && !now.Before(e.backoff[backoffKey{vm: e.hub.Name}].until) {
		b.askHub(e, unmet, now)
		return
	}
	b.askPeers(e, unmet, 2, now)
}

// askPeers asks the VMs up to a distance for the tokens they seem to have, and
// returns what is still unmet.
func (b *Book) askPeers(e *entry, unmet float64, distance int, now time.Time) float64 {
	for _, n := range b.peers {
		if unmet <= 0 || n.distance > distance {
			break
		}
		s := n.spare[e.limit.Key]
		if s == nil || s.Tokens < 1 || n == e.hub || !e.mayAsk(n, false, now) {
			continue
		}
		need := min(int64(math.Ceil(unmet)), int64(s.Tokens))
		b.send(e, n, Ask{Need: need}, now)
		s.Tokens -= float64(need)
		unmet -= float64(need)
	}
	return unmet
}

// askHub asks the hub in several pieces, so that it can serve a part.
func (b *Book) askHub(e *entry, unmet float64, now time.Time) {
	need := int64(math.Ceil(max(0, unmet)))
	piece := (need + asksAtOnce - 1) / asksAtOnce
	for ; need > 0; need -= piece {
		b.send(e, e.hub, Ask{Need: min(need, piece)}, now)
	}
}

// askUnits asks the nearest VMs that have units to spare. The hub asks all,
// because an earlier hub may be about to return units to them.
func (b *Book) askUnits(e *entry, lack int64, now time.Time) {
	for _, p := range e.pending {
		lack -= p.ask.Units
	}
	for _, n := range b.peers {
		if lack <= 0 {
			return
		}
		s := n.spare[e.limit.Key]
		if s == nil || !e.mayAsk(n, true, now) {
			continue
		}
		units := min(lack, s.Units)
		if e.isHub && units == 0 {
			units = min(lack, s.Base)
			if s.Hub {
				units = max(units, 1)
			}
		}
		if units <= 0 {
			continue
		}
		b.send(e, n, Ask{Units: units, Hub: e.isHub, Demand: e.habit}, now)
		lack -= units
		s.Units -= min(units, s.Units)
		s.Tokens = min(s.Tokens, float64(s.Units))
	}
}

// forget gives up asks without an answer. Before that they are sent once more.
func (b *Book) forget(e *entry, now time.Time) {
	e.pending = slices.DeleteFunc(e.pending, func(p pending) bool {
		if now.Sub(p.asked) < forgetAfter {
			return false
		}
		b.avoid(e, p.to, p.ask.Units > 0, now)
		return true
	})
	for i := range e.pending {
		p := &e.pending[i]
		if now.Sub(p.sent) >= resendAfter {
			p.sent = now
			m := b.to(p.to)
			m.Asks = append(m.Asks, p.ask)
		}
	}
}

// mayAsk tells whether a VM can be asked: it has no ask pending and has not
// declined a moment ago.
func (e *entry) mayAsk(n *neighbour, units bool, now time.Time) bool {
	if now.Before(e.backoff[backoffKey{vm: n.Name, units: units}].until) {
		return false
	}
	return !slices.ContainsFunc(e.pending, func(p pending) bool {
		return p.to.vm == n.Name && p.ask.Units > 0 == units
	})
}

func (b *Book) send(e *entry, n *neighbour, a Ask, now time.Time) {
	b.nextID++
	a.ID, a.Key = b.nextID, e.limit.Key
	p := party{vm: n.Name, inc: n.Inc}
	e.pending = append(e.pending, pending{to: p, ask: a, asked: now, sent: now})
	m := b.to(p)
	m.Asks = append(m.Asks, a)
}

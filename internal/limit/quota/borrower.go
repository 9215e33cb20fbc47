package quota

import (
	"math"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// resendAfter is the time after which an unanswered request is sent again.
	resendAfter = 250 * time.Millisecond
	// giveUpAfter is the time after which an unanswered request is given up.
	giveUpAfter = 800 * time.Millisecond
	// maxOwnRefillTime is the longest time within which this VM's own rate may
	// yield the tokens that requests wait for, without a request to other VMs.
	maxOwnRefillTime = 50 * time.Millisecond
	// minLoanTime is how long a loan is kept even if the demand has fallen.
	minLoanTime = 40 * time.Millisecond
	// maxTokenRequests bounds the number of loan requests into which a need for
	// tokens is split, so that the lender can serve a part of it.
	maxTokenRequests = 8
	// minBackoff and maxBackoff bound the time between loan requests to a VM
	// that declines or does not answer.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
)

type (
	// borrowedLoan is the borrower's record of a loan.
	borrowedLoan struct {
		from  process
		id    uint64
		units int64
		rate  float64
		since time.Time
		end   time.Time

		// attempt is the ID of the latest renewal, or 0. Answers to earlier
		// renewals are ignored. renewedAt is when it was sent.
		attempt   uint64
		renewedAt time.Time
	}

	// pendingRequest is a loan request without an answer.
	pendingRequest struct {
		to          process
		request     LoanRequest
		requestedAt time.Time
		sentAt      time.Time
	}

	backoffKey struct {
		vm    sassafrastray.VMName
		units bool
	}

	// backoff suspends requests to a VM that has nothing to lend.
	backoff struct {
		length time.Duration
		until  time.Time
	}
)

// onGrant starts using a loan. Its length counts from when it was requested. A
// grant for a request that is no longer pending is returned to the lender.
func (lim *Limiter) onGrant(from process, g Grant, now time.Time) {
	e := lim.lookup(g.Key, now)
	if e == nil {
		lim.giveBack(from, Return{ID: g.ID, Key: g.Key})
		return
	}
	i := slices.IndexFunc(e.pending, func(p pendingRequest) bool { return p.to == from && p.request.ID == g.ID })
	if i < 0 {
		held := slices.ContainsFunc(e.loans, func(l borrowedLoan) bool { return l.from == from && l.id == g.ID })
		if !held && g.Units > 0 {
			lim.giveBack(from, Return{ID: g.ID, Key: g.Key})
		}
		return
	}
	requestedAt, units := e.pending[i].requestedAt, e.pending[i].request.Units > 0
	e.pending = slices.Delete(e.pending, i, i+1)
	if g.Units <= 0 {
		lim.backOff(e, from, units, now)
		lim.setHub(e, g.Hub)
		lim.requestLoans(e, now)
		return
	}
	delete(e.backoff, backoffKey{vm: from.vm, units: units})
	end := requestedAt.Add(min(g.Length, lim.opt.LoanLength))
	if !now.Before(end) {
		lim.giveBack(from, Return{ID: g.ID, Key: g.Key})
		return
	}
	e.loans = append(e.loans, borrowedLoan{
		from: from, id: g.ID, units: g.Units, rate: max(0, g.Rate), since: now, end: end,
	})
	e.resize()
	e.tokens = min(e.tokens+min(max(0, g.Tokens), float64(g.Units)), e.capacity)
}

// giveBack adds a Return to the next message to the lender.
func (lim *Limiter) giveBack(to process, r Return) {
	m := lim.messageTo(to)
	m.Returns = append(m.Returns, r)
}

// backOff suspends requests to the VM for a time. For units the time doubles with
// each decline. For tokens it is constant, because tokens may become available
// within moments.
func (lim *Limiter) backOff(e *entry, p process, units bool, now time.Time) {
	key := backoffKey{vm: p.vm, units: units}
	o := e.backoff[key]
	o.length = minBackoff
	if units {
		o.length = min(max(2*e.backoff[key].length, minBackoff), maxBackoff)
	}
	o.until = now.Add(o.length)
	e.backoff[key] = o
	for _, n := range lim.peers {
		if s := n.limits[e.limit.Key]; s != nil && n.Name == p.vm {
			s.SpareUnits, s.Tokens = 0, 0
		}
	}
}

// setHub accepts another VM's statement of which VM is the hub.
func (lim *Limiter) setHub(e *entry, hub sassafrastray.VMName) {
	i := slices.IndexFunc(lim.peers, func(n *knownPeer) bool { return n.Name == hub })
	if i >= 0 && !e.isHub {
		e.hub = lim.peers[i]
	}
}

// onRenewed extends a loan. Its length counts from the latest renewal request.
func (lim *Limiter) onRenewed(from process, r Renewal, now time.Time) {
	e := lim.lookup(r.Key, now)
	if e == nil {
		return
	}
	for i := range e.loans {
		l := &e.loans[i]
		if l.from == from && l.id == r.Loan && l.attempt == r.ID {
			l.end = l.renewedAt.Add(min(r.Length, lim.opt.LoanLength))
			l.attempt = 0
			e.resize()
			return
		}
	}
}

// returnLoan ends loan i and returns as many tokens as its units hold. If the
// loan's tokens were spent, it returns only those above the remaining capacity.
func (lim *Limiter) returnLoan(e *entry, i int, spent bool) {
	l := e.loans[i]
	tokens := min(float64(l.units), e.tokens)
	if spent {
		tokens = min(tokens, max(0, e.tokens-e.capacity+float64(l.units)))
	}
	e.tokens -= tokens
	e.loans = slices.Delete(e.loans, i, i+1)
	e.resize()
	lim.giveBack(l.from, Return{ID: l.id, Key: e.limit.Key, Tokens: tokens})
}

// maintainLoans returns the loans that are no longer needed and renews the
// others.
func (lim *Limiter) maintainLoans(e *entry, now time.Time) {
	waiting := e.waiting.sum(now) > 0
	tokenLoansEnd := now.Add(lim.opt.TokenLoanLength + lim.opt.Margin)
	for i := len(e.loans) - 1; i >= 0; i-- {
		l := &e.loans[i]
		remaining := e.capacity - float64(l.units)
		if e.unitsUntil(tokenLoansEnd, i) < 0 {
			continue // tokens lent out of this loan have not come back yet
		}
		if l.rate == 0 {
			if e.tokens <= remaining || !waiting && now.Sub(l.since) >= minLoanTime {
				lim.returnLoan(e, i, e.tokens <= remaining)
			}
			continue
		}
		if !waiting && int64(remaining) >= e.targetUnits() && now.Sub(l.since) >= minLoanTime {
			lim.returnLoan(e, i, false)
			continue
		}
		if !lim.renewing || l.end.Sub(now) > lim.opt.LoanLength*3/4 {
			continue
		}
		lim.nextID++
		l.attempt, l.renewedAt = lim.nextID, now
		m := lim.messageTo(l.from)
		m.Renewals = append(m.Renewals, Renewal{ID: l.attempt, Loan: l.id, Key: e.limit.Key})
	}
}

// targetUnits returns how many units the VM should have: as many as its demand
// needs, and at the hub also all that no other VM needs.
func (e *entry) targetUnits() int64 {
	if e.isHub && e.inDemand {
		return max(e.unitsFor(e.demand), e.units-e.othersMissing)
	}
	return e.unitsFor(e.demand)
}

// requestLoans requests the tokens that requests wait for, and the units that
// the demand needs beyond those the VM has.
func (lim *Limiter) requestLoans(e *entry, now time.Time) {
	lim.expireRequests(e, now)
	lim.requestTokens(e, now)
	missing := e.missingUnits()
	if e.isHub {
		missing = e.targetUnits() - int64(e.capacity) - e.unitsOfTokenLoans()
	}
	if missing > 0 {
		lim.requestUnits(e, missing, now)
	}
}

// requestTokens requests tokens from VMs of the region that reported some, then
// from the hub, and from all others if the hub is unknown or has just declined.
func (lim *Limiter) requestTokens(e *entry, now time.Time) {
	unmet := e.unmetTokens(now)
	for _, p := range e.pending {
		unmet -= float64(p.request.Tokens)
	}
	if unmet <= e.rate*maxOwnRefillTime.Seconds() {
		return
	}
	unmet = lim.requestFromPeers(e, unmet, 1, now)
	if e.hub != nil && !now.Before(e.backoff[backoffKey{vm: e.hub.Name}].until) {
		lim.requestFromHub(e, unmet, now)
		return
	}
	lim.requestFromPeers(e, unmet, 2, now)
}

// requestFromPeers requests tokens from the VMs up to a distance, as many as
// they are believed to have, and returns how many are still missing.
func (lim *Limiter) requestFromPeers(e *entry, unmet float64, distance int, now time.Time) float64 {
	for _, n := range lim.peers {
		if unmet <= 0 || n.distance > distance {
			break
		}
		s := n.limits[e.limit.Key]
		if s == nil || s.Tokens < 1 || n == e.hub || !e.canRequest(n, false, now) {
			continue
		}
		need := min(int64(math.Ceil(unmet)), int64(s.Tokens))
		lim.send(e, n, LoanRequest{Tokens: need}, now)
		s.Tokens -= float64(need)
		unmet -= float64(need)
	}
	return unmet
}

// requestFromHub splits the need into several requests, so that the hub can
// serve a part of it.
func (lim *Limiter) requestFromHub(e *entry, unmet float64, now time.Time) {
	need := int64(math.Ceil(max(0, unmet)))
	piece := (need + maxTokenRequests - 1) / maxTokenRequests
	for ; need > 0; need -= piece {
		lim.send(e, e.hub, LoanRequest{Tokens: min(need, piece)}, now)
	}
}

// requestUnits requests units from the nearest VMs that have spare ones. The
// hub asks all VMs, because a former hub may be about to return units to them.
func (lim *Limiter) requestUnits(e *entry, missing int64, now time.Time) {
	for _, p := range e.pending {
		missing -= p.request.Units
	}
	for _, n := range lim.peers {
		if missing <= 0 {
			return
		}
		s := n.limits[e.limit.Key]
		if s == nil || !e.canRequest(n, true, now) {
			continue
		}
		units := min(missing, s.SpareUnits)
		if e.isHub && units == 0 {
			units = min(missing, s.BaseShare)
			if s.Hub {
				units = max(units, 1)
			}
		}
		if units <= 0 {
			continue
		}
		lim.send(e, n, LoanRequest{Units: units, Hub: e.isHub, Demand: e.slowDemand}, now)
		missing -= units
		s.SpareUnits -= min(units, s.SpareUnits)
		s.Tokens = min(s.Tokens, float64(s.SpareUnits))
	}
}

// expireRequests gives up requests without an answer, and before that sends
// each of them again.
func (lim *Limiter) expireRequests(e *entry, now time.Time) {
	e.pending = slices.DeleteFunc(e.pending, func(p pendingRequest) bool {
		if now.Sub(p.requestedAt) < giveUpAfter {
			return false
		}
		lim.backOff(e, p.to, p.request.Units > 0, now)
		return true
	})
	for i := range e.pending {
		p := &e.pending[i]
		if now.Sub(p.sentAt) >= resendAfter {
			p.sentAt = now
			m := lim.messageTo(p.to)
			m.LoanRequests = append(m.LoanRequests, p.request)
		}
	}
}

// canRequest reports whether the VM may be sent a request: none of the kind is
// pending there, and it has not declined one a moment ago.
func (e *entry) canRequest(n *knownPeer, units bool, now time.Time) bool {
	if now.Before(e.backoff[backoffKey{vm: n.Name, units: units}].until) {
		return false
	}
	return !slices.ContainsFunc(e.pending, func(p pendingRequest) bool {
		return p.to.vm == n.Name && p.request.Units > 0 == units
	})
}

// send adds a loan request to the next message to a VM and records it as
// pending.
func (lim *Limiter) send(e *entry, n *knownPeer, req LoanRequest, now time.Time) {
	lim.nextID++
	req.ID, req.Key = lim.nextID, e.limit.Key
	p := process{vm: n.Name, inc: n.Inc}
	e.pending = append(e.pending, pendingRequest{to: p, request: req, requestedAt: now, sentAt: now})
	m := lim.messageTo(p)
	m.LoanRequests = append(m.LoanRequests, req)
}

package quota

import (
	"math"
	"slices"
	"time"

	"sassafrastray"
)

type (
	// lentLoan is the lender's record of a loan. The loan counts as in use until
	// the borrower returns it, at most until the time in the field until.
	lentLoan struct {
		to     process
		id     uint64
		units  int64
		rate   float64
		tokens float64
		length time.Duration
		until  time.Time
		// tokensOnly means that the loan has tokens but no rate. Its units may
		// themselves be borrowed, because it ends before their loan does.
		tokensOnly bool
	}

	// queuedRequest is a loan request that cannot be served yet.
	queuedRequest struct {
		from    process
		request LoanRequest
		until   time.Time
	}
)

// expire ends the loans that have lapsed, without getting their tokens back.
func (e *entry) expire(now time.Time) {
	lapsed := func(l lentLoan) bool { return !now.Before(l.until) }
	if !slices.ContainsFunc(e.lent, lapsed) {
		return
	}
	e.advance(now)
	e.lent = slices.DeleteFunc(e.lent, lapsed)
	e.resize()
}

// findLent returns the index of a loan in e.lent, or -1.
func (e *entry) findLent(to process, id uint64) int {
	return slices.IndexFunc(e.lent, func(l lentLoan) bool { return l.to == to && l.id == id })
}

// onLoanRequest lends, queues or declines. A request that was granted before
// gets the same grant again, whose end does not move.
func (lim *Limiter) onLoanRequest(from process, req LoanRequest, now time.Time) {
	e := lim.lookup(req.Key, now)
	if e == nil {
		lim.decline(from, req)
		return
	}
	if i := e.findLent(from, req.ID); i >= 0 {
		lim.grant(e, e.lent[i])
		return
	}
	if slices.ContainsFunc(e.queue, func(q queuedRequest) bool { return q.from == from && q.request.ID == req.ID }) {
		return
	}
	if req.Hub {
		lim.stepDown(e, from.vm, req.Demand, now)
	}
	switch {
	case req.Tokens <= 0:
		if lim.lendUnits(e, from, req, now) {
			return
		}
		if units, _ := e.lentOut(); req.Hub && units > 0 {
			e.queue = append(e.queue, queuedRequest{from: from, request: req, until: now.Add(lim.opt.MaxWait)})
			return
		}
		lim.decline(from, req)
	case len(e.queue) == 0 && lim.lendTokens(e, from, req, now):
	case e.isHub && e.rate > 0:
		e.queue = append(e.queue, queuedRequest{from: from, request: req, until: now.Add(lim.opt.MaxWait)})
	default:
		lim.redirect(e, from, req)
	}
}

// redirect declines a request for tokens and names the hub.
func (lim *Limiter) redirect(e *entry, to process, req LoanRequest) {
	lim.decline(to, req)
	if e.hub != nil {
		grants := lim.messageTo(to).Grants
		grants[len(grants)-1].Hub = e.hub.Name
	}
}

// stepDown makes a former hub give up its role in favor of another VM with more
// demand. It returns the loans that it had gathered, so that the new hub can
// get the units from their owners.
func (lim *Limiter) stepDown(e *entry, to sassafrastray.VMName, demand float64, now time.Time) {
	own := candidate{name: lim.self, demand: e.slowDemand}
	if e.isHub && own.above(candidate{name: to, demand: demand}) {
		return
	}
	i := slices.IndexFunc(lim.peers, func(n *knownPeer) bool { return n.Name == to })
	if i < 0 {
		return
	}
	e.hub = lim.peers[i]
	if e.isHub {
		e.isHub = false
		lim.maintainLoans(e, now)
	}
}

// lendUnits lends units of the base share that the VM's own demand does not
// need, with their part of the rate and of the tokens.
func (lim *Limiter) lendUnits(e *entry, from process, req LoanRequest, now time.Time) bool {
	k := min(req.Units, e.spareUnits(now.Add(lim.opt.TokenLoanLength+lim.opt.Margin)))
	if k <= 0 || e.capacity <= 0 {
		return false
	}
	// Loans from an earlier configuration may have more rate than their units
	// have now.
	_, out := e.lentOut()
	rate := min(e.baseRate()*float64(k)/float64(e.share), e.baseRate()-out)
	if rate <= 0 {
		return false
	}
	tokens := min(e.tokens*float64(k)/e.capacity, float64(k), e.tokens)
	lim.lend(e, lentLoan{
		to: from, id: req.ID, units: k, rate: rate, tokens: tokens, length: lim.opt.LoanLength,
	}, now)
	return true
}

// spareUnits returns the units of the base share that the VM's own demand does
// not need.
func (e *entry) spareUnits(until time.Time) int64 {
	borrowed := int64(0)
	for _, l := range e.loans {
		borrowed += l.units
	}
	// An idle VM keeps half of its share, so that the first requests of a large
	// team find tokens. These tokens can still be lent to waiting requests
	// elsewhere.
	keep := max(e.unitsFor(e.demand)-borrowed, e.share/2)
	return max(0, e.lendable(until)-keep)
}

// lendTokens lends whole tokens that no request of this VM waits for. Their
// units must stay with the VM for longer than the loan lasts, so that tokens of
// a borrowed unit never outlast the loan of the unit.
func (lim *Limiter) lendTokens(e *entry, from process, req LoanRequest, now time.Time) bool {
	spare := int64(e.tokens - e.waiting.count(now))
	k := min(req.Tokens, spare, e.unitsUntil(now.Add(lim.opt.TokenLoanLength+lim.opt.Margin), -1))
	if k <= 0 {
		return false
	}
	lim.lend(e, lentLoan{
		to: from, id: req.ID, units: k, tokens: float64(k), length: lim.opt.TokenLoanLength, tokensOnly: true,
	}, now)
	return true
}

// lend takes a loan out of the bucket and sends the grant.
func (lim *Limiter) lend(e *entry, l lentLoan, now time.Time) {
	l.until = now.Add(l.length + lim.opt.Margin)
	e.tokens -= l.tokens
	e.lent = append(e.lent, l)
	e.resize()
	lim.grant(e, l)
}

func (lim *Limiter) grant(e *entry, l lentLoan) {
	m := lim.messageTo(l.to)
	m.Grants = append(m.Grants, Grant{
		ID: l.id, Key: e.limit.Key, Units: l.units, Rate: l.rate, Tokens: l.tokens, Length: l.length,
	})
}

func (lim *Limiter) decline(to process, req LoanRequest) {
	m := lim.messageTo(to)
	m.Grants = append(m.Grants, Grant{ID: req.ID, Key: req.Key})
}

// serveQueue grants the queued requests that can be served now and declines those
// that have waited for too long.
func (lim *Limiter) serveQueue(e *entry, now time.Time) {
	e.queue = slices.DeleteFunc(e.queue, func(q queuedRequest) bool {
		if !now.Before(q.until) {
			lim.decline(q.from, q.request)
			return true
		}
		if q.request.Tokens == 0 {
			return lim.lendUnits(e, q.from, q.request, now)
		}
		return lim.lendTokens(e, q.from, q.request, now)
	})
}

// onReturn takes a loan back, with the tokens that the borrower gave up. A loan
// that was returned before or has lapsed yields nothing.
func (lim *Limiter) onReturn(from process, r Return, now time.Time) {
	e := lim.lookup(r.Key, now)
	if e == nil {
		return
	}
	i := e.findLent(from, r.ID)
	if i < 0 {
		return
	}
	tokens := min(max(0, r.Tokens), float64(e.lent[i].units))
	e.lent = slices.Delete(e.lent, i, i+1)
	e.resize()
	e.tokens = min(e.tokens+tokens, e.capacity)
	lim.serveQueue(e, now)
}

// onRenewal extends a loan whose rate still fits the configuration, unless this
// VM's own demand needs the units.
func (lim *Limiter) onRenewal(from process, r Renewal, now time.Time) {
	e := lim.lookup(r.Key, now)
	if e == nil || !e.active || e.share == 0 || e.missingUnits() > 0 {
		return
	}
	i := e.findLent(from, r.Loan)
	if i < 0 || e.lent[i].tokensOnly {
		return
	}
	l := &e.lent[i]
	units, _ := e.lentOut()
	rate := e.baseRate() * float64(l.units) / float64(e.share)
	if units > e.share || math.Abs(rate-l.rate) > 1e-9*rate {
		return
	}
	l.until = now.Add(lim.opt.Quarantine())
	m := lim.messageTo(from)
	r.Length = lim.opt.LoanLength
	m.Renewed = append(m.Renewed, r)
}

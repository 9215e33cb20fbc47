package quota

import "time"

const (
	// refundWindow is how long after a Take its tokens can be refunded.
	refundWindow = 100 * time.Millisecond
	// minRetryWait and maxRetryWait bound the time after which a waiting
	// request retries.
	minRetryWait = 2 * time.Millisecond
	maxRetryWait = 23 * time.Millisecond
)

type (
	// entry is one VM's share of one limit. All units that the VM may use, its
	// own and borrowed ones, form one token bucket.
	entry struct {
		limit     Limit
		units     int64 // units of the whole limit
		active    bool  // the base share may be used
		removed   bool
		removedAt time.Time

		// share is the base share under the current configuration, including
		// lent units.
		share        int64
		fraction     float64 // of the limit's rate
		nextFraction float64 // the fraction once raiseAt has passed
		raiseAt      time.Time
		nextShare    int64 // the share once raiseAt has passed

		tokens     float64
		capacity   float64
		rate       float64
		refilledAt time.Time

		loans         []borrowedLoan
		nextExpiry    time.Time // the earliest end of a borrowed loan
		lent          []lentLoan
		queue         []queuedRequest
		pending       []pendingRequest
		hub           *knownPeer // the VM that gathers spare units, nil if unknown or this VM
		isHub         bool
		inDemand      bool  // some VM has demand
		othersMissing int64 // units that other VMs need beyond their own
		backoff       map[backoffKey]backoff

		recent   [2]float64 // tokens taken in the current refund window and in the previous one
		recentAt time.Time
		overflow float64 // tokens that would have overflowed the bucket if all recent Takes were refunded

		waiting    waitCounter
		arrived    float64 // tokens taken or refused since the last Tick
		demand     float64 // tokens per second
		slowDemand float64 // demand averaged over a longer time
	}
)

// advance refills the bucket up to now and ends each loan at its expiry.
func (e *entry) advance(now time.Time) {
	for len(e.loans) > 0 && !now.Before(e.nextExpiry) {
		end := e.nextExpiry
		e.refill(end)
		for i := 0; i < len(e.loans); {
			if e.loans[i].end.After(end) {
				i++
				continue
			}
			e.loans = append(e.loans[:i], e.loans[i+1:]...)
		}
		e.resize()
	}
	e.refill(now)
}

// refill adds the tokens that the rate yields between the last refill and now.
// For refunds, it counts the tokens that would have overflowed the bucket if it
// still held all recently taken ones.
func (e *entry) refill(now time.Time) {
	d := now.Sub(e.refilledAt)
	if d <= 0 {
		return
	}
	e.refilledAt = now
	if since := now.Sub(e.recentAt); since >= refundWindow {
		e.recent[1], e.recent[0] = e.recent[0], 0
		if since >= 2*refundWindow {
			e.recent[1] = 0
		}
		e.recentAt = now
	}
	more := e.rate * d.Seconds()
	over := e.tokens + e.recent[0] + e.recent[1] + more - e.capacity
	e.overflow += min(more, max(0, over))
	e.tokens = min(e.tokens+more, e.capacity)
}

// resize computes the capacity and the rate from the base share and the loans.
// The caller must have advanced the bucket to the time of the change.
func (e *entry) resize() {
	before := e.capacity
	e.capacity, e.rate = 0, 0
	if e.active {
		units, rate := e.lentOut()
		e.capacity = float64(max(0, e.share-units))
		if e.capacity > 0 {
			e.rate = max(0, e.baseRate()-rate)
		}
	}
	for i := range e.loans {
		l := &e.loans[i]
		e.capacity += float64(l.units)
		e.rate += l.rate
		if i == 0 || l.end.Before(e.nextExpiry) {
			e.nextExpiry = l.end
		}
	}
	e.capacity = max(0, e.capacity-float64(e.unitsOfTokenLoans()))
	e.overflow += max(0, before-e.capacity)
	e.tokens = min(e.tokens, e.capacity)
}

// baseRate returns the rate of the whole base share.
func (e *entry) baseRate() float64 { return e.limit.Rate * e.fraction }

// unitRate returns the rate of one unit of the limit.
func (e *entry) unitRate() float64 {
	if e.units == 0 {
		return 0
	}
	return e.limit.Rate / float64(e.units)
}

// lentOut returns the units of the base share that are lent with their rate,
// and that rate.
func (e *entry) lentOut() (units int64, rate float64) {
	for i := range e.lent {
		if !e.lent[i].tokensOnly {
			units += e.lent[i].units
			rate += e.lent[i].rate
		}
	}
	return units, rate
}

// unitsOfTokenLoans returns the units that are reserved for the tokens lent
// without a rate.
func (e *entry) unitsOfTokenLoans() int64 {
	units := int64(0)
	for i := range e.lent {
		if e.lent[i].tokensOnly {
			units += e.lent[i].units
		}
	}
	return units
}

// unitsUntil returns how many units the VM has at least until the given time,
// less those reserved for lent tokens. It does not count the borrowed loan at
// index except.
func (e *entry) unitsUntil(until time.Time, except int) int64 {
	units := -e.unitsOfTokenLoans()
	if e.active {
		out, _ := e.lentOut()
		units += max(0, e.share-out)
	}
	for i := range e.loans {
		if i != except && !e.loans[i].end.Before(until) {
			units += e.loans[i].units
		}
	}
	return units
}

// lendable returns how many units of the base share can be lent with their
// rate.
func (e *entry) lendable(until time.Time) int64 {
	if !e.active {
		return 0
	}
	out, _ := e.lentOut()
	return max(0, min(e.share-out, e.unitsUntil(until, -1)))
}

// take removes n tokens, which the bucket must have.
func (e *entry) take(n float64) {
	e.tokens -= n
	e.arrived += n
	e.recent[0] += n
}

// Refund returns the n tokens of a Take whose request was certainly not
// dispatched, and returns how many of them the bucket accepted.
//
// Returning all of them could admit more than the burst at once, because the
// bucket may have refilled in the meantime. The Limiter treats every recent
// Take as if it were still to be refunded, and withholds the tokens that would
// have overflowed a bucket that contained all of them.
func (lim *Limiter) Refund(key string, n float64, s Stamp, now time.Time) float64 {
	e := lim.entries[key]
	if e == nil {
		return 0
	}
	lim.updateActive(now)
	e.advance(now)
	if now.Sub(s.taken) > refundWindow || e.overflow < s.overflow {
		return 0
	}
	before := e.tokens
	e.tokens = min(e.tokens+max(0, n-(e.overflow-s.overflow)), e.capacity)
	return e.tokens - before
}

// retryWait returns how long a request that found too few tokens should wait
// before it retries, or zero if no token is expected in time.
func (e *entry) retryWait(n float64, now time.Time, opt Options) time.Duration {
	ahead := e.waiting.count(now)
	if e.rate > 0 {
		own := time.Duration((n + ahead - e.tokens) / e.rate * float64(time.Second))
		if own <= opt.MaxWait {
			next := time.Duration((n - e.tokens) / e.rate * float64(time.Second))
			return min(max(next, minRetryWait), maxRetryWait)
		}
	}
	// Other VMs may hold the tokens: at most the burst and what the limit yields
	// within MaxWait.
	if opt.Static || ahead+n > float64(e.units)+e.limit.Rate*opt.MaxWait.Seconds() {
		return 0
	}
	return maxRetryWait
}

package quota

import "time"

const (
	// refundWindow is how long after a Take its tokens can be given back.
	refundWindow = 100 * time.Millisecond
	// shortWait and longWait bound the time after which a waiting request
	// tries again.
	shortWait = 2 * time.Millisecond
	longWait  = 23 * time.Millisecond
)

type (
	// entry is one VM's part of one limit. All units that the VM may use,
	// own and borrowed, form one bucket.
	entry struct {
		limit     Limit
		units     int64 // of the whole limit
		active    bool  // the base share may be used
		removed   bool
		removedAt time.Time

		// The base share after configuration, whether lent or not.
		share        int64
		fraction     float64 // of the limit's rate
		fractionGoal float64 // the fraction once raiseAt has passed
		raiseAt      time.Time
		shareGoal    int64 // the share once raiseAt has passed

		tokens   float64
		capacity float64
		rate     float64
		last     time.Time

		loans   []loan
		ending  time.Time // the earliest end of a loan
		lent    []lent
		queue   []queued
		pending []pending
		hub     *neighbour // the VM that gathers spare units, nil if unknown
		isHub   bool
		busy    bool  // some VM has demand
		wants   int64 // units that other VMs lack
		backoff map[backoffKey]backoff

		recent   [2]float64 // tokens taken in this refund window and the one before
		recentAt time.Time
		spill    float64 // tokens that the capacity cut off, recent ones counted in

		waiting waiting
		arrived float64 // tokens taken or refused since the last Tick
		demand  float64 // tokens per second
		habit   float64 // demand over a longer time
	}
)

// advance refills the bucket up to now, and ends each loan when it lapses.
func (e *entry) advance(now time.Time) {
	for len(e.loans) > 0 && !now.Before(e.ending) {
		end := e.ending
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

// refill adds what the rate gives between the last refill and now. For
// refunds it counts what would have been cut off if the bucket still held all
// tokens that were taken recently.
func (e *entry) refill(now time.Time) {
	d := now.Sub(e.last)
	if d <= 0 {
		return
	}
	e.last = now
	if since := now.Sub(e.recentAt); since >= refundWindow {
		e.recent[1], e.recent[0] = e.recent[0], 0
		if since >= 2*refundWindow {
			e.recent[1] = 0
		}
		e.recentAt = now
	}
	more := e.rate * d.Seconds()
	over := e.tokens + e.recent[0] + e.recent[1] + more - e.capacity
	e.spill += min(more, max(0, over))
	e.tokens = min(e.tokens+more, e.capacity)
}

// resize computes capacity and rate from the base share and the loans. The
// caller has advanced the bucket to the moment of the change.
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
		if i == 0 || l.end.Before(e.ending) {
			e.ending = l.end
		}
	}
	e.capacity = max(0, e.capacity-float64(e.tokensOut()))
	e.spill += max(0, before-e.capacity)
	e.tokens = min(e.tokens, e.capacity)
}

// baseRate is the rate of the whole base share.
func (e *entry) baseRate() float64 { return e.limit.Rate * e.fraction }

// unitRate is the rate of one unit of the limit.
func (e *entry) unitRate() float64 {
	if e.units == 0 {
		return 0
	}
	return e.limit.Rate / float64(e.units)
}

// lentOut returns the units of the base share that are lent with their rate.
func (e *entry) lentOut() (units int64, rate float64) {
	for i := range e.lent {
		if !e.lent[i].tokensOnly {
			units += e.lent[i].units
			rate += e.lent[i].rate
		}
	}
	return units, rate
}

// tokensOut returns the units that hold tokens lent without a rate.
func (e *entry) tokensOut() int64 {
	units := int64(0)
	for i := range e.lent {
		if e.lent[i].tokensOnly {
			units += e.lent[i].units
		}
	}
	return units
}

// lasting returns the units that stay with the VM until the given time, less
// those that hold lent tokens. The loan at index except is not counted.
func (e *entry) lasting(until time.Time, except int) int64 {
	units := -e.tokensOut()
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

// free returns how many units of the base share can be lent with their rate.
func (e *entry) free(until time.Time) int64 {
	if !e.active {
		return 0
	}
	out, _ := e.lentOut()
	return max(0, min(e.share-out, e.lasting(until, -1)))
}

// take removes n tokens, which the bucket has.
func (e *entry) take(n float64) {
	e.tokens -= n
	e.arrived += n
	e.recent[0] += n
}

// Refund gives back the n tokens of a Take whose request was certainly not
// dispatched, and returns how many the bucket accepted.
//
// Adding all of them could admit more than the burst at once, because the
// bucket may have refilled in their place. The Book counts every recent Take
// as if it were still to be refunded, and keeps back what the bucket with all
// of them in it would have lost to its capacity since.
func (b *Book) Refund(key string, n float64, s Stamp, now time.Time) float64 {
	e := b.entries[key]
	if e == nil {
		return 0
	}
	b.check(now)
	e.advance(now)
	if now.Sub(s.taken) > refundWindow || e.spill < s.spill {
		return 0
	}
	before := e.tokens
	e.tokens = min(e.tokens+max(0, n-(e.spill-s.spill)), e.capacity)
	return e.tokens - before
}

// delay returns after which time a request that found too few tokens tries
// again, or zero if no token is about to come.
func (e *entry) delay(n float64, now time.Time, opt Options) time.Duration {
	ahead := e.waiting.count(now)
	if e.rate > 0 {
		own := time.Duration((n + ahead - e.tokens) / e.rate * float64(time.Second))
		if own <= opt.Wait {
			next := time.Duration((n - e.tokens) / e.rate * float64(time.Second))
			return min(max(next, shortWait), longWait)
		}
	}
	// Other VMs may hold the tokens: as many as the limit gives in Wait.
	if opt.Static || ahead+n > float64(e.units)+e.limit.Rate*opt.Wait.Seconds() {
		return 0
	}
	return longWait
}

package quota

import (
	"math"
	"time"
)

const (
	slotLength = time.Millisecond
	slots      = 32
	// lateness is how late requests that wait are expected to try again.
	lateness = 2 * time.Millisecond
	// demandTime is the time constant of the demand's moving average.
	demandTime = 5 * time.Second
	// habitTime is the time constant of the average that chooses the hub.
	habitTime = 30 * time.Second
	// surplus is how much more than its demand a VM keeps.
	surplus = 1.2
	// leastKept is the least number of units that a VM keeps for its demand.
	leastKept = 3
)

// waiting counts the tokens of requests that were told to try again and have
// not done so yet, by the time at which they will.
type waiting struct {
	slot  [slots]float64
	first int64 // number of the earliest slot
	total float64
}

// sum returns the tokens that requests wait for.
func (w *waiting) sum(now time.Time) float64 {
	at := now.UnixNano() / int64(slotLength)
	if at-w.first >= slots || w.total == 0 {
		if w.total != 0 {
			w.slot, w.total = [slots]float64{}, 0
		}
		w.first = at
		return 0
	}
	for ; w.first < at; w.first++ {
		w.total -= w.slot[w.first%slots]
		w.slot[w.first%slots] = 0
	}
	return w.total
}

// count returns the tokens that requests wait for, without those of requests
// that should have tried again by now and are counted anew, unless these are
// all there are.
func (w *waiting) count(now time.Time) float64 {
	total := w.sum(now)
	due := 0.0
	for i := range int64(lateness/slotLength) + 1 {
		due += w.slot[(w.first+i)%slots]
	}
	if total-due < 0.5 {
		return total
	}
	return total - due
}

// remove ends the count of n tokens that add counted until due.
func (w *waiting) remove(n float64, due, now time.Time) {
	w.sum(now)
	at := due.UnixNano() / int64(slotLength)
	if at < w.first || at >= w.first+slots {
		return
	}
	n = min(n, w.slot[at%slots])
	w.slot[at%slots] -= n
	w.total -= n
}

// add counts n tokens until a little after now+wait, because a request that
// tries again late must not be overlooked in between.
//
// It returns the time until which they are counted.
func (w *waiting) add(n float64, now time.Time, wait time.Duration) time.Time {
	w.sum(now)
	at := now.Add(wait+lateness).UnixNano() / int64(slotLength)
	at = min(at, w.first+slots-1)
	w.slot[at%slots] += n
	w.total += n
	return time.Unix(0, at*int64(slotLength))
}

// serve uncounts n tokens, because a Take succeeded: the caller gives them to
// the request that waits longest.
func (w *waiting) serve(n float64, now time.Time) {
	if w.sum(now) == 0 {
		return
	}
	for i := int64(0); i < slots && n > 0; i++ {
		s := &w.slot[(w.first+i)%slots]
		part := min(n, *s)
		*s -= part
		w.total -= part
		n -= part
	}
}

// measure updates the demand from the arrivals since the last Tick.
func (e *entry) measure(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	s := elapsed.Seconds()
	e.demand = average(e.demand, e.arrived/s, s/demandTime.Seconds())
	e.habit = average(e.habit, e.arrived/s, s/habitTime.Seconds())
	e.arrived = 0
}

// average moves an exponential average towards a value, by a step that is a
// fraction of its time constant.
func average(old, value, step float64) float64 {
	keep := math.Exp(-step)
	return old*keep + value*(1-keep)
}

// wanted returns how many units the demand needs. A few units are not worth
// keeping: their requests are served with tokens from the hub.
func (e *entry) wanted(demand float64) int64 {
	u := e.unitRate()
	if u == 0 || demand*surplus < leastKept*u {
		return 0
	}
	return min(int64(surplus*demand/u), e.units)
}

// lack returns how many units the lasting demand needs that the VM does not
// have.
func (e *entry) lack() int64 { return max(0, e.wanted(e.habit)-int64(e.capacity)) }

// unmet returns the tokens that waiting requests need and the bucket lacks.
func (e *entry) unmet(now time.Time) float64 {
	w := e.waiting.count(now)
	if w == 0 {
		return 0
	}
	return max(0, w-e.tokens)
}

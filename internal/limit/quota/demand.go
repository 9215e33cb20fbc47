package quota

import (
	"math"
	"time"
)

const (
	// slotLength is the resolution of a waitCounter, and slotCount its number of
	// slots.
	slotLength = time.Millisecond
	slotCount  = 32
	// retryLateness is how late a waiting request is expected to retry.
	retryLateness = 2 * time.Millisecond
	// demandTimeConstant is the time constant of the moving average of the
	// demand.
	demandTimeConstant = 5 * time.Second
	// slowDemandTimeConstant is the time constant of the slower average, by which
	// the hub is chosen.
	slowDemandTimeConstant = 30 * time.Second
	// demandMargin is the ratio of the units that a VM keeps to those that its
	// demand needs.
	demandMargin = 1.2
	// minKeptUnits is the least number of units that a VM keeps for its demand.
	minKeptUnits = 3
)

// waitCounter counts the tokens of requests that were told to retry and have not
// done so yet. Each slot has the tokens that are counted until its millisecond.
type waitCounter struct {
	slot  [slotCount]float64
	first int64 // number of the earliest slot
	total float64
}

// sum returns the tokens that requests wait for.
func (w *waitCounter) sum(now time.Time) float64 {
	at := now.UnixNano() / int64(slotLength)
	if at-w.first >= slotCount || w.total == 0 {
		if w.total != 0 {
			w.slot, w.total = [slotCount]float64{}, 0
		}
		w.first = at
		return 0
	}
	for ; w.first < at; w.first++ {
		w.total -= w.slot[w.first%slotCount]
		w.slot[w.first%slotCount] = 0
	}
	return w.total
}

// count returns the tokens that requests wait for, less those of requests that
// are due to retry now, which count themselves again. If there are no others,
// it returns these.
func (w *waitCounter) count(now time.Time) float64 {
	total := w.sum(now)
	due := 0.0
	for i := range int64(retryLateness/slotLength) + 1 {
		due += w.slot[(w.first+i)%slotCount]
	}
	if total-due < 0.5 {
		return total
	}
	return total - due
}

// remove subtracts n tokens that add counted until due.
func (w *waitCounter) remove(n float64, due, now time.Time) {
	w.sum(now)
	at := due.UnixNano() / int64(slotLength)
	if at < w.first || at >= w.first+slotCount {
		return
	}
	n = min(n, w.slot[at%slotCount])
	w.slot[at%slotCount] -= n
	w.total -= n
}

// add counts n tokens until now+wait+retryLateness, so that a request that
// retries late stays counted until then, and returns the time until which they
// are counted.
func (w *waitCounter) add(n float64, now time.Time, wait time.Duration) time.Time {
	w.sum(now)
	at := now.Add(wait+retryLateness).UnixNano() / int64(slotLength)
	at = min(at, w.first+slotCount-1)
	w.slot[at%slotCount] += n
	w.total += n
	return time.Unix(0, at*int64(slotLength))
}

// serve subtracts n tokens, from the earliest slots first, after a successful
// Take: the caller gives the tokens to the request that has waited longest.
func (w *waitCounter) serve(n float64, now time.Time) {
	if w.sum(now) == 0 {
		return
	}
	for i := int64(0); i < slotCount && n > 0; i++ {
		s := &w.slot[(w.first+i)%slotCount]
		part := min(n, *s)
		*s -= part
		w.total -= part
		n -= part
	}
}

// updateDemand updates the demand with the arrivals since the last Tick.
func (e *entry) updateDemand(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	s := elapsed.Seconds()
	e.demand = average(e.demand, e.arrived/s, s/demandTimeConstant.Seconds())
	e.slowDemand = average(e.slowDemand, e.arrived/s, s/slowDemandTimeConstant.Seconds())
	e.arrived = 0
}

// average updates an exponential moving average with a value. The step is the
// elapsed time as a fraction of the time constant.
func average(old, value, step float64) float64 {
	keep := math.Exp(-step)
	return old*keep + value*(1-keep)
}

// unitsFor returns how many units the demand needs, or zero if it needs fewer
// than minKeptUnits: the requests of so small a demand are served with tokens
// from the hub.
func (e *entry) unitsFor(demand float64) int64 {
	u := e.unitRate()
	if u == 0 || demand*demandMargin < minKeptUnits*u {
		return 0
	}
	return min(int64(demandMargin*demand/u), e.units)
}

// missingUnits returns how many units the slow demand needs beyond those that
// the VM has.
func (e *entry) missingUnits() int64 { return max(0, e.unitsFor(e.slowDemand)-int64(e.capacity)) }

// unmetTokens returns how many tokens waiting requests need beyond those in the
// bucket.
func (e *entry) unmetTokens(now time.Time) float64 {
	w := e.waiting.count(now)
	if w == 0 {
		return 0
	}
	return max(0, w-e.tokens)
}

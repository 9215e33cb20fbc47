package quota

import (
	"math"
	"time"
)

const (
	slotLength = 5 * time.Millisecond
	slots      = 8
	// demandTime is the time constant of the demand's moving average.
	demandTime = time.Second
	// surplus is how much more than its demand a VM keeps.
	surplus = 1.2
	// least is the demand, in units, below which a VM keeps nothing.
	least = 0.5
)

// waiting counts the tokens of requests that were told to try again and have
// not done so yet, by the time at which they will.
type waiting struct {
	slot  [slots]float64
	first int64 // number of the earliest slot
}

// rotate drops the slots before now.
func (w *waiting) rotate(now time.Time) {
	at := now.UnixNano() / int64(slotLength)
	if at-w.first >= slots {
		w.slot = [slots]float64{}
		w.first = at
		return
	}
	for ; w.first < at; w.first++ {
		w.slot[w.first%slots] = 0
	}
}

// add counts n tokens until now+wait.
func (w *waiting) add(n float64, now time.Time, wait time.Duration) {
	w.rotate(now)
	at := now.Add(wait).UnixNano() / int64(slotLength)
	at = min(at, w.first+slots-1)
	w.slot[at%slots] += n
}

// sum returns the tokens that requests wait for.
func (w *waiting) sum(now time.Time) float64 {
	w.rotate(now)
	total := 0.0
	for _, n := range w.slot {
		total += n
	}
	return total
}

// measure updates the demand from the arrivals since the last Tick.
func (e *entry) measure(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	s := elapsed.Seconds()
	keep := math.Exp(-s / demandTime.Seconds())
	e.demand = e.demand*keep + e.arrived/s*(1-keep)
	e.arrived = 0
}

// wanted returns how many units the demand needs.
func (e *entry) wanted() int64 {
	u := e.unitRate()
	if u == 0 || e.demand < least*u {
		return 0
	}
	return min(int64(math.Ceil(surplus*e.demand/u)), e.units)
}

// unmet returns the tokens that waiting requests need and the bucket lacks.
func (e *entry) unmet(now time.Time) float64 {
	w := e.waiting.sum(now)
	if w == 0 {
		return 0
	}
	return max(0, w-e.tokens)
}

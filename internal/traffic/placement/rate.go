package placement

import (
	"math"
	"time"
)

const (
	// rateTime is the time over which the rate of an object's runs is averaged.
	rateTime = 4 * time.Second

	// maxRates bounds the number of objects whose rates are kept, since callers name them.
	maxRates = 4096

	// rateExpiry is the time after which an object without runs is forgotten.
	rateExpiry = 5 * rateTime
)

// rate is a count of runs in which each one counts less with its age.
type rate struct {
	count float64
	at    time.Time
}

// countRun counts a run of an object in the region.
func (s *service) countRun(object uint32, now time.Time) {
	r, ok := s.rates[object]
	if !ok && len(s.rates) >= maxRates {
		return
	}
	r.count, r.at = r.value(now)+1, now
	s.rates[object] = r
}

// value returns the count at a time.
func (r rate) value(now time.Time) float64 {
	return r.count * math.Exp(-float64(now.Sub(r.at))/float64(rateTime))
}

// perSecond returns how many runs of the object the region's VMs saw a second.
func (s *service) perSecond(object uint32, now time.Time) float64 {
	if r, ok := s.rates[object]; ok {
		return r.value(now) / rateTime.Seconds()
	}
	return 0
}

// forgetRates forgets objects that had no runs for rateExpiry, twice in that time.
func (s *service) forgetRates(now time.Time) {
	if now.Sub(s.ratesCheckedAt) < rateExpiry/2 {
		return
	}
	s.ratesCheckedAt = now
	for object, r := range s.rates {
		if now.Sub(r.at) > rateExpiry {
			delete(s.rates, object)
		}
	}
}

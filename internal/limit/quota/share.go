package quota

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

// LimitStatus describes the state of one limit at one VM, for status pages and
// metrics. Rate, Burst and Tokens are those of the VM's bucket; Base, Lent and
// Borrowed are in units of the limit.
type LimitStatus struct {
	Key      string  `json:"key"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Tokens   float64 `json:"tokens"`
	Base     int64   `json:"base"`
	Lent     int64   `json:"lent"`
	Borrowed int64   `json:"borrowed"`
	Demand   float64 `json:"demand"`
	Waiting  float64 `json:"waiting"`
}

// Configure applies a configuration. Lower limits, smaller fractions of a limit
// and higher limits take effect at once. A larger fraction takes effect after
// SettleTime, because another VM may still use it under the earlier
// configuration.
func (lim *Limiter) Configure(limits []Limit, domains []sassafrastray.FailureDomain, now time.Time) {
	lim.updateActive(now)
	placesChanged := !samePlaces(lim.domains, domains)
	changed := placesChanged
	lim.domains = slices.Clone(domains)
	kept := make(map[string]bool, len(limits))
	for _, l := range limits {
		kept[l.Key] = true
		l.Rate *= 1 - lim.opt.Drift
		e := lim.entries[l.Key]
		if e == nil {
			e = &entry{limit: l, refilledAt: now, active: lim.active, backoff: make(map[backoffKey]backoff)}
			lim.entries[l.Key] = e
			lim.ordered = append(lim.ordered, e)
			e.initShare(lim.place, lim.domains)
			e.resize()
			continue
		}
		e.advance(now)
		changed = changed || int64(l.Burst) != e.units
		e.removed = false
		e.configure(l, lim.place, lim.domains, placesChanged, now.Add(lim.opt.SettleTime))
	}
	for key, e := range lim.entries {
		if !kept[key] && !e.removed {
			e.advance(now)
			e.remove(now)
		}
	}
	if changed {
		lim.settledAt = now.Add(lim.opt.SettleTime)
	}
	sort.Slice(lim.ordered, func(i, j int) bool { return lim.ordered[i].limit.Key < lim.ordered[j].limit.Key })
}

// samePlaces reports whether two configurations have the same places.
func samePlaces(a, b []sassafrastray.FailureDomain) bool {
	return slices.EqualFunc(a, b, func(x, y sassafrastray.FailureDomain) bool {
		return x.Name == y.Name && x.Places == y.Places
	})
}

// initShare sets the share of a place that is not in use yet.
func (e *entry) initShare(p *sassafrastray.Place, domains []sassafrastray.FailureDomain) {
	e.raiseAt = time.Time{}
	e.units = max(0, int64(e.limit.Burst))
	e.share, e.fraction = 0, 0
	if p != nil && !e.removed {
		e.share, e.units = unitsOf(e.limit, *p, domains)
		e.fraction = fraction(e.share, e.units)
	}
}

// configure changes the limit of a share that may be in use. An increase of the
// limit takes effect at once: with unchanged places, the shares under two
// limits never sum to more than the higher limit. An increase because places or
// fractions changed waits until raiseAt.
func (e *entry) configure(l Limit, p *sassafrastray.Place, domains []sassafrastray.FailureDomain,
	redistributed bool, raiseAt time.Time,
) {
	redistributed = redistributed || !e.raiseAt.IsZero() || !slices.Equal(l.Domains, e.limit.Domains) || e.units == 0
	e.limit = l
	var share int64
	e.units = max(0, int64(l.Burst))
	if p != nil {
		share, e.units = unitsOf(l, *p, domains)
	}
	newFraction := fraction(share, e.units)
	if newFraction > e.fraction || share > e.share && redistributed {
		e.raiseAt, e.nextShare, e.nextFraction = raiseAt, share, newFraction
	} else {
		e.raiseAt = time.Time{}
	}
	if redistributed {
		share = min(share, e.share)
	}
	e.share, e.fraction = share, min(newFraction, e.fraction)
	e.resize()
}

// raise applies a larger share once all VMs have applied the configuration.
func (e *entry) raise(now time.Time) {
	if e.raiseAt.IsZero() || now.Before(e.raiseAt) {
		return
	}
	e.raiseAt = time.Time{}
	e.share, e.fraction = e.nextShare, e.nextFraction
	e.resize()
}

// remove ends the use of a limit. The entry stays until the granted loans have
// expired, so that they still count if the limit is configured again.
func (e *entry) remove(now time.Time) {
	e.removed, e.removedAt = true, now
	e.limit = Limit{Key: e.limit.Key}
	e.units, e.share, e.fraction, e.raiseAt = 0, 0, 0, time.Time{}
	e.loans = e.loans[:0]
	e.pending = e.pending[:0]
	e.queue = e.queue[:0]
	e.resize()
}

// purge deletes the entries of removed limits whose granted loans have expired.
func (lim *Limiter) purge(now time.Time) {
	lim.ordered = slices.DeleteFunc(lim.ordered, func(e *entry) bool {
		gone := e.removed && now.Sub(e.removedAt) > lim.opt.SettleTime+lim.opt.Quarantine()
		if gone {
			delete(lim.entries, e.limit.Key)
		}
		return gone
	})
}

// fraction returns share/units, or 0 for a limit without units.
func fraction(share, units int64) float64 {
	if units == 0 {
		return 0
	}
	return float64(share) / float64(units)
}

// Status describes all limits, ordered by key.
func (lim *Limiter) Status() []LimitStatus {
	list := make([]LimitStatus, 0, len(lim.ordered))
	for _, e := range lim.ordered {
		lentUnits, _ := e.lentOut()
		borrowed := int64(0)
		for _, l := range e.loans {
			borrowed += l.units
		}
		list = append(list, LimitStatus{
			Key: e.limit.Key, Rate: e.rate, Burst: e.capacity, Tokens: e.tokens,
			Base: e.share, Lent: lentUnits, Borrowed: borrowed,
			Demand: e.demand, Waiting: e.waiting.sum(e.refilledAt),
		})
	}
	return list
}

// unitsOf returns how many units of the limit the place owns, and the total: an
// equal part, plus one of the remaining units for the places that rank first
// for this key.
func unitsOf(l Limit, p sassafrastray.Place, domains []sassafrastray.FailureDomain) (units, total int64) {
	total = int64(l.Burst)
	var places, ahead int64
	own := rank(l.Key, p)
	found := false
	for _, d := range domains {
		if len(l.Domains) > 0 && !slices.Contains(l.Domains, d.Name) {
			continue
		}
		for i := range d.Places {
			other := sassafrastray.Place{Domain: d.Name, Index: i}
			places++
			if other == p {
				found = true
			} else if r := rank(l.Key, other); r > own || r == own && less(other, p) {
				ahead++
			}
		}
	}
	if !found || total <= 0 {
		return 0, max(total, 0)
	}
	units = total / places
	if ahead < total%places {
		units++
	}
	return units, total
}

// rank orders the places of a limit pseudo-randomly, so that the remaining
// units of different limits go to different places.
func rank(key string, p sassafrastray.Place) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(p.Domain) + "\x00" + strconv.Itoa(p.Index))
}

func less(p, q sassafrastray.Place) bool {
	if p.Domain != q.Domain {
		return p.Domain < q.Domain
	}
	return p.Index < q.Index
}

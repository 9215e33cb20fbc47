package quota

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

// Share describes one limit at one VM, for status and metrics.
type Share struct {
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

// Configure applies a configuration. A lower limit and a smaller fraction of
// it hold at once, a higher limit too. A larger fraction waits for Settle,
// because another VM may still use it under the earlier configuration.
func (b *Book) Configure(limits []Limit, domains []sassafrastray.FailureDomain, now time.Time) {
	b.check(now)
	moved := !samePlaces(b.domains, domains)
	changed := moved
	b.domains = slices.Clone(domains)
	kept := make(map[string]bool, len(limits))
	for _, l := range limits {
		kept[l.Key] = true
		l.Rate *= 1 - b.opt.Drift
		e := b.entries[l.Key]
		if e == nil {
			e = &entry{limit: l, last: now, active: b.active, backoff: make(map[backoffKey]backoff)}
			b.entries[l.Key] = e
			b.order = append(b.order, e)
			e.own(b.place, b.domains)
			e.resize()
			continue
		}
		e.advance(now)
		changed = changed || int64(l.Burst) != e.units
		e.removed = false
		e.configure(l, b.place, b.domains, moved, now.Add(b.opt.Settle))
	}
	for key, e := range b.entries {
		if !kept[key] && !e.removed {
			e.advance(now)
			e.remove(now)
		}
	}
	if changed {
		b.settled = now.Add(b.opt.Settle)
	}
	sort.Slice(b.order, func(i, j int) bool { return b.order[i].limit.Key < b.order[j].limit.Key })
}

// samePlaces tells whether two configurations have the same places.
func samePlaces(a, b []sassafrastray.FailureDomain) bool {
	return slices.EqualFunc(a, b, func(x, y sassafrastray.FailureDomain) bool {
		return x.Name == y.Name && x.Places == y.Places
	})
}

// own sets the share of a place that is not in use yet.
func (e *entry) own(p *sassafrastray.Place, domains []sassafrastray.FailureDomain) {
	e.raiseAt = time.Time{}
	e.units = max(0, int64(e.limit.Burst))
	e.share, e.fraction = 0, 0
	if p != nil && !e.removed {
		e.share, e.units = unitsOf(e.limit, *p, domains)
		e.fraction = fraction(e.share, e.units)
	}
}

// configure changes the limit of a share that may be in use. What grows with
// the limit alone grows at once: the shares of two limits with the same places
// never sum to more than the higher one. What grows because places or
// fractions moved waits until raise.
func (e *entry) configure(l Limit, p *sassafrastray.Place, domains []sassafrastray.FailureDomain,
	moved bool, raise time.Time,
) {
	moved = moved || !e.raiseAt.IsZero() || !slices.Equal(l.Domains, e.limit.Domains) || e.units == 0
	e.limit = l
	var share int64
	e.units = max(0, int64(l.Burst))
	if p != nil {
		share, e.units = unitsOf(l, *p, domains)
	}
	part := fraction(share, e.units)
	if part > e.fraction || share > e.share && moved {
		e.raiseAt, e.shareGoal, e.fractionGoal = raise, share, part
	} else {
		e.raiseAt = time.Time{}
	}
	if moved {
		share = min(share, e.share)
	}
	e.share, e.fraction = share, min(part, e.fraction)
	e.resize()
}

// raise lets a share grow once all VMs have applied the configuration.
func (e *entry) raise(now time.Time) {
	if e.raiseAt.IsZero() || now.Before(e.raiseAt) {
		return
	}
	e.raiseAt = time.Time{}
	e.share, e.fraction = e.shareGoal, e.fractionGoal
	e.resize()
}

// remove ends the use of a limit. The entry stays until the loans that were
// given have lapsed, so that a limit that comes back does not forget them.
func (e *entry) remove(now time.Time) {
	e.removed, e.removedAt = true, now
	e.limit = Limit{Key: e.limit.Key}
	e.units, e.share, e.fraction, e.raiseAt = 0, 0, 0, time.Time{}
	e.loans = e.loans[:0]
	e.pending = e.pending[:0]
	e.queue = e.queue[:0]
	e.resize()
}

// purge forgets limits that were removed long ago.
func (b *Book) purge(now time.Time) {
	b.order = slices.DeleteFunc(b.order, func(e *entry) bool {
		gone := e.removed && now.Sub(e.removedAt) > b.opt.Settle+b.opt.Quarantine()
		if gone {
			delete(b.entries, e.limit.Key)
		}
		return gone
	})
}

func fraction(share, units int64) float64 {
	if units == 0 {
		return 0
	}
	return float64(share) / float64(units)
}

// Status describes all limits, ordered by key.
func (b *Book) Status() []Share {
	list := make([]Share, 0, len(b.order))
	for _, e := range b.order {
		lentUnits, _ := e.lentOut()
		borrowed := int64(0)
		for _, l := range e.loans {
			borrowed += l.units
		}
		list = append(list, Share{
			Key: e.limit.Key, Rate: e.rate, Burst: e.capacity, Tokens: e.tokens,
			Base: e.share, Lent: lentUnits, Borrowed: borrowed,
			Demand: e.demand, Waiting: e.waiting.sum(e.last),
		})
	}
	return list
}

// unitsOf returns how many of the limit's units the place owns: an equal part,
// and the rest one each to the places that rank first for this key.
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

func rank(key string, p sassafrastray.Place) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(p.Domain) + "\x00" + strconv.Itoa(p.Index))
}

func less(p, q sassafrastray.Place) bool {
	if p.Domain != q.Domain {
		return p.Domain < q.Domain
	}
	return p.Index < q.Index
}

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspect is a request with the crashes that may be its fault.
type suspect struct {
	f       Fingerprint
	crashes []uint64
	moments int
}

// unexplained returns for each request that is not in quarantine the crashes at which it
// was present, after it was last answered and without one that is in quarantine.
func (t *Table) unexplained() map[Fingerprint][]uint64 {
	out := make(map[Fingerprint][]uint64)
	for _, id := range slices.Sorted(maps.Keys(t.crashes)) {
		c := t.crashes[id]
		if t.explained(c) {
			continue
		}
		for f := range c.suspects {
			if !c.at.Before(t.answered[f].started) {
				out[f] = append(out[f], id)
			}
		}
	}
	return out
}

// convict accuses the requests that were present at crashes, and puts those in quarantine
// that were present at enough and accused for long enough: those at most crashes first,
// since they explain the crashes of others.
func (t *Table) convict(now time.Time) {
	for {
		list := t.suspects(now)
		accused := make(map[Fingerprint]time.Time, len(list))
		for _, s := range list {
			since, ok := t.accused[s.f]
			if !ok {
				since, t.news = now, true
			}
			accused[s.f] = since
		}
		t.accused = accused
		if len(list) == 0 || list[0].moments < minMoments || now.Sub(accused[list[0].f]) < objectionTime {
			return
		}
		t.quarantine(list[0], now)
	}
}

// suspects returns the requests that were present at crashes at accusedMoments or more,
// those at most crashes first. It leaves out those that can't be told apart yet.
func (t *Table) suspects(now time.Time) []suspect {
	var list []suspect
	for f, ids := range t.unexplained() {
		ids = slices.DeleteFunc(ids, func(id uint64) bool { return now.Sub(t.crashes[id].at) < settleTime })
		if len(ids) < accusedMoments {
			continue
		}
		if n := t.moments(ids); n >= accusedMoments && t.covers(ids) {
			list = append(list, suspect{f, ids, n})
		}
	}
	slices.SortFunc(list, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.moments, a.moments), cmp.Compare(a.f, b.f))
	})
	all := slices.Clone(list)
	return slices.DeleteFunc(list, func(s suspect) bool {
		return s.moments >= minMoments && s.moments < tiedMoments && slices.ContainsFunc(all, func(o suspect) bool { return o.f != s.f && slices.Equal(o.crashes, s.crashes) })
	})
}

// covers reports whether the crashes are a good part of those of their service at that
// time which are not explained.
func (t *Table) covers(ids []uint64) bool {
	first, last, all := t.crashes[ids[0]].at, t.crashes[ids[0]].at, 0
	for _, id := range ids {
		at := t.crashes[id].at
		if at.Before(first) {
			first = at
		}
		last = later(last, at)
	}
	for _, c := range t.crashes {
		if c.service == t.crashes[ids[0]].service && first.Sub(c.at) <= lookBack && c.at.Sub(last) <= moment && !t.explained(c) {
			all++
		}
	}
	part := float64(len(ids)) / float64(all)
	return part >= minCoverage || len(ids) >= manyCrashes && part >= manyCoverage || len(ids) >= mostCrashes && part >= mostCoverage
}

// explained reports whether a request that was present at the crash is in quarantine.
func (t *Table) explained(c *crash) bool {
	for f := range c.suspects {
		if t.isActive(f) {
			return true
		}
	}
	return false
}

// moments returns at how many different moments the crashes happened.
func (t *Table) moments(ids []uint64) int {
	at := make([]time.Time, len(ids))
	for i, id := range ids {
		at[i] = t.crashes[id].at
	}
	slices.SortFunc(at, time.Time.Compare)
	n := 0
	var begin time.Time
	for _, a := range at {
		if n == 0 || a.Sub(begin) > moment {
			n, begin = n+1, a
		}
	}
	return n
}

func (t *Table) quarantine(s suspect, now time.Time) {
	q := t.cases[s.f]
	if q == nil {
		if len(t.cases) >= maxCases {
			t.dropOldestCase()
		}
		q = &quarantined{service: t.crashes[s.crashes[0]].service}
		t.cases[s.f] = q
	}
	q.level, q.since, q.trialAt, q.ended, q.crashes = q.level+1, now, time.Time{}, false, q.crashes+len(s.crashes)
	t.news = true
	t.record(Event{Fingerprint: s.f, Service: q.service, Kind: Begun, Crashes: q.crashes, Term: q.term()})
}

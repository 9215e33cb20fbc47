package rollout

import (
	"sassafrastray"
)

// Observe counts the outcome of a request to a version. Requests of services
// without a running rollout are not counted.
func (t *Tracker) Observe(s sassafrastray.ServiceName, r sassafrastray.RouteName, v sassafrastray.VersionName, o Outcome) {
	m := t.monitors[s]
	if m == nil || m.rollout.State != sassafrastray.RolloutRunning {
		return
	}
	row := m.local[r]
	if row == nil {
		row = &RouteCounts{Service: s, Route: r, To: m.rollout.To}
		m.local[r] = row
	}
	c := &row.Old
	if v == m.rollout.To {
		c = &row.New
	}
	switch o {
	case OK:
		c.OK++
	case Failed:
		c.Failed++
	case Late:
		c.Late++
	}
}

// Evidence returns the counts of this VM's own requests for all running
// rollouts.
func (t *Tracker) Evidence() Evidence {
	var e Evidence
	for _, m := range t.monitors {
		if m.rollout.State != sassafrastray.RolloutRunning {
			continue
		}
		for _, r := range m.local {
			e = append(e, *r)
		}
	}
	return e
}

// Receive replaces the counts that were received from another VM or region.
func (t *Tracker) Receive(from sassafrastray.Source, e Evidence) {
	rows := make(map[sassafrastray.ServiceName][]RouteCounts)
	for _, r := range e {
		if r.Old.valid() && r.New.valid() {
			rows[r.Service] = append(rows[r.Service], r)
		}
	}
	for name, list := range rows {
		if m := t.monitors[name]; m != nil && list[0].To == m.rollout.To {
			m.remote[from] = list
		}
	}
}

// Forget drops the counts received from a VM or region, which now arrive from
// another source and must not be counted twice.
func (t *Tracker) Forget(from sassafrastray.Source) {
	for _, m := range t.monitors {
		delete(m.remote, from)
	}
}

// Sum adds up the counts of several VMs by service, route and new version.
func Sum(all []Evidence) Evidence {
	type key struct {
		service sassafrastray.ServiceName
		route   sassafrastray.RouteName
		to      sassafrastray.VersionName
	}
	var out Evidence
	at := make(map[key]int)
	for _, e := range all {
		for _, r := range e {
			k := key{r.Service, r.Route, r.To}
			i, ok := at[k]
			if !ok {
				i = len(out)
				at[k] = i
				out = append(out, RouteCounts{Service: r.Service, Route: r.Route, To: r.To})
			}
			out[i].Old.add(r.Old)
			out[i].New.add(r.New)
		}
	}
	return out
}

// total adds up the counts of all VMs and routes.
func (m *monitor) total() (old, candidate Count) {
	for _, r := range m.countsByRoute() {
		old.add(r.Old)
		candidate.add(r.New)
	}
	return old, candidate
}

// valid reports whether no figure is negative or so large that sums overflow.
func (c Count) valid() bool {
	for _, n := range []int{c.OK, c.Failed, c.Late} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return true
}

func (c *Count) add(o Count) { c.OK, c.Failed, c.Late = c.OK+o.OK, c.Failed+o.Failed, c.Late+o.Late }

// countsByRoute adds up the counts of all VMs by route.
func (m *monitor) countsByRoute() map[sassafrastray.RouteName]*RouteCounts {
	out := make(map[sassafrastray.RouteName]*RouteCounts)
	add := func(r RouteCounts) {
		have := out[r.Route]
		if have == nil {
			have = &RouteCounts{Route: r.Route}
			out[r.Route] = have
		}
		have.Old.add(r.Old)
		have.New.add(r.New)
	}
	for _, r := range m.local {
		add(*r)
	}
	for _, list := range m.remote {
		for _, r := range list {
			add(r)
		}
	}
	return out
}

// findRegression compares the versions on each route and on all routes together.
// It returns how the new version is worse, or "".
func (m *monitor) findRegression() string {
	for _, r := range m.countsByRoute() {
		if why := compare(r.Old, r.New); why != "" {
			return why + " on route " + string(r.Route)
		}
	}
	return compare(m.total())
}

// compare returns how the new version is worse than the old one, or "".
func compare(old, candidate Count) string {
	switch {
	case candidate.Failed >= minFailed && candidate.rate(candidate.Failed) > failedMargin+failedFactor*old.rate(old.Failed):
		return "fails more often"
	case candidate.Late >= minLate && candidate.rate(candidate.Late) > lateMargin+lateFactor*old.rate(old.Late):
		return "is late more often"
	}
	return ""
}

// rate returns n as a fraction of all requests, or 0 if there are none.
func (c Count) rate(n int) float64 {
	all := c.OK + c.Failed + c.Late
	if all == 0 {
		return 0
	}
	return float64(n) / float64(all)
}

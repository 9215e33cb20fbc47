// Package canary moves a service to a new version whose backend servers run
// beside the old ones, within minutes and with little exposure: a small share
// first, then steps up to the whole, or back as soon as the new version fails
// more often than the old.
//
// Each VM counts how requests end and tells the others in its heartbeats. The
// VM that leads writes the state to the platform; every VM keeps away from a
// version that the evidence calls bad, without waiting for that.
//
// Nothing here does I/O. Callers hold a lock around all calls.
package canary

import (
	"time"

	"sassafrastray"
)

const (
	// whole is the share of all requests, in thousandths.
	whole = 1000

	// judged is the part of a rollout's time after which the share rises
	// beyond the first, if nothing speaks against the version.
	judged = 0.60

	// second, third and last are the parts of the time after which the share
	// takes its next steps, and secondShare and thirdShare those steps.
	third       = 0.68
	last        = 0.75
	secondShare = 300
	thirdShare  = 600

	// settle is how long the whole traffic goes to the new version before
	// the old one may stop, so that no request is left there.
	settle = 1500 * time.Millisecond

	// late is the part of the time after which a rollout that could not
	// begin is taken back.
	late = 0.9

	// fewestFailed is the least number of failures that make a version bad,
	// and failedMargin and failedFactor how far their rate must lie above the
	// old version's. The others are the same for answers that are late.
	fewestFailed = 3
	failedMargin = 0.06
	failedFactor = 2.5
	fewestLate   = 4
	lateMargin   = 0.25
	lateFactor   = 2

	// enough is the least number of requests that a version must have
	// answered before its share rises, while there is time.
	enough = 8
)

// Ends of requests.
const (
	OK End = iota
	Failed
	Late
)

type (
	// Count is how requests of one route ended on one version.
	Count struct {
		OK int `json:"ok,omitempty"`
		// Failed answers say that the backend server failed.
		Failed int `json:"failed,omitempty"`
		// Late answers came much later than usual, not whole or not at all.
		Late int `json:"late,omitempty"`
	}

	// End is how a request ended on a version.
	End int

	// Row is what one VM saw of one route during a rollout.
	Row struct {
		Service sassafrastray.ServiceName `json:"service"`
		Route   sassafrastray.RouteName   `json:"route"`
		To      sassafrastray.VersionName `json:"to"`
		Old     Count                     `json:"old"`
		New     Count                     `json:"new"`
	}

	// Evidence is what one VM saw during all rollouts.
	Evidence []Row

	// Desk follows the rollouts of all services on one VM.
	Desk struct {
		exposure float64
		moves    map[sassafrastray.ServiceName]*move
	}

	move struct {
		order    sassafrastray.Rollout
		revision int64
		since    time.Time
		// full is when the share became the whole.
		full time.Time
		// debt is the part of a request that the new version is owed.
		debt float64
		own  map[sassafrastray.RouteName]*Row
		// heard are the rows of other VMs.
		heard map[sassafrastray.Source][]Row
		// servers is how many backend servers of the new version are ready.
		servers int
		bad     string
	}

	// Step is what the leader should write.
	Step struct {
		Rollout  sassafrastray.Rollout
		Revision int64
		Reason   string
	}
)

// New returns a desk without rollouts. Exposure is the greatest part of a
// service's requests that an unproved version may get.
func New(exposure float64) *Desk {
	return &Desk{exposure: exposure, moves: make(map[sassafrastray.ServiceName]*move)}
}

// Update takes in the platform's rollouts. It returns the services whose
// rollout has just ended well, with their new version.
func (d *Desk) Update(rollouts map[sassafrastray.ServiceName]sassafrastray.Entry, now time.Time) map[sassafrastray.ServiceName]sassafrastray.VersionName {
	done := make(map[sassafrastray.ServiceName]sassafrastray.VersionName)
	for name := range d.moves {
		if _, ok := rollouts[name]; !ok {
			delete(d.moves, name)
		}
	}
	for name, e := range rollouts {
		m := d.moves[name]
		if m == nil || m.order.To != e.Rollout.To || m.order.MaxDuration != e.Rollout.MaxDuration || restarted(m.order, *e.Rollout) {
			m = &move{since: now, own: make(map[sassafrastray.RouteName]*Row), heard: make(map[sassafrastray.Source][]Row)}
			d.moves[name] = m
		}
		before := m.order
		m.order, m.revision = *e.Rollout, e.Revision
		if m.order.State == sassafrastray.RolloutRunning && m.order.Share >= whole && m.full.IsZero() {
			m.full = now
		}
		if m.order.State == sassafrastray.RolloutDone && before.State != sassafrastray.RolloutDone {
			done[name] = m.order.To
		}
	}
	return done
}

// restarted tells whether an ended rollout was ordered anew.
func restarted(old, o sassafrastray.Rollout) bool {
	ended := old.State == sassafrastray.RolloutDone || old.State == sassafrastray.RolloutReverted
	return ended && (o.State == sassafrastray.RolloutPending || o.State == sassafrastray.RolloutRunning)
}

// Servers tells how many backend servers of the new version are ready.
func (d *Desk) Servers(count func(s sassafrastray.ServiceName, v sassafrastray.VersionName) int) {
	for name, m := range d.moves {
		m.servers = count(name, m.order.To)
	}
}

// Draw returns the version that the next request of the service goes to.
func (d *Desk) Draw(s sassafrastray.ServiceName) (only, except sassafrastray.VersionName, narrow bool) {
	m := d.moves[s]
	if m == nil {
		return "", "", false
	}
	switch m.order.State {
	case sassafrastray.RolloutDone:
		return m.order.To, "", false
	case sassafrastray.RolloutRunning:
		if m.bad != "" || m.servers == 0 {
			return "", m.order.To, false
		}
		m.debt += float64(m.order.Share) / whole
		if m.debt < 1 {
			return "", m.order.To, false
		}
		m.debt--
		return m.order.To, "", m.order.Share < secondShare
	}
	return "", m.order.To, false
}

// Saw counts how a request ended on a version.
func (d *Desk) Saw(s sassafrastray.ServiceName, r sassafrastray.RouteName, v sassafrastray.VersionName, e End) {
	m := d.moves[s]
	if m == nil || m.order.State != sassafrastray.RolloutRunning {
		return
	}
	row := m.own[r]
	if row == nil {
		row = &Row{Service: s, Route: r, To: m.order.To}
		m.own[r] = row
	}
	c := &row.Old
	if v == m.order.To {
		c = &row.New
	}
	switch e {
	case OK:
		c.OK++
	case Failed:
		c.Failed++
	case Late:
		c.Late++
	}
}

// Evidence returns what this VM saw.
func (d *Desk) Evidence() Evidence {
	var e Evidence
	for _, m := range d.moves {
		if m.order.State != sassafrastray.RolloutRunning {
			continue
		}
		for _, r := range m.own {
			e = append(e, *r)
		}
	}
	return e
}

// Heard takes in what another VM saw, or those of a region.
func (d *Desk) Heard(from sassafrastray.Source, e Evidence) {
	rows := make(map[sassafrastray.ServiceName][]Row)
	for _, r := range e {
		rows[r.Service] = append(rows[r.Service], r)
	}
	for name, list := range rows {
		if m := d.moves[name]; m != nil && list[0].To == m.order.To {
			m.heard[from] = list
		}
	}
}

// Forget drops what a VM or region told, since others tell it now.
func (d *Desk) Forget(from sassafrastray.Source) {
	for _, m := range d.moves {
		delete(m.heard, from)
	}
}

// Sum adds up what several VMs saw.
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
				out = append(out, Row{Service: r.Service, Route: r.Route, To: r.To})
			}
			out[i].Old.add(r.Old)
			out[i].New.add(r.New)
		}
	}
	return out
}

// Tick judges all rollouts and returns what the leader should write.
func (d *Desk) Tick(now time.Time) []Step {
	var steps []Step
	for _, m := range d.moves {
		if m.order.State == sassafrastray.RolloutRunning && m.bad == "" {
			m.bad = m.judge()
		}
		if next, reason, ok := m.step(d.firstShare(), now); ok {
			steps = append(steps, Step{Rollout: next, Revision: m.revision, Reason: reason})
		}
	}
	return steps
}

func (d *Desk) firstShare() int { return int(0.8 * d.exposure * whole) }

// step returns the rollout's next state, if it is time for one.
func (m *move) step(first int, now time.Time) (next sassafrastray.Rollout, reason string, ok bool) {
	next = m.order
	past := float64(now.Sub(m.since)) / float64(m.order.MaxDuration)
	switch m.order.State {
	case sassafrastray.RolloutPending:
		next.State, next.Share = sassafrastray.RolloutRunning, first
		return next, "ordered", true
	case sassafrastray.RolloutRunning:
	default:
		return next, "", false
	}
	if m.bad != "" {
		next.State, next.Share = sassafrastray.RolloutReverted, 0
		return next, m.bad, true
	}
	if past > late && m.order.Share < secondShare {
		next.State, next.Share = sassafrastray.RolloutReverted, 0
		return next, "no time is left", true
	}
	if m.order.Share >= whole {
		if !m.full.IsZero() && now.Sub(m.full) >= settle {
			next.State = sassafrastray.RolloutDone
			return next, "the whole traffic is there", true
		}
		return next, "", false
	}
	if share := m.due(past); share > m.order.Share {
		next.Share = share
		return next, "no fault so far", true
	}
	return next, "", false
}

// due returns the share that the time allows.
func (m *move) due(past float64) int {
	_, all := m.total()
	switch {
	case past >= last && m.servers > 0 && all.OK > 0:
		return whole
	case past >= third && all.OK >= enough:
		return thirdShare
	case past >= judged && all.OK >= enough:
		return secondShare
	}
	return 0
}

// total adds up all rows.
func (m *move) total() (old, fresh Count) {
	for _, r := range m.rows() {
		old.add(r.Old)
		fresh.add(r.New)
	}
	return old, fresh
}

func (c *Count) add(o Count) { c.OK, c.Failed, c.Late = c.OK+o.OK, c.Failed+o.Failed, c.Late+o.Late }

// rows adds up the rows of all VMs by route.
func (m *move) rows() map[sassafrastray.RouteName]*Row {
	out := make(map[sassafrastray.RouteName]*Row)
	add := func(r Row) {
		have := out[r.Route]
		if have == nil {
			have = &Row{Route: r.Route}
			out[r.Route] = have
		}
		have.Old.add(r.Old)
		have.New.add(r.New)
	}
	for _, r := range m.own {
		add(*r)
	}
	for _, list := range m.heard {
		for _, r := range list {
			add(r)
		}
	}
	return out
}

// judge returns why the new version is bad, or "".
func (m *move) judge() string {
	for _, r := range m.rows() {
		if why := worse(r.Old, r.New); why != "" {
			return why + " on route " + string(r.Route)
		}
	}
	return worse(m.total())
}

// worse returns how the new version is worse than the old, or "".
func worse(old, fresh Count) string {
	switch {
	case fresh.Failed >= fewestFailed && fresh.rate(fresh.Failed) > failedMargin+failedFactor*old.rate(old.Failed):
		return "fails more often"
	case fresh.Late >= fewestLate && fresh.rate(fresh.Late) > lateMargin+lateFactor*old.rate(old.Late):
		return "is late more often"
	}
	return ""
}

// rate returns which part n is of all requests.
func (c Count) rate(n int) float64 {
	all := c.OK + c.Failed + c.Late
	if all == 0 {
		return 0
	}
	return float64(n) / float64(all)
}

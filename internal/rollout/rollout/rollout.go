// Package rollout controls the gradual rollout of a service's new version, whose
// backend servers run beside those of the old one. The new version first receives
// a small share of the requests, then larger ones in steps until it receives all.
// It is reverted as soon as it fails, or answers late, more often than the old one.
//
// Each VM counts the outcomes of its requests and sends the counts to the other
// VMs in its heartbeats. The leading VM writes the rollout's state to the
// platform. Every VM stops sending requests to a version as soon as the counts
// show a regression, without waiting for that write.
//
// The package does no I/O. A Tracker is not safe for concurrent use.
package rollout

import (
	"time"

	"sassafrastray"
)

const (
	// fullShare is the share of all requests, in thousandths.
	fullShare = 1000

	// secondShareAfter is the part of the rollout's time after which the
	// share may rise above the first one, unless a regression was found.
	secondShareAfter = 0.60

	// thirdShareAfter and fullShareAfter are the parts of the rollout's time
	// after which the share rises to thirdShare and to fullShare. Shares are
	// in thousandths.
	thirdShareAfter = 0.68
	fullShareAfter  = 0.75
	secondShare     = 300
	thirdShare      = 600

	// drainTime is how long all requests go to the new version before the
	// rollout is done and the old version may stop, so that no request is
	// still running there.
	drainTime = 1500 * time.Millisecond

	// stalledAfter is the part of the rollout's time after which a rollout
	// that is still below secondShare is reverted.
	stalledAfter = 0.9

	// A version has regressed if at least minFailed of its requests failed
	// and the part that failed is above failedMargin plus failedFactor times
	// the old version's. The same holds for late answers.
	minFailed    = 3
	failedMargin = 0.06
	failedFactor = 2.5
	minLate      = 4
	lateMargin   = 0.25
	lateFactor   = 2

	// maxCount bounds each count in the evidence of other VMs.
	maxCount = 1 << 30

	// minAnswered is the least number of requests that the new version must
	// have answered well before its share rises to secondShare or thirdShare.
	minAnswered = 8
)

// Outcomes of requests.
const (
	OK Outcome = iota
	Failed
	Late
)

type (
	// Count holds the number of requests of one route and version by outcome.
	Count struct {
		OK int `json:"ok,omitempty"`
		// Failed counts requests that the backend server failed to answer.
		Failed int `json:"failed,omitempty"`
		// Late counts answers that came much later than usual, were
		// incomplete or did not come at all.
		Late int `json:"late,omitempty"`
	}

	// Outcome classifies how a request to a version ended.
	Outcome int

	// RouteCounts holds the counts of one route on both versions during a
	// rollout to the version To.
	RouteCounts struct {
		Service sassafrastray.ServiceName `json:"service"`
		Route   sassafrastray.RouteName   `json:"route"`
		To      sassafrastray.VersionName `json:"to"`
		Old     Count                     `json:"old"`
		New     Count                     `json:"new"`
	}

	// Evidence holds the counts of all running rollouts, of one VM or of
	// several added up.
	Evidence []RouteCounts

	// Tracker holds the state of all services' rollouts on one VM.
	Tracker struct {
		exposure float64
		monitors map[sassafrastray.ServiceName]*monitor
	}

	// monitor holds the state of one service's rollout.
	monitor struct {
		rollout  sassafrastray.Rollout
		revision int64
		since    time.Time
		// fullSince is when the share became fullShare.
		fullSince time.Time
		// credit is the fraction of a request that the new version is still
		// to receive for its share to be met.
		credit float64
		local  map[sassafrastray.RouteName]*RouteCounts
		// remote holds the counts received from other VMs and regions.
		remote map[sassafrastray.Source][]RouteCounts
		// readyServers is the number of ready backend servers of the new
		// version.
		readyServers int
		// wasDone means that a rollout to the same version was done before this one,
		// and inForce that there is nothing to roll out.
		wasDone, inForce bool
		// regression says how the new version is worse than the old one, or
		// is empty.
		regression string
	}

	// Step is a rollout's next state. The leader writes it if the stored
	// entry still has the given revision.
	Step struct {
		Rollout  sassafrastray.Rollout
		Revision int64
		Reason   string
	}
)

// New returns a Tracker without rollouts. Exposure is the largest fraction of a
// service's requests that a new version may receive before it is known to work.
func New(exposure float64) *Tracker {
	return &Tracker{exposure: exposure, monitors: make(map[sassafrastray.ServiceName]*monitor)}
}

// Update replaces the known rollouts by those that the platform holds. It
// returns the services whose rollout has just become done, with their new
// version.
func (t *Tracker) Update(rollouts map[sassafrastray.ServiceName]sassafrastray.Entry, now time.Time) map[sassafrastray.ServiceName]sassafrastray.VersionName {
	done := make(map[sassafrastray.ServiceName]sassafrastray.VersionName)
	for name := range t.monitors {
		if _, ok := rollouts[name]; !ok {
			delete(t.monitors, name)
		}
	}
	for name, e := range rollouts {
		m := t.monitors[name]
		if m == nil || m.rollout.To != e.Rollout.To || m.rollout.MaxDuration != e.Rollout.MaxDuration || restarted(m.rollout, *e.Rollout) {
			wasDone := m != nil && m.rollout.To == e.Rollout.To && m.rollout.State == sassafrastray.RolloutDone
			m = &monitor{since: now, wasDone: wasDone, inForce: wasDone, local: make(map[sassafrastray.RouteName]*RouteCounts), remote: make(map[sassafrastray.Source][]RouteCounts)}
			t.monitors[name] = m
		}
		before := m.rollout
		m.rollout, m.revision = *e.Rollout, e.Revision
		if m.rollout.State == sassafrastray.RolloutRunning && m.rollout.Share >= fullShare && m.fullSince.IsZero() {
			m.fullSince = now
		}
		if m.rollout.State == sassafrastray.RolloutDone && before.State != sassafrastray.RolloutDone {
			done[name] = m.rollout.To
		}
	}
	return done
}

// restarted reports whether a rollout that had ended is pending or running
// again.
func restarted(old, o sassafrastray.Rollout) bool {
	ended := old.State == sassafrastray.RolloutDone || old.State == sassafrastray.RolloutReverted
	return ended && (o.State == sassafrastray.RolloutPending || o.State == sassafrastray.RolloutRunning)
}

// UpdateServers updates the number of ready backend servers of each rollout's
// new version. Count returns it, and the number of servers of all other versions. If
// there are none of these before the rollout has begun, its version is in force.
func (t *Tracker) UpdateServers(count func(s sassafrastray.ServiceName, v sassafrastray.VersionName) (ready, others int)) {
	for name, m := range t.monitors {
		ready, others := count(name, m.rollout.To)
		m.readyServers = ready
		m.inForce = m.wasDone || ready > 0 && others == 0
	}
}

// SelectVersion returns a constraint on the version of the service's next request:
// it must go to the version only, if that is not empty, and must not go to the
// version except, if that is not empty. Narrow reports whether the request goes to
// a new version whose share is still below secondShare.
func (t *Tracker) SelectVersion(s sassafrastray.ServiceName) (only, except sassafrastray.VersionName, narrow bool) {
	m := t.monitors[s]
	if m == nil {
		return "", "", false
	}
	switch m.rollout.State {
	case sassafrastray.RolloutDone:
		return m.rollout.To, "", false
	case sassafrastray.RolloutPending:
		if m.inForce {
			return m.rollout.To, "", false
		}
	case sassafrastray.RolloutRunning:
		if m.regression != "" || m.readyServers == 0 {
			return "", m.rollout.To, false
		}
		m.credit += float64(m.rollout.Share) / fullShare
		if m.credit < 1 {
			return "", m.rollout.To, false
		}
		m.credit--
		return m.rollout.To, "", m.rollout.Share < secondShare
	}
	return "", m.rollout.To, false
}

// Tick compares the versions of all running rollouts and returns the steps that
// the leader should write.
func (t *Tracker) Tick(now time.Time) []Step {
	var steps []Step
	for _, m := range t.monitors {
		if m.rollout.State == sassafrastray.RolloutRunning && m.regression == "" {
			m.regression = m.findRegression()
		}
		if next, reason, ok := m.nextState(t.firstShare(), now); ok {
			steps = append(steps, Step{Rollout: next, Revision: m.revision, Reason: reason})
		}
	}
	return steps
}

// firstShare returns the share that a rollout starts with, in thousandths. It is
// below the exposure.
func (t *Tracker) firstShare() int { return int(0.8 * t.exposure * fullShare) }

// nextState returns the rollout's next state and the reason for it. Ok is false
// if the state does not change now.
func (m *monitor) nextState(first int, now time.Time) (next sassafrastray.Rollout, reason string, ok bool) {
	next = m.rollout
	elapsed := float64(now.Sub(m.since)) / float64(m.rollout.MaxDuration)
	switch m.rollout.State {
	case sassafrastray.RolloutPending:
		if m.inForce {
			next.State, next.Share = sassafrastray.RolloutDone, fullShare
			return next, "the version is in force already", true
		}
		next.State, next.Share = sassafrastray.RolloutRunning, first
		return next, "ordered", true
	case sassafrastray.RolloutRunning:
	default:
		return next, "", false
	}
	if m.regression != "" {
		next.State, next.Share = sassafrastray.RolloutReverted, 0
		return next, m.regression, true
	}
	if elapsed > stalledAfter && m.rollout.Share < secondShare {
		next.State, next.Share = sassafrastray.RolloutReverted, 0
		return next, "too little time is left for the rollout", true
	}
	if m.rollout.Share >= fullShare {
		if !m.fullSince.IsZero() && now.Sub(m.fullSince) >= drainTime {
			next.State = sassafrastray.RolloutDone
			return next, "all requests go to the new version", true
		}
		return next, "", false
	}
	if share := m.dueShare(elapsed); share > m.rollout.Share {
		next.Share = share
		return next, "no regression so far", true
	}
	return next, "", false
}

// dueShare returns the share that is due once the given fraction of the rollout's
// time has elapsed, or 0 if no raise is due.
func (m *monitor) dueShare(elapsed float64) int {
	_, all := m.total()
	switch {
	case elapsed >= fullShareAfter && m.readyServers > 0 && all.OK > 0:
		return fullShare
	case elapsed >= thirdShareAfter && all.OK >= minAnswered:
		return thirdShare
	case elapsed >= secondShareAfter && all.OK >= minAnswered:
		return secondShare
	}
	return 0
}

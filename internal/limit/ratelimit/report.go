package ratelimit

import (
	"time"

	"sassafrastray"
)

// bounded returns the report with the numbers of VMs in the range that they can have,
// and without the teams whose figures are not.
func (r Report) bounded() Report {
	out := Report{Uses: make(TeamUsage, len(r.Uses)), VMs: min(max(r.VMs, 1), maxVMs)}
	out.Idle, out.New = min(max(r.Idle, 0), out.VMs), min(max(r.New, 0), out.VMs)
	for team, u := range r.Uses {
		if u.Demand >= 0 && u.Demand <= maxDemand*float64(out.VMs) && u.Admitted >= 0 && u.Admitted <= maxFigure {
			out.Uses[team] = u
		}
	}
	return out
}

// Add adds the report of other VMs.
func (r *Report) Add(o Report) {
	if r.Uses == nil {
		r.Uses = make(TeamUsage, len(o.Uses))
	}
	for team, u := range o.Uses {
		have := r.Uses[team]
		r.Uses[team] = Usage{Demand: have.Demand + u.Demand, Admitted: have.Admitted + u.Admitted}
	}
	r.VMs += o.VMs
	r.Idle += o.Idle
	r.New += o.New
}

// UpdatePeer records the report of another VM, or of the VMs of a region.
func (l *Limiter) UpdatePeer(from sassafrastray.Source, r Report, now time.Time) {
	r = r.bounded()
	known := r.VMs
	if p := l.peers[from]; p != nil {
		known = max(known, p.knownVMs)
	}
	l.peers[from] = &peer{heardAt: now, Report: r, knownVMs: known}
}

// RemovePeer drops a VM or region whose usage now arrives in another report.
func (l *Limiter) RemovePeer(from sassafrastray.Source) { delete(l.peers, from) }

// SetPeerSize sets how many VMs of a peer may admit requests, whether or not
// they have been heard from.
func (l *Limiter) SetPeerSize(from sassafrastray.Source, vms int) {
	if l.peers[from] == nil {
		l.peers[from] = &peer{}
	}
	l.peers[from].knownVMs = vms
}

// ReportUsage returns the teams' usage of this VM for the next heartbeat, and
// remembers it as sent.
func (l *Limiter) ReportUsage(now time.Time) TeamUsage {
	out := TeamUsage{}
	for name, t := range l.teams {
		t.decay(now)
		t.dropExpired(now, l.opt.Window)
		u := Usage{Demand: float64(int(t.demand()*10)) / 10, Admitted: len(t.admitted)}
		if u != (Usage{}) {
			out[name] = u
		}
	}
	l.reported, l.heartbeatDue, l.reportedNew = out, false, l.IsNew(now)
	l.reports = append(l.reports, sentReport{now, out})
	return out
}

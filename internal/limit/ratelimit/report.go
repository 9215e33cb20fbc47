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
		if u.Demand >= 0 && u.Demand <= maxDemand*float64(out.VMs) && u.Imported >= 0 && u.Imported <= 1 && u.Tokens >= 0 {
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
		r.Uses[team] = Usage{Demand: have.Demand + u.Demand, Imported: have.Imported + u.Imported}
	}
	r.VMs += o.VMs
	r.Idle += o.Idle
	r.New += o.New
}

// UpdatePeer records the report of another VM, or of the VMs of a region.
func (l *Limiter) UpdatePeer(from Peer, r Report, now time.Time) {
	r = r.bounded()
	p := l.peer(from.Source)
	if from.VMs == 0 {
		from.VMs, from.Owners = p.VMs, p.Owners
	}
	was := p.count()
	p.Peer, p.heardAt, p.report = from, now, r
	l.plan.changed = true
	if p.count() != was {
		l.peersChanged = true
		l.updateBase(now)
	}
}

// RemovePeer drops a VM or region whose usage now arrives in another report.
func (l *Limiter) RemovePeer(from sassafrastray.Source) {
	delete(l.peers, from)
	l.peersChanged = true
}

// SetPeer sets how many VMs of a peer may admit requests, whether or not they have been
// heard from.
func (l *Limiter) SetPeer(p Peer) {
	l.peer(p.Source).Peer = p
	l.peersChanged = true
}

func (l *Limiter) peer(s sassafrastray.Source) *peer {
	p := l.peers[s]
	if p == nil {
		p = &peer{}
		l.peers[s] = p
	}
	return p
}

// ReportUsage returns the teams' usage of this VM for the next heartbeat, and
// remembers it as sent.
func (l *Limiter) ReportUsage(now time.Time) TeamUsage {
	l.expireLoans(now)
	out := TeamUsage{}
	for name, t := range l.teams {
		t.decay(now)
		t.refillTo(now)
		u := Usage{Demand: float64(int(t.demand()*10)) / 10, Imported: float64(int(l.ledger.imported[name]*1e5)) / 1e5}
		u.Tokens = max(0, int(t.tokens)-t.waiting)
		if u != (Usage{}) {
			out[name] = u
		}
	}
	l.reported, l.heartbeatDue, l.reportedNew = out, false, l.IsNew(now)
	return out
}

package ratelimit

import (
	"time"

	"sassafrastray"
)

// SetFleetKnown tells that SetPeerSize was called for all VMs of the fleet, whether or
// not they have been heard from.
func (l *Limiter) SetFleetKnown(now time.Time) {
	if l.fleetKnown {
		return
	}
	l.fleetKnown = true
	for name, t := range l.teams {
		l.computeShare(t, name, now)
	}
}

// IsNew reports whether the VM started so recently that its demand is not known. It uses
// an even share then, which the other VMs leave it.
func (l *Limiter) IsNew(now time.Time) bool {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	return now.Sub(l.startedAt) < newPeriod
}

// computeShare computes the VM's share of the team's quota.
func (l *Limiter) computeShare(t *team, name sassafrastray.TeamName, now time.Time) {
	t.shareComputedAt = now
	t.refillTo(now)
	maxAdmitted := (1+l.opt.Overshoot)*(t.rate*l.opt.Window.Seconds()+t.burst) + float64(l.opt.OvershootRequests)
	refill := min((1+l.opt.Overshoot)*t.rate, (1-reserveFraction-minBurstFraction)*maxAdmitted/l.opt.Window.Seconds())
	f := l.fleet(name, now)
	ownDemand := min(t.demand(), l.confirmedUsage(now)[name].Demand)
	switch {
	case f.vms == 0:
		t.share = 0
	case f.heard == 0:
		t.share = 1 / float64(f.vms)
	default:
		share := evenFraction / float64(f.heard)
		if assumed := assumedDemand; !l.idle || ownDemand > 0 {
			if l.idle {
				assumed = 0
			}
			share += (1 - evenFraction) * (ownDemand + assumed) / (f.demand + ownDemand + assumedDemand*float64(max(1, f.active)))
		}
		t.share = share * float64(f.heard) / float64(f.vms)
	}
	t.othersAdmitted, t.demandAge = f.admitted, f.age
	t.lightUseLimit = lightUseFraction * maxAdmitted
	if f.vms > 0 {
		t.lightUseLimit *= float64(f.heard) / float64(f.vms)
	}
	capacity := t.capacity
	t.lightBudget = lightBudgetFactor * t.share * maxAdmitted
	t.refill = t.share * refill
	t.capacity = max(1, t.share*((1-reserveFraction)*maxAdmitted-refill*l.opt.Window.Seconds()))
	if t.tokens > 0 && capacity > 0 && (t.capacity < capacity || t.inLightUse(now, l.opt.Window)) {
		t.tokens *= t.capacity / capacity
	}
	t.tokens = min(t.tokens, t.capacity)
}

// fleet returns what is known of the VMs that share the team's quota. Its vms are zero
// while this VM doesn't know how many there are.
func (l *Limiter) fleet(name sassafrastray.TeamName, now time.Time) (f fleet) {
	isNew := l.IsNew(now)
	if l.reportedNew && !isNew {
		l.heartbeatDue = true
	}
	f.vms = 1
	for from, p := range l.peers {
		known := max(p.VMs, p.knownVMs)
		switch age := now.Sub(p.heardAt); {
		case age <= peerTimeout:
			u := p.Uses[name]
			f.demand += u.Demand
			f.admitted += u.Admitted
			f.heard += p.VMs - p.New
			f.active += max(0, p.VMs-p.New-p.Idle)
			f.age = max(f.age, age)
		case age > peerExpiry && !p.heardAt.IsZero():
			delete(l.peers, from)
			continue
		}
		f.vms += known
	}
	switch {
	case l.fleetKnown:
	case now.Sub(l.startedAt) < startupPeriod:
		f.vms = 0
	default:
		f.vms = max(f.vms, l.opt.FleetSize)
	}
	if isNew {
		f.heard = 0
		return f
	}
	f.heard++
	if !l.idle {
		f.active++
	}
	return f
}

// confirmedUsage returns the newest usage that was reported before the last
// heartbeat of another VM: the others reduce their shares only once they have
// received it. A VM that is cut off from all others uses its last report.
func (l *Limiter) confirmedUsage(now time.Time) TeamUsage {
	var since time.Time
	for _, p := range l.peers {
		if now.Sub(p.heardAt) <= peerTimeout && p.heardAt.After(since) {
			since = p.heardAt
		}
	}
	if since.IsZero() {
		return l.reported
	}
	n := 0
	for n+1 < len(l.reports) && !l.reports[n+1].at.After(since) {
		n++
	}
	l.reports = l.reports[n:]
	if len(l.reports) == 0 {
		return TeamUsage{}
	}
	return l.reports[0].usage
}

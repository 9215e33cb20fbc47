package ratelimit

import (
	"time"

	"sassafrastray"
)

// SetFleetKnown tells that SetPeer was called for all VMs of the fleet, whether or
// not they have been heard from.
func (l *Limiter) SetFleetKnown(now time.Time) {
	if l.fleetKnown {
		return
	}
	l.fleetKnown, l.peersChanged, l.heartbeatDue = true, true, true
	l.updateBase(now)
}

// IsNew reports whether the VM started so recently that its demand is not known. It lends
// nothing then.
func (l *Limiter) IsNew(now time.Time) bool { return l.age(now) < newPeriod }

// age returns the time since the start of the VM.
func (l *Limiter) age(now time.Time) time.Duration {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	return now.Sub(l.startedAt)
}

// updateBase computes which part of each quota this VM owns.
func (l *Limiter) updateBase(now time.Time) {
	l.expireLoans(now)
	if l.reportedNew && !l.IsNew(now) {
		l.heartbeatDue = true
	}
	d := &l.ledger
	if d.settled && !l.peersChanged && now.Sub(d.baseAt) < baseInterval {
		return
	}
	d.baseAt, l.peersChanged = now, false
	vms := l.countOwners(now)
	if !d.settled && l.isSettled(now) {
		d.settled, l.heartbeatDue = true, true
	}
	if !d.settled && !d.confirmed && l.isConfirmed() {
		d.confirmed, l.heartbeatDue = true, true
	}
	base, lendable := 0.0, 0.0
	if vms > 0 {
		// A further VM leaves the others less, and what they have lent by then stays lent.
		base, lendable = 1/float64(vms), (1-evenFraction)/float64(vms+1)
	}
	if !l.owner || now.Before(l.ownerFrom) {
		base, lendable = 0, 0
	}
	switch {
	case d.settled:
	case d.confirmed && (l.restarted || l.isCounted()):
		base, lendable = base*(1-exportFraction*(1-evenFraction)), lendable*(1-exportFraction)
	case l.restarted:
		base, lendable = base*evenFraction, 0
	default:
		base, lendable = 0, 0
	}
	if vms == d.vms && base == d.base {
		return
	}
	d.vms, d.base, d.lendable = vms, base, lendable
	l.updateShares(now)
}

// countOwners returns the number of VMs that own a part of the quotas, and zero while this
// VM does not know it.
func (l *Limiter) countOwners(now time.Time) int {
	vms := 0
	if l.owner {
		vms++
	}
	for source, p := range l.peers {
		if !p.heardAt.IsZero() && now.Sub(p.heardAt) > peerExpiry {
			delete(l.peers, source)
			continue
		}
		vms += p.count()
	}
	switch {
	case l.fleetKnown:
	case l.age(now) < startupPeriod:
		return 0
	default:
		vms = max(vms, l.opt.FleetSize)
	}
	return vms
}

// count returns the number of VMs that own a part of the quotas. All do while it is not
// known which.
func (p *peer) count() int {
	if p.VMs > 0 {
		return p.Owners
	}
	return p.report.VMs
}

// isSettled reports whether no loan of an earlier process of this VM can be in use: all
// VMs that could have one have confirmed a message of this process, or its time is over.
func (l *Limiter) isSettled(now time.Time) bool {
	if l.age(now) >= loanTime+clockMargin {
		return true
	}
	for source, p := range l.peers {
		if source == p.Region.Source() {
			return false
		}
	}
	return l.isConfirmed()
}

// isConfirmed reports whether all VMs of the own region that could have a loan of an earlier
// process of this VM have confirmed a message of this one.
func (l *Limiter) isConfirmed() bool {
	if !l.fleetKnown {
		return false
	}
	for source, p := range l.peers {
		c := l.ledger.contacts[source]
		if source != p.Region.Source() && (c == nil && p.VMs > 0 || c != nil && !c.confirmed) {
			return false
		}
	}
	return true
}

// SetRestarted tells that the VM is no new one, so that the others count it already.
func (l *Limiter) SetRestarted(now time.Time) {
	l.restarted, l.peersChanged = true, true
	l.updateBase(now)
}

// SetCounted tells that all VMs of another region know this one.
func (l *Limiter) SetCounted(region sassafrastray.RegionName, now time.Time) {
	if l.countedBy[region] {
		return
	}
	if l.countedBy == nil {
		l.countedBy = make(map[sassafrastray.RegionName]bool)
	}
	l.countedBy[region], l.peersChanged = true, true
	l.updateBase(now)
}

// isCounted reports whether all other regions count this VM among those that own a part of
// quotas. VMs of the own region do that when they confirm its first message.
func (l *Limiter) isCounted() bool {
	for source, p := range l.peers {
		if source == p.Region.Source() && !l.countedBy[p.Region] {
			return false
		}
	}
	return true
}

// updateShares computes the VM's share of all quotas.
func (l *Limiter) updateShares(now time.Time) {
	for name, t := range l.teams {
		l.updateShare(t, name, now)
	}
}

// updateSharesOf computes the VM's share of the quotas that loans are of.
func (l *Limiter) updateSharesOf(now time.Time, loans ...Loans) {
	for _, some := range loans {
		for name := range some {
			if t := l.teams[name]; t != nil {
				l.updateShare(t, name, now)
			}
		}
	}
}

// updateShare computes the VM's share of the team's quota: what it owns and has not lent,
// and what it has borrowed and not passed on.
func (l *Limiter) updateShare(t *team, name sassafrastray.TeamName, now time.Time) {
	d := &l.ledger
	own := max(0, d.base-d.lent[name])
	if own != t.own {
		t.own, t.owned = own, append(t.owned, ownedPart{now, own})
	}
	t.share = own + max(0, d.borrowed[name]-d.passed[name])
	refill, most := l.limits(t)
	t.resize(t.share*refill, bucketCapacity(t.share, most, d.vms), now)
	left := l.opt.Window - now.Sub(t.emptyAt)
	if !t.indebted && left > 0 && l.owner && l.isScattered(t) {
		// An earlier process may have admitted as much in advance.
		t.indebted = true
		t.tokens -= min(maxAdvance, refill*left.Seconds()/float64(d.vms))
	}
}

// isScattered reports whether the buckets of the owners can hold so few tokens of a quota
// that they admit requests in advance.
func (l *Limiter) isScattered(t *team) bool {
	_, most := l.limits(t)
	return most < scatteredTokens*float64(l.ledger.vms)
}

// limit returns the most requests that the team may have within a window.
func (l *Limiter) limit(t *team) float64 {
	return (1+l.opt.Overshoot)*(t.rate*l.opt.Window.Seconds()+t.burst) + float64(l.opt.OvershootRequests)
}

// limits returns what all VMs together refill the team's buckets with, in tokens per
// second, and the most that all buckets hold. In any window that is the team's limit.
func (l *Limiter) limits(t *team) (refill, most float64) {
	window := l.opt.Window.Seconds()
	limit := l.limit(t)
	refill = min((1+l.opt.Overshoot)*t.rate, maxBucketRefill*limit/window)
	return refill, limit - refill*window
}

// bucketCapacity returns the capacity of a bucket for a share, of the most that the
// buckets of all VMs hold. Each VM can hold a whole token, if there are enough.
func bucketCapacity(share, most float64, vms int) float64 {
	if n := float64(vms); share > 0 && most >= 2*n {
		return 1 + share*(most-n)
	}
	return share * most
}

package edge

import (
	"net/netip"
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/directory"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/placement"
)

const (
	// partnersPerRegion is the number of VMs in each other region to which a VM of a
	// large fleet sends heartbeats, so that one of them may fail.
	partnersPerRegion = 2

	// partnerAvoidTime is how long a VM that did not answer is not chosen as a
	// partner while others are available.
	partnerAvoidTime = 4 * time.Second

	// summaryReuse is how long the summary of the own region is reused for further
	// heartbeats. summaryLifetime is how long the summary of another region replaces
	// the figures of its VMs.
	summaryReuse    = 250 * time.Millisecond
	summaryLifetime = 4 * time.Second
)

// regionSummaries holds the summary of the own region, and when those of the others
// arrived. The control goroutine owns it.
type regionSummaries struct {
	// own is the summary of the own region, computed at ownAt.
	own   *gossip.Summary
	ownAt time.Time
	// receivedAt is when the latest summary of each other region was accepted, and
	// vmCounts the number of VMs that it covers.
	receivedAt map[sassafrastray.RegionName]time.Time
	vmCounts   map[sassafrastray.RegionName]int
}

func newRegionSummaries() *regionSummaries {
	return &regionSummaries{
		receivedAt: make(map[sassafrastray.RegionName]time.Time), vmCounts: make(map[sassafrastray.RegionName]int),
	}
}

func (v *VM) regionOf(vm sassafrastray.VM) sassafrastray.RegionName { return v.opt.Regions[vm.Domain] }

// heartbeatFor returns the heartbeat to send to a VM: with this VM's own figures, or
// for another region of a large fleet with the summary of this VM's region.
func (v *VM) heartbeatFor(h gossip.Heartbeat, to sassafrastray.VM, now time.Time) gossip.Heartbeat {
	if v.members.IsDirect(to) {
		return h
	}
	h.Uses, h.Evidence, h.Summary = nil, nil, v.regionSummary(h, now)
	return h
}

// regionSummary adds up the figures of the VMs of the own region.
func (v *VM) regionSummary(own gossip.Heartbeat, now time.Time) *gossip.Summary {
	if v.regions.own != nil && now.Sub(v.regions.ownAt) < summaryReuse {
		return v.regions.own
	}
	s := &gossip.Summary{Region: v.opt.Region}
	s.Digest, _ = v.fleetDigest(now)
	evidence := []rollout.Evidence{own.Evidence}
	s.Add(own.Report())
	for _, m := range v.members.View(now) {
		if h := v.heartbeats[m.VM.Name]; h != nil && !m.Suspect && v.members.IsDirect(m.VM) {
			s.Add(h.Report())
			evidence = append(evidence, h.Evidence)
			if h.Digest != s.Digest {
				s.Digest = 0
			}
		}
	}
	s.Evidence = rollout.Sum(evidence)
	v.placement.do(func(t *placement.Table, now time.Time) { s.Shares = t.RegionReports(now) })
	v.regions.own, v.regions.ownAt = s, now
	return s
}

// updateRegion accepts the summary of another region. A summary of fewer VMs than a
// fresh one is dropped: a VM that is cut off from its own region knows little of it.
func (v *VM) updateRegion(s *gossip.Summary, now time.Time) {
	if digest, _ := v.fleetDigest(now); s.Digest == digest && digest != 0 {
		v.quotas.do(func(l *ratelimit.Limiter, now time.Time) { l.SetCounted(s.Region, now) })
	}
	if now.Sub(v.regions.receivedAt[s.Region]) < 2*heartbeatInterval && s.VMs < v.regions.vmCounts[s.Region] {
		return
	}
	v.regions.receivedAt[s.Region], v.regions.vmCounts[s.Region] = now, s.VMs
	v.quotas.do(func(l *ratelimit.Limiter, now time.Time) {
		l.UpdatePeer(ratelimit.Peer{Source: s.Region.Source(), Region: s.Region}, s.Report, now)
	})
	v.rollouts.do(func(t *rollout.Tracker, _ time.Time) { t.Receive(s.Region.Source(), s.Evidence) })
	v.placement.do(func(t *placement.Table, now time.Time) { t.ReceiveRegion(s.Region, s.Shares, now) })
}

// hasSummary reports whether a recent summary of the VM's region includes its
// figures.
func (v *VM) hasSummary(vm sassafrastray.VM, now time.Time) bool {
	return now.Sub(v.regions.receivedAt[v.regionOf(vm)]) < summaryLifetime
}

// findOwners finds the VMs that own a part of quotas: those that look-ups would name if all
// were ready. All VMs that know the same ones find the same owners.
func (v *VM) findOwners(others []sassafrastray.VM) {
	var vms []directory.VM
	for _, m := range append(slices.Clone(others), v.self) {
		vms = append(vms, directory.VM{Address: m.CallerAddress, Domain: m.Domain, Region: v.regionOf(m), Ready: true, Size: m.Cores})
	}
	slices.SortFunc(vms, func(a, b directory.VM) int { return a.Address.Compare(b.Address) })
	named := make(map[sassafrastray.RegionName][]netip.AddrPort)
	for i := range vms {
		if r := vms[i].Region; named[r] == nil {
			named[r] = directory.Select(vms, r, nil, v.members.Large())
		}
	}
	v.owners = make(map[sassafrastray.VMName]bool, len(others)+1)
	for _, m := range append(slices.Clone(others), v.self) {
		v.owners[m.Name] = slices.Contains(named[v.regionOf(m)], m.CallerAddress)
	}
}

// ownedParts returns how many parts of each quota a VM owns. One that is not known yet owns
// one.
func (v *VM) ownedParts(name sassafrastray.VMName) int {
	if owns, known := v.owners[name]; known && !owns {
		return 0
	}
	return 1
}

// updatePeerSizes sets the VMs that may admit requests in the quotas: one by one, or
// for the other regions of a large fleet one count per region.
func (v *VM) updatePeerSizes(others []sassafrastray.VM) {
	v.findOwners(others)
	remote, owners := make(map[sassafrastray.RegionName]int), make(map[sassafrastray.RegionName]int)
	for _, m := range others {
		if !v.members.IsDirect(m) {
			remote[v.regionOf(m)]++
			owners[v.regionOf(m)] += v.ownedParts(m.Name)
		}
	}
	v.quotas.do(func(l *ratelimit.Limiter, now time.Time) {
		l.SetOwner(v.ownedParts(v.self.Name) > 0, now)
		for _, m := range others {
			if v.members.IsDirect(m) {
				l.SetPeer(v.quotaPeer(m))
			} else {
				l.RemovePeer(m.Name.Source())
			}
		}
		for _, r := range v.opt.Regions {
			if n := remote[r]; n > 0 {
				l.SetPeer(ratelimit.Peer{Source: r.Source(), Region: r, VMs: n, Owners: owners[r]})
			} else {
				l.RemovePeer(r.Source())
			}
		}
	})
	v.rollouts.do(func(t *rollout.Tracker, _ time.Time) {
		for _, m := range others {
			if !v.members.IsDirect(m) {
				t.Forget(m.Name.Source())
			}
		}
	})
}

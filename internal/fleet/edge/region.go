package edge

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/neighbor"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/rollout/rollout"
)

const (
	// partners is how many VMs of each other region a VM of a large fleet
	// speaks to, so that one of them may be gone.
	partners = 2

	// avoidTime is how long a VM that did not answer is not spoken to as a
	// partner while others are there.
	avoidTime = 4 * time.Second

	// summaryAge is how long a region's sum is used for several heartbeats,
	// and keepSummary how long it takes the place of its VMs' own figures.
	summaryAge  = 250 * time.Millisecond
	keepSummary = 4 * time.Second
)

// regions is what a VM of a large fleet knows of the regions. The control
// goroutine owns it.
type regions struct {
	// own is the sum over the own region as of made.
	own  *neighbor.Summary
	made time.Time
	// heard is when a sum of another region was last taken in, and vms on how
	// many VMs it rests.
	heard map[sassafrastray.RegionName]time.Time
	vms   map[sassafrastray.RegionName]int
}

func newRegions() *regions {
	return &regions{
		heard: make(map[sassafrastray.RegionName]time.Time), vms: make(map[sassafrastray.RegionName]int),
	}
}

func (v *VM) regionOf(vm sassafrastray.VM) sassafrastray.RegionName { return v.opt.Regions[vm.Domain] }

// address turns a heartbeat into what a VM of the region is told: the VM's own
// figures, or the sum of its region.
func (v *VM) address(b neighbor.Beat, to sassafrastray.VM, now time.Time) neighbor.Beat {
	if v.members.Near(to) {
		return b
	}
	b.Uses, b.Evidence, b.Summary = nil, nil, v.summary(b, now)
	return b
}

// summary adds up what the VMs of the own region tell.
func (v *VM) summary(own neighbor.Beat, now time.Time) *neighbor.Summary {
	if v.regions.own != nil && now.Sub(v.regions.made) < summaryAge {
		return v.regions.own
	}
	s := &neighbor.Summary{Region: v.opt.Region}
	evidence := []rollout.Evidence{own.Evidence}
	s.Add(own.Report())
	for _, m := range v.members.View(now) {
		if b := v.beats[m.VM.Name]; b != nil && !m.Suspect && v.members.Near(m.VM) {
			s.Add(b.Report())
			evidence = append(evidence, b.Evidence)
		}
	}
	s.Evidence = rollout.Sum(evidence)
	v.regions.own, v.regions.made = s, now
	return s
}

// hearRegion takes in the sum of another region, unless a better one is fresh: a
// VM that is cut off from its own region knows little of it.
func (v *VM) hearRegion(s *neighbor.Summary, now time.Time) {
	if now.Sub(v.regions.heard[s.Region]) < 2*beatEvery && s.VMs < v.regions.vms[s.Region] {
		return
	}
	v.regions.heard[s.Region], v.regions.vms[s.Region] = now, s.VMs
	v.quotas.do(func(q *ratelimit.Limiter, now time.Time) {
		q.UpdatePeer(s.Region.Source(), s.Report, now)
	})
	v.rollouts.do(func(d *rollout.Tracker, _ time.Time) { d.Receive(s.Region.Source(), s.Evidence) })
}

// summed tells whether the figures of a VM come with the sum of its region.
func (v *VM) summed(vm sassafrastray.VM, now time.Time) bool {
	return now.Sub(v.regions.heard[v.regionOf(vm)]) < keepSummary
}

// count tells the quotas of all VMs that may admit requests: one by one, or in a
// large fleet those of other regions together.
func (v *VM) count(others []sassafrastray.VM) {
	away := make(map[sassafrastray.RegionName]int)
	for _, m := range others {
		if !v.members.Near(m) {
			away[v.regionOf(m)]++
		}
	}
	v.quotas.do(func(q *ratelimit.Limiter, _ time.Time) {
		for _, m := range others {
			if v.members.Near(m) {
				q.SetPeerSize(m.Name.Source(), 1)
			} else {
				q.RemovePeer(m.Name.Source())
			}
		}
		for _, r := range v.opt.Regions {
			if n := away[r]; n > 0 {
				q.SetPeerSize(r.Source(), n)
			} else {
				q.RemovePeer(r.Source())
			}
		}
	})
	v.rollouts.do(func(d *rollout.Tracker, _ time.Time) {
		for _, m := range others {
			if !v.members.Near(m) {
				d.Forget(m.Name.Source())
			}
		}
	})
}

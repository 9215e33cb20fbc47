package edge

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
	"sassafrastray/internal/fleet/neighbor"
	"sassafrastray/internal/limit/allotment"
	"sassafrastray/internal/rollout/canary"
)

const (
	// directFleet is the number of VMs up to which all VMs speak to each other.
	// In a larger fleet a VM speaks to those of its own region and to some of
	// each other region, and the regions tell each other sums: the messages
	// between regions then grow with the fleet and not with its square.
	directFleet = 24

	// partners is how many VMs of each other region a VM speaks to, so that
	// one of them may be gone.
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
	// failed is when a VM last did not answer.
	failed map[sassafrastray.VMName]time.Time
}

func newRegions() *regions {
	return &regions{
		heard: make(map[sassafrastray.RegionName]time.Time), vms: make(map[sassafrastray.RegionName]int),
		failed: make(map[sassafrastray.VMName]time.Time),
	}
}

// large tells whether the fleet is too large for all VMs to speak to each other.
func (v *VM) large() bool { return len(v.members.Known()) >= directFleet }

func (v *VM) regionOf(vm sassafrastray.VM) sassafrastray.RegionName { return v.opt.Regions[vm.Domain] }

// sum is the name under which quotas and rollouts keep the sum of a region.
func sum(r sassafrastray.RegionName) sassafrastray.VMName { return "region/" + sassafrastray.VMName(r) }

// speakTo returns the VMs of the next round of heartbeats: all of the own region
// and the partners in others. Urgent news goes to the own region only; others
// get it with the next sum.
func (v *VM) speakTo(all []sassafrastray.VM, urgent bool, now time.Time) []sassafrastray.VM {
	if !v.large() {
		return all
	}
	var to []sassafrastray.VM
	away := make(map[sassafrastray.RegionName][]sassafrastray.VM)
	for _, m := range all {
		if r := v.regionOf(m); r == v.opt.Region {
			to = append(to, m)
		} else {
			away[r] = append(away[r], m)
		}
	}
	if urgent {
		return to
	}
	for _, list := range away {
		to = append(to, v.partners(list, now)...)
	}
	return to
}

// partners returns the VMs of another region that this one speaks to. Each VM
// has others, so that the messages spread, and keeps them while they answer.
func (v *VM) partners(list []sassafrastray.VM, now time.Time) []sassafrastray.VM {
	rank := func(m sassafrastray.VM) uint64 {
		return xxhash.Sum64String(string(v.self.Name) + " " + string(m.Name))
	}
	avoided := func(m sassafrastray.VM) int {
		if now.Sub(v.regions.failed[m.Name]) < avoidTime {
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(a, b sassafrastray.VM) int {
		return cmp.Or(cmp.Compare(avoided(a), avoided(b)), cmp.Compare(rank(a), rank(b)))
	})
	return list[:min(partners, len(list))]
}

// address turns a heartbeat into what a VM of the region is told: the VM's own
// figures, or the sum of its region.
func (v *VM) address(b neighbor.Beat, to sassafrastray.VM, now time.Time) neighbor.Beat {
	if r := v.regionOf(to); r == "" || r == v.opt.Region || !v.large() {
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
	s := &neighbor.Summary{Region: v.opt.Region, Uses: allotment.Uses{}}
	var evidence []canary.Evidence
	add := func(b *neighbor.Beat) {
		s.VMs++
		if b.Idle {
			s.Idle++
		}
		for team, u := range b.Uses {
			have := s.Uses[team]
			s.Uses[team] = allotment.Use{Demand: have.Demand + u.Demand, Admitted: have.Admitted + u.Admitted}
		}
		evidence = append(evidence, b.Evidence)
	}
	add(&own)
	for _, m := range v.members.View(now) {
		if b := v.beats[m.VM.Name]; b != nil && !m.Suspect && v.regionOf(m.VM) == v.opt.Region {
			add(b)
		}
	}
	s.Evidence = canary.Sum(evidence)
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
	v.quotas.do(func(q *allotment.Book, now time.Time) {
		q.Heard(sum(s.Region), allotment.Report{Uses: s.Uses, VMs: s.VMs, Idle: s.Idle}, now)
	})
	v.rollouts.do(func(d *canary.Desk, _ time.Time) { d.Heard(sum(s.Region), s.Evidence) })
}

// summed tells whether the figures of a VM come with the sum of its region.
func (v *VM) summed(vm sassafrastray.VM, now time.Time) bool {
	return now.Sub(v.regions.heard[v.regionOf(vm)]) < keepSummary
}

// count tells the quotas of all VMs that may admit requests: one by one, or in a
// large fleet those of other regions together.
func (v *VM) count(others []sassafrastray.VM) {
	large := v.large()
	away := make(map[sassafrastray.RegionName]int)
	v.quotas.do(func(q *allotment.Book, _ time.Time) {
		for _, m := range others {
			r := v.regionOf(m)
			if !large || r == v.opt.Region {
				q.Known(m.Name, 1)
				continue
			}
			q.Forget(m.Name)
			away[r]++
		}
		for _, r := range v.opt.Regions {
			if n := away[r]; n > 0 {
				q.Known(sum(r), n)
			} else {
				q.Forget(sum(r))
			}
		}
	})
	if large {
		v.rollouts.do(func(d *canary.Desk, _ time.Time) {
			for _, m := range others {
				if v.regionOf(m) != v.opt.Region {
					d.Forget(m.Name)
				}
			}
		})
	}
}

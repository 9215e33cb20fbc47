package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

// Watchers is how many VMs of a failure domain watch the store for the whole
// domain. With two, one may fail.
const Watchers = 2

// Large reports whether the fleet is too large for every VM to send heartbeats
// to every other.
func (t *Table) Large() bool { return len(t.entries) >= t.opt.MaxDirect }

// regional reports whether VMs send heartbeats to their own region and to
// partners in the others.
func (t *Table) regional() bool { return t.Large() && t.opt.Regions != nil }

// IsDirect reports whether this VM sends heartbeats to a VM without choosing it
// as a partner: any VM if the fleet is not split by region, otherwise one of
// the own region.
func (t *Table) IsDirect(vm sassafrastray.VM) bool {
	return !t.regional() || t.opt.Regions[vm.Domain] == t.opt.Regions[t.self.Domain]
}

// UrgentTargets returns the VMs to notify of a change that can't wait for the
// next round: all direct ones. VMs of other regions learn of it in the next
// round.
func (t *Table) UrgentTargets() []sassafrastray.VM {
	var to []sassafrastray.VM
	for _, e := range t.sorted() {
		if t.IsDirect(e.heartbeat.VM) {
			to = append(to, e.heartbeat.VM)
		}
	}
	return to
}

// MarkUnanswered records that a VM did not answer a heartbeat. Others are
// preferred as partners for a while.
func (t *Table) MarkUnanswered(name sassafrastray.VMName, now time.Time) {
	if e := t.entries[name]; e != nil {
		e.unansweredAt = now
	}
}

// directTargets returns the VMs of the next round in a fleet that is not
// sparse: all of them, or the direct ones and the partners in other regions. A
// heartbeat and its answer inform both VMs, so VMs with a recent heartbeat are
// left out.
func (t *Table) directTargets(now time.Time) []sassafrastray.VM {
	var to []*entry
	remote := make(map[sassafrastray.RegionName][]*entry)
	for _, e := range t.sorted() {
		if t.IsDirect(e.heartbeat.VM) {
			to = append(to, e)
		} else {
			r := t.opt.Regions[e.heartbeat.VM.Domain]
			remote[r] = append(remote[r], e)
		}
	}
	for _, list := range remote {
		to = append(to, t.partners(list, now)...)
	}
	to = slices.DeleteFunc(to, func(e *entry) bool { return !e.lastSeen.IsZero() && now.Sub(e.lastSeen) < t.opt.QuietPeriod })
	return vms(to)
}

// partners returns the VMs of another region to which this one sends
// heartbeats. Each VM has a different order of preference, so that the load is
// spread, and keeps its partners as long as they answer.
func (t *Table) partners(list []*entry, now time.Time) []*entry {
	order := func(e *entry) uint64 {
		return xxhash.Sum64String(string(t.self.Name) + " " + string(e.heartbeat.VM.Name))
	}
	avoided := func(e *entry) int {
		if !e.unansweredAt.IsZero() && now.Sub(e.unansweredAt) < t.opt.AvoidFor {
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(avoided(a), avoided(b)), cmp.Compare(order(a), order(b)))
	})
	return list[:min(t.opt.PartnersPerRegion, len(list))]
}

package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

// Watchers is how many VMs of a failure domain watch the store for all of it, so
// that one of them may be gone.
const Watchers = 2

// Large reports whether the fleet is too large for every VM to send heartbeats to
// every other.
func (t *Table) Large() bool { return len(t.entries) >= t.opt.Direct }

// regional reports whether VMs speak to their own region and to partners.
func (t *Table) regional() bool { return t.Large() && t.opt.Regions != nil }

// Near reports whether a VM is one that this VM hears itself if it lives.
func (t *Table) Near(vm sassafrastray.VM) bool {
	return !t.regional() || t.opt.Regions[vm.Domain] == t.opt.Regions[t.self.Domain]
}

// Urgent returns the VMs to which news goes that can't wait for the next round:
// all that are near. VMs of other regions hear of it in the next round.
func (t *Table) Urgent() []sassafrastray.VM {
	var to []sassafrastray.VM
	for _, e := range t.sorted() {
		if t.Near(e.beat.VM) {
			to = append(to, e.beat.VM)
		}
	}
	return to
}

// Unanswered notes that a VM did not answer a heartbeat. Others take its place as
// partners for a while.
func (t *Table) Unanswered(name sassafrastray.VMName, now time.Time) {
	if e := t.entries[name]; e != nil {
		e.unanswered = now
	}
}

// targets returns the VMs of the next round in a fleet that is not sparse: all of
// them, or those that are near and the partners in other regions. A heartbeat
// and its answer tell both VMs, so one that was just heard of is left out.
func (t *Table) targets(now time.Time) []sassafrastray.VM {
	var to []*entry
	away := make(map[sassafrastray.RegionName][]*entry)
	for _, e := range t.sorted() {
		if t.Near(e.beat.VM) {
			to = append(to, e)
		} else {
			r := t.opt.Regions[e.beat.VM.Domain]
			away[r] = append(away[r], e)
		}
	}
	for _, list := range away {
		to = append(to, t.partners(list, now)...)
	}
	to = slices.DeleteFunc(to, func(e *entry) bool { return !e.heard.IsZero() && now.Sub(e.heard) < t.opt.Quiet })
	return vms(to)
}

// partners returns the VMs of another region that this one speaks to. Each VM has
// others, so that the messages spread, and keeps them while they answer.
func (t *Table) partners(list []*entry, now time.Time) []*entry {
	order := func(e *entry) uint64 {
		return xxhash.Sum64String(string(t.self.Name) + " " + string(e.beat.VM.Name))
	}
	avoided := func(e *entry) int {
		if !e.unanswered.IsZero() && now.Sub(e.unanswered) < t.opt.Avoid {
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(avoided(a), avoided(b)), cmp.Compare(order(a), order(b)))
	})
	return list[:min(t.opt.Partners, len(list))]
}

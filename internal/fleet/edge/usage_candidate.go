package edge

import (
	"cmp"
	"slices"
	"time"

	"sassafrastray"
)

// candidates returns the VMs that may report, the ones with the most cores first. The VM
// itself is among them if it is live and reaches the store. VMs in other regions of a large
// fleet, which may send no heartbeats to this one, are if they answer to its counts, and
// the holder is unless it is known to be silent. A VM that fails to reach the platform is
// none, except for the holder, which releases the duty itself if another VM can take it.
func (v *VM) candidates(now time.Time) []sassafrastray.VM {
	var list []sassafrastray.VM
	direct := make(map[sassafrastray.VMName]bool)
	claim := v.usage.machine.Claim(now)
	holder := claim.Holder
	if v.self.State == sassafrastray.VMLive && v.replica.FailingFor(now) == 0 && v.pauses.mayLead(now) {
		list = append(list, v.self)
	}
	for _, m := range v.members.View(now) {
		h := v.heartbeats[m.VM.Name]
		if h == nil || h.Claim == nil || h.Claim.Failing && (m.VM.Name != holder || claim.Released) {
			continue
		}
		if !m.Suspect && h.StoreReachable && h.VM.State == sassafrastray.VMLive {
			list = append(list, m.VM)
			direct[m.VM.Name] = true
		}
	}
	for _, vm := range v.members.Known() {
		if v.members.IsDirect(vm) || vm.State != sassafrastray.VMLive || direct[vm.Name] {
			continue
		}
		c := v.usage.contacts[vm.Name]
		if c != nil && c.answers(now) || vm.Name == holder && (c == nil || !c.failed(now)) {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, byCores)
	return list
}

// byCores orders VMs by their capacity, the greatest first, and then by name.
func byCores(a, b sassafrastray.VM) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
}

// answers reports whether the VM has answered lately.
func (c *usageContact) answers(now time.Time) bool {
	return !c.answered.IsZero() && now.Sub(c.answered) <= contactTimeout
}

// failed reports whether the VM was asked for a while and does not answer.
func (c *usageContact) failed(now time.Time) bool {
	return now.Sub(c.since) > contactTimeout && !c.answers(now)
}

func names(vms []sassafrastray.VM) []sassafrastray.VMName {
	list := make([]sassafrastray.VMName, len(vms))
	for i := range vms {
		list[i] = vms[i].Name
	}
	return list
}

// suspect reports whether nothing was heard of a VM for too long.
func (v *VM) suspect(name sassafrastray.VMName, now time.Time) bool {
	if name == v.usage.machine.Claim(now).Holder {
		return v.suspectHolder(name, now)
	}
	c := v.usage.contacts[name]
	heard := v.hears(name, now) || c != nil && c.answers(now) || now.Sub(v.usage.heard[name]) <= contactTimeout
	return name != v.self.Name && !heard
}

// hears reports whether the VM sends heartbeats to this one. The set of those that do is
// built once for each time, since a fleet may have a thousand VMs.
func (v *VM) hears(name sassafrastray.VMName, now time.Time) bool {
	u := v.usage
	if u.hearing == nil || !u.hearingAt.Equal(now) {
		u.hearing, u.hearingAt = make(map[sassafrastray.VMName]bool), now
		for _, m := range v.members.View(now) {
			u.hearing[m.VM.Name] = !m.Suspect
		}
	}
	return u.hearing[name]
}

// suspectHolder reports whether a VM has been silent for too long to hold the duty.
func (v *VM) suspectHolder(name sassafrastray.VMName, now time.Time) bool {
	u := v.usage
	if name == v.self.Name {
		return false
	}
	vm, known := v.members.Find(name)
	switch {
	case known && v.leaves(vm, now):
		if u.leavingSince[name].IsZero() {
			u.leavingSince[name] = now
		}
		return now.Sub(u.leavingSince[name]) > leavingGrace
	case known && !v.silentHolder(vm, now):
		delete(u.silentSince, name)
		delete(u.leavingSince, name)
		return false
	}
	if u.silentSince[name].IsZero() {
		u.silentSince[name] = now
	}
	return v.hearsMostRegions(now) || now.Sub(u.silentSince[name]) > minorityWait
}

// leaves reports whether a VM says that it leaves. The list of VMs is not asked where
// heartbeats come: it may mean an earlier process of the VM for some seconds.
func (v *VM) leaves(vm sassafrastray.VM, now time.Time) bool {
	if h := v.heartbeats[vm.Name]; h != nil && v.hears(vm.Name, now) {
		return h.VM.State == sassafrastray.VMLeaving
	}
	return vm.State == sassafrastray.VMLeaving
}

// silentHolder reports whether nothing was heard of a VM. Of a VM in another region of a
// large fleet, which may send no heartbeats to this one, the answers to the counts tell.
func (v *VM) silentHolder(vm sassafrastray.VM, now time.Time) bool {
	if v.hears(vm.Name, now) {
		return false
	}
	if v.members.IsDirect(vm) {
		return true
	}
	c := v.usage.contacts[vm.Name]
	return c != nil && c.failed(now)
}

// hearsMostRegions reports whether this VM hears of VMs in at least half of the regions in
// which VMs are known.
func (v *VM) hearsMostRegions(now time.Time) bool {
	known, heard := map[sassafrastray.RegionName]bool{v.opt.Region: true}, map[sassafrastray.RegionName]bool{v.opt.Region: true}
	for _, vm := range v.members.Known() {
		known[v.regionOf(vm)] = true
	}
	for _, m := range v.members.View(now) {
		if !m.Suspect {
			heard[v.regionOf(m.VM)] = true
		}
	}
	return 2*len(heard) >= len(known)
}

package edge

import (
	"maps"
	"slices"
	"sync"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/duty"
	"sassafrastray/internal/limit/usage"
)

const (
	// usageFlushTimeout bounds the last message of a VM that stops.
	usageFlushTimeout = 400 * time.Millisecond

	// maxFlushTargets bounds the VMs that get the last message where neither the holder
	// nor the next candidate is known.
	maxFlushTargets = 3
)

// sendUsage sends the counts of the windows that are not finished to the VMs that need
// them.
func (v *VM) sendUsage(now time.Time) {
	u := v.usage
	to := v.usageTargets(now)
	maps.DeleteFunc(u.contacts, func(_ sassafrastray.VMName, c *usageContact) bool { return now.Sub(c.asked) > contactLifetime })
	maps.DeleteFunc(u.heard, func(_ sassafrastray.VMName, at time.Time) bool { return now.Sub(at) > contactLifetime })
	holder := u.machine.Claim(now).Holder
	other := func(vm sassafrastray.VMName, _ time.Time) bool { return vm != holder }
	maps.DeleteFunc(u.silentSince, other)
	maps.DeleteFunc(u.leavingSince, other)
	if len(to) == 0 {
		return
	}
	m := v.usageMessage(now, false)
	for _, vm := range to {
		v.sendUsageTo(vm, m, now)
	}
}

// sendUsageTo sends a message with counts, unless one is on its way.
func (v *VM) sendUsageTo(vm sassafrastray.VM, m *usage.Message, now time.Time) {
	c := v.usage.contacts[vm.Name]
	if c == nil {
		c = &usageContact{since: now}
		v.usage.contacts[vm.Name] = c
	}
	if c.asked = now; c.busy {
		return
	}
	c.busy = v.spawn(func() {
		claim, err := v.client.Usage(vm.PeerAddress, m, heartbeatTimeout)
		v.post(func(now time.Time) { v.finishUsageMessage(vm.Name, claim, err, now) })
	})
}

func (v *VM) finishUsageMessage(to sassafrastray.VMName, claim duty.Claim, err error, now time.Time) {
	if c := v.usage.contacts[to]; c != nil {
		c.busy = false
		if err == nil {
			c.answered = now
		}
	}
	if err != nil {
		v.usage.metrics.messages.WithLabelValues("failed").Inc()
		return
	}
	v.usage.metrics.messages.WithLabelValues("ok").Inc()
	v.usage.machine.Hear(to, claim, now)
}

// usageMessage returns the counts of this VM and, of a collector, what it knows of its
// region. The last message of a VM is final.
func (v *VM) usageMessage(now time.Time, final bool) *usage.Message {
	u := v.usage
	finished := u.machine.Claim(now).Finished
	u.sequence++
	m := &usage.Message{VM: v.self.Name, Incarnation: u.incarnation, Region: v.opt.Region, Sequence: u.sequence}
	fleet := u.counts.now()
	u.counts.mu.Lock()
	m.Started, m.Windows = u.counts.counter.Started(), u.counts.counter.Windows(finished, fleet, final)
	u.counts.mu.Unlock()
	u.ledger.Receive(m, fleet)
	if v.collectsUsage(now) {
		m.Sums = u.ledger.RegionSums(v.opt.Region, finished, v.countedVMs(now))
	}
	return m
}

// totalUsage adds up what this VM knows of a window.
func (v *VM) totalUsage(window int64, now time.Time) (counts usage.Counts, covered, missing int) {
	v.usageMessage(now, false)
	return v.usage.ledger.Total(window, v.countedVMs(now))
}

// countedVMs returns the other VMs that this one hears of and that send it their counts.
func (v *VM) countedVMs(now time.Time) []sassafrastray.VMName {
	direct := v.usageDirect()
	if !direct && !v.collectsUsage(now) {
		return nil
	}
	var list []sassafrastray.VMName
	for _, m := range v.members.View(now) {
		if h := v.heartbeats[m.VM.Name]; h != nil && h.Claim != nil && (direct || v.regionOf(m.VM) == v.opt.Region) {
			list = append(list, m.VM.Name)
		}
	}
	return list
}

// usageDirect reports whether the fleet is so small that all VMs send their counts to the
// holder.
func (v *VM) usageDirect() bool { return len(v.members.Known())+1 <= directReporters }

// collectsUsage reports whether this VM is a collector of its region.
func (v *VM) collectsUsage(now time.Time) bool {
	return !v.usageDirect() && slices.Contains(names(v.collectors(now)), v.self.Name)
}

// collectors returns the first candidates of the own region.
func (v *VM) collectors(now time.Time) []sassafrastray.VM {
	list := slices.DeleteFunc(v.candidates(now), func(vm sassafrastray.VM) bool { return v.regionOf(vm) != v.opt.Region })
	return list[:min(collectorsPerRegion, len(list))]
}

// usageTargets returns the VMs to send counts to: the holder and the next candidate, or
// the collectors of the region. Collectors also send to each other.
func (v *VM) usageTargets(now time.Time) []sassafrastray.VM {
	if !v.usageDirect() && !v.collectsUsage(now) {
		return v.collectors(now)
	}
	var to []sassafrastray.VM
	claim := v.usage.machine.Claim(now)
	if !claim.Released && claim.Holder != "" && claim.Holder != v.self.Name {
		if vm, ok := v.members.Find(claim.Holder); ok && vm.Reachable() {
			to = append(to, vm)
		}
	}
	if vm, ok := v.nextHolder(claim, now); ok {
		to = append(to, vm)
	}
	if !v.usageDirect() {
		// Each collector knows the whole region.
		for _, vm := range v.collectors(now) {
			if vm.Name != v.self.Name && !slices.Contains(names(to), vm.Name) {
				to = append(to, vm)
			}
		}
	}
	return to
}

// nextHolder returns the VM, other than this one and the holder, that probably takes the
// duty next. All VMs of a fleet find the same one, so that it has all counts when it does.
func (v *VM) nextHolder(claim duty.Claim, now time.Time) (sassafrastray.VM, bool) {
	candidates := names(v.candidates(now))
	list := v.members.Known()
	slices.SortFunc(list, byCores)
	for _, vm := range list {
		if vm.Name == claim.Holder && !claim.Released || vm.State != sassafrastray.VMLive || !vm.Reachable() {
			continue
		}
		if c := v.usage.contacts[vm.Name]; slices.Contains(candidates, vm.Name) || !v.members.IsDirect(vm) && (c == nil || !c.failed(now)) {
			return vm, true
		}
	}
	return sassafrastray.VM{}, false
}

// flushTargets returns the VMs to send the last counts to. Where no VM is a
// candidate, they go to VMs that are live by their heartbeats, the holder if it is one.
func (v *VM) flushTargets(now time.Time) []sassafrastray.VM {
	if to := v.usageTargets(now); len(to) > 0 {
		return to
	}
	var live []sassafrastray.VM
	for _, m := range v.members.View(now) {
		if h := v.heartbeats[m.VM.Name]; h != nil && h.Claim != nil && !m.Suspect && h.VM.State == sassafrastray.VMLive {
			live = append(live, h.VM)
		}
	}
	holder := v.usage.machine.Claim(now).Holder
	if i := slices.IndexFunc(live, func(vm sassafrastray.VM) bool { return vm.Name == holder }); i >= 0 {
		return live[i : i+1]
	}
	slices.SortFunc(live, byCores)
	return live[:min(maxFlushTargets, len(live))]
}

// flushUsage sends the counts of a VM that stops once more.
func (v *VM) flushUsage() {
	if v.usage == nil {
		return
	}
	type flush struct {
		to []sassafrastray.VM
		m  *usage.Message
	}
	f := ask(v, func(now time.Time) *flush { return &flush{v.flushTargets(now), v.usageMessage(now, true)} })
	if f == nil {
		return
	}
	var all sync.WaitGroup
	for _, vm := range f.to {
		all.Go(func() {
			if _, err := v.client.Usage(vm.PeerAddress, f.m, usageFlushTimeout); err != nil {
				v.log.Warn("the last counts of usage were not taken", "peer", vm.Name, "error", err.Error())
			}
		})
	}
	all.Wait()
}

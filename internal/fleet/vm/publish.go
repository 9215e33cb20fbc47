package vm

import (
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/limit/place"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/rollout/evidence"
	"sassafrastray/internal/rollout/move"
	"sassafrastray/internal/traffic/entry"
	"sassafrastray/internal/traffic/lookup"
	"sassafrastray/internal/traffic/scheduler"
)

// applyConfig passes the configuration in force to all components.
func (v *VM) applyConfig(now time.Time) {
	c := v.conf.current
	v.slots.Do(func(s *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) {
		s.Configure(c, now)
		return nil, nil
	})
	ls := limits(c)
	v.quotas.do(func(l *quota.Limiter, now time.Time) { l.Configure(ls, c.Fleet.Domains, now) })
	v.samples.do(func(l *evidence.Ledger, now time.Time) { l.Configure(c.Services, now) })
	v.mover.Configure(c.Number, c.Services, now)
	places := 0
	for _, d := range c.Fleet.Domains {
		if d.Name == v.self.Domain {
			places = d.Places
		}
	}
	if places == 0 {
		v.log.Error("the configuration lacks this VM's failure domain", "domain", v.self.Domain)
	}
	v.stepPlace(place.Places{Count: places}, now)
	if v.faults != nil && v.settings.Faults.Delays {
		v.faults.SetDelays(delays(c))
	}
	v.pacer.Configure(c.Fleet.Links, c.Fleet.Domains)
	v.publish(now)
}

// delays returns how long a message travels between failure domains of
// different regions, by the configured links.
func delays(c *sassafrastray.Config) map[[2]sassafrastray.DomainName]time.Duration {
	out := make(map[[2]sassafrastray.DomainName]time.Duration)
	for _, a := range c.Fleet.Domains {
		for _, b := range c.Fleet.Domains {
			if l := c.Link(a.Region, b.Region); l != nil {
				out[[2]sassafrastray.DomainName{a.Name, b.Name}] = l.Delay
			}
		}
	}
	return out
}

// publish replaces the snapshot that requests read by one of the current state.
func (v *VM) publish(now time.Time) {
	c := v.conf.current
	if c == nil {
		return
	}
	view := v.members.View(now)
	vms := make(map[sassafrastray.VMName]sassafrastray.VM, len(view))
	live := make([]scheduler.Member, 0, len(view)+1)
	lookupMembers := make([]lookup.Member, 0, len(view)+1)
	for _, m := range view {
		region := c.RegionOf(m.VM.Domain)
		ready := v.heartbeats[m.VM.Name] != nil && v.heartbeats[m.VM.Name].Ready
		lookupMembers = append(lookupMembers, lookup.Member{VM: m.VM, Region: region, Weight: weight(ready), Suspect: m.Suspect})
		if m.Suspect {
			continue
		}
		vms[m.VM.Name] = m.VM
		if m.VM.State == sassafrastray.VMLive {
			live = append(live, scheduler.Member{VM: m.VM.Name, Domain: m.VM.Domain, Region: region})
		}
	}
	self := v.self
	self.State = v.state
	region := c.RegionOf(self.Domain)
	lookupMembers = append(lookupMembers, lookup.Member{VM: self, Region: region, Weight: weight(v.ready(now))})
	if v.state == sassafrastray.VMLive {
		live = append(live, scheduler.Member{VM: self.Name, Domain: self.Domain, Region: region})
	}
	v.slots.Do(func(s *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) {
		s.SetMembers(live, now)
		return nil, nil
	})
	v.metrics.members.Set(float64(len(live)))
	v.setLeaderCandidates(live, now)
	v.handler.Update(&entry.Snapshot{
		Config: c, Routes: v.conf.routes, Keys: v.conf.keys,
		Lookup: v.lookups(lookupMembers, region),
		Choice: v.newChoice(view, now),
		Splits: v.mover.Table(), VMs: vms, State: v.state, Confirmed: v.conf.confirmed,
	})
}

// setLeaderCandidates passes the VMs that may lead moves to the mover when they
// have changed.
func (v *VM) setLeaderCandidates(live []scheduler.Member, now time.Time) {
	names := make([]sassafrastray.VMName, len(live))
	for i, m := range live {
		names[i] = m.VM
	}
	slices.Sort(names)
	if !slices.Equal(names, v.leaderCandidates) {
		v.leaderCandidates = names
		v.stepMoves(move.Members{VMs: names}, now)
	}
}

// weight returns a VM's relative share of the callers. Look-ups return a VM of
// weight 0 only if no other is ready.
func weight(ready bool) int {
	if ready {
		return 1
	}
	return 0
}

// loads returns the loads of all live VMs, this one's included.
func (v *VM) loads(now time.Time) []scheduler.Load {
	out := v.slots.Load()
	for _, m := range v.members.View(now) {
		if h := v.heartbeats[m.VM.Name]; h != nil && !m.Suspect {
			out = append(out, h.Loads...)
		}
	}
	return out
}

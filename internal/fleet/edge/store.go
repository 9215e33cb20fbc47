package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/replica"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/operator/apikey"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/ingress"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/route"
)

const (
	// behindTolerance is how long another VM may have later changes before this one
	// requests its copy, and copyInterval the minimum interval between two copies.
	behindTolerance = 400 * time.Millisecond
	copyInterval    = 700 * time.Millisecond

	// copyRetry is how long after a failed copy other VMs are asked first.
	copyRetry = 10 * time.Second
)

// applyBatch applies a batch of the store to the replica and forwards it to other
// VMs.
func (v *VM) applyBatch(b sassafrastray.Batch, now time.Time) {
	outage := v.replica.FailingFor(now)
	difference, first := v.replica.Difference(b), !v.replica.Loaded(b.Topic)
	c := v.replica.Apply(b, now)
	if c.Returned {
		v.wakeFollowers(b.Topic)
	}
	v.recordEra(b.Position(), b.Topic)
	v.forwardUpdate(difference, c, first, now)
	v.applyChange(c, origin{way: wayStore}, now)
	if outage > 0 && v.replica.FailingFor(now) == 0 {
		v.log.Info(message.StoreReachable, "after", outage)
	}
}

// applyChange updates all components after a change of the replica.
func (v *VM) applyChange(c replica.Change, from origin, now time.Time) {
	for _, e := range c.Unreadable[:min(len(c.Unreadable), maxLoggedNames)] {
		v.log.Warn("an entry of the store can't be read", "name", e.Name, "revision", e.Revision, "fault", e.DecodeError, "count", len(c.Unreadable))
	}
	for _, e := range c.Outdated[:min(len(c.Outdated), maxLoggedNames)] {
		v.log.Info("an entry of the store is older than the known one", "name", e.Name, "revision", e.Revision)
	}
	for _, k := range c.Kept[:min(len(c.Kept), maxLoggedNames)] {
		v.log.Info("an entry that the store lacks is kept", "topic", k.Topic, "name", k.Name, "way", from.way, "from", from.peer,
			"outage", now.Sub(k.Outage), "for", k.Until.Sub(now), "count", len(c.Kept))
	}
	if c.Repeated > 0 {
		v.log.Info("the store repeated changes that are known", "count", c.Repeated)
	}
	if c.Config {
		v.prepareConfig(from, now)
	}
	if c.Backends || c.Evacuations {
		backends, evacuated := v.replica.Backends(), v.replica.Evacuated()
		diff := v.backends.update(backends)
		v.log.Info(message.ServersChanged, "count", len(backends), "added", diff.added, "removed", diff.removed,
			"leaving", diff.leaving, "evacuated", slices.Sorted(maps.Keys(evacuated)),
			"revision", v.replica.Position(sassafrastray.TopicBackends).Revision)
		v.placement.do(func(t *placement.Table, now time.Time) { t.Update(backends, evacuated, now) })
	}
	if c.Rollouts {
		v.updateRollouts()
	}
	if c.Rollouts || c.Backends {
		v.updateServerCounts()
	}
	v.activateConfig(now)
}

// prepareConfig applies the latest configuration to placement, quotas and splits,
// and prepares the snapshot for request handlers.
func (v *VM) prepareConfig(from origin, now time.Time) {
	c := v.replica.Config()
	v.log.Info(message.ConfigApplied, "config", c.Number, "routes", len(c.Routes), "teams", len(c.Fleet.Teams),
		"revision", v.replica.Position(sassafrastray.TopicConfig).Revision, "way", from.way, "from", from.peer, "behind", v.currency.behind(now))
	for _, note := range c.Notes {
		v.log.Warn("in the configuration", "config", c.Number, "note", note)
	}
	v.metrics.config.Set(float64(c.Number))
	v.placement.do(func(t *placement.Table, _ time.Time) { t.Configure(c.Services) })
	v.quotas.do(func(l *ratelimit.Limiter, now time.Time) { l.Configure(c.Fleet.Teams, now) })
	v.splits.Reset()
	teams := make(map[sassafrastray.TeamName]*sassafrastray.Team, len(c.Fleet.Teams))
	for i := range c.Fleet.Teams {
		teams[c.Fleet.Teams[i].Name] = &c.Fleet.Teams[i]
	}
	v.pendingSnapshot = &ingress.Snapshot{Config: c, Hosts: route.NewHosts(c), Keys: apikey.NewTable(c), Teams: teams}
	v.activateConfig(now)
}

// activateConfig passes the pending configuration to request handlers, once the VM
// also has the rollouts and evacuations: without them a request could be sent to a
// version or a failure domain that must not receive it.
func (v *VM) activateConfig(now time.Time) {
	if v.pendingSnapshot == nil || !v.replica.Complete() {
		return
	}
	v.handler.Update(v.pendingSnapshot)
	v.metrics.configInForce.Set(float64(v.pendingSnapshot.Config.Number))
	v.pendingSnapshot = nil
	v.updateLookups(now)
}

// updateRollouts applies the stored rollouts, and makes the new versions of
// completed ones the base versions.
func (v *VM) updateRollouts() {
	var done map[sassafrastray.ServiceName]sassafrastray.VersionName
	entries := v.replica.Rollouts()
	for name, e := range entries {
		v.log.Info(message.Rollout, "service", name, "to", e.Rollout.To, "state", e.Rollout.State, "share", e.Rollout.Share, "revision", e.Revision)
	}
	v.rollouts.do(func(t *rollout.Tracker, now time.Time) { done = t.Update(entries, now) })
	v.placement.do(func(t *placement.Table, _ time.Time) {
		for service, version := range done {
			t.SetBaseVersion(service, version)
		}
	})
}

// updateServerCounts updates the number of available backend servers of the
// rollouts' new versions.
func (v *VM) updateServerCounts() {
	backends, evacuated := v.replica.Backends(), v.replica.Evacuated()
	v.rollouts.do(func(t *rollout.Tracker, _ time.Time) {
		t.UpdateServers(func(s sassafrastray.ServiceName, version sassafrastray.VersionName) (ready, others int) {
			for i := range backends {
				b := &backends[i]
				switch {
				case b.Service != s || b.Leaving:
				case b.Version != version:
					others++
				case !evacuated[b.Domain]:
					ready++
				}
			}
			return ready, others
		})
	})
}

// checkStore updates the VM's roles and whether it watches the store. If another VM has
// had later changes for behindTolerance, it requests that VM's copy. It does so at once
// after a pause, and if it can't reach the store, which will not report them.
func (v *VM) checkStore(now time.Time) {
	failing := v.replica.FailingFor(now)
	v.metrics.storeUnreachable.Set(failing.Seconds())
	for _, t := range replica.Topics {
		if at := v.replica.HeardAt(t); !at.IsZero() {
			v.metrics.storeWordAge.WithLabelValues(string(t)).Set(now.Sub(at).Seconds())
		}
	}
	v.updateRoles(now)
	v.updateWatching(now)
	from := v.mostAdvancedPeer(now)
	if from == nil {
		v.behindSince = time.Time{}
		return
	}
	if v.behindSince.IsZero() {
		v.behindSince = now
	}
	waits := failing == 0 && v.pauses.mayLead(now) && now.Sub(v.behindSince) < behindTolerance
	if waits || v.copying || !v.isDue("copy", copyInterval, now) {
		return
	}
	if failing == 0 {
		v.log.Warn("another VM has a change that the store did not report", "from", from.Name)
		v.cancelWatches("")
	}
	v.copyFrom(*from, v.heartbeats[from.Name].Era)
}

// mostAdvancedPeer returns a VM whose replica is ahead of this one's by the most
// revisions, or nil if none is ahead. Those whose copy failed lately come after all others.
// Of several it returns any one, so that VMs which lack the same change don't all ask the
// same one.
func (v *VM) mostAdvancedPeer(now time.Time) *sassafrastray.VM {
	type rank struct {
		failed bool
		ahead  int64
	}
	better := func(a, b rank) bool {
		if a.failed != b.failed {
			return b.failed
		}
		return a.ahead > b.ahead
	}
	var best *sassafrastray.VM
	var most rank
	equal := 0
	for _, m := range v.members.View(now) {
		h := v.heartbeats[m.VM.Name]
		if h == nil || m.Suspect {
			continue
		}
		n := rank{now.Sub(v.copyFailedAt[m.VM.Name]) < copyRetry, v.replica.RevisionsBehind(h.Era, h.Latest)}
		switch {
		case n.ahead == 0:
		case best == nil || better(n, most):
			best, most, equal = &m.VM, n, 1
		case n == most:
			if equal++; v.rng.IntN(equal) == 0 {
				best = &m.VM
			}
		}
	}
	return best
}

// copyFrom requests and applies another VM's copy of the store, which is in the era.
func (v *VM) copyFrom(from sassafrastray.VM, era int64) {
	held := v.replica.Held(era)
	v.copying = v.spawn(func() {
		batches, err := v.client.Copy(from.PeerAddress, held, copyTimeout)
		v.post(func(now time.Time) {
			v.copying = false
			delete(v.copyFailedAt, from.Name)
			if err != nil {
				maps.DeleteFunc(v.copyFailedAt, func(_ sassafrastray.VMName, at time.Time) bool { return now.Sub(at) >= copyRetry })
				v.copyFailedAt[from.Name] = now
				v.log.Warn("copying the store from another VM failed", "from", from.Name, "error", err.Error())
				return
			}
			for _, b := range batches {
				v.recordEra(b.Position(), b.Topic)
				if c := v.replica.ApplyFromPeer(b, now); c.Config || c.Backends || c.Rollouts || c.Evacuations {
					v.log.Info(message.StoreCopyReceived, "from", from.Name, "topic", b.Topic, "revision", b.Revision)
					v.applyChange(c, origin{wayCopy, from.Name}, now)
				}
			}
		})
	})
}

// register registers the VM in the store, with retries until it succeeds.
func (v *VM) register() {
	defer v.loops.Done()
	for pause := minBackoff; v.ctx.Err() == nil; pause = min(maxBackoff, 2*pause) {
		existed, err := v.store.RegisterVM(v.ctx, v.opt.VM)
		v.metrics.store.WithLabelValues("register", sassafrastray.Outcome(err)).Inc()
		if err == nil {
			if existed {
				v.quotas.do(func(l *ratelimit.Limiter, now time.Time) { l.SetRestarted(now) })
			}
			return
		}
		v.log.Warn("the VM could not be registered", "error", err.Error())
		v.sleep(pause/2 + rand.N(pause))
	}
}

// readVMs reads the registered VMs. The list may be stale: heartbeats show which VMs
// are alive.
func (v *VM) readVMs() {
	v.spawn(func() {
		ctx, cancel := context.WithTimeout(v.ctx, copyTimeout)
		defer cancel()
		b, err := v.store.Read(ctx, sassafrastray.TopicVMs, true)
		v.metrics.store.WithLabelValues(string(sassafrastray.TopicVMs), sassafrastray.Outcome(err)).Inc()
		if err != nil {
			v.post(func(now time.Time) {
				v.log.Warn("the registered VMs could not be read", "error", err.Error())
				v.nextDue["list"] = now.Add(vmListRetry)
			})
			return
		}
		v.post(func(now time.Time) {
			v.recordEra(b.Position(), b.Topic)
			var vms []sassafrastray.VM
			for _, e := range b.Entries {
				if e.VM != nil {
					vms = append(vms, *e.VM)
				}
			}
			v.learnVMs(vms, now)
			if slices.ContainsFunc(vms, func(vm sassafrastray.VM) bool { return vm.Name == v.self.Name }) {
				v.quotas.setFleetKnown()
			}
			v.removeRegistrations(vms, now)
		})
	})
}

// removeRegistrations removes the registrations of expired VMs, if this VM is the
// first by name of the VMs that would receive their heartbeats.
func (v *VM) removeRegistrations(vms []sassafrastray.VM, now time.Time) {
	for _, vm := range vms {
		if vm.Name == v.self.Name || !v.silence.expired(vm.Name, now) || !v.members.IsDirect(vm) || !v.isFirst(now, v.members.IsDirect) {
			continue
		}
		v.spawn(func() {
			ctx, cancel := context.WithTimeout(v.ctx, writeTimeout)
			defer cancel()
			err := v.store.RemoveVM(ctx, vm.Name)
			v.metrics.store.WithLabelValues("retire", sassafrastray.Outcome(err)).Inc()
			if err != nil {
				v.log.Warn("removing the registration of an expired VM failed", "peer", vm.Name, "error", err.Error())
				return
			}
			v.log.Info("removed the registration of an expired VM", "peer", vm.Name)
		})
	}
}

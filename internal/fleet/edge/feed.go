package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/fleet/mirror"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/operator/key"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/ingress"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/route"
)

const (
	// followWait is how long one watch of the store waits; each is a priced
	// call. A store that went silent may leave a watch without an answer for
	// good. So the VM that leads watches the configuration for leaderWait
	// only, and the others doubt their watches when it fails, or when another
	// VM knows of a change that they lack.
	followWait = 25 * time.Second
	leaderWait = 3 * time.Second

	// gather is the pause after a change of the backend servers, well within
	// the time in which a leaving one may still get requests.
	gather = 300 * time.Millisecond

	// probeWait is how long the first watch after a failed call waits, so
	// that a store which stays silent does not hold it for long.
	probeWait = 200 * time.Millisecond

	// firstPause and lastPause bound the pause between two calls to a store
	// that does not answer; it doubles in between.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond

	// behindTime is how long another VM may know more before this one asks it
	// for its copy, and copyEvery the time between two copies.
	behindTime = 400 * time.Millisecond
	copyEvery  = 700 * time.Millisecond
)

// follow keeps the copy of one topic up to date until the VM stops.
func (v *VM) follow(t sassafrastray.Topic) {
	defer v.loops.Done()
	var after int64
	pause := firstPause
	for read, failed := false, false; v.ctx.Err() == nil; {
		if read && !v.watching.Load() {
			// What other VMs pass on may be newer than what was read here.
			v.sleepUntil(v.resume[t])
			read = false
			continue
		}
		var b sassafrastray.Batch
		var err error
		interrupted := false
		if read {
			wait := followWait
			switch {
			case failed:
				wait = probeWait
			case t == sassafrastray.TopicConfig && v.leading.Load():
				wait = leaderWait
			}
			ctx, end := v.interruptible(t)
			b, err = v.feed.Follow(ctx, t, after, wait)
			interrupted = ctx.Err() != nil
			end()
		} else {
			b, err = v.feed.Read(v.ctx, t, false)
		}
		v.metrics.store.WithLabelValues(string(t), sassafrastray.Outcome(err)).Inc()
		switch {
		case err == nil:
			read, failed, after, pause = true, false, b.Revision, firstPause
			v.post(func(now time.Time) { v.applied(b, now) })
			if t == sassafrastray.TopicBackends {
				// Servers mostly come and go together; one call then tells of
				// several.
				v.sleep(gather)
			}
		case errors.Is(err, sassafrastray.ErrCompacted):
			v.log.Warn("the store's history is gone; reading the topic anew", "topic", t, "after", after)
			read = false
		case interrupted:
			// Another topic's call failed; this one may wait in vain.
			failed = true
		default:
			failed = true
			v.post(func(now time.Time) { v.storeFailed(t, err, now) })
			v.sleep(pause/2 + rand.N(pause))
			pause = min(lastPause, 2*pause)
		}
	}
}

// sleepUntil waits for a signal unless the VM stops.
func (v *VM) sleepUntil(c <-chan struct{}) {
	select {
	case <-c:
	case <-v.ctx.Done():
	}
}

// sleep waits unless the VM stops.
func (v *VM) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-v.ctx.Done():
	}
}

// interruptible returns the context of a watch that ends when the store fails
// another call.
func (v *VM) interruptible(t sassafrastray.Topic) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(v.ctx)
	v.waits.Store(t, cancel)
	return ctx, cancel
}

// storeFailed notes that a call failed, and ends the watches that wait on
// connections which may have gone the same way.
func (v *VM) storeFailed(t sassafrastray.Topic, err error, now time.Time) {
	if v.mirror.Failing(now) == 0 {
		v.log.Warn(message.StoreAway, "topic", t, "error", err.Error())
		v.interrupt(t)
	}
	v.mirror.Failed(t, now)
}

// interrupt ends the watches of all topics but one. They begin anew, and show
// whether the store answers.
func (v *VM) interrupt(except sassafrastray.Topic) {
	v.waits.Range(func(topic, cancel any) bool {
		if topic != except {
			cancel.(context.CancelFunc)()
		}
		return true
	})
}

// applied takes in what the store said.
func (v *VM) applied(b sassafrastray.Batch, now time.Time) {
	away := v.mirror.Failing(now)
	latest := v.mirror.Latest()[b.Topic]
	c := v.mirror.Apply(b, now)
	v.tell(b, c, latest, now)
	v.changed(c, now)
	if away > 0 && v.mirror.Failing(now) == 0 {
		v.log.Info(message.StoreBack, "after", away)
	}
}

// changed tells all parts about a change of the copy.
func (v *VM) changed(c mirror.Change, now time.Time) {
	for _, e := range c.Faults {
		v.log.Warn("an entry of the store can't be read", "name", e.Name, "revision", e.Revision, "fault", e.Fault)
	}
	if c.Config {
		v.configure(now)
	}
	if c.Backends || c.Evacuations {
		backends, evacuated := v.mirror.Backends(), v.mirror.Evacuated()
		d := v.servers.update(backends)
		v.log.Info(message.ServersChanged, "count", len(backends), "added", d.added, "removed", d.removed,
			"leaving", d.leaving, "evacuated", slices.Sorted(maps.Keys(evacuated)),
			"revision", v.mirror.Revision(sassafrastray.TopicBackends))
		v.places.do(func(t *placement.Table, now time.Time) { t.Update(backends, evacuated, now) })
	}
	if c.Rollouts {
		v.followRollouts()
	}
	if c.Rollouts || c.Backends {
		v.countServers()
	}
	v.admit(now)
}

// configure puts the newest configuration in force.
func (v *VM) configure(now time.Time) {
	c := v.mirror.Config()
	v.log.Info(message.Configured, "config", c.Number, "routes", len(c.Routes), "teams", len(c.Fleet.Teams),
		"revision", v.mirror.Revision(sassafrastray.TopicConfig))
	v.metrics.config.Set(float64(c.Number))
	v.places.do(func(t *placement.Table, _ time.Time) { t.Configure(c.Services) })
	v.quotas.do(func(b *ratelimit.Limiter, now time.Time) { b.Configure(c.Fleet.Teams, now) })
	v.splits.Reset()
	teams := make(map[sassafrastray.TeamName]*sassafrastray.Team, len(c.Fleet.Teams))
	for i := range c.Fleet.Teams {
		teams[c.Fleet.Teams[i].Name] = &c.Fleet.Teams[i]
	}
	v.snapshot = &ingress.Snapshot{Config: c, Hosts: route.NewHosts(c), Keys: key.NewTable(c), Teams: teams}
	v.admit(now)
}

// admit gives traffic the configuration, once the VM knows the rollouts and
// evacuations too: without them a request could go where it must not.
func (v *VM) admit(now time.Time) {
	if v.snapshot == nil || !v.mirror.Complete() {
		return
	}
	v.handler.Update(v.snapshot)
	v.snapshot = nil
	v.name(now)
}

// followRollouts takes in the rollouts' orders and states.
func (v *VM) followRollouts() {
	var done map[sassafrastray.ServiceName]sassafrastray.VersionName
	entries := v.mirror.Rollouts()
	for name, e := range entries {
		v.log.Info(message.Rollout, "service", name, "to", e.Rollout.To, "state", e.Rollout.State, "share", e.Rollout.Share, "revision", e.Revision)
	}
	v.rollouts.do(func(d *rollout.Tracker, now time.Time) { done = d.Update(entries, now) })
	v.places.do(func(t *placement.Table, _ time.Time) {
		for service, version := range done {
			t.SetBaseVersion(service, version)
		}
	})
}

// countServers tells the rollouts how many servers of the new versions there
// are.
func (v *VM) countServers() {
	backends, evacuated := v.mirror.Backends(), v.mirror.Evacuated()
	v.rollouts.do(func(d *rollout.Tracker, _ time.Time) {
		d.UpdateServers(func(s sassafrastray.ServiceName, version sassafrastray.VersionName) int {
			n := 0
			for i := range backends {
				b := &backends[i]
				if b.Service == s && b.Version == version && !b.Leaving && !evacuated[b.Domain] {
					n++
				}
			}
			return n
		})
	})
}

// watchStore turns to another VM while the store is not reached, or when
// another VM has known for a while of a change that this one lacks.
func (v *VM) watchStore(now time.Time) {
	failing := v.mirror.Failing(now)
	v.metrics.failing.Set(failing.Seconds())
	v.leading.Store(v.leads(now))
	v.watch(now)
	from := v.wiser(now)
	if from == nil {
		v.behind = time.Time{}
		return
	}
	if v.behind.IsZero() {
		v.behind = now
	}
	if now.Sub(v.behind) < behindTime || v.copying || !v.every("copy", copyEvery, now) {
		return
	}
	if failing == 0 {
		v.log.Warn("another VM knows of a change that the store did not tell", "from", from.Name)
		v.interrupt("")
	}
	v.copyFrom(*from)
}

// wiser returns the VM whose copy of the store has the latest changes that this
// one lacks, or nil.
func (v *VM) wiser(now time.Time) *sassafrastray.VM {
	var best *sassafrastray.VM
	most := int64(0)
	for _, m := range v.members.View(now) {
		b := v.beats[m.VM.Name]
		if b == nil || m.Suspect {
			continue
		}
		if n := v.mirror.Lacks(b.Latest); n > most {
			best, most = &m.VM, n
		}
	}
	return best
}

// copyFrom asks another VM for its copy of the store.
func (v *VM) copyFrom(from sassafrastray.VM) {
	held := v.mirror.Held()
	v.copying = v.spawn(func() {
		batches, err := v.client.Copy(from.Inner, held, copyTimeout)
		v.post(func(now time.Time) {
			v.copying = false
			if err != nil {
				v.log.Warn("no copy of the store from another VM", "from", from.Name, "error", err.Error())
				return
			}
			for _, b := range batches {
				if c := v.mirror.Adopt(b, now); c.Config || c.Backends || c.Rollouts || c.Evacuations {
					v.log.Info(message.StoreCopied, "from", from.Name, "topic", b.Topic, "revision", b.Revision)
					v.changed(c, now)
				}
			}
		})
	})
}

// register makes the VM known in the store.
func (v *VM) register() {
	defer v.loops.Done()
	for pause := firstPause; v.ctx.Err() == nil; pause = min(lastPause, 2*pause) {
		err := v.feed.Register(v.ctx, v.opt.VM)
		v.metrics.store.WithLabelValues("register", sassafrastray.Outcome(err)).Inc()
		if err == nil {
			return
		}
		v.log.Warn("the VM could not be registered", "error", err.Error())
		v.sleep(pause/2 + rand.N(pause))
	}
}

// readVMs reads which VMs are registered. The list may be old: heartbeats tell
// who is alive.
func (v *VM) readVMs() {
	v.spawn(func() {
		ctx, cancel := context.WithTimeout(v.ctx, copyTimeout)
		defer cancel()
		b, err := v.feed.Read(ctx, sassafrastray.TopicVMs, true)
		v.metrics.store.WithLabelValues(string(sassafrastray.TopicVMs), sassafrastray.Outcome(err)).Inc()
		if err != nil {
			return
		}
		v.post(func(now time.Time) {
			var vms []sassafrastray.VM
			for _, e := range b.Entries {
				if e.VM != nil {
					vms = append(vms, *e.VM)
				}
			}
			v.learn(vms, now)
			v.retire(vms, now)
		})
	})
}

// retire removes the registrations of VMs that are gone for good, if this VM
// is the first of those that would hear them.
func (v *VM) retire(vms []sassafrastray.VM, now time.Time) {
	for _, vm := range vms {
		if vm.Name == v.self.Name || !v.known.gone(vm.Name, now) || !v.members.Near(vm) || !v.first(now, v.members.Near) {
			continue
		}
		v.spawn(func() {
			ctx, cancel := context.WithTimeout(v.ctx, writeTimeout)
			defer cancel()
			err := v.feed.Retire(ctx, vm.Name)
			v.metrics.store.WithLabelValues("retire", sassafrastray.Outcome(err)).Inc()
			if err != nil {
				v.log.Warn("registration of a VM that is gone not removed", "peer", vm.Name, "error", err.Error())
				return
			}
			v.log.Info("registration of a VM that is gone removed", "peer", vm.Name)
		})
	}
}

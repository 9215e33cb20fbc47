package vm

import (
	"math/rand/v2"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/rollout/evidence"
	"sassafrastray/internal/rollout/move"
	"sassafrastray/internal/traffic/scheduler"
)

// readList reads the platform's list of VMs.
func (v *VM) readList() {
	v.spawn(func() {
		vms, err := v.vms()
		v.metrics.store.WithLabelValues("vms", sassafrastray.Outcome(err)).Inc()
		if err != nil {
			return
		}
		v.post(func(now time.Time) { v.members.List(vms, now) })
	})
}

// targets returns the VMs that the next heartbeat goes to. Before the
// platform's list was read these are the seeds of the settings.
func (v *VM) targets(now time.Time) []sassafrastray.VM {
	to := v.members.Tick(now)
	if len(to) > 0 {
		return to
	}
	for _, a := range v.set.Seeds {
		if a != v.self.PeerAddress {
			to = append(to, sassafrastray.VM{PeerAddress: a})
		}
	}
	return to
}

// beat sends a heartbeat to each VM and takes its own in.
func (v *VM) beat(to []sassafrastray.VM, now time.Time) {
	h := v.heartbeat(now)
	for _, t := range to {
		m := *h
		m.Relay = v.asks(t)
		v.spawn(func() {
			asked := v.clock.Now()
			answer, err := v.client.Beat(t, &m, callTimeout)
			if err != nil {
				v.post(func(now time.Time) { v.stepPlaceProbe(t.Name, false, now) })
				return
			}
			v.post(func(now time.Time) {
				v.stepPlaceProbe(t.Name, true, now)
				v.hear(answer, asked, now)
			})
		})
	}
}

// own is what the VM tells about itself to VMs that hear it through others.
func (v *VM) own(now time.Time) *peer.Heartbeat {
	v.sequence++
	h := &peer.Heartbeat{VM: v.self, Inc: v.inc, Sequence: v.sequence, Ready: v.ready(now)}
	h.VM.State = v.state
	if c := v.conf.current; c != nil {
		h.Config = c.Number
		h.Confirmed = now.Sub(v.conf.confirmed).Milliseconds()
	}
	v.gate.Do(func(k *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) {
		h.Loads, h.Holdings, h.Drains = k.Load(), k.Holdings(now), k.ReportedDraining(now)
		return nil, nil
	})
	return h
}

// heartbeat is what the VM tells about itself to VMs that it speaks with.
func (v *VM) heartbeat(now time.Time) *peer.Heartbeat {
	h := v.own(now)
	v.quotas.do(func(b *quota.Limiter, _ time.Time) { h.Quota = b.Digest() })
	if v.every("evidence", evidenceEvery, now) {
		v.samples.do(func(l *evidence.Ledger, now time.Time) { h.Evidence = l.Digest(now) })
	}
	h.Moves = v.mover.Heartbeat(now)
	if len(h.Moves.Bad) > v.bads {
		v.news = extraRounds
	}
	v.bads = len(h.Moves.Bad)
	return h
}

// Beat takes in another VM's heartbeat and returns the VM's own.
func (v *VM) Beat(h *peer.Heartbeat) *peer.Heartbeat {
	answer := make(chan *peer.Heartbeat, 1)
	if !v.post(func(now time.Time) {
		v.hear(h, time.Time{}, now)
		a := v.heartbeat(now)
		a.Relay = v.tells(h, now)
		answer <- a
	}) {
		return nil
	}
	select {
	case a := <-answer:
		return a
	case <-v.ctx.Done():
		return nil
	}
}

// hear takes in a heartbeat. Asked is when this VM sent the message that the
// heartbeat answers, or zero.
func (v *VM) hear(h *peer.Heartbeat, asked, now time.Time) {
	v.hearRelay(h.Relay, now)
	if !v.members.Hear(h.Beat(), now) {
		return
	}
	kept := *h
	kept.Relay = nil
	v.beats[h.VM.Name] = &kept
	v.gate.Do(func(k *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) {
		k.ApplyHoldings(h.Holdings, now)
		for _, b := range h.Drains {
			k.MarkDraining(b, now)
		}
		return nil, nil
	})
	if h.Evidence.VM != "" {
		v.samples.do(func(l *evidence.Ledger, now time.Time) { l.Merge(h.Evidence, now) })
	}
	v.stepMoves(move.HeartbeatReceived{Heartbeat: h.Moves, RequestedAt: asked}, now)
	v.hearConfig(h, asked)
}

// hearConfig pulls a newer configuration, or counts the other VM's
// confirmation of the same one.
func (v *VM) hearConfig(h *peer.Heartbeat, asked time.Time) {
	c := v.conf.current
	switch {
	case v.behind(h.Config):
		v.pull(h.VM)
	case c != nil && h.Config == c.Number && !asked.IsZero():
		// The other's age is at most that large at the time it was asked.
		v.confirm(asked.Add(-h.Age()))
	}
}

// unreachable notes that no connection to a VM could be opened. Traffic calls
// it.
func (v *VM) unreachable(name sassafrastray.VMName) {
	v.post(func(now time.Time) {
		v.stepPlaceProbe(name, false, now)
		if v.members.Fail(name) {
			v.publish(now)
		}
	})
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

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

// readList reads the platform's list of VMs in the worker pool.
func (v *VM) readList() {
	v.spawn(func() {
		vms, err := v.listVMs()
		v.metrics.store.WithLabelValues("vms", sassafrastray.Outcome(err)).Inc()
		if err != nil {
			return
		}
		v.post(func(now time.Time) { v.members.ApplyList(vms, now) })
	})
}

// targets returns the VMs to send the next heartbeat to. If there are none, for
// example before the platform's list was read, these are the seeds of the settings.
func (v *VM) targets(now time.Time) []sassafrastray.VM {
	to := v.members.Tick(now)
	if len(to) > 0 {
		return to
	}
	for _, a := range v.settings.Seeds {
		if a != v.self.PeerAddress {
			to = append(to, sassafrastray.VM{PeerAddress: a})
		}
	}
	return to
}

// sendHeartbeats sends a heartbeat to each VM and applies the heartbeats that
// they answer.
func (v *VM) sendHeartbeats(to []sassafrastray.VM, now time.Time) {
	h := v.heartbeat(now)
	for _, t := range to {
		m := *h
		m.Relay = v.relayRequest(t)
		v.spawn(func() {
			requestedAt := v.clock.Now()
			answer, err := v.client.SendHeartbeat(t, &m, callTimeout)
			if err != nil {
				v.post(func(now time.Time) { v.reportReachable(t.Name, false, now) })
				return
			}
			v.post(func(now time.Time) {
				v.reportReachable(t.Name, true, now)
				v.applyHeartbeat(answer, requestedAt, now)
			})
		})
	}
}

// briefHeartbeat returns the part of the VM's heartbeat that other VMs relay.
func (v *VM) briefHeartbeat(now time.Time) *peer.Heartbeat {
	v.sequence++
	h := &peer.Heartbeat{VM: v.self, Inc: v.inc, Sequence: v.sequence, Ready: v.ready(now)}
	h.VM.State = v.state
	if c := v.conf.current; c != nil {
		h.Config = c.Number
		h.Confirmed = now.Sub(v.conf.confirmed).Milliseconds()
	}
	v.slots.Do(func(s *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) {
		h.Loads, h.Holdings, h.Draining = s.Load(), s.Holdings(now), s.ReportedDraining(now)
		return nil, nil
	})
	return h
}

// heartbeat returns the heartbeat that the VM sends to other VMs directly.
func (v *VM) heartbeat(now time.Time) *peer.Heartbeat {
	h := v.briefHeartbeat(now)
	v.quotas.do(func(l *quota.Limiter, _ time.Time) { h.Quota = l.Digest() })
	if v.isDue("evidence", evidenceInterval, now) {
		v.samples.do(func(l *evidence.Ledger, now time.Time) { h.Evidence = l.Digest(now) })
	}
	h.Moves = v.mover.Heartbeat(now)
	if len(h.Moves.Bad) > v.badReports {
		v.extraRoundsLeft = extraRounds
	}
	v.badReports = len(h.Moves.Bad)
	return h
}

// HandleHeartbeat applies another VM's heartbeat and returns the VM's own, or
// nil if the VM is stopping.
func (v *VM) HandleHeartbeat(h *peer.Heartbeat) *peer.Heartbeat {
	answer := make(chan *peer.Heartbeat, 1)
	if !v.post(func(now time.Time) {
		defer close(answer)
		v.applyHeartbeat(h, time.Time{}, now)
		a := v.heartbeat(now)
		a.Relay = v.relayAnswer(h, now)
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

// applyHeartbeat updates the VM's state from a heartbeat. If the heartbeat is
// the answer to one of this VM's, requestedAt is when that was sent; otherwise it
// is zero.
func (v *VM) applyHeartbeat(h *peer.Heartbeat, requestedAt, now time.Time) {
	if !h.VM.Reachable() {
		return
	}
	v.applyRelay(h.Relay, now)
	if !v.members.ApplyHeartbeat(h.MemberHeartbeat(), now) {
		return
	}
	stored := *h
	stored.Relay = nil
	v.heartbeats[h.VM.Name] = &stored
	v.slots.Do(func(s *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) {
		s.ApplyHoldings(h.Holdings, now)
		for _, b := range h.Draining {
			s.MarkDraining(b, now)
		}
		return nil, nil
	})
	if h.Evidence.VM != "" {
		v.samples.do(func(l *evidence.Ledger, now time.Time) { l.Merge(h.Evidence, now) })
	}
	v.stepMoves(move.HeartbeatReceived{Heartbeat: h.Moves, RequestedAt: requestedAt}, now)
	v.compareConfig(h, requestedAt)
}

// compareConfig pulls a newer configuration. If the other VM has the same one,
// its confirmation counts for this VM too.
func (v *VM) compareConfig(h *peer.Heartbeat, requestedAt time.Time) {
	c := v.conf.current
	switch {
	case v.isNewer(h.Config):
		v.pull(h.VM)
	case c != nil && h.Config == c.Number && !requestedAt.IsZero():
		// The confirmation was this old when the other VM answered, which was
		// after requestedAt.
		v.confirm(requestedAt.Add(-h.ConfirmedAge()))
	}
}

// unreachable records that no connection to a VM could be opened. The request
// handler calls it from its own goroutines.
func (v *VM) unreachable(name sassafrastray.VMName) {
	v.post(func(now time.Time) {
		v.reportReachable(name, false, now)
		if v.members.MarkFailed(name) {
			v.publish(now)
		}
	})
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

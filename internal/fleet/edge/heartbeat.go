package edge

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/quarantine"
)

const (
	// messagesPerList is the mean number of messages, between VMs of a large fleet
	// with different views of it, of which one lists the known VMs. Each list reaches
	// VMs that pass it on, so all know a change after a few rounds.
	messagesPerList = 8

	// maxClockSetback is how far a VM's clock may have been set back between two of
	// its incarnations, in nanoseconds.
	maxClockSetback = sassafrastray.Incarnation(365 * 24 * time.Hour)
)

// sendHeartbeats sends one round of heartbeats, also to seeds whose VMs are not
// known yet.
func (v *VM) sendHeartbeats(now time.Time) {
	to := v.members.Tick(now)
	v.updateRunSharing()
	v.runs.budget.expire(now)
	known := map[netip.AddrPort]bool{v.self.PeerAddress: true}
	for _, vm := range v.members.Known() {
		known[vm.PeerAddress] = true
	}
	for _, a := range v.opt.Seeds {
		if !known[a] {
			to = append(to, sassafrastray.VM{PeerAddress: a})
		}
	}
	v.sendHeartbeatsTo(to, now)
}

func (v *VM) sendHeartbeatsTo(to []sassafrastray.VM, now time.Time) {
	h := v.newHeartbeat(now)
	v.quarantine.do(func(t *quarantine.Table, _ time.Time) { t.Sent() })
	for _, t := range to {
		v.sendHeartbeat(t, h, now)
	}
}

// sendHeartbeat sends a heartbeat to one VM and processes the answer.
func (v *VM) sendHeartbeat(to sassafrastray.VM, h *gossip.Heartbeat, now time.Time) {
	m := v.addressed(h, to, v.heartbeats[to.Name], now)
	v.spawn(func() {
		sent, asked := v.trafficClock.Now(), v.clock.Now()
		answer, err := v.client.Heartbeat(to.PeerAddress, &m, heartbeatTimeout)
		if err != nil {
			v.metrics.heartbeats.WithLabelValues("failed").Inc()
			v.post(func(now time.Time) { v.members.MarkUnanswered(to.Name, now) })
			return
		}
		v.metrics.heartbeats.WithLabelValues("ok").Inc()
		trip := v.trafficClock.Now().Sub(sent)
		answer.Asked, answer.Received = asked, v.clock.Now()
		v.post(func(now time.Time) {
			v.receive(answer, now)
			v.recordRoundTrip(answer.VM, trip)
		})
	})
}

// addressed returns the heartbeat h as it is sent to a VM, whose latest one is have, or
// nil if there is none.
func (v *VM) addressed(h *gossip.Heartbeat, to sassafrastray.VM, have *gossip.Heartbeat, now time.Time) gossip.Heartbeat {
	m := v.heartbeatFor(*h, to, now)
	m.Seen = v.members.Incarnation(to.Name)
	m.Digest, m.Known = v.fleetDigest(now)
	if to.Name != "" {
		v.quotas.do(func(l *ratelimit.Limiter, now time.Time) {
			t := l.Send(v.contact(to), ratelimit.Stamp{Incarnation: h.Incarnation, Sequence: h.Sequence}, now)
			m.Quotas = &t
		})
	}
	if have == nil {
		have = &gossip.Heartbeat{Known: m.Known}
	}
	if m.Digest != have.Digest && v.listsFleet(m.Known, have.Known) {
		m.Fleet = v.knownVMs()
	}
	v.addRuns(&m, to, now)
	v.addShares(&m, to)
	return m
}

// listsFleet reports whether a message to a VM with another view of the fleet lists
// the known VMs. In a large fleet most views differ for a while after a start or a
// change, so only some of the messages do, chosen at random, and those to VMs that know
// few others.
func (v *VM) listsFleet(known, receiverKnows int) bool {
	return !v.members.Large() || 2*receiverKnows < known || v.rng.IntN(messagesPerList) == 0
}

// newHeartbeat returns a heartbeat with the VM's current state.
func (v *VM) newHeartbeat(now time.Time) *gossip.Heartbeat {
	v.sequence++
	h := &gossip.Heartbeat{
		VM: v.self, Incarnation: v.incarnation, Sequence: v.sequence, Ready: v.ready.Load(), Idle: v.idle, Partitioned: v.partition.Partitioned(),
		Latest: v.replica.Latest(), Era: v.replica.Era(), StoreReachable: v.replica.FailingFor(now) == 0, Failed: v.sinceFailure(now),
	}
	if c := v.replica.Config(); c != nil {
		h.Config = c.Number
		if v.confirmation.at.Load() != nil {
			h.Confirmed = max(1, v.confirmation.age())
		}
	}
	v.quotas.do(func(l *ratelimit.Limiter, now time.Time) { h.Uses, h.New = l.ReportUsage(now), l.IsNew(now) })
	v.rollouts.do(func(t *rollout.Tracker, _ time.Time) { h.Evidence = t.Evidence() })
	v.placement.do(func(t *placement.Table, now time.Time) { h.Limits = t.LimitReports(now) })
	v.quarantine.do(func(t *quarantine.Table, now time.Time) { h.Quarantine = t.Report(now) })
	v.usage.stamp(h, now)
	return h
}

// Heartbeat processes another VM's heartbeat and returns the VM's own.
func (v *VM) Heartbeat(h *gossip.Heartbeat) *gossip.Heartbeat {
	h.Received = v.clock.Now()
	own := ask(v, func(now time.Time) *gossip.Heartbeat {
		v.receive(h, now)
		a := v.addressed(v.newHeartbeat(now), h.VM, h, now)
		return &a
	})
	if own == nil {
		return &gossip.Heartbeat{VM: v.opt.VM}
	}
	return own
}

// Copy returns the replica's topics that have changes later than the held revisions.
func (v *VM) Copy(held map[sassafrastray.Topic]int64) []sassafrastray.Batch {
	return ask(v, func(now time.Time) []sassafrastray.Batch { return v.replica.NewerTopics(held, now) })
}

// receive processes a heartbeat.
func (v *VM) receive(h *gossip.Heartbeat, now time.Time) {
	if !h.VM.Reachable() {
		return
	}
	if h.Seen > v.incarnation && h.Seen-v.incarnation < maxClockSetback {
		// The clock was set back since an earlier incarnation of this VM, whose
		// heartbeats would count as newer.
		v.incarnation = h.Seen + 1
	}
	v.learnVMs(h.Fleet, now)
	if digest, known := v.fleetDigest(now); h.Digest == digest && h.Known == known && known > 1 {
		v.quotas.setFleetKnown()
	}
	if !v.members.ApplyHeartbeat(h.Member(), now) {
		return
	}
	if v.heartbeats[h.VM.Name] == nil {
		v.log.Info("VM heard of", "peer", h.VM.Name, "domain", h.VM.Domain, "ready", h.Ready, "config", h.Config)
	}
	v.silence.recordHeartbeat(h.VM.Name, now)
	v.confirmConfig(h)
	v.usage.hear(h, v.roundTrips[v.regionOf(h.VM)], now)
	stored := *h
	stored.Fleet, stored.Limits, stored.Quarantine, stored.Quotas, stored.Runs, stored.Shares = nil, nil, nil, nil, "", nil
	v.heartbeats[h.VM.Name] = &stored
	v.quotas.do(func(l *ratelimit.Limiter, now time.Time) {
		l.Receive(v.contact(h.VM), ratelimit.Stamp{Incarnation: h.Incarnation, Sequence: h.Sequence}, h.Quotas, now)
	})
	if len(h.Limits) > 0 {
		v.placement.do(func(t *placement.Table, now time.Time) { t.ReceiveLimits(h.Limits, now) })
	}
	v.receiveRuns(h)
	v.receiveShares(h)
	if h.Quarantine != nil {
		v.quarantine.do(func(t *quarantine.Table, now time.Time) { t.Receive(h.VM.Name, h.Quarantine, now) })
	}
	switch {
	case h.Summary != nil:
		v.updateRegion(h.Summary, now)
	case !v.hasSummary(h.VM, now):
		v.updatePeer(h)
	}
	v.renewWatches(h, now)
}

// contact returns another VM as the quotas know it.
func (v *VM) contact(vm sassafrastray.VM) ratelimit.Contact {
	return ratelimit.Contact{VM: vm.Name, Region: v.regionOf(vm), Direct: v.members.IsDirect(vm)}
}

// quotaPeer returns another VM that reports its usage itself.
func (v *VM) quotaPeer(vm sassafrastray.VM) ratelimit.Peer {
	return ratelimit.Peer{Source: vm.Name.Source(), Region: v.regionOf(vm), Address: vm.PeerAddress, VMs: 1, Owners: v.ownedParts(vm.Name)}
}

// Token returns a token of a team's quota for a request that waits at another VM.
func (v *VM) Token(team sassafrastray.TeamName) (t gossip.Token) {
	v.quotas.do(func(l *ratelimit.Limiter, now time.Time) { t.OK, t.Wait = l.Grant(team, now) })
	return t
}

// updatePeer processes the usage of teams and the rollout counts of another VM.
func (v *VM) updatePeer(h *gossip.Heartbeat) {
	v.quotas.do(func(l *ratelimit.Limiter, now time.Time) { l.UpdatePeer(v.quotaPeer(h.VM), h.Report(), now) })
	if len(h.Evidence) > 0 {
		v.rollouts.do(func(t *rollout.Tracker, _ time.Time) { t.Receive(h.VM.Name.Source(), h.Evidence) })
	}
}

// learnVMs adds VMs that another VM or the store knows, and removes expired ones.
func (v *VM) learnVMs(vms []sassafrastray.VM, now time.Time) {
	vms = slices.DeleteFunc(slices.Clone(vms), func(vm sassafrastray.VM) bool { return !vm.Reachable() })
	if len(vms) == 0 {
		return
	}
	all := v.silence.unexpired(slices.Concat(v.members.Known(), vms), v.members.IsDirect, now)
	v.members.ApplyList(all, now)
	var others []sassafrastray.VM
	for _, m := range all {
		if m.Name != v.self.Name {
			others = append(others, m)
		}
	}
	v.placement.do(func(t *placement.Table, _ time.Time) { t.SetFleet(others) })
	v.quarantine.do(func(t *quarantine.Table, _ time.Time) { t.SetFleet(others) })
	v.retries.setReserve(v.retryReserve(len(others)))
	v.updatePeerSizes(others)
	v.updateRunSharing()
}

// recordRoundTrip tracks the shortest round trip to each region. A longer one raises
// it slowly, so that an outdated minimum fades.
func (v *VM) recordRoundTrip(to sassafrastray.VM, trip time.Duration) {
	region := v.opt.Regions[to.Domain]
	if region == "" || region == v.opt.Region {
		return
	}
	old, ok := v.roundTrips[region]
	if ok && trip > old {
		trip = old + (trip-old)/50
	}
	v.roundTrips[region] = trip
	v.placement.do(func(t *placement.Table, _ time.Time) { t.SetDistance(region, trip) })
}

// knownVMs returns all VMs that this one knows, including itself.
func (v *VM) knownVMs() []sassafrastray.VM { return append(v.members.Known(), v.self) }

// fleetDigest returns a hash of the known VMs that does not depend on their order, and
// their number. It is computed once a tick, since every message has it.
func (v *VM) fleetDigest(now time.Time) (digest uint64, known int) {
	if v.digestKnown > 0 && now.Sub(v.digestAt) < tickInterval {
		return v.digest, v.digestKnown
	}
	all := v.knownVMs()
	for _, m := range all {
		digest ^= xxhash.Sum64String(string(m.Name) + m.PeerAddress.String())
	}
	v.digest, v.digestKnown, v.digestAt = digest, len(all), now
	return digest, len(all)
}

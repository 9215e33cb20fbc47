package vm

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/traffic/scheduler"
)

const (
	// sparseInterval is the time between two heartbeat rounds in a sparse
	// fleet.
	sparseInterval = time.Second

	// extraRounds is how many rounds are sent at once, one per tick, when
	// something urgent has changed: the configuration, or the reports on bad
	// versions.
	extraRounds = 3

	// sparseListInterval is how often a VM of a sparse fleet reads the
	// platform's list if it is not one of its failure domain's watchers.
	sparseListInterval = time.Minute

	// sparsePublishInterval is the time between two periodic snapshots in a
	// sparse fleet.
	sparsePublishInterval = 500 * time.Millisecond
)

// listDue reports whether it is time to read the platform's list. In a sparse
// fleet the watchers of each failure domain read it often and the other VMs
// rarely.
func (v *VM) listDue(now time.Time) bool {
	if v.members.Sparse() && v.members.Rank(now) >= member.Watchers {
		return v.isDue("list rarely", sparseListInterval, now)
	}
	return v.isDue("list", listInterval, now)
}

// sendRound sends a round of heartbeats if one is due.
func (v *VM) sendRound(now time.Time) {
	period := heartbeatInterval
	if v.members.Sparse() {
		period = sparseInterval
	}
	due := v.isDue("beat", period, now)
	if !due && (v.extraRoundsLeft == 0 || !v.members.Sparse()) {
		return
	}
	v.extraRoundsLeft = max(0, v.extraRoundsLeft-1)
	v.dropForgotten()
	v.summarize(now)
	v.sendHeartbeats(v.targets(now), now)
}

// dropForgotten removes the heartbeats of VMs that are no longer in the member
// table.
func (v *VM) dropForgotten() {
	for name := range v.heartbeats {
		if _, ok := v.members.Find(name); !ok {
			delete(v.heartbeats, name)
		}
	}
}

// summarize updates the summary of the VM's own failure domain if this VM is
// the one to write it.
func (v *VM) summarize(now time.Time) {
	if !v.members.IsSummaryWriter(now) {
		return
	}
	var heartbeats []*peer.Heartbeat
	if v.state == sassafrastray.VMLive {
		heartbeats = append(heartbeats, v.briefHeartbeat(now))
	}
	for _, m := range v.members.LiveInDomain(now) {
		if h := v.heartbeats[m.VM.Name]; h != nil {
			heartbeats = append(heartbeats, h)
		}
	}
	s := peer.Summarize(v.self.Domain, heartbeats)
	v.members.AdvanceSummary(s.Hash(), now)
	v.summaries[v.self.Domain] = s
}

// relayRequest returns what this VM knows of other VMs, so that the receiver
// can send what is newer. It is nil in a fleet where every VM sends heartbeats
// to every other.
func (v *VM) relayRequest(to sassafrastray.VM) *peer.Relay {
	if !v.members.Sparse() {
		return nil
	}
	r := &peer.Relay{SummaryVersions: v.members.SummaryVersions(v.clock.Now())}
	if to.Domain == v.self.Domain {
		r.HeartbeatVersions = v.members.HeartbeatVersions()
	}
	return r
}

// relayAnswer returns the heartbeats and summaries that the sender of h lacks.
func (v *VM) relayAnswer(h *peer.Heartbeat, now time.Time) *peer.Relay {
	if h.Relay == nil {
		return nil
	}
	r := &peer.Relay{}
	if h.VM.Domain == v.self.Domain {
		for _, m := range v.members.NewerHeartbeats(h.Relay.HeartbeatVersions, now) {
			if latest := v.heartbeats[m.VM.Name]; latest != nil && m.VM.Name != h.VM.Name {
				relayed := latest.ForRelay()
				relayed.RelayAge = m.Age.Milliseconds()
				r.Heartbeats = append(r.Heartbeats, relayed)
			}
		}
	}
	versions, changed := v.members.NewerSummaries(h.Relay.SummaryVersions, now)
	r.SummaryVersions = versions
	for _, d := range changed {
		if s, ok := v.summaries[d]; ok {
			r.Summaries = append(r.Summaries, s)
		}
	}
	return r
}

// applyRelay updates the VM's state from heartbeats and summaries that another
// VM relayed.
func (v *VM) applyRelay(r *peer.Relay, now time.Time) {
	if r == nil {
		return
	}
	for i := range r.Heartbeats {
		v.applyRelayed(&r.Heartbeats[i], now)
	}
	summaries := make(map[sassafrastray.DomainName]*peer.Summary, len(r.Summaries))
	for i := range r.Summaries {
		summaries[r.Summaries[i].Domain] = &r.Summaries[i]
	}
	for _, version := range r.SummaryVersions {
		s := summaries[version.Domain]
		if s == nil {
			v.members.RefreshSummary(version, now)
			continue
		}
		if v.members.ApplySummary(version, s.MemberHeartbeats(), now) {
			v.storeSummary(s)
		}
	}
}

// applyRelayed applies the relayed heartbeat of a VM of the own failure domain.
func (v *VM) applyRelayed(h *peer.Heartbeat, now time.Time) {
	age := time.Duration(h.RelayAge) * time.Millisecond
	if h.VM.Domain != v.self.Domain || !v.members.ApplyRelayed(h.MemberHeartbeat(), age, now) {
		return
	}
	v.storeRelayed(h)
	v.slots.Do(func(s *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) {
		s.ApplyHoldings(h.Holdings, now)
		for _, b := range h.Draining {
			s.MarkDraining(b, now)
		}
		return nil, nil
	})
	if v.isNewer(h.Config) {
		v.pull(h.VM)
	}
}

func (v *VM) storeSummary(s *peer.Summary) {
	v.summaries[s.Domain] = *s
	if s.Domain == v.self.Domain {
		return
	}
	for i := range s.Entries {
		v.storeRelayed(&s.Entries[i])
	}
}

// storeRelayed stores a relayed heartbeat. Relayed heartbeats lack the quota
// digest, so the one that the VM sent directly is kept while its incarnation is
// the same.
func (v *VM) storeRelayed(h *peer.Heartbeat) {
	if h.VM.Name == v.self.Name {
		return
	}
	stored := *h
	if old := v.heartbeats[h.VM.Name]; old != nil && old.Inc == h.Inc {
		if old.Sequence > h.Sequence {
			return
		}
		stored.Quota = old.Quota
	}
	v.heartbeats[h.VM.Name] = &stored
}

// isNewer reports whether a configuration number is newer than the one in
// force.
func (v *VM) isNewer(number int64) bool {
	return v.conf.current == nil && number > 0 || v.conf.current != nil && number > v.conf.current.Number
}

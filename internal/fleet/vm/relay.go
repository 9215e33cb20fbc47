package vm

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/traffic/scheduler"
)

const (
	// sparseEvery is the time between two rounds of heartbeats in a large
	// fleet.
	sparseEvery = time.Second

	// extraRounds is how many rounds follow at once when there is news that
	// should not wait: a configuration, or a mark on a bad version.
	extraRounds = 3

	// listRarely is how often a VM of a large fleet reads the platform's
	// list if others of its failure domain do so often.
	listRarely = time.Minute

	// publishSparse is the least time between two snapshots of a large fleet
	// that only heartbeats bring about.
	publishSparse = 500 * time.Millisecond
)

// readsList reports whether it is time to read the platform's list. In a large
// fleet the watchers of each failure domain read it for the others.
func (v *VM) readsList(now time.Time) bool {
	if v.members.Sparse() && v.members.Rank(now) >= member.Watchers {
		return v.every("list rarely", listRarely, now)
	}
	return v.every("list", listEvery, now)
}

// round sends the heartbeats that are due.
func (v *VM) round(now time.Time) {
	period := beatEvery
	if v.members.Sparse() {
		period = sparseEvery
	}
	due := v.every("beat", period, now)
	if !due && (v.news == 0 || !v.members.Sparse()) {
		return
	}
	v.news = max(0, v.news-1)
	v.forget()
	v.summarize(now)
	v.beat(v.targets(now), now)
}

// forget drops the heartbeats of VMs that the table has forgotten.
func (v *VM) forget() {
	for name := range v.beats {
		if _, ok := v.members.Find(name); !ok {
			delete(v.beats, name)
		}
	}
}

// summarize writes the summary of the own failure domain, if that is up to
// this VM.
func (v *VM) summarize(now time.Time) {
	if !v.members.Writes(now) {
		return
	}
	var beats []*peer.Heartbeat
	if v.state == sassafrastray.VMLive {
		beats = append(beats, v.own(now))
	}
	for _, m := range v.members.Entries(now) {
		if h := v.beats[m.VM.Name]; h != nil {
			beats = append(beats, h)
		}
	}
	s := peer.Summarize(v.self.Domain, beats)
	v.members.Write(s.Sum(), now)
	v.summaries[v.self.Domain] = s
}

// asks returns what this VM knows, for another that may know more. It is nil
// in a fleet where every VM hears every other.
func (v *VM) asks(to sassafrastray.VM) *peer.Relay {
	if !v.members.Sparse() {
		return nil
	}
	r := &peer.Relay{Marks: v.members.Marks(v.clock.Now())}
	if to.Domain == v.self.Domain {
		r.Seen = v.members.Seen()
	}
	return r
}

// tells returns what the asker lacks.
func (v *VM) tells(h *peer.Heartbeat, now time.Time) *peer.Relay {
	if h.Relay == nil {
		return nil
	}
	r := &peer.Relay{}
	if h.VM.Domain == v.self.Domain {
		for _, m := range v.members.Unseen(h.Relay.Seen, now) {
			if b := v.beats[m.VM.Name]; b != nil && m.VM.Name != h.VM.Name {
				mate := b.Brief()
				mate.Heard = m.Age.Milliseconds()
				r.Mates = append(r.Mates, mate)
			}
		}
	}
	marks, changed := v.members.Newer(h.Relay.Marks, now)
	r.Marks = marks
	for _, d := range changed {
		if s, ok := v.summaries[d]; ok {
			r.Summaries = append(r.Summaries, s)
		}
	}
	return r
}

// hearRelay takes in what another VM tells of third ones.
func (v *VM) hearRelay(r *peer.Relay, now time.Time) {
	if r == nil {
		return
	}
	for i := range r.Mates {
		v.hearMate(&r.Mates[i], now)
	}
	summaries := make(map[sassafrastray.DomainName]*peer.Summary, len(r.Summaries))
	for i := range r.Summaries {
		summaries[r.Summaries[i].Domain] = &r.Summaries[i]
	}
	for _, m := range r.Marks {
		s := summaries[m.Domain]
		if s == nil {
			v.members.Refresh(m, now)
			continue
		}
		if v.members.Learn(m, s.Beats(), now) {
			v.hearSummary(s)
		}
	}
}

// hearMate takes in the relayed heartbeat of a VM of the own failure domain.
func (v *VM) hearMate(h *peer.Heartbeat, now time.Time) {
	age := time.Duration(h.Heard) * time.Millisecond
	if h.VM.Domain != v.self.Domain || !v.members.Relayed(h.Beat(), age, now) {
		return
	}
	v.keep(h)
	v.gate.Do(func(k *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) {
		k.ApplyHoldings(h.Holdings, now)
		for _, b := range h.Drains {
			k.MarkDraining(b, now)
		}
		return nil, nil
	})
	if v.behind(h.Config) {
		v.pull(h.VM)
	}
}

func (v *VM) hearSummary(s *peer.Summary) {
	v.summaries[s.Domain] = *s
	if s.Domain == v.self.Domain {
		return
	}
	for i := range s.Entries {
		v.keep(&s.Entries[i])
	}
}

// keep stores a brief heartbeat. What the VM itself told earlier beyond that
// stays as long as it is the same process.
func (v *VM) keep(h *peer.Heartbeat) {
	if h.VM.Name == v.self.Name {
		return
	}
	b := *h
	if old := v.beats[h.VM.Name]; old != nil && old.Inc == h.Inc {
		if old.Sequence > h.Sequence {
			return
		}
		b.Quota = old.Quota
	}
	v.beats[h.VM.Name] = &b
}

// behind reports whether a configuration number is newer than the own.
func (v *VM) behind(number int64) bool {
	return v.conf.current == nil && number > 0 || v.conf.current != nil && number > v.conf.current.Number
}

package duty

import (
	"time"

	"sassafrastray"
)

// Claim is what a VM knows of the duty, as heartbeats carry it. All but Failing was once
// in a record that the store confirmed, or happened later at the holder. The zero value
// means that nothing is known.
type Claim struct {
	Holder     sassafrastray.VMName `json:"holder,omitempty"`
	Generation int64                `json:"generation,omitempty"`
	// Sequence orders the claims of one generation.
	Sequence int64 `json:"sequence,omitempty"`
	// Decided is the highest window that is decided or given up.
	Decided int64 `json:"decided,omitempty"`
	// Finished is the highest window up to which all are reported or given up.
	Finished int64 `json:"finished,omitempty"`
	// Unreached is whether the holder fails to reach the store.
	Unreached bool `json:"unreached,omitempty"`
	Released  bool `json:"released,omitempty"`
	// Failing is whether the VM that sends the claim lately failed to reach the
	// platform. It is not passed on.
	Failing bool `json:"failing,omitempty"`
}

// Claim returns what this VM knows, for its heartbeats.
func (m *Machine) Claim(now time.Time) Claim {
	c := m.claim
	c.Failing = now.Before(m.failingUntil)
	return c
}

// Hear takes over a claim from another VM's heartbeat. A claim that can't be true is dropped:
// one VM with a damaged state would else end the duty of the whole fleet.
func (m *Machine) Hear(from sassafrastray.VMName, c Claim, now time.Time) {
	delete(m.failing, from)
	if c.Failing {
		m.failing[from] = now.Add(claimValidity)
	}
	if m.plausible(c, now) {
		m.learn(c, now)
	}
}

// plausible reports whether a claim's generation and windows may exist by now. Generations
// grow with the fleet's time, and no window is decided or given up before it began.
func (m *Machine) plausible(c Claim, now time.Time) bool {
	fleet := now
	if !m.in.FleetTime.IsZero() {
		fleet = m.in.FleetTime.Add(now.Sub(m.tickedAt))
	}
	latest := m.window(fleet.Add(skew))
	return c.Generation <= fleet.Add(generationLead).UnixMilli() && c.Decided <= latest && c.Finished <= latest
}

// learn merges a claim into what is known. A holder that learns of a greater generation
// has lost the duty, even before it can read the record.
func (m *Machine) learn(c Claim, now time.Time) {
	k := &m.claim
	switch {
	case c.Generation > k.Generation:
		k.Holder, k.Generation, k.Sequence = c.Holder, c.Generation, c.Sequence
		k.Unreached, k.Released = c.Unreached, c.Released
		if c.Holder != "" {
			m.recent[c.Holder] = now
		}
		if m.held && c.Generation > m.gen {
			m.lose("a VM knows of a greater generation", now)
		}
	case c.Generation == k.Generation && c.Sequence > k.Sequence && !m.held:
		k.Sequence, k.Unreached, k.Released = c.Sequence, c.Unreached, c.Released
	}
	k.Decided, k.Finished = max(k.Decided, c.Decided), max(k.Finished, c.Finished)
}

// lose ends holding the duty without a release.
func (m *Machine) lose(reason string, now time.Time) {
	m.held, m.restate, m.trusted, m.grant = false, false, false, time.Time{}
	if m.claim.Holder != m.opt.Self {
		m.lostAt = now
	}
	m.note(Note{Event: Lost, Holder: m.claim.Holder, Generation: m.claim.Generation, Reason: reason})
}

// announce tells the other VMs whether this holder reaches the store. One that does not
// reach the platform releases the duty instead.
func (m *Machine) announce(now time.Time) {
	since := m.storeFailing
	if since.IsZero() && m.op != nil {
		since = m.op.start
	}
	cut := !since.IsZero() && now.Sub(since) >= unreachedAfter
	if m.held && cut != m.claim.Unreached {
		m.claim.Unreached = cut
		m.claim.Sequence++
	}
}

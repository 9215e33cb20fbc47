package duty

import (
	"slices"
	"time"
)

// contend returns the next call of a VM that does not hold the duty: a read and then a
// write once the duty has been vacant for long enough.
func (m *Machine) contend(now time.Time) Effect {
	reason, delay := m.vacant()
	if reason == "" || m.claim.Generation != m.vacantGen {
		m.vacantSince, m.vacantGen = time.Time{}, m.claim.Generation
	}
	if reason == "" || m.stopping {
		return nil
	}
	if m.vacantSince.IsZero() {
		m.vacantSince = now
	}
	vms := m.vms()
	rank := slices.Index(vms, m.opt.Self)
	if m.claim.Holder == m.opt.Self && !m.claim.Released {
		rank = min(rank, 0) // an earlier run of this VM
	}
	if rank < 0 || now.Sub(m.startedAt) < unknownAfter || now.Before(m.vacantSince.Add(delay+time.Duration(rank)*rankDelay)) {
		return nil
	}
	if len(vms) > 1 && (m.coolingDown(now) || now.Before(m.failingUntil)) {
		return nil
	}
	if m.readAt.Before(m.vacantSince) || now.Sub(m.readAt) > unknownAfter {
		return m.read(now)
	}
	return m.take(reason, now)
}

// vacant returns why another VM than the last known holder should have the duty, and
// for how long that has to last.
func (m *Machine) vacant() (reason string, delay time.Duration) {
	c := &m.claim
	switch {
	case c.Generation == 0:
		return "no holder is known", unknownAfter
	case c.Released:
		return "the holder released the duty", 0
	case c.Holder == m.opt.Self:
		return "an earlier run of this VM was the holder", 0
	case m.in.Suspect(c.Holder):
		return "the holder is silent", 0
	case c.Unreached:
		return "the holder does not reach the store", 0
	case !slices.Contains(m.in.Candidates, c.Holder):
		return "the holder is no candidate", unreachedAfter
	}
	return "", 0
}

// coolingDown reports whether this VM held the duty so recently that it might have it
// before and after another VM within a lease. A VM that has just started can't tell.
func (m *Machine) coolingDown(now time.Time) bool {
	return !m.lostAt.IsZero() && now.Sub(m.lostAt) < 2*m.opt.Lease
}

// take returns a write by which this VM becomes the holder under a new generation.
// The generation grows with the fleet's time, so that it is greater than all before
// also if the store and the VMs have forgotten them.
func (m *Machine) take(reason string, now time.Time) Effect {
	gen := m.in.FleetTime.UnixMilli()
	if m.doubt {
		// Another VM may have taken the duty an instant ago in the lost part of the
		// store's history, and its estimate of the time may be ahead.
		gen += skew.Milliseconds()
	}
	gen = max(gen, m.claim.Generation+1, m.tried+1)
	if m.rec != nil {
		gen = max(gen, m.rec.Generation+1)
	} else if m.claim.Generation == 0 {
		m.floor = max(m.floor, m.first-1)
	}
	started := now.Sub(m.startedAt) >= 2*m.opt.Lease
	quick := m.rec != nil && m.rec.Released && m.rec.Generation >= m.claim.Generation &&
		!m.doubt && started && !m.coolingDown(now)
	m.tried = gen
	if reason == "" {
		reason = "this VM needs a new generation"
	}
	return m.write(&operation{rec: m.record(gen), take: true, quick: quick, notes: []Note{{Event: Taken, Reason: reason}}}, now)
}

// become makes this VM the holder after its write is known to have taken effect.
// Calls of the previous holder may arrive for a lease, unless it released the duty.
func (m *Machine) become(gen int64, quick bool, now time.Time) {
	if gen < m.claim.Generation {
		return // another VM became the holder in a part of the history that is lost
	}
	m.held, m.gen, m.restate, m.grant, m.vacantSince = true, gen, false, time.Time{}, time.Time{}
	m.waitUntil, m.decideAfter = now.Add(m.opt.Lease), now.Add(countsDelay)
	if quick {
		m.waitUntil = now
	}
	m.failedCalls = nil
	m.learn(Claim{Holder: m.opt.Self, Generation: gen}, now)
}

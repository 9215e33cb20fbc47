package place

import (
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

// onAnswer handles the answer to the current call.
func (m *StateMachine) onAnswer(a Answer, now time.Time) []Effect {
	if errors.Is(a.Err, sassafrastray.ErrUnavailable) {
		m.scheduleRetry(now)
		if m.state == Claiming {
			m.state = Seeking
		}
		return nil
	}
	switch m.state {
	case Seeking:
		return m.onList(a, now)
	case Claiming:
		return m.onClaim(a, now)
	case Holding:
		return m.onRenewal(a, now)
	case Checking:
		return m.onCheck(a, now)
	case Releasing:
		return m.onRelease(a, now)
	}
	return nil
}

// onList claims a place after listing the domain's records: the VM's own, a free
// one or an abandoned one.
func (m *StateMachine) onList(a Answer, now time.Time) []Effect {
	if a.Err != nil {
		m.scheduleRetry(now)
		return nil
	}
	m.backoff = 0
	used := make(map[int]bool)
	var out []Effect
	for _, o := range a.Objects {
		index, r, ok := m.decode(o)
		if !ok {
			continue
		}
		used[index] = true
		if r.VM == m.self {
			if r.Inc > m.inc {
				m.state = Stopped // a later process of this VM holds the place
				return nil
			}
			return m.claim(index, o.Version, now)
		}
		out = append(out, m.observe(index, r, o.Version, now)...)
	}
	for index := range m.places {
		if !used[index] {
			return append(out, m.claim(index, 0, now)...)
		}
	}
	for index := range m.places {
		if o := m.observed[index]; m.abandoned(o, now) {
			return append(out, m.claim(index, o.version, now)...)
		}
	}
	m.scheduleCall(now, m.opt.SeekInterval)
	return out
}

// observe tracks since when a record has not changed. Once the record should have
// been renewed, it probes the holder with a connection.
func (m *StateMachine) observe(index int, r Record, version int64, now time.Time) []Effect {
	last := m.observed[index]
	if last.record != r || last.version != version {
		m.observed[index] = observation{record: r, version: version, since: now}
		return nil
	}
	if now.Sub(last.since) < m.opt.RenewInterval/2 {
		return nil
	}
	return []Effect{Probe{VM: r.VM}}
}

// abandoned reports whether the place may be taken over: its record has not
// changed and its holder has been unreachable for Options.TakeoverAfter.
func (m *StateMachine) abandoned(o observation, now time.Time) bool {
	since, ok := m.unreachableSince[o.record.VM]
	return ok && now.Sub(since) >= m.opt.TakeoverAfter && now.Sub(o.since) >= m.opt.TakeoverAfter
}

// claim writes a record for this VM, provided the place's record still has the
// given version.
func (m *StateMachine) claim(index int, version int64, now time.Time) []Effect {
	m.state = Claiming
	m.index = index
	m.record = Record{VM: m.self, Inc: m.inc}
	id := m.newCall(now)
	return []Effect{Put{ID: id, Key: m.key(index), Value: m.record.encode(), Version: version}}
}

// onClaim starts using the place if the claim was written. If the outcome is
// unknown, the next list shows whether the write took effect, and the claim is
// written once more.
func (m *StateMachine) onClaim(a Answer, now time.Time) []Effect {
	if a.Err != nil {
		m.state = Seeking
		m.scheduleRetry(now)
		return nil
	}
	m.state = Holding
	m.version = a.Version
	m.useFrom = now.Add(m.opt.Quarantine)
	m.backoff = 0
	m.scheduleCall(now, m.opt.RenewInterval)
	clear(m.observed)
	return m.startUse()
}

// startUse tells the caller to use the place once its quarantine is over.
func (m *StateMachine) startUse() []Effect {
	m.inUse = true
	return []Effect{Hold{Place: &sassafrastray.Place{Domain: m.domain, Index: m.index}, From: m.useFrom}}
}

// onRenewal records a renewal, or has the record read again if the outcome is
// unknown. A conflict stops the use of the place at once.
func (m *StateMachine) onRenewal(a Answer, now time.Time) []Effect {
	switch {
	case a.Err == nil:
		m.version = a.Version
		m.record.Renewals++
		m.backoff = 0
		m.scheduleCall(now, m.opt.RenewInterval)
		if m.inUse {
			return nil
		}
		return m.startUse()
	case errors.Is(a.Err, sassafrastray.ErrConflict), errors.Is(a.Err, sassafrastray.ErrNotFound):
		return m.recheck(now)
	default:
		m.state = Checking
		m.scheduleRetry(now)
		return nil
	}
}

// onCheck compares the record with this process's identity. A holder that has
// stopped using its place renews the record before it resumes: a read alone does
// not prevent another VM from taking the place over on earlier observations.
func (m *StateMachine) onCheck(a Answer, now time.Time) []Effect {
	if a.Err != nil && !errors.Is(a.Err, sassafrastray.ErrNotFound) {
		m.scheduleRetry(now)
		return nil
	}
	m.backoff = 0
	if len(a.Objects) == 1 && a.Err == nil {
		_, r, ok := m.decode(a.Objects[0])
		if ok && r.VM == m.self && r.Inc == m.inc {
			m.state = Holding
			m.record, m.version = r, a.Objects[0].Version
			m.nextAt = now
			return nil
		}
	}
	m.state = Seeking
	m.nextAt = now
	return m.stopUse()
}

// onRelease handles the answer to the deletion of the record. On a conflict it
// reads the record again: the record may belong to another VM, or a renewal whose
// answer was lost may have changed its version.
func (m *StateMachine) onRelease(a Answer, now time.Time) []Effect {
	switch {
	case errors.Is(a.Err, sassafrastray.ErrUnknown):
		m.scheduleRetry(now)
		return nil
	case errors.Is(a.Err, sassafrastray.ErrConflict):
		m.state = Checking
		m.nextAt = now
		return nil
	}
	m.backoff = 0
	m.state = Seeking
	if m.leaving {
		m.state = Stopped
	}
	m.scheduleCall(now, m.opt.SeekInterval)
	return nil
}

package place

import (
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

// answer handles the outcome of the call that was waited for.
func (m *Machine) answer(a Answer, now time.Time) []Effect {
	if errors.Is(a.Err, sassafrastray.ErrUnavailable) {
		m.retry(now)
		if m.state == Claiming {
			m.state = Seeking
		}
		return nil
	}
	switch m.state {
	case Seeking:
		return m.listed(a, now)
	case Claiming:
		return m.claimed(a, now)
	case Holding:
		return m.renewed(a, now)
	case Checking:
		return m.checked(a, now)
	case Releasing:
		return m.released(a, now)
	}
	return nil
}

// listed chooses a place from the domain's records.
func (m *Machine) listed(a Answer, now time.Time) []Effect {
	if a.Err != nil {
		m.retry(now)
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
				m.state = Stopped // a later process of this VM has its place
				return nil
			}
			return m.claim(index, o.Version, now)
		}
		out = append(out, m.watch(index, r, o.Version, now)...)
	}
	for index := range m.places {
		if !used[index] {
			return append(out, m.claim(index, 0, now)...)
		}
	}
	for index := range m.places {
		if s := m.seen[index]; m.abandoned(s, now) {
			return append(out, m.claim(index, s.version, now)...)
		}
	}
	m.wait(now, m.opt.Seek)
	return out
}

// watch notes since when a record is unchanged, and asks for a connection to
// its holder once it should have been renewed.
func (m *Machine) watch(index int, r Record, version int64, now time.Time) []Effect {
	s := m.seen[index]
	if s.record != r || s.version != version {
		m.seen[index] = sighting{record: r, version: version, since: now}
		return nil
	}
	if now.Sub(s.since) < m.opt.Renew/2 {
		return nil
	}
	return []Effect{Probe{VM: r.VM}}
}

// abandoned tells whether a place's holder is gone as far as this VM can tell.
func (m *Machine) abandoned(s sighting, now time.Time) bool {
	down, ok := m.down[s.record.VM]
	return ok && now.Sub(down) >= m.opt.Takeover && now.Sub(s.since) >= m.opt.Takeover
}

// claim writes this VM into a place's record.
func (m *Machine) claim(index int, version int64, now time.Time) []Effect {
	m.state = Claiming
	m.index = index
	m.record = Record{VM: m.self, Inc: m.inc}
	id := m.newCall(now)
	return []Effect{Put{ID: id, Key: m.key(index), Value: m.record.encode(), Version: version}}
}

// claimed starts the use of a place. After a lost answer the list tells
// whether the write took effect, and the claim is written once more.
func (m *Machine) claimed(a Answer, now time.Time) []Effect {
	if a.Err != nil {
		m.state = Seeking
		m.retry(now)
		return nil
	}
	m.state = Holding
	m.version = a.Version
	m.from = now.Add(m.opt.Quarantine)
	m.backoff = 0
	m.wait(now, m.opt.Renew)
	clear(m.seen)
	return m.use()
}

// use tells the caller to use the place.
func (m *Machine) use() []Effect {
	m.held = true
	return []Effect{Hold{Place: &sassafrastray.Place{Domain: m.domain, Index: m.index}, From: m.from}}
}

// renewed notes a renewal, or reads the record if its outcome is in doubt. A
// conflict stops the use of the place at once.
func (m *Machine) renewed(a Answer, now time.Time) []Effect {
	switch {
	case a.Err == nil:
		m.version = a.Version
		m.record.Renewals++
		m.backoff = 0
		m.wait(now, m.opt.Renew)
		if m.held {
			return nil
		}
		return m.use()
	case errors.Is(a.Err, sassafrastray.ErrConflict), errors.Is(a.Err, sassafrastray.ErrNotFound):
		return m.recheck(now)
	default:
		m.state = Checking
		m.retry(now)
		return nil
	}
}

// checked compares the record with what this VM wrote last. A holder that had
// stopped using its place renews the record before it goes on: a read alone
// leaves time for another VM to take the place over on old evidence.
func (m *Machine) checked(a Answer, now time.Time) []Effect {
	if a.Err != nil && !errors.Is(a.Err, sassafrastray.ErrNotFound) {
		m.retry(now)
		return nil
	}
	m.backoff = 0
	if len(a.Objects) == 1 && a.Err == nil {
		_, r, ok := m.decode(a.Objects[0])
		if ok && r.VM == m.self && r.Inc == m.inc {
			m.state = Holding
			m.record, m.version = r, a.Objects[0].Version
			m.next = now
			return nil
		}
	}
	m.state = Seeking
	m.next = now
	return m.drop()
}

// released ends the use of a place for good. A place whose record is no
// longer this VM's needs no giving back, but a renewal whose answer was lost
// may have changed the record's version.
func (m *Machine) released(a Answer, now time.Time) []Effect {
	switch {
	case errors.Is(a.Err, sassafrastray.ErrUnknown):
		m.retry(now)
		return nil
	case errors.Is(a.Err, sassafrastray.ErrConflict):
		m.state = Checking
		m.next = now
		return nil
	}
	m.backoff = 0
	m.state = Seeking
	if m.leaving {
		m.state = Stopped
	}
	m.wait(now, m.opt.Seek)
	return nil
}

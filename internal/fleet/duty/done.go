package duty

import (
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

// ReadDone is the result of a Read. The record is nil, with or without ErrNotFound, if
// the store has none. The position has the record's revision and the store's era.
func (m *Machine) ReadDone(rec *Record, at sassafrastray.Position, err error, now time.Time) {
	op := m.op
	if op == nil || op.id != 0 {
		return
	}
	m.op = nil
	if err != nil && !errors.Is(err, sassafrastray.ErrNotFound) {
		m.storeFailed(op, now)
		return
	}
	m.storeAnswered()
	m.needRead, m.readAt, m.at, m.rec, m.grant = false, op.start, at, nil, time.Time{}
	if err == nil && rec != nil {
		m.rec = rec.clone()
	}
	m.compare(op.known)
	if m.rec == nil {
		m.restate = m.held
		return
	}
	m.adopt(now)
}

// compare sets whether decisions may be missing from the record that was read. That is
// so if it was written in another era of the store, or is older than what other VMs
// knew before the read began. A store without the record is new, or has lost it.
func (m *Machine) compare(known Claim) {
	older, mine := true, m.rec
	if mine != nil {
		cleared := m.held && mine.Generation == m.gen && m.cleared == clearance{m.gen, m.at.Era}
		older = (mine.Era == unknownEra && !cleared) || mine.Generation < known.Generation || mine.Floor < known.Decided ||
			(mine.Era > 0 && m.at.Era != 0 && mine.Era != m.at.Era)
	}
	if !older {
		m.doubt = false
		return
	}
	if !m.doubt && (mine != nil || known.Generation > 0) {
		m.note(Note{Event: Rollback, Holder: known.Holder, Generation: known.Generation, Window: known.Decided})
	}
	m.trusted = m.held && (!m.doubt || m.trusted)
	m.doubt, m.doubtNew = true, true
}

// adopt takes over the record that was read.
func (m *Machine) adopt(now time.Time) {
	rec := m.rec
	mine := rec.Holder == m.opt.Self
	if !m.doubt || !m.trusted || rec.Generation > max(m.gen, m.tried) {
		for _, r := range rec.Reports {
			m.add(r)
		}
	}
	switch {
	case mine && rec.Generation == m.tried && (!m.held || m.gen != m.tried) && !rec.Released:
		// A write with an unknown outcome had taken effect.
		m.become(rec.Generation, false, now)
		m.restate = m.held && m.doubt
		m.note(Note{Event: Taken, Holder: m.opt.Self, Generation: rec.Generation, Reason: "found in the record"})
	case m.held && mine && rec.Generation == m.gen && rec.Released:
		m.released("found in the record", now)
	case m.held && rec.Generation <= m.gen:
		m.restate = m.restate || m.doubt || !mine || rec.Generation < m.gen
	}
	m.learn(Claim{
		Holder: rec.Holder, Generation: rec.Generation, Released: rec.Released, Decided: rec.Floor,
	}, now)
	m.trim()
}

// WriteDone is the result of a Write: the position of the new record, with the era
// that the response tells, ErrConflict, or another error if the outcome is unknown.
func (m *Machine) WriteDone(id int64, at sassafrastray.Position, err error, now time.Time) {
	op := m.op
	if op == nil || op.id == 0 || op.id != id {
		return
	}
	m.op = nil
	if errors.Is(err, sassafrastray.ErrConflict) || errors.Is(err, sassafrastray.ErrNotFound) {
		m.conflict(op, now)
		return
	}
	if err != nil {
		m.storeFailed(op, now)
		m.needRead = true
		return
	}
	m.storeAnswered()
	if op.at.Era != 0 && at.Era != 0 && at.Era != op.at.Era {
		// The record was replaced in another era, whose record has not been read.
		m.needRead = true
		return
	}
	if at.Era == 0 {
		at.Era = op.at.Era
	}
	m.rec, m.at, m.conflicts = op.rec, at, 0
	if op.take {
		m.become(op.rec.Generation, op.quick, now)
	}
	if !m.held || op.rec.Generation != m.gen {
		return // lost by a claim while the write was under way
	}
	m.wrote(op, now)
}

// conflict handles a write that the store refused. The record is read again; a store that
// refuses write after write is asked less and less often.
func (m *Machine) conflict(op *operation, now time.Time) {
	m.needRead = true
	if m.conflicts++; m.conflicts == 1 {
		m.storeAnswered()
		return
	}
	m.failures = max(m.failures, m.conflicts-2)
	m.storeFailed(op, now)
}

// wrote takes over what a write of the holder decided. The right to call counts from
// the start of the write, before which no other VM can have replaced this one.
func (m *Machine) wrote(op *operation, now time.Time) {
	m.grant, m.confirmed = op.start, true
	for _, r := range op.rec.Reports {
		if m.reports[r.Window] == nil {
			m.reports[r.Window] = &r
		}
	}
	m.claim.Decided = max(m.claim.Decided, op.rec.Floor)
	m.finish()
	m.trim()
	for _, n := range op.notes {
		n.Holder, n.Generation = m.opt.Self, m.gen
		if n.Window != 0 {
			n.Age = m.in.FleetTime.Sub(m.end(n.Window))
		}
		if n.Event != Released {
			m.note(n)
		}
	}
	if op.rec.Released {
		m.released(op.notes[0].Reason, now)
	}
}

// released ends holding the duty after a release.
func (m *Machine) released(reason string, now time.Time) {
	m.held, m.grant, m.lostAt = false, time.Time{}, now
	m.claim.Released = true
	m.claim.Sequence++
	m.note(Note{Event: Released, Holder: m.opt.Self, Generation: m.gen, Reason: reason})
}

// SendDone is the result of a Send.
func (m *Machine) SendDone(id int64, o Outcome, now time.Time) {
	c := m.call
	if c == nil || c.id != id {
		return
	}
	m.call = nil
	r := m.reports[c.window]
	n := Note{Event: Retried, Holder: m.opt.Self, Generation: m.gen, Window: c.window, Age: m.in.FleetTime.Sub(m.end(c.window))}
	if a := m.attempts[c.window]; a != nil {
		n.Covered, n.Missing = a.covered, a.missing
	}
	switch o {
	case Sent:
		n.Event, m.failedCalls, m.failingUntil = Reported, nil, time.Time{}
		m.lastSent, m.lastSentAge = c.window, n.Age
		if n.Age > m.opt.Lateness {
			n.Reason = "late"
		}
		if r != nil {
			r.Sent = true
		}
		m.finish()
	case Limited:
		n.Reason = "the platform limits the rate"
		m.delayCall(now.Add(limitedDelay))
	case Failed:
		// The call may be under way still. It arrives within a lease of its grant.
		m.strayUntil = c.grant.Add(m.opt.Lease)
		n.Reason = "the outcome is unknown"
		m.callFailed(now)
	case Unreached:
		n.Reason = "the platform is unreachable"
		m.callFailed(now)
	case Rejected:
		n.Reason = m.reject(r, c.window, now)
	case Expired:
		n.Reason = "the time to call had passed"
		m.delayCall(now.Add(retryDelay))
	}
	m.note(n)
}

// reject handles a report that the platform refuses. It may have seen a greater
// generation, so the next call is made under a new one.
func (m *Machine) reject(r *Report, window int64, now time.Time) string {
	m.rejected[window]++
	m.delayCall(now.Add(retryDelay))
	if m.rejected[window] < maxRejections || r == nil {
		m.needRead, m.restate = m.held, m.held
		return "the platform rejects the report"
	}
	r.Sent = true
	m.finish()
	return "given up: the platform rejects the report"
}

func (m *Machine) delayCall(t time.Time) {
	if t.After(m.nextCall) {
		m.nextCall = t
	}
}

// callFailed counts a failed call.
func (m *Machine) callFailed(now time.Time) {
	m.delayCall(now.Add(retryDelay))
	m.failedCalls = append(m.failedCalls, now)
	for now.Sub(m.failedCalls[0]) > failureWindow {
		m.failedCalls = m.failedCalls[1:]
	}
	if len(m.failedCalls) >= maxFailures {
		m.failingUntil = now.Add(failingFor)
	}
}

// storeFailed delays the next store call, longer after each failure in a row.
func (m *Machine) storeFailed(op *operation, now time.Time) {
	if m.storeFailing.IsZero() {
		m.storeFailing = op.start
	}
	m.retryAt = now.Add(min(storeBackoff<<min(m.failures, 8), maxBackoff))
	m.failures++
}

func (m *Machine) storeAnswered() {
	m.failures, m.storeFailing = 0, time.Time{}
}

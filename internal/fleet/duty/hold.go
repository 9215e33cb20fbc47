package duty

import (
	"maps"
	"time"

	"sassafrastray"
)

// hold returns the holder's next call.
func (m *Machine) hold(now time.Time) Effect {
	switch {
	case m.stopping:
		return m.release("the VM stops", now)
	case m.restate:
		return m.take("", now)
	case now.Before(m.waitUntil):
		return nil
	}
	m.resolve()
	if now.Before(m.failingUntil) && m.otherCandidate() {
		return m.release("the platform is unreachable from here", now)
	}
	m.expire()
	if now.Before(m.nextCall) {
		return nil
	}
	r := m.pending()
	if r != nil && m.mayCall(now) {
		return m.send(r, now)
	}
	op := &operation{rec: m.record(m.gen)}
	if !m.decide(op, now) && r == nil {
		return nil
	}
	return m.write(op, now)
}

// mayCall reports whether the last conditional write still entitles this VM to a call.
// A call with little time left is made only if the write itself took the time.
func (m *Machine) mayCall(now time.Time) bool {
	left := m.grant.Add(m.opt.Lease / 3).Sub(now)
	return left >= m.opt.Lease/12 || (left > 0 && m.confirmed)
}

func (m *Machine) send(r *Report, now time.Time) Effect {
	m.call, m.confirmed = &call{id: m.nextID(), window: r.Window, grant: m.grant}, false
	if m.opt.MaxPerSecond > 0 {
		m.nextCall = now.Add(time.Duration(float64(time.Second) / m.opt.MaxPerSecond))
	}
	out := *r
	out.Counts, out.Generation, out.Sent = maps.Clone(r.Counts), m.gen, false
	return Send{Report: out, NotAfter: m.grant.Add(m.opt.Lease / 3), ID: m.call.id}
}

// decide adds the windows that are due to the record to be written, oldest first. A
// window of which nothing is known is given up once a later one is decided.
func (m *Machine) decide(op *operation, now time.Time) bool {
	if now.Before(m.decideAfter) {
		return false
	}
	begin := op.rec.Floor
	for w := max(begin+1, m.oldest()); w <= m.settled(m.in.FleetTime); w++ {
		a := m.attempts[w]
		if a == nil {
			a = &attempt{}
			a.counts, a.covered, a.missing = m.in.Counts(w)
			if a.covered == 0 {
				continue
			}
			a.counts = maps.Clone(a.counts)
			m.attempts[w] = a
		}
		for lost := max(op.rec.Floor+1, m.oldest()-1); lost < w; lost++ {
			op.notes = append(op.notes, Note{Event: GivenUp, Window: lost, Reason: "no counts in time"})
		}
		op.rec.Floor = w
		op.rec.Reports = append(op.rec.Reports, Report{Window: w, Generation: m.gen, Counts: a.counts})
		op.notes = append(op.notes, Note{Event: Decided, Window: w, Covered: a.covered, Missing: a.missing})
	}
	if n := len(op.rec.Reports) - maxReports; n > 0 {
		op.rec.Reports = op.rec.Reports[n:]
	}
	return op.rec.Floor > begin
}

// release writes that the duty is free. The next holder then need not wait, so it is
// written only once no call of this holder or its predecessor can still arrive.
func (m *Machine) release(reason string, now time.Time) Effect {
	if m.restate || m.doubt {
		// The next holder has to wait in any case.
		m.claim.Unreached = true
		m.claim.Sequence++
		m.lose(reason, now)
		m.lostAt = now
		return nil
	}
	if now.Before(m.strayUntil) || now.Before(m.waitUntil) {
		return nil
	}
	rec := m.record(m.gen)
	rec.Released = true
	return m.write(&operation{rec: rec, notes: []Note{{Event: Released, Reason: reason}}}, now)
}

// resolve ends the doubt about windows that may have been decided in a part of the
// store's history that is lost. Only the VM that held the duty then can know that none
// were, if no other VM can have taken it unnoticed. Otherwise all of them are given up.
func (m *Machine) resolve() {
	if !m.doubt {
		return
	}
	m.doubt, m.cleared = false, clearance{m.gen, m.at.Era}
	if m.trusted && !m.anySuspect() {
		return
	}
	m.floor = max(m.floor, m.doubtWindow)
	for _, r := range m.reports {
		r.Sent = r.Sent || r.Window <= m.doubtWindow
	}
	m.note(Note{Event: GivenUp, Window: m.doubtWindow, Reason: "the store lost what was decided up to this window"})
}

// anySuspect reports whether a VM that could take the duty may be out of sight.
func (m *Machine) anySuspect() bool {
	for _, vm := range m.in.Fleet {
		if vm != m.opt.Self && m.in.Suspect(vm) {
			return true
		}
	}
	for vm := range m.recent {
		if vm != m.opt.Self && m.in.Suspect(vm) {
			return true
		}
	}
	return len(m.in.Fleet) == 0
}

// expire gives up reports that are too old.
func (m *Machine) expire() {
	for _, r := range m.reports {
		if !r.Sent && r.Window < m.oldest() {
			r.Sent = true
			if r.Window > m.claim.Finished {
				m.note(Note{Event: GivenUp, Window: r.Window, Reason: "too old"})
			}
		}
	}
	m.finish()
}

// finish updates the highest window up to which nothing is left to be done.
func (m *Machine) finish() {
	if !m.held || m.doubt {
		return
	}
	f := m.claim.Decided
	if r := m.pending(); r != nil {
		f = r.Window - 1
	}
	m.claim.Finished = max(m.claim.Finished, f)
}

// pending returns the oldest decided report that is not sent.
func (m *Machine) pending() *Report {
	var oldest *Report
	for _, r := range m.reports {
		if !r.Sent && r.Window > m.claim.Finished && (oldest == nil || r.Window < oldest.Window) {
			oldest = r
		}
	}
	return oldest
}

// otherCandidate reports whether another VM may take the duty.
func (m *Machine) otherCandidate() bool {
	for _, vm := range m.in.Candidates {
		if _, fails := m.failing[vm]; vm != m.opt.Self && !fails && !m.in.Suspect(vm) {
			return true
		}
	}
	return false
}

// closed returns the highest window that is decided or given up.
func (m *Machine) closed() int64 { return max(m.floor, m.claim.Decided) }

// window returns the window of a time.
func (m *Machine) window(t time.Time) int64 { return t.UnixMilli() / m.opt.Window.Milliseconds() }

// end returns the end of a window.
func (m *Machine) end(w int64) time.Time {
	return time.UnixMilli((w + 1) * m.opt.Window.Milliseconds())
}

// settled returns the highest window that may be decided at a time.
func (m *Machine) settled(t time.Time) int64 { return m.window(t.Add(-m.opt.Settle)) - 1 }

// oldest returns the oldest window that is not given up because of its age.
func (m *Machine) oldest() int64 { return m.window(m.in.FleetTime) - maxAge }

// vms returns the candidates that are not known to fail, without the holder.
func (m *Machine) vms() []sassafrastray.VMName {
	var out []sassafrastray.VMName
	for _, vm := range m.in.Candidates {
		_, fails := m.failing[vm]
		if own := vm == m.opt.Self; own || (!fails && vm != m.claim.Holder) {
			out = append(out, vm)
		}
	}
	return out
}

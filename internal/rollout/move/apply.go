package move

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/rollout/evidence"
)

// maxSuspectShare is the largest share of a suspect version, in thousandths.
const maxSuspectShare = 500

type (
	// Split is how a service's traffic is divided between two versions.
	Split struct {
		From, To sassafrastray.VersionName
		// Share is the share of To, in thousandths.
		Share  int
		Reason string
	}

	// Table holds the split of each service. It is immutable.
	Table map[sassafrastray.ServiceName]Split

	// View is the state from which a VM chooses its share.
	View struct {
		// Record is the service's record, or nil if none is known.
		Record *Record
		// Move is the move in the configuration with number Number, or nil.
		Move   *sassafrastray.Move
		Number int64
		// Share is the share that the VM sends now.
		Share int
		// Fresh reports whether the store is known to have held Record within
		// MaxRecordAge.
		Fresh bool
		// Suspect reports whether this VM judged the new version suspect: it
		// fails or is slow, but the old version may do so too.
		Suspect bool
		// Bad reports whether this VM or a peer has found the version bad.
		Bad bool
		// Fallback reports whether the old version has backend servers.
		Fallback bool
	}
)

// Version returns the version for a request, given a number drawn uniformly
// from 0 to 999.
func (s Split) Version(draw int) sassafrastray.VersionName {
	if draw < s.Share {
		return s.To
	}
	return s.From
}

// AppliedShare returns the share of the new version that a VM sends, and the
// reason for it. The share rises only while the record is fresh.
func AppliedShare(v View, now time.Time) (int, string) {
	want, reason := wantedShare(v, now)
	if want > v.Share && !v.Fresh {
		return v.Share, "in doubt: " + reason
	}
	return want, reason
}

// wantedShare returns the share that AppliedShare would return if the record
// were fresh.
func wantedShare(v View, now time.Time) (int, string) {
	if v.Move == nil {
		return 0, "no move"
	}
	if v.Record == nil {
		return 0, "no record"
	}
	if v.Record.Config > v.Number && !v.Bad {
		return v.Share, "the configuration is older than the record's"
	}
	if o := v.Record.Outcome(v.Move.Name); o != nil {
		return shareAfter(v, *o)
	}
	switch {
	case v.Record.Move != v.Move.Name:
		return 0, "not begun"
	case v.Bad:
		return 0, "the new version is bad"
	case overdue(v.Move, 0, now):
		return 0, "past the deadline"
	}
	return capSuspectShare(v, v.Record.Share, string(Running))
}

// capSuspectShare bounds the share of a suspect version by maxSuspectShare, so
// that the old version receives enough requests for a comparison.
func capSuspectShare(v View, share int, reason string) (int, string) {
	if v.Suspect && v.Fallback && share > maxSuspectShare {
		return maxSuspectShare, "the new version is compared with the old one"
	}
	return share, reason
}

// shareAfter returns the share after the move's outcome. A new version that
// turns bad after its move is done loses its traffic without a new outcome, as
// long as the old version can take it.
func shareAfter(v View, o Outcome) (int, string) {
	switch {
	case o.State == Reverted:
		return 0, "reverted: " + o.Reason
	case v.Bad && v.Fallback:
		return 0, "done, but the new version is bad"
	case v.Bad:
		return fullShare, "done; the new version is bad, but the old one has no backend servers"
	}
	return capSuspectShare(v, fullShare, string(Done))
}

// overdue reports whether at most the time left remains until the move's
// deadline.
func overdue(m *sassafrastray.Move, left time.Duration, now time.Time) bool {
	return !m.Deadline.IsZero() && !now.Add(left).Before(m.Deadline)
}

func (m *Mover) view(s *service, now time.Time) View {
	return View{
		Record: s.rec, Move: s.move, Number: m.number, Share: s.share,
		Fresh:   !s.confirmedAt.IsZero() && now.Sub(s.confirmedAt) < m.opt.MaxRecordAge,
		Suspect: s.verdict.Kind == evidence.Suspect && now.Sub(s.judgedAt) <= maxVerdictAge,
		Bad:     s.badReport() != nil, Fallback: s.fallback,
	}
}

// apply sets the share that this VM sends.
func (m *Mover) apply(s *service, now time.Time) []Effect {
	v := m.view(s, now)
	share, reason := AppliedShare(v, now)
	want, _ := wantedShare(v, now)
	m.scheduleRead(s, want > share || s.partial && s.move != nil && s.move.Name != s.rec.Move, now)
	if share == s.share {
		return nil
	}
	var out []Effect
	if share > s.share {
		out = append(out, Raised{Service: s.name, Share: share})
	}
	s.share = share
	return append(out, m.log(s, "apply", share, reason))
}

// scheduleRead schedules a read of the record while this VM is unsure of it. A
// raise makes all VMs unsure at once, so they spread their reads; a peer's
// heartbeat may confirm the record before this VM's read is due.
func (m *Mover) scheduleRead(s *service, unsure bool, now time.Time) {
	switch {
	case !unsure:
		s.getDueAt = time.Time{}
	case s.getDueAt.IsZero():
		s.getDueAt = now.Add(m.jitter(m.spread()))
	case now.Before(s.getDueAt):
	case now.Sub(s.getSentAt) >= m.opt.MaxRecordAge/2:
		s.needGet = true
	}
}

func (m *Mover) log(s *service, decision string, share int, reason string) Log {
	l := Log{Service: s.name, Decision: decision, Share: share, Reason: reason}
	if s.rec != nil {
		l.Move = s.rec.Move
	} else if s.move != nil {
		l.Move = s.move.Name
	}
	return l
}

// Share returns the split of one service.
func (m *Mover) Share(service sassafrastray.ServiceName, now time.Time) Split {
	s := m.services[service]
	if s == nil {
		return Split{}
	}
	if s.move == nil {
		return Split{From: s.current, To: s.current, Reason: "no move"}
	}
	_, reason := AppliedShare(m.view(s, now), now)
	return Split{From: s.move.From, To: s.move.To, Share: s.share, Reason: reason}
}

// Table returns the splits of all services. The returned table is read without
// a lock; the Mover replaces it when a split changes.
func (m *Mover) Table() Table { return m.table }

// updateTable replaces the table if a split has changed.
func (m *Mover) updateTable(now time.Time) {
	changed := false
	for _, name := range m.names {
		was, ok := m.table[name]
		changed = changed || !ok || was != m.Share(name, now)
	}
	if !changed {
		return
	}
	m.table = Table{}
	for _, name := range m.names {
		m.table[name] = m.Share(name, now)
	}
}

type (
	// Report is the state of a service's move on one VM, as the status shows
	// it.
	Report struct {
		Service sassafrastray.ServiceName `json:"service"`
		Move    sassafrastray.MoveName    `json:"move"`
		State   State                     `json:"state"`
		// Share is the share that this VM sends, Step the share that the record
		// allows.
		Share  int    `json:"share"`
		Step   int    `json:"step"`
		Reason string `json:"reason"`
		// Hold says why the leader does not raise the share.
		Hold   string     `json:"hold,omitempty"`
		Leader Leader     `json:"leader"`
		Bad    *BadReport `json:"bad,omitempty"`
		Past   []Outcome  `json:"past,omitempty"`
	}
)

// Status returns reports on all services that have a move or a record of one.
// The state is empty while nothing is known of the configuration's move.
func (m *Mover) Status(now time.Time) []Report {
	var out []Report
	for _, name := range m.names {
		if s := m.services[name]; s.move != nil || s.rec != nil {
			out = append(out, m.report(s, now))
		}
	}
	return out
}

func (m *Mover) report(s *service, now time.Time) Report {
	r := Report{Service: s.name, Share: s.share, Hold: s.hold, Bad: s.badReport(), Reason: m.Share(s.name, now).Reason}
	if s.rec != nil {
		r.Move, r.State, r.Step, r.Leader, r.Past = s.rec.Move, s.rec.State, s.rec.Share, s.rec.Leader, s.rec.Past
		if s.move == nil {
			r.Reason = s.rec.Reason
		}
	}
	if s.move == nil || s.move.Name == r.Move {
		return r
	}
	r.Move, r.State, r.Step = s.move.Name, "", 0
	if o := s.rec.Outcome(s.move.Name); o != nil {
		r.State = o.State
	}
	return r
}

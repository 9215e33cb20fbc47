package move

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/rollout/evidence"
)

// trialShare is the largest share of a suspect version, in thousandths.
const trialShare = 500

type (
	// Split is how a service's traffic is divided between two versions.
	Split struct {
		From, To sassafrastray.VersionName
		// Share is the part of To in thousandths.
		Share  int
		Reason string
	}

	// Table holds the split of each service. It is immutable.
	Table map[sassafrastray.ServiceName]Split

	// View is what a VM knows when it chooses its share.
	View struct {
		// Record is the service's record, or nil if none is known.
		Record *Record
		// Move is what the operators want, from configuration Number.
		Move   *sassafrastray.Move
		Number int64
		// Share is what the VM sends now.
		Share int
		// Fresh tells whether the store held Record a moment ago.
		Fresh bool
		// Suspect tells whether this VM sees trouble, but can't tell whether
		// the old version has it too.
		Suspect bool
		// Bad tells whether this VM or a peer has found the version bad.
		Bad bool
		// Fallback tells whether the old version has backend servers.
		Fallback bool
	}
)

// Version returns the version for a request, given a number drawn evenly from
// 0 to 999.
func (s Split) Version(draw int) sassafrastray.VersionName {
	if draw < s.Share {
		return s.To
	}
	return s.From
}

// Applied returns the share of the new version that a VM sends, and why. It
// rises only while the record is fresh.
func Applied(v View, now time.Time) (int, string) {
	want, reason := wish(v, now)
	if want > v.Share && !v.Fresh {
		return v.Share, "in doubt: " + reason
	}
	return want, reason
}

// wish returns the share that Applied would give if the record were fresh.
func wish(v View, now time.Time) (int, string) {
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
		return ended(v, *o)
	}
	switch {
	case v.Record.Move != v.Move.Name:
		return 0, "not begun"
	case v.Bad:
		return 0, "the new version is bad"
	case overdue(v.Move, 0, now):
		return 0, "past the deadline"
	}
	return trial(v, v.Record.Share, string(Running))
}

// trial lowers the share of a suspect version, so that the old one has enough
// requests for a comparison.
func trial(v View, share int, reason string) (int, string) {
	if v.Suspect && v.Fallback && share > trialShare {
		return trialShare, "the new version is compared with the old one"
	}
	return share, reason
}

// ended returns the share after the move's outcome. A new version that turns
// bad after the move is done loses its traffic here without a new outcome, as
// long as the old version can take it.
func ended(v View, o Outcome) (int, string) {
	switch {
	case o.State == Reverted:
		return 0, "reverted: " + o.Reason
	case v.Bad && v.Fallback:
		return 0, "done, but the new version is bad"
	case v.Bad:
		return whole, "done; the new version is bad, but the old one has no backend servers"
	}
	return trial(v, whole, string(Done))
}

// overdue tells whether less than left remains until the move's deadline.
func overdue(m *sassafrastray.Move, left time.Duration, now time.Time) bool {
	return !m.Deadline.IsZero() && !now.Add(left).Before(m.Deadline)
}

func (m *Mover) view(s *service, now time.Time) View {
	return View{
		Record: s.rec, Move: s.move, Number: m.number, Share: s.share,
		Fresh:   !s.fresh.IsZero() && now.Sub(s.fresh) < m.opt.Fresh,
		Suspect: s.verdict.Kind == evidence.Suspect && now.Sub(s.judgedAt) <= recent,
		Bad:     s.bad() != nil, Fallback: s.fallback,
	}
}

// apply sets the share that this VM sends.
func (m *Mover) apply(s *service, now time.Time) []Effect {
	v := m.view(s, now)
	share, reason := Applied(v, now)
	want, _ := wish(v, now)
	m.ask(s, want > share || s.partial && s.move != nil && s.move.Name != s.rec.Move, now)
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

// ask reads the record while this VM is unsure of it. A raise makes all VMs
// unsure at once, so they spread their reads; a peer may confirm the record
// before it is this VM's time.
func (m *Mover) ask(s *service, unsure bool, now time.Time) {
	switch {
	case !unsure:
		s.askAt = time.Time{}
	case s.askAt.IsZero():
		s.askAt = now.Add(m.jitter(m.spread()))
	case now.Before(s.askAt):
	case now.Sub(s.askedAt) >= m.opt.Fresh/2:
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
	_, reason := Applied(m.view(s, now), now)
	return Split{From: s.move.From, To: s.move.To, Share: s.share, Reason: reason}
}

// Table returns the splits of all services. Traffic reads the returned table
// without a lock; the Mover makes a new one when a split changes.
func (m *Mover) Table() Table { return m.table }

// publish makes a new table if a split has changed.
func (m *Mover) publish(now time.Time) {
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
	// Report is what status shows of a service's move on one VM.
	Report struct {
		Service sassafrastray.ServiceName `json:"service"`
		Move    sassafrastray.MoveName    `json:"move"`
		State   State                     `json:"state"`
		// Share is what this VM sends, Step what the record allows.
		Share  int    `json:"share"`
		Step   int    `json:"step"`
		Reason string `json:"reason"`
		// Hold says why the leader does not raise the share.
		Hold   string    `json:"hold,omitempty"`
		Leader Leader    `json:"leader"`
		Bad    *Bad      `json:"bad,omitempty"`
		Past   []Outcome `json:"past,omitempty"`
	}
)

// Status reports on all services that have a move or a record of one. The
// state is empty while nothing is known of the configuration's move.
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
	r := Report{Service: s.name, Share: s.share, Hold: s.hold, Bad: s.bad(), Reason: m.Share(s.name, now).Reason}
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

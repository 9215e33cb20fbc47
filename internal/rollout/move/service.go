package move

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/rollout/evidence"
)

// maxBadReports bounds the number of moves remembered as bad, in case operators
// configure one of them again.
const maxBadReports = 8

type (
	// service is one VM's state of one service's move.
	service struct {
		name sassafrastray.ServiceName
		// move is the configuration's move, or nil.
		move *sassafrastray.Move
		// current is the version that serves without a move.
		current sassafrastray.VersionName
		// fallback reports whether the old version has backend servers.
		fallback bool

		// known reports whether the VM has learned the record or its absence;
		// rec is nil if there was none. A partial record lacks its past
		// outcomes.
		known   bool
		absent  bool // the record's object is not in the store
		rec     *Record
		version int64
		partial bool
		// confirmedAt is the last time at which the store is known to have held
		// rec; changedAt and steppedAt are when this VM first saw rec's version and
		// rec's step.
		confirmedAt time.Time
		changedAt   time.Time
		steppedAt   time.Time

		// share is the share that this VM sends to the new version, in
		// thousandths.
		share int
		// badReports holds the latest moves whose new version was found bad.
		badReports []BadReport
		// hold says why the leader does not raise the share.
		hold string

		verdict     evidence.Verdict
		judgedAt    time.Time
		headroom    *int
		wantedSince time.Time // when this VM began to want wantedWrite
		wantedWrite string
		stagger     time.Duration

		call      *call
		needGet   bool
		retryAt   time.Time
		failures  int
		wroteAt   time.Time
		getSentAt time.Time
		getDueAt  time.Time // when this VM reads a record that it is unsure of
	}

	// call is a pending store call. Rec is nil for a Get.
	call struct {
		token int64
		sent  time.Time
		rec   *Record
	}
)

func (s *service) configure(c *sassafrastray.Service) {
	s.current = c.Version
	if s.move == nil || c.Move == nil || s.move.Name != c.Move.Name {
		s.reset()
		s.needGet = s.needGet || c.Move != nil && !s.known
	}
	s.move, s.fallback = nil, false
	if c.Move == nil {
		return
	}
	configured := *c.Move
	s.move = &configured
	for _, b := range c.Backends {
		if b.Version == configured.From && !b.Leaving {
			s.fallback = true
		}
	}
}

// badReport returns the report that the configuration's move is bad, or nil.
func (s *service) badReport() *BadReport {
	for i := range s.badReports {
		if s.move != nil && s.badReports[i].Move == s.move.Name {
			return &s.badReports[i]
		}
	}
	return nil
}

// reportBad stores the report b if it is the first one on the configuration's
// move.
func (s *service) reportBad(b BadReport) {
	if s.move == nil || s.move.Name != b.Move || s.badReport() != nil {
		return
	}
	s.badReports = append(s.badReports, b)
	s.badReports = s.badReports[max(0, len(s.badReports)-maxBadReports):]
}

// withdraw removes the move of a service that is no longer in the
// configuration.
func (s *service) withdraw() {
	s.reset()
	s.move, s.current, s.fallback = nil, "", false
}

// reset clears the state that belongs to the configuration's move.
func (s *service) reset() {
	s.share, s.hold = 0, ""
	s.verdict, s.judgedAt, s.headroom = evidence.Verdict{}, time.Time{}, nil
	s.wantedSince = time.Time{}
}

// withdrawn returns why the record's running move no longer matches the
// configuration, or "".
func (s *service) withdrawn() string {
	switch {
	case s.move == nil:
		return "withdrawn"
	case s.move.Name != s.rec.Move:
		return "replaced by " + string(s.move.Name)
	case s.move.From != s.rec.From || s.move.To != s.rec.To:
		return "its versions were changed"
	}
	return ""
}

// adopt stores a record that is newer than the known one. It reports whether
// the object is the known one or newer.
func (s *service) adopt(rec *Record, version int64, partial bool, now time.Time) bool {
	if s.known && version < s.version {
		return false
	}
	s.absent = false
	if s.known && version == s.version && s.rec != nil {
		if !partial && s.partial {
			s.rec, s.partial = rec, false
		}
		return true
	}
	if s.rec == nil || s.rec.Move != rec.Move || s.rec.Step != rec.Step {
		s.steppedAt = now
	}
	s.known, s.rec, s.version, s.partial = true, rec, version, partial
	s.changedAt, s.confirmedAt = now, time.Time{}
	return true
}

// confirm records that the store held the known record at the time at.
func (s *service) confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

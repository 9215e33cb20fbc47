package move

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/rollout/evidence"
)

// maxBads bounds how many moves are remembered as bad, in case operators go
// back to one of them.
const maxBads = 8

type (
	// service is what one VM knows of one service's move.
	service struct {
		name sassafrastray.ServiceName
		// move is the configuration's move, or nil.
		move *sassafrastray.Move
		// current is the version that serves without a move.
		current sassafrastray.VersionName
		// fallback tells whether the old version has backend servers.
		fallback bool

		// known tells whether anything was learned of the record; rec is nil
		// if there was none. Partial records lack their past.
		known   bool
		absent  bool // the object is not in the store
		rec     *Record
		version int64
		partial bool
		// fresh is the last time at which the store is known to have held
		// rec; changed and stepped are when this VM saw its version and its
		// step for the first time.
		fresh   time.Time
		changed time.Time
		stepped time.Time

		// share is what this VM sends to the new version, in thousandths.
		share int
		// bads are the latest moves whose new version was found bad.
		bads []Bad
		// hold says why the leader does not raise the share.
		hold string

		verdict    evidence.Verdict
		judgedAt   time.Time
		headroom   *int
		wanted     time.Time // since when this VM has wanted to write
		wantedWhat string
		stagger    time.Duration

		call     *call
		needGet  bool
		retryAt  time.Time
		failures int
		wroteAt  time.Time
		askedAt  time.Time
		askAt    time.Time // when this VM, being unsure, reads the record
	}

	// call is a store call under way. Rec is nil for a Get.
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
	wish := *c.Move
	s.move = &wish
	for _, b := range c.Backends {
		if b.Version == wish.From && !b.Leaving {
			s.fallback = true
		}
	}
}

// bad returns the report that the configuration's move is bad, or nil.
func (s *service) bad() *Bad {
	for i := range s.bads {
		if s.move != nil && s.bads[i].Move == s.move.Name {
			return &s.bads[i]
		}
	}
	return nil
}

// condemn notes that the configuration's move is bad.
func (s *service) condemn(b Bad) {
	if s.move == nil || s.move.Name != b.Move || s.bad() != nil {
		return
	}
	s.bads = append(s.bads, b)
	s.bads = s.bads[max(0, len(s.bads)-maxBads):]
}

// withdraw forgets the move of a service that has left the configuration.
func (s *service) withdraw() {
	s.reset()
	s.move, s.current, s.fallback = nil, "", false
}

// reset forgets what belongs to the configuration's move alone.
func (s *service) reset() {
	s.share, s.hold = 0, ""
	s.verdict, s.judgedAt, s.headroom = evidence.Verdict{}, time.Time{}, nil
	s.wanted = time.Time{}
}

// withdrawn tells whether the record's running move is no longer what the
// operators want, and why.
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

// adopt takes in a record that is newer than the known one. It tells whether
// the object was the known one or newer.
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
		s.stepped = now
	}
	s.known, s.rec, s.version, s.partial = true, rec, version, partial
	s.changed, s.fresh = now, time.Time{}
	return true
}

// confirm notes that the store held the known record at the time at.
func (s *service) confirm(at time.Time) {
	if at.After(s.fresh) {
		s.fresh = at
	}
}

package move

import (
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/rollout/evidence"
)

// maxBackoff bounds the wait after failed store calls.
const maxBackoff = 8 * time.Second

func (m *Mover) get(s *service, now time.Time) []Effect {
	m.token++
	s.call, s.needGet, s.getSentAt = &call{token: m.token, sent: now}, false, now
	return []Effect{Get{Service: s.name, Key: Key(s.name), Token: m.token}}
}

func (m *Mover) put(s *service, rec *Record, decision string, now time.Time) []Effect {
	m.token++
	rec.Renewals++
	rec.Config = max(rec.Config, m.number)
	s.call = &call{token: m.token, sent: now, rec: rec}
	p := Put{Service: s.name, Key: Key(s.name), Token: m.token, Value: rec.encode(), Version: s.version}
	if s.absent {
		p.Version = 0
	}
	l := m.log(s, decision, rec.Share, rec.Reason)
	l.Move = rec.Move
	return []Effect{p, l}
}

// endCall ends the service's pending call and returns the service and the call.
// It returns nil if the call with this token was given up.
func (m *Mover) endCall(name sassafrastray.ServiceName, token int64) (*service, *call) {
	s := m.services[name]
	if s == nil || s.call == nil || s.call.token != token {
		return nil, nil
	}
	c := s.call
	s.call = nil
	return s, c
}

func (m *Mover) got(ev Got, now time.Time) {
	s, c := m.endCall(ev.Service, ev.Token)
	if s == nil {
		return
	}
	if errors.Is(ev.Err, sassafrastray.ErrNotFound) {
		// A known record is kept and written again if the object is gone.
		s.known, s.absent, s.failures = true, true, 0
		return
	}
	if ev.Err != nil {
		m.backOff(s, now)
		return
	}
	rec, err := Decode(ev.Object.Value)
	if err != nil || !s.adopt(rec, ev.Object.Version, false, now) {
		m.backOff(s, now)
		return
	}
	s.failures = 0
	s.confirm(c.sent)
}

func (m *Mover) wrote(ev Wrote, now time.Time) {
	s, c := m.endCall(ev.Service, ev.Token)
	if s == nil {
		return
	}
	switch {
	case ev.Err == nil && c.rec != nil:
		s.failures = 0
		if s.adopt(c.rec, ev.Version, false, now) {
			s.confirm(c.sent)
			s.wroteAt = c.sent
		}
	case errors.Is(ev.Err, sassafrastray.ErrConflict):
		s.needGet = true
	default:
		// The write may have taken effect, so the record is read back. If
		// it names this VM as the leader, the write did take effect.
		m.backOff(s, now)
	}
}

// backOff schedules another read of the record, later after each failure in a
// row.
func (m *Mover) backOff(s *service, now time.Time) {
	s.needGet = true
	wait := min(m.opt.Backoff<<min(s.failures, 8), maxBackoff)
	s.failures++
	s.retryAt = now.Add(m.jitter(wait))
}

func (m *Mover) watched(ev Watched, now time.Time) {
	s := m.services[ev.Service]
	if s == nil || ev.Object.Deleted {
		return
	}
	if rec, err := Decode(ev.Object.Value); err == nil {
		s.adopt(rec, ev.Object.Version, false, now)
	}
}

func (m *Mover) judged(ev Judged, now time.Time) {
	s := m.services[ev.Service]
	if s == nil || s.move == nil || s.move.Name != ev.Move {
		return
	}
	s.verdict, s.headroom, s.judgedAt = ev.Verdict, ev.Headroom, now
	if ev.Verdict.Kind == evidence.Bad {
		s.reportBad(BadReport{Service: s.name, Move: ev.Move, VM: m.self, Reason: ev.Verdict.Reason})
	}
}

func (m *Mover) heartbeatReceived(ev HeartbeatReceived, now time.Time) {
	for _, c := range ev.Heartbeat.Records {
		s := m.services[c.Service]
		if s == nil || !s.adopt(&c.Record, c.Version, true, now) {
			continue
		}
		if !ev.RequestedAt.IsZero() && c.Age >= 0 {
			s.confirm(ev.RequestedAt.Add(-c.Age))
		}
	}
	for _, b := range ev.Heartbeat.Bad {
		if s := m.services[b.Service]; s != nil {
			s.reportBad(b)
		}
	}
}

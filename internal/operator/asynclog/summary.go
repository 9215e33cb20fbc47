package asynclog

import (
	"context"
	"log/slog"
	"time"

	"sassafrastray/internal/operator/message"
)

// maxKinds bounds the kinds of suppressed lines that are counted separately
// between two summaries; all others of a level are counted together.
const maxKinds = 64

// countedAttrs are the attributes by which suppressed lines are counted.
var countedAttrs = map[string]bool{"reason": true, "service": true, "team": true}

// kind identifies lines that are counted together. Without service and team it
// is a class, whose lines share a rate limit; with only a level it is the whole
// level.
type kind struct {
	level                       slog.Level
	text, reason, service, team string
}

func (k kind) class() kind { return kind{level: k.level, text: k.text, reason: k.reason} }

func (k kind) levelOnly() kind { return kind{level: k.level} }

// kindOf returns the kind of a record.
func kindOf(r slog.Record) kind {
	k := kind{level: r.Level, text: r.Message}
	r.Attrs(func(a slog.Attr) bool {
		if !countedAttrs[a.Key] {
			return true
		}
		switch v := a.Value.String(); a.Key {
		case "reason":
			k.reason = v
		case "service":
			k.service = v
		default:
			k.team = v
		}
		return true
	})
	return k
}

// suppress counts a line that exceeds the rate limit.
func (s *Sink) suppress(k kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.suppressed[k]; !ok && len(s.suppressed) >= maxKinds {
		k = k.levelOnly()
	}
	s.suppressed[k]++
	s.dropped++
	s.notify()
}

// summarize logs how many lines of each kind were suppressed since the last
// summary, and how many were lost.
func (s *Sink) summarize(to slog.Handler, now time.Time) {
	s.mu.Lock()
	suppressed, lost := s.suppressed, s.lost
	if len(suppressed) > 0 {
		s.suppressed = make(map[kind]int, len(suppressed))
	}
	s.lost = 0
	s.mu.Unlock()
	for k, n := range suppressed {
		r := slog.NewRecord(now, k.level, message.LinesLeftOut, 0)
		r.AddAttrs(slog.String("of", k.text), slog.Int("count", n))
		for _, a := range []slog.Attr{slog.String("reason", k.reason), slog.String("service", k.service), slog.String("team", k.team)} {
			if a.Value.String() != "" {
				r.AddAttrs(a)
			}
		}
		s.write(to, r)
	}
	if lost > 0 {
		r := slog.NewRecord(now, slog.LevelWarn, message.LinesLost, 0)
		r.AddAttrs(slog.Int("count", lost))
		s.write(to, r)
	}
}

// write numbers a record and passes it to one of the buffers. A full buffer counts
// the line that it drops and returns no error.
func (s *Sink) write(to slog.Handler, r slog.Record) {
	r.AddAttrs(slog.Uint64("line", s.nextNumber()))
	_ = to.Handle(context.Background(), r)
}

// nextNumber returns the number of the next line.
func (s *Sink) nextNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	return s.lastNumber
}

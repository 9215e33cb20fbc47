package logbook

import (
	"context"
	"log/slog"
	"time"

	"sassafrastray/internal/operator/message"
)

// kinds bounds the kinds of lines that are counted apart in a second; all others
// of a level are counted together.
const kinds = 64

// telling are the attributes by which lines that were left out are counted.
var telling = map[string]bool{"reason": true, "service": true, "team": true}

// kind is what lines that are counted together have in common. Without service
// and team it is a class of lines that are limited together, and without a text
// the whole level.
type kind struct {
	level                       slog.Level
	text, reason, service, team string
}

func (k kind) class() kind { return kind{level: k.level, text: k.text, reason: k.reason} }

func (k kind) whole() kind { return kind{level: k.level} }

// kindOf returns the kind of a record.
func kindOf(r slog.Record) kind {
	k := kind{level: r.Level, text: r.Message}
	r.Attrs(func(a slog.Attr) bool {
		if !telling[a.Key] {
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

// leave counts a line that is left out.
func (b *Book) leave(k kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.left[k]; !ok && len(b.left) >= kinds {
		k = k.whole()
	}
	b.left[k]++
	b.dropped++
	b.notify()
}

// summarize writes how many lines of each kind were left out since the last
// summary, and how many were lost.
func (b *Book) summarize(to slog.Handler, now time.Time) {
	b.mu.Lock()
	left, lost := b.left, b.lost
	if len(left) > 0 {
		b.left = make(map[kind]int, len(left))
	}
	b.lost = 0
	b.mu.Unlock()
	for k, n := range left {
		r := slog.NewRecord(now, k.level, message.LeftOut, 0)
		r.AddAttrs(slog.String("of", k.text), slog.Int("count", n))
		for _, a := range []slog.Attr{slog.String("reason", k.reason), slog.String("service", k.service), slog.String("team", k.team)} {
			if a.Value.String() != "" {
				r.AddAttrs(a)
			}
		}
		b.put(to, r)
	}
	if lost > 0 {
		r := slog.NewRecord(now, slog.LevelWarn, message.Lost, 0)
		r.AddAttrs(slog.Int("count", lost))
		b.put(to, r)
	}
}

// put writes a record to one of the buffers, which take everything or count
// what they do not.
func (b *Book) put(to slog.Handler, r slog.Record) {
	r.AddAttrs(slog.Uint64("line", b.number()))
	_ = to.Handle(context.Background(), r)
}

// number returns the number of the next line.
func (b *Book) number() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.numbers++
	return b.numbers
}

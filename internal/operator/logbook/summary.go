package logbook

import (
	"context"
	"log/slog"
	"time"
)

const (
	// kinds bounds the kinds of lines that are counted apart in a second; all
	// others are counted together.
	kinds = 64

	// leftOut and lostLines are the messages of summaries.
	leftOut   = "lines left out"
	lostLines = "lines lost: the output is too slow"
)

// telling are the attributes by which lines that were left out are counted.
var telling = map[string]bool{"reason": true, "service": true, "team": true}

// kind is what lines that are counted together have in common.
type kind struct {
	level                          slog.Level
	message, reason, service, team string
}

// kindOf returns the kind of a record.
func kindOf(r slog.Record) kind {
	k := kind{level: r.Level, message: r.Message}
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
		k = kind{level: k.level}
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
		r := slog.NewRecord(now, k.level, leftOut, 0)
		r.AddAttrs(slog.String("of", k.message), slog.Int("count", n))
		for _, a := range []slog.Attr{slog.String("reason", k.reason), slog.String("service", k.service), slog.String("team", k.team)} {
			if a.Value.String() != "" {
				r.AddAttrs(a)
			}
		}
		b.put(to, r)
	}
	if lost > 0 {
		r := slog.NewRecord(now, slog.LevelWarn, lostLines, 0)
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

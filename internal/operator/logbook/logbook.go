// Package logbook writes log lines without ever making their writers wait. It
// keeps at most so many lines a second, and says how many it dropped.
package logbook

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queue is how many lines wait to be written.
	queue = 1024

	// flushEvery is the time between two writes.
	flushEvery = 250 * time.Millisecond

	// chunk bounds the bytes of one write.
	chunk = 32 << 10
)

type (
	// Book takes lines and writes them in the background.
	Book struct {
		out     io.Writer
		lines   chan []byte
		dropped atomic.Int64
		done    chan struct{}
		once    sync.Once
	}

	// limiter passes on so many records a second of each level below error.
	limiter struct {
		slog.Handler
		book  *Book
		state *limits
	}

	limits struct {
		mu     sync.Mutex
		perSec float64
		tokens map[slog.Level]float64
		filled time.Time
	}
)

// New returns a Book that writes to out until Close.
func New(out io.Writer) *Book {
	b := &Book{out: out, lines: make(chan []byte, queue), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes one line. It never waits: if too many lines wait already, the
// line is dropped.
func (b *Book) Write(p []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped so far.
func (b *Book) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits.
func (b *Book) Close() {
	b.once.Do(func() {
		close(b.lines)
		<-b.done
	})
}

// run gathers lines, so that many of them cost one write.
func (b *Book) run() {
	defer close(b.done)
	var buf []byte
	for line := range b.lines {
		buf = append(buf[:0], line...)
		timer := time.NewTimer(flushEvery)
		open := true
		for open && len(buf) < chunk {
			select {
			case more, ok := <-b.lines:
				if !ok {
					open = false
					break
				}
				buf = append(buf, more...)
				continue
			case <-timer.C:
			}
			break
		}
		timer.Stop()
		// Nobody is left to tell of a log that can't be written.
		_, _ = b.out.Write(buf)
	}
}

// Handler returns a handler that writes JSON lines to the book, at most
// perSecond of each level; errors are never held back.
func (b *Book) Handler(level slog.Level, perSecond float64) slog.Handler {
	return &limiter{
		Handler: slog.NewJSONHandler(b, &slog.HandlerOptions{Level: level}), book: b,
		state: &limits{perSec: perSecond, tokens: make(map[slog.Level]float64)},
	}
}

// Enabled tells whether records of the level are written at all. Whether the
// second still has room for one is decided when it comes.
func (l *limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return l.Handler.Enabled(ctx, level)
}

// Handle writes the record, or drops it if the second has had its lines.
func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError && !l.state.take(r.Level, r.Time) {
		l.book.dropped.Add(1)
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with more attributes and the same limits.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{Handler: l.Handler.WithAttrs(attrs), book: l.book, state: l.state}
}

// WithGroup returns a handler for a group with the same limits.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{Handler: l.Handler.WithGroup(name), book: l.book, state: l.state}
}

// take takes a token of the level.
func (s *limits) take(level slog.Level, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := now.Sub(s.filled); d > 0 {
		add := d.Seconds() * s.perSec
		for l := range s.tokens {
			s.tokens[l] = min(s.perSec, s.tokens[l]+add)
		}
	}
	s.filled = now
	if _, ok := s.tokens[level]; !ok {
		s.tokens[level] = s.perSec
	}
	if s.tokens[level] < 1 {
		return false
	}
	s.tokens[level]--
	return true
}

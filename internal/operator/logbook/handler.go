package logbook

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

type (
	// handler passes on so many records a second of each level below error.
	handler struct {
		urgent, usual slog.Handler
		book          *Book
		state         *limits
	}

	// limits are the tokens of each level, and of each class of lines within
	// it, so that a flood of one class leaves room for the others. They are
	// shared by all handlers of one call of Handler.
	limits struct {
		mu     sync.Mutex
		perSec float64
		tokens map[kind]float64
		filled time.Time
	}
)

// classPart is the part of a level's lines that one class may have.
const classPart = 0.5

// Handler returns a handler that writes lines of the level or above to the
// book, at most perSecond of each level; errors are never left out.
func (b *Book) Handler(level slog.Level, perSecond float64) slog.Handler {
	opt := &slog.HandlerOptions{Level: level}
	return &handler{
		urgent: b.format(queue{b, true}, opt), usual: b.format(queue{b, false}, opt),
		book: b, state: &limits{perSec: perSecond, tokens: make(map[kind]float64)},
	}
}

// Enabled tells whether records of the level are written at all. Whether the
// second still has room for one is decided when it comes.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.usual.Enabled(ctx, level)
}

// Handle writes the record, or counts it if the second has had its lines.
func (h *handler) Handle(_ context.Context, r slog.Record) error {
	if r.Level < slog.LevelError {
		k := kindOf(r)
		if !h.state.take(k.class(), r.Time) {
			h.book.leave(k)
			return nil
		}
	}
	to := h.usual
	if r.Level >= slog.LevelWarn {
		to = h.urgent
	}
	h.book.put(to, r)
	return nil
}

// WithAttrs returns a handler with more attributes and the same limits.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.urgent.WithAttrs(attrs), h.usual.WithAttrs(attrs), h.book, h.state}
}

// WithGroup returns a handler for a group with the same limits.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.urgent.WithGroup(name), h.usual.WithGroup(name), h.book, h.state}
}

// take takes a token of the class and one of its level, if both have one.
func (s *limits) take(of kind, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := now.Sub(s.filled); d > 0 {
		add := d.Seconds() * s.perSec
		for k := range s.tokens {
			s.tokens[k] = min(s.most(k), s.tokens[k]+add*s.most(k)/s.perSec)
		}
	}
	s.filled = now
	level := of.whole()
	for _, k := range []kind{of, level} {
		if _, ok := s.tokens[k]; !ok {
			s.tokens[k] = s.most(k)
		}
	}
	if s.tokens[of] < 1 || s.tokens[level] < 1 {
		return false
	}
	s.tokens[of]--
	s.tokens[level]--
	return true
}

// most returns how many lines a second may have.
func (s *limits) most(of kind) float64 {
	if of.text == "" {
		return s.perSec
	}
	return classPart * s.perSec
}

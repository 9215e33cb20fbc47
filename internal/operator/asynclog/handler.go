package asynclog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

type (
	// handler limits the records per second of each level below error. It passes
	// the records within the limit, and all errors, to one of the sink's buffers.
	handler struct {
		urgent, normal slog.Handler
		sink           *Sink
		limits         *limiter
	}

	// limiter has a token bucket for each level, and one for each class of
	// lines within it, so that a flood of one class leaves room for the
	// others. It is shared by all handlers derived from one call of Handler.
	limiter struct {
		mu       sync.Mutex
		perSec   float64
		tokens   map[kind]float64
		refilled time.Time
	}
)

// maxClassShare bounds the share of a level's lines that one class may use.
const maxClassShare = 0.5

// Handler returns a handler that writes lines of the level or above to the
// sink, at most perSecond of each level; errors are not limited.
func (s *Sink) Handler(level slog.Level, perSecond float64) slog.Handler {
	opt := &slog.HandlerOptions{Level: level}
	return &handler{
		urgent: s.format(queue{s, true}, opt), normal: s.format(queue{s, false}, opt),
		sink: s, limits: &limiter{perSec: perSecond, tokens: make(map[kind]float64)},
	}
}

// Enabled reports whether records of the level are written at all. The rate
// limit is applied later, in Handle.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.normal.Enabled(ctx, level)
}

// Handle writes the record, or only counts it if it exceeds the rate limit.
func (h *handler) Handle(_ context.Context, r slog.Record) error {
	if r.Level < slog.LevelError {
		k := kindOf(r)
		if !h.limits.allow(k.class(), r.Time) {
			h.sink.suppress(k)
			return nil
		}
	}
	to := h.normal
	if r.Level >= slog.LevelWarn {
		to = h.urgent
	}
	h.sink.write(to, r)
	return nil
}

// WithAttrs returns a handler with more attributes and the same limiter.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.urgent.WithAttrs(attrs), h.normal.WithAttrs(attrs), h.sink, h.limits}
}

// WithGroup returns a handler for a group with the same limiter.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.urgent.WithGroup(name), h.normal.WithGroup(name), h.sink, h.limits}
}

// allow takes one token from the class and one from its level. If either has
// none left, it takes none and returns false.
func (l *limiter) allow(class kind, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := now.Sub(l.refilled); d > 0 {
		add := d.Seconds() * l.perSec
		for k := range l.tokens {
			l.tokens[k] = min(l.burst(k), l.tokens[k]+add*l.burst(k)/l.perSec)
		}
	}
	l.refilled = now
	level := class.levelOnly()
	for _, k := range []kind{class, level} {
		if _, ok := l.tokens[k]; !ok {
			l.tokens[k] = l.burst(k)
		}
	}
	if l.tokens[class] < 1 || l.tokens[level] < 1 {
		return false
	}
	l.tokens[class]--
	l.tokens[level]--
	return true
}

// burst returns the bucket size of a class or level, which is also the number of
// its lines per second.
func (l *limiter) burst(k kind) float64 {
	if k.text == "" {
		return l.perSec
	}
	return maxClassShare * l.perSec
}

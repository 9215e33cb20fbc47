// Package asynclog writes log lines in the background, so that logging never
// blocks.
//
// Warnings and errors have a buffer of their own, which is written first, so
// that a flood of lines about successes cannot displace them. Each level has a
// limit of lines per second; lines above it are counted by their message and some
// attributes, and the counts are logged once per second. When a buffer is full,
// lines are dropped, and the next write reports how many. The lines are numbered,
// because the two buffers change their order and wall clocks jump.
package asynclog

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxBuffered bounds each of the two buffers, in bytes. At 500 to 800 bytes
	// a line, it holds a few seconds of lines at the usual rate limit.
	maxBuffered = 512 << 10

	// maxWrite bounds one write, in bytes; a pipe accepts this much at once.
	maxWrite = 16 << 10

	// flushInterval is the time between two writes.
	flushInterval = 250 * time.Millisecond

	// summaryInterval is the time between two summaries of the lines left out.
	summaryInterval = time.Second

	// closeTimeout is how long Close waits for a blocked output.
	closeTimeout = 500 * time.Millisecond
)

type (
	// Sink buffers log lines and writes them to an output in the background.
	Sink struct {
		out    io.Writer
		format Format
		wake   chan struct{}
		stop   chan struct{}
		done   chan struct{}
		once   sync.Once

		mu sync.Mutex
		// urgent and normal are the buffered lines.
		urgent, normal []byte
		// suppressed counts the lines above the rate limit, and lost those that
		// did not fit in a buffer, both since the last summary. dropped counts
		// all of them since the start.
		suppressed map[kind]int
		lost       int
		dropped    int64
		lastNumber uint64
	}

	// Format returns a handler that writes lines to w.
	Format func(w io.Writer, opt *slog.HandlerOptions) slog.Handler

	// queue appends whole lines to one of a Sink's buffers.
	queue struct {
		sink   *Sink
		urgent bool
	}
)

// JSON is the Format that writes each line as one JSON object.
func JSON(w io.Writer, opt *slog.HandlerOptions) slog.Handler { return slog.NewJSONHandler(w, opt) }

// Text is the Format that writes key=value pairs.
func Text(w io.Writer, opt *slog.HandlerOptions) slog.Handler { return slog.NewTextHandler(w, opt) }

// New returns a Sink that writes to out until Close.
func New(out io.Writer, format Format) *Sink {
	s := &Sink{
		out: out, format: format, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		suppressed: make(map[kind]int),
	}
	go s.run()
	return s
}

// Write appends one line to the buffer. It never blocks: if the buffer is full,
// the line is dropped.
func (q queue) Write(p []byte) (int, error) {
	s := q.sink
	s.mu.Lock()
	defer s.mu.Unlock()
	to := &s.normal
	if q.urgent {
		to = &s.urgent
	}
	if len(*to)+len(p) > maxBuffered {
		s.lost++
		s.dropped++
		return len(p), nil
	}
	*to = append(*to, p...)
	s.notify()
	return len(p), nil
}

// Dropped returns how many lines did not fit in a buffer or exceeded the rate
// limit so far.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes the buffered lines. It gives up after a short time if the output
// is blocked.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.stop) })
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	}
}

// notify wakes the background writer.
func (s *Sink) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes the buffers at intervals, so that many lines share one write.
func (s *Sink) run() {
	defer close(s.done)
	summary := s.format(queue{s, true}, nil)
	var spare []byte
	var summarizedAt time.Time
	for open := true; open; {
		select {
		case <-s.wake:
			open = s.pause(flushInterval)
		case <-s.stop:
			open = false
		}
		if now := time.Now(); !open || now.Sub(summarizedAt) >= summaryInterval {
			summarizedAt = now
			s.summarize(summary, now)
		}
		spare = s.flush(spare)
		if s.hasUnreported() {
			s.notify()
		}
	}
}

// pause waits, and returns false if the Sink is closed meanwhile.
func (s *Sink) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.stop:
		return false
	}
}

// flush writes both buffers, the urgent one first. It uses free as an empty
// buffer, and returns one that the next call can use.
func (s *Sink) flush(free []byte) []byte {
	for _, q := range []*[]byte{&s.urgent, &s.normal} {
		s.mu.Lock()
		lines := *q
		*q = free[:0]
		s.mu.Unlock()
		for rest := lines; len(rest) > 0; {
			n := writeLen(rest)
			// There is nowhere to report that the log can't be written.
			_, _ = s.out.Write(rest[:n])
			rest = rest[n:]
		}
		free = lines
	}
	return free
}

// writeLen returns the length of the lines at the beginning of b that fit in one
// write, so that no line is split in the output that several VMs share.
func writeLen(b []byte) int {
	if len(b) <= maxWrite {
		return len(b)
	}
	if n := bytes.LastIndexByte(b[:maxWrite], '\n') + 1; n > 0 {
		return n
	}
	return maxWrite
}

// hasUnreported reports whether lines were suppressed or lost since the last
// summary.
func (s *Sink) hasUnreported() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.suppressed) > 0 || s.lost > 0
}

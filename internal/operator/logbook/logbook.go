// Package logbook writes log lines without ever making their writers wait.
//
// Warnings and errors wait in a buffer of their own, so that lines about
// successes never push them out, and are written first. Each level has so many
// lines a second; what is beyond that is counted by what it says, and the counts
// are written once a second. A full buffer drops lines, and the next write says
// how many. The lines carry their number, since the two buffers change their
// order and wall clocks jump.
package logbook

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// buffer bounds the bytes of each of the two buffers. A line has 500 to 800
	// bytes, so that it holds some seconds of the usual bound of lines.
	buffer = 512 << 10

	// chunk bounds the bytes of one write; a pipe takes as much at once.
	chunk = 16 << 10

	// flushEvery is the time between two writes.
	flushEvery = 250 * time.Millisecond

	// summaryEvery is the time between two summaries of lines left out.
	summaryEvery = time.Second

	// closeTime is how long Close waits for an output that takes nothing.
	closeTime = 500 * time.Millisecond
)

type (
	// Book takes lines and writes them in the background.
	Book struct {
		out    io.Writer
		format Format
		wake   chan struct{}
		stop   chan struct{}
		done   chan struct{}
		once   sync.Once

		mu sync.Mutex
		// urgent and usual are the lines that wait.
		urgent, usual []byte
		// left counts the lines that were left out, lost those that found a
		// buffer full, and dropped all of both.
		left    map[kind]int
		lost    int
		dropped int64
		numbers uint64
	}

	// Format returns a handler that writes lines to w.
	Format func(w io.Writer, opt *slog.HandlerOptions) slog.Handler

	// queue is one of a Book's buffers as a writer of whole lines.
	queue struct {
		book   *Book
		urgent bool
	}
)

// JSON is the Format of one JSON object a line.
func JSON(w io.Writer, opt *slog.HandlerOptions) slog.Handler { return slog.NewJSONHandler(w, opt) }

// Text is the Format of key=value pairs.
func Text(w io.Writer, opt *slog.HandlerOptions) slog.Handler { return slog.NewTextHandler(w, opt) }

// New returns a Book that writes to out until Close.
func New(out io.Writer, format Format) *Book {
	b := &Book{
		out: out, format: format, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		left: make(map[kind]int),
	}
	go b.run()
	return b
}

// Write takes one line. It never waits: if too much waits already, the line is
// dropped.
func (q queue) Write(p []byte) (int, error) {
	b := q.book
	b.mu.Lock()
	defer b.mu.Unlock()
	to := &b.usual
	if q.urgent {
		to = &b.urgent
	}
	if len(*to)+len(p) > buffer {
		b.lost++
		b.dropped++
		return len(p), nil
	}
	*to = append(*to, p...)
	b.notify()
	return len(p), nil
}

// Dropped returns how many lines were dropped or left out so far.
func (b *Book) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Close writes what waits, unless the output takes nothing.
func (b *Book) Close() {
	b.once.Do(func() { close(b.stop) })
	t := time.NewTimer(closeTime)
	defer t.Stop()
	select {
	case <-b.done:
	case <-t.C:
	}
}

// notify tells the background that there is something to write.
func (b *Book) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run gathers lines, so that many of them cost one write.
func (b *Book) run() {
	defer close(b.done)
	summary := b.format(queue{b, true}, nil)
	var written []byte
	var summed time.Time
	for open := true; open; {
		select {
		case <-b.wake:
			open = b.pause(flushEvery)
		case <-b.stop:
			open = false
		}
		if now := time.Now(); !open || now.Sub(summed) >= summaryEvery {
			summed = now
			b.summarize(summary, now)
		}
		written = b.flush(written)
		if b.owes() {
			b.notify()
		}
	}
}

// pause waits, and reports false if the Book closes meanwhile.
func (b *Book) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-b.stop:
		return false
	}
}

// flush writes both buffers, the urgent one first. It returns the memory that
// it used, for the next time.
func (b *Book) flush(free []byte) []byte {
	for _, q := range []*[]byte{&b.urgent, &b.usual} {
		b.mu.Lock()
		lines := *q
		*q = free[:0]
		b.mu.Unlock()
		for rest := lines; len(rest) > 0; {
			n := whole(rest)
			// Nobody is left to tell of a log that can't be written.
			_, _ = b.out.Write(rest[:n])
			rest = rest[n:]
		}
		free = lines
	}
	return free
}

// whole returns the length of the lines at the beginning of b that fit in one
// write, so that a reader of several VMs' output finds no line torn apart.
func whole(b []byte) int {
	if len(b) <= chunk {
		return len(b)
	}
	if n := bytes.LastIndexByte(b[:chunk], '\n') + 1; n > 0 {
		return n
	}
	return chunk
}

// owes tells whether lines were left out that no summary has counted yet.
func (b *Book) owes() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.left) > 0 || b.lost > 0
}

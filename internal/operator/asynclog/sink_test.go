package asynclog

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrastray/internal/operator/message"
)

type (
	// blockedWriter blocks each Write until the channel unblock is closed.
	blockedWriter struct {
		unblock chan struct{}
		mu      sync.Mutex
		buf     bytes.Buffer
	}

	// line has the fields of a line that the tests check.
	line struct {
		Message string `json:"msg"`
		Level   string `json:"level"`
		Of      string `json:"of"`
		Reason  string `json:"reason"`
		Count   int    `json:"count"`
		Line    uint64 `json:"line"`
	}
)

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func parse(t *testing.T, text string) (lines []line) {
	t.Helper()
	for s := range strings.Lines(text) {
		var l line
		if err := json.Unmarshal([]byte(s), &l); err != nil {
			t.Fatalf("%q: %v", s, err)
		}
		lines = append(lines, l)
	}
	return lines
}

// TestWriteNeverBlocks checks that Write returns while the output is blocked, and
// that dropped lines are counted and reported.
func TestWriteNeverBlocks(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	sink := New(out, JSON)
	text := strings.Repeat("x", 99) + "\n"
	const lines = 5 * maxBuffered / 100
	for range lines {
		if _, err := (queue{sink, false}).Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	dropped := sink.Dropped()
	if dropped == 0 {
		t.Error("nothing dropped")
	}
	close(out.unblock)
	sink.Close()
	s := out.buf.String()
	if n := int64(strings.Count(s, text)); n+dropped != lines {
		t.Errorf("%d written, %d dropped of %d", n, dropped, lines)
	}
	var reported int64
	for _, l := range parse(t, strings.ReplaceAll(s, text, "")) {
		if l.Message == message.LinesLost {
			reported += int64(l.Count)
		}
	}
	if reported != dropped {
		t.Errorf("%d lines reported as lost, want %d", reported, dropped)
	}
}

// TestOutputNotRead checks that requests are not slowed by an output that nobody
// reads: all lines are accepted while the reader has read a single byte.
func TestOutputNotRead(t *testing.T) {
	r, w := io.Pipe()
	sink := New(w, JSON)
	log := slog.New(sink.Handler(slog.LevelInfo, 1e9))
	log.Info("first")
	if _, err := r.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	const lines = 50000
	for range lines {
		log.Info("answered", "request", "9c41d07be2a35f68", "backend", "i-7f3a91c2")
	}
	if sink.Dropped() == 0 {
		t.Error("all of the lines were kept; the buffer has no bound")
	}
	// A blocked output does not delay the end of the process.
	sink.Close()
	_ = r.Close()
}

// TestFailuresFirst checks that lines about successes, which fill their buffer,
// do not displace lines about failures.
func TestFailuresFirst(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	sink := New(out, JSON)
	log := slog.New(sink.Handler(slog.LevelInfo, 1e9))
	for sink.Dropped() == 0 {
		log.Info("answered")
	}
	for range 100 {
		log.Warn("refused")
		log.Info("answered")
	}
	close(out.unblock)
	sink.Close()
	s := out.buf.String()
	if n := strings.Count(s, `"refused"`); n != 100 {
		t.Errorf("%d failures written, want 100", n)
	}
	if n := strings.Count(s, message.LinesLost); n == 0 {
		t.Error("what was lost is not reported")
	}
}

// TestRateLimit checks that a flood of records of one level is limited and limits
// neither another level nor errors, and that suppressed lines are counted by kind.
func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	sink := New(&out, JSON)
	log := slog.New(sink.Handler(slog.LevelInfo, 10))
	for range 500 {
		log.Info("flood")
	}
	log.Info("usual")
	log.Warn("rare")
	for range 300 {
		log.Warn("refused", "reason", "quota", "request", "1")
	}
	for range 200 {
		log.Warn("refused", "reason", "busy", "request", "2")
	}
	for range 15 {
		log.Error("wrong")
	}
	log.Debug("hidden")
	sink.Close()
	seen, left := map[string]int{}, map[string]int{}
	numbers := map[uint64]bool{}
	for _, l := range parse(t, out.String()) {
		seen[l.Message+l.Reason]++
		if l.Message == message.LinesLeftOut {
			left[l.Of+l.Reason] += l.Count
		}
		if numbers[l.Line] {
			t.Errorf("two lines have the number %d", l.Line)
		}
		numbers[l.Line] = true
	}
	if n := seen["flood"]; n < 5 || n > 7 {
		t.Errorf("%d lines of the flood, want half of 10", n)
	}
	if seen["rare"] != 1 || seen["usual"] != 1 || seen["wrong"] != 15 || seen["hidden"] != 0 {
		t.Errorf("wrong lines: %v", seen)
	}
	for k, n := range map[string]int{"flood": 500, "refusedquota": 300, "refusedbusy": 200} {
		if seen[k]+left[k] != n {
			t.Errorf("%s: %d written and %d left out, want %d together", k, seen[k], left[k], n)
		}
	}
	if sink.Dropped() < 960 {
		t.Errorf("%d dropped", sink.Dropped())
	}
}

// TestManyKinds checks that the number of kinds counted separately is bounded.
func TestManyKinds(t *testing.T) {
	sink := New(io.Discard, JSON)
	defer sink.Close()
	for i := range 10 * maxKinds {
		sink.suppress(kind{text: strings.Repeat("m", i)})
	}
	sink.mu.Lock()
	defer sink.mu.Unlock()
	if n := len(sink.suppressed); n > maxKinds+1 {
		t.Errorf("%d kinds counted, want %d at most", n, maxKinds+1)
	}
}

// TestRefills checks that the tokens are refilled as time passes.
func TestRefills(t *testing.T) {
	l := &limiter{perSec: 4, tokens: map[kind]float64{}}
	now := time.Now()
	got := 0
	for _, at := range []time.Duration{0, 0, 0, 500 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, 3 * time.Second, 3 * time.Second} {
		if l.allow(kind{level: slog.LevelInfo, text: "answered"}, now.Add(at)) {
			got++
		}
	}
	if got != 5 {
		t.Errorf("%d lines, want 5", got)
	}
}

package logbook

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a writer that waits until it is let go.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// TestNeverWaits checks that a writer of lines goes on while the output is
// stuck, and that what is dropped is counted.
func TestNeverWaits(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	b := New(out)
	const lines = 20 * queue
	for range lines {
		if _, err := b.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	dropped := b.Dropped()
	if dropped == 0 {
		t.Error("nothing dropped")
	}
	close(out.free)
	b.Close()
	if n := int64(strings.Count(out.buf.String(), "line\n")); n+dropped != lines {
		t.Errorf("%d written, %d dropped of %d", n, dropped, lines)
	}
}

// TestBounded checks that a flood of records of one level is bounded and holds
// back neither another level nor errors.
func TestBounded(t *testing.T) {
	var out bytes.Buffer
	b := New(&out)
	log := slog.New(b.Handler(slog.LevelInfo, 10))
	for range 500 {
		log.Info("flood")
	}
	log.Warn("rare")
	for range 15 {
		log.Error("wrong")
	}
	log.Debug("hidden")
	b.Close()
	s := out.String()
	if n := strings.Count(s, "flood"); n < 10 || n > 12 {
		t.Errorf("%d lines of the flood, want 10", n)
	}
	if strings.Count(s, "rare") != 1 || strings.Count(s, "wrong") != 15 || strings.Contains(s, "hidden") {
		t.Errorf("wrong lines: %s", s)
	}
	if b.Dropped() < 480 {
		t.Errorf("%d dropped", b.Dropped())
	}
}

// TestRefills checks that a later second has its own lines.
func TestRefills(t *testing.T) {
	l := &limits{perSec: 2, tokens: map[slog.Level]float64{}}
	now := time.Now()
	got := 0
	for _, at := range []time.Duration{0, 0, 0, 500 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, 3 * time.Second, 3 * time.Second} {
		if l.take(slog.LevelInfo, now.Add(at)) {
			got++
		}
	}
	if got != 5 {
		t.Errorf("%d lines, want 5", got)
	}
}

package load_test

import (
	"context"
	"io"
	"log/slog"
	"os"
	"sync"
	"testing"
	"time"

	"sassafrastray/internal/standin/arrival"
	"sassafrastray/internal/standin/load"
	"sassafrastray/internal/standin/outcome"
	"sassafrastray/internal/standin/scenario"
)

type (
	// fakePacer is at the time that was last slept until.
	fakePacer struct {
		mu  sync.Mutex
		now time.Time
	}

	// stalled is a server that answers nothing until it has had all
	// requests.
	stalled struct {
		mu    sync.Mutex
		left  int
		ready chan struct{}
	}
)

func (p *fakePacer) Now() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

func (p *fakePacer) Sleep(ctx context.Context, until time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = until
	return ctx.Err()
}

func (s *stalled) Send(arrival.Arrival, string, time.Time) outcome.Outcome {
	s.mu.Lock()
	s.left--
	if s.left == 0 {
		close(s.ready)
	}
	s.mu.Unlock()
	<-s.ready
	return outcome.Outcome{Class: outcome.OK, Status: 200}
}

func sample(t *testing.T) (c *scenario.Case, arrivals []arrival.Arrival) {
	b, err := os.ReadFile("testdata/case.yaml")
	if err != nil {
		t.Fatal(err)
	}
	c, err = scenario.Parse("case.yaml", b)
	if err != nil {
		t.Fatal(err)
	}
	s := arrival.New(c)
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		arrivals = append(arrivals, a)
	}
	return c, arrivals
}

func newRun(c *scenario.Case, s load.Sender, workers int) *load.Run {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return load.New(c, s, &fakePacer{now: time.Unix(1000, 0)}, log, "test", workers)
}

// TestStall holds that a server that stalls neither holds requests back nor
// hides its delay: all are sent, and each latency counts from the time that
// the schedule gave to the request.
func TestStall(t *testing.T) {
	c, arrivals := sample(t)
	s := &stalled{left: len(arrivals), ready: make(chan struct{})}
	r := newRun(c, s, len(arrivals))
	if err := r.Do(context.Background()); err != nil {
		t.Fatal(err)
	}
	total := r.Book().Total()
	end := arrivals[len(arrivals)-1].At
	if total.OK != len(arrivals) || r.Lag().Overloads != 0 {
		t.Errorf("%d ok of %d, %d overloads", total.OK, len(arrivals), r.Lag().Overloads)
	}
	near(t, "max", total.Latency.Max, end-arrivals[0].At)
	near(t, "p50", total.Latency.P50, end-arrivals[len(arrivals)/2].At)
}

// TestOverload holds that requests which find no worker are counted as not
// sent.
func TestOverload(t *testing.T) {
	const workers = 7
	c, arrivals := sample(t)
	s := &stalled{left: len(arrivals), ready: make(chan struct{})}
	p := &pausing{fakePacer{now: time.Unix(1000, 0)}, s.ready, workers + 5, 0}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	r := load.New(c, s, p, log, "test", workers)
	if err := r.Do(context.Background()); err == nil {
		t.Error("a run that was ended went well")
	}
	sent := r.Book().Total().Sent
	if sent != workers || r.Lag().Overloads != 5 || len(arrivals) <= workers+5 {
		t.Errorf("%d sent of %d, %d overloads", sent, len(arrivals), r.Lag().Overloads)
	}
}

// pausing ends the run after some requests, and the stall with it.
type pausing struct {
	fakePacer
	ready chan<- struct{}
	left  int
	slept int
}

func (p *pausing) Sleep(ctx context.Context, until time.Time) error {
	if p.slept == p.left {
		close(p.ready)
		return context.Canceled
	}
	p.slept++
	return p.fakePacer.Sleep(ctx, until)
}

// near allows for the precision of the histograms.
func near(t *testing.T, name string, got, want time.Duration) {
	if d := got - want; d.Abs() > want/200 {
		t.Errorf("%s: got %s, want %s", name, got, want)
	}
}

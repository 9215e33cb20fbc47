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
	// fakePacer is a Pacer whose Sleep sets its time and returns at once.
	fakePacer struct {
		mu  sync.Mutex
		now time.Time
	}

	// stalledSender is a Sender that blocks until it has been given all requests.
	stalledSender struct {
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

func (s *stalledSender) Send(arrival.Arrival, string, time.Time) outcome.Outcome {
	s.mu.Lock()
	s.left--
	if s.left == 0 {
		close(s.ready)
	}
	s.mu.Unlock()
	<-s.ready
	return outcome.Outcome{Class: outcome.OK, Status: 200}
}

func loadCase(t *testing.T) (c *scenario.Case, arrivals []arrival.Arrival) {
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

// TestStall guards against coordinated omission: while a server stalls, all
// requests are still sent, and each latency is measured from the request's
// scheduled time.
func TestStall(t *testing.T) {
	c, arrivals := loadCase(t)
	s := &stalledSender{left: len(arrivals), ready: make(chan struct{})}
	r := newRun(c, s, len(arrivals))
	if err := r.Do(context.Background()); err != nil {
		t.Fatal(err)
	}
	total := r.Results().Total()
	end := arrivals[len(arrivals)-1].At
	if total.OK != len(arrivals) || r.Lag().Overloads != 0 {
		t.Errorf("%d ok of %d, %d overloads", total.OK, len(arrivals), r.Lag().Overloads)
	}
	approxEqual(t, "max", total.Latency.Max, end-arrivals[0].At)
	approxEqual(t, "p50", total.Latency.P50, end-arrivals[len(arrivals)/2].At)
}

// TestOverload checks that requests for which no worker is free are counted as
// not sent.
func TestOverload(t *testing.T) {
	const workers = 7
	c, arrivals := loadCase(t)
	s := &stalledSender{left: len(arrivals), ready: make(chan struct{})}
	p := &cancelingPacer{fakePacer{now: time.Unix(1000, 0)}, s.ready, workers + 5, 0}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	r := load.New(c, s, p, log, "test", workers)
	if err := r.Do(context.Background()); err == nil {
		t.Error("a canceled run returned no error")
	}
	sent := r.Results().Total().Sent
	if sent != workers || r.Lag().Overloads != 5 || len(arrivals) <= workers+5 {
		t.Errorf("%d sent of %d, %d overloads", sent, len(arrivals), r.Lag().Overloads)
	}
}

// cancelingPacer ends the run after left requests, and unblocks the sender.
type cancelingPacer struct {
	fakePacer
	ready chan<- struct{}
	left  int
	slept int
}

func (p *cancelingPacer) Sleep(ctx context.Context, until time.Time) error {
	if p.slept == p.left {
		close(p.ready)
		return context.Canceled
	}
	p.slept++
	return p.fakePacer.Sleep(ctx, until)
}

// approxEqual allows for the precision of the histograms.
func approxEqual(t *testing.T, name string, got, want time.Duration) {
	if d := got - want; d.Abs() > want/200 {
		t.Errorf("%s: got %s, want %s", name, got, want)
	}
}

// Package load is an open-loop load generator: it sends the requests of a case
// at the times that its schedule fixes in advance, whether or not earlier
// requests have ended.
package load

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/arrival"
	"sassafrastray/internal/standin/audit"
	"sassafrastray/internal/standin/outcome"
	"sassafrastray/internal/standin/scenario"
	"sassafrastray/internal/standin/tally"
)

const (
	// maxLag is the highest value of the lag histogram, and lagDigits its number
	// of significant digits.
	maxLag       = time.Minute
	lagDigits    = 3
	eventTimeout = 5 * time.Second
)

type (
	// Sender sends one request, whose timeout runs from start, and returns
	// its outcome. It must be safe for concurrent use.
	Sender interface {
		Send(a arrival.Arrival, order string, start time.Time) outcome.Outcome
	}

	// Pacer is a clock that can also sleep.
	Pacer interface {
		sassafrastray.Clock
		// Sleep returns at the given time, or earlier with an error when the
		// context ends.
		Sleep(ctx context.Context, until time.Time) error
	}

	// Lag is the delay of the generator behind its schedule.
	Lag struct {
		P99 time.Duration `json:"p99"`
		Max time.Duration `json:"max"`
		// Overloads counts the requests that were not sent because all
		// workers were busy. If there are any, the run measures the limits
		// of the generator, not of the system.
		Overloads int `json:"overloads"`
	}

	// Run is one run of a case.
	Run struct {
		scenario *scenario.Case
		sender   Sender
		pacer    Pacer
		log      *slog.Logger
		workers  int

		mu        sync.Mutex
		results   *tally.Recorder
		auditor   *audit.Auditor
		lag       *hdrhistogram.Histogram
		overloads int
	}

	// job is a request for a worker.
	job struct {
		arrival arrival.Arrival
		start   time.Time
	}
)

// New returns a run whose order IDs begin with prefix. At most workers requests
// are in flight at a time.
func New(c *scenario.Case, s Sender, p Pacer, log *slog.Logger, prefix string, workers int) *Run {
	return &Run{
		scenario: c, sender: s, pacer: p, log: log, workers: workers,
		results: tally.New(c.Length()),
		auditor: audit.New(prefix),
		lag:     hdrhistogram.New(1, maxLag.Microseconds(), lagDigits),
	}
}

// Do sends all requests and waits until they have ended. It stops early, with
// an error, when the context ends.
func (r *Run) Do(ctx context.Context) error {
	var all sync.WaitGroup
	pool, err := ants.NewPoolWithFuncGeneric(r.workers, func(j job) {
		defer all.Done()
		r.send(j)
	}, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "start workers")
	}
	defer pool.Release()
	start := r.pacer.Now()
	all.Go(func() { r.runEvents(ctx, start) })
	schedule := arrival.New(r.scenario)
	for a, ok := schedule.Next(); ok; a, ok = schedule.Next() {
		at := start.Add(a.At)
		if err = r.pacer.Sleep(ctx, at); err != nil {
			break
		}
		r.recordLag(r.pacer.Now().Sub(at))
		all.Add(1)
		if err := pool.Invoke(job{a, at}); err != nil {
			all.Done()
			r.countOverload()
		}
	}
	all.Wait()
	return errors.Wrap(err, "run stopped early")
}

// Results returns the outcomes. Call it after Do.
func (r *Run) Results() *tally.Recorder { return r.results }

// Auditor returns the auditor that compares the outcomes with the executions of
// backend servers. Call it after Do.
func (r *Run) Auditor() *audit.Auditor { return r.auditor }

// Lag returns the delay of the generator behind its schedule.
func (r *Run) Lag() Lag {
	r.mu.Lock()
	defer r.mu.Unlock()
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	return Lag{us(r.lag.ValueAtQuantile(99)), us(r.lag.Max()), r.overloads}
}

// send sends one request and records its outcome and latency.
func (r *Run) send(j job) {
	order := r.auditor.OrderID(j.arrival.Number)
	o := r.sender.Send(j.arrival, order, j.start)
	latency := r.pacer.Now().Sub(j.start)
	if o.Class != outcome.OK && o.Class != outcome.Refused {
		r.log.Debug("request failed", "order", order, "class", o.Class, "detail", o.Detail)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results.Add(j.arrival, o, latency)
	r.auditor.Add(j.arrival, o)
}

// recordLag records the delay of one request behind the schedule.
func (r *Run) recordLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	us := min(max(d, time.Microsecond), maxLag).Microseconds()
	if err := r.lag.RecordValue(us); err != nil {
		panic("load: " + err.Error())
	}
}

func (r *Run) countOverload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloads++
}

// runEvents makes the control calls of the case's events at their times.
func (r *Run) runEvents(ctx context.Context, start time.Time) {
	events := slices.SortedStableFunc(slices.Values(r.scenario.Events), func(a, b scenario.Event) int {
		return cmp.Compare(a.At, b.At)
	})
	for _, e := range events {
		if r.pacer.Sleep(ctx, start.Add(e.At)) != nil {
			return
		}
		status, err := put(e)
		r.log.Info("scenario event", "at", e.At, "put", e.URL, "body", e.Body, "status", status, "err", err)
	}
}

// put makes the control call of an event and returns the response status.
func put(e scenario.Event) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetRequestURI(e.URL)
	req.SetBodyString(e.Body)
	err := fasthttp.DoTimeout(req, resp, eventTimeout)
	return resp.StatusCode(), err
}

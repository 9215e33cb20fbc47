package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// TestPolicy checks with random attempts that retries stay within the budget
// and the deadline, and never run a non-idempotent request twice.
func TestPolicy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		opt := Defaults()
		p := New(rand.New(rand.NewPCG(1, 2)), opt)
		services := []sassafrastray.ServiceName{"stock", "photo"}
		requests, retries := map[sassafrastray.ServiceName]int{}, map[sassafrastray.ServiceName]int{}
		for range 300 {
			s := rapid.SampledFrom(services).Draw(t, "service")
			if rapid.IntRange(0, 3).Draw(t, "request") == 0 {
				p.CountRequest(s)
				requests[s]++
				continue
			}
			a := Attempt{
				Service:    s,
				Number:     rapid.IntRange(1, 4).Draw(t, "number"),
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Result:     rapid.SampledFrom([]sassafrastray.Result{sassafrastray.ResultNotRun, sassafrastray.ResultRan, sassafrastray.ResultUnknown, ""}).Draw(t, "result"),
				Reason:     rapid.SampledFrom([]sassafrastray.Reason{sassafrastray.ReasonBadResponse, sassafrastray.ReasonShed, sassafrastray.ReasonQuota, sassafrastray.ReasonLeaving}).Draw(t, "reason"),
				Deadline:   now.Add(time.Duration(rapid.IntRange(-10, 2000).Draw(t, "left")) * time.Millisecond),
				Expected:   50 * time.Millisecond,
				Backend:    rapid.SampledFrom([]sassafrastray.BackendName{"", "b1", "b2"}).Draw(t, "backend"),
				Exclude:    []sassafrastray.BackendName{"b1"},
			}
			d := p.Next(a, now)
			if !d.Retry {
				checkRefusal(t, a, d, now)
				continue
			}
			safe := a.Result == sassafrastray.ResultNotRun || a.Idempotent && a.Result != sassafrastray.ResultRan
			if !safe || a.Reason == sassafrastray.ReasonQuota || a.Number >= opt.MaxAttempts {
				t.Fatalf("%+v is retried", a)
			}
			if !now.Add(d.Backoff + a.Expected).Before(a.Deadline) {
				t.Fatalf("retried though only %v are left until the deadline", a.Deadline.Sub(now))
			}
			if !slices.Contains(d.Exclude, "b1") || a.Backend != "" && !slices.Contains(d.Exclude, a.Backend) {
				t.Fatalf("excludes %v after earlier %v and an attempt at %q", d.Exclude, a.Exclude, a.Backend)
			}
			if a.Reason == sassafrastray.ReasonLeaving && a.Result == sassafrastray.ResultNotRun {
				continue
			}
			retries[s]++
			if float64(retries[s]) > opt.Ratio*float64(requests[s])+opt.Reserve+1e-9 {
				t.Fatalf("%d retries for %d requests exceed the budget", retries[s], requests[s])
			}
		}
	})
}

// checkRefusal fails the test if a safe retry with time left is refused for
// another reason than the budget.
func checkRefusal(t *rapid.T, a Attempt, d Decision, now time.Time) {
	safe := a.Result == sassafrastray.ResultNotRun || a.Idempotent && a.Result != sassafrastray.ResultRan
	maxBackoff := Defaults().Backoff << a.Number * 2
	timeLeft := now.Add(maxBackoff + a.Expected).Before(a.Deadline)
	if safe && timeLeft && a.Number < Defaults().MaxAttempts && a.Reason != sassafrastray.ReasonQuota && d.Reason != Budget {
		t.Fatalf("%+v is refused: %s", a, d.Reason)
	}
}

// TestSetReserve checks that a smaller reserve also limits services whose budget
// is larger.
func TestSetReserve(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 1)), Options{Ratio: 0.1, Reserve: 10, MaxAttempts: 3})
	p.CountRequest("s")
	p.SetReserve(1)
	p.CountRequest("s")
	now := time.Unix(0, 0)
	a := Attempt{
		Service: "s", Number: 1, Idempotent: true, Result: sassafrastray.ResultUnknown,
		Reason: sassafrastray.ReasonBadResponse, Deadline: now.Add(time.Second),
	}
	if d := p.Next(a, now); !d.Retry {
		t.Errorf("first retry: %+v", d)
	}
	if d := p.Next(a, now); d.Retry || d.Reason != Budget {
		t.Errorf("second retry: %+v", d)
	}
}

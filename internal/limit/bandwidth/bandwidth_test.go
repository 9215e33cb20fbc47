package bandwidth

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/limit/quota"
)

type (
	// virtualClock is a clock that sleep advances.
	virtualClock struct {
		mu  sync.Mutex
		now time.Time
	}

	// taker is a Taker with one Limiter that records the admitted bytes.
	taker struct {
		mu      sync.Mutex
		limiter *quota.Limiter
		at      []time.Time
		bytes   []float64
	}

	// byteCounter counts the bytes that all streams wrote. It records no times:
	// the sleep of any stream advances the virtual clock, so only the time at
	// which tokens are taken is meaningful.
	byteCounter struct {
		mu    sync.Mutex
		bytes float64
	}

	// sink receives the data of one stream.
	sink struct {
		bytes.Buffer
		counter *byteCounter
	}
)

func (s *sink) Write(p []byte) (int, error) {
	s.counter.mu.Lock()
	defer s.counter.mu.Unlock()
	s.counter.bytes += WireSize(len(p))
	return s.Buffer.Write(p)
}

func (v *virtualClock) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

func (v *virtualClock) sleep(ctx context.Context, d time.Duration) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = v.now.Add(d)
	return ctx.Err()
}

func (t *taker) Take(key string, n float64, now time.Time) quota.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.Tick(now)
	v := t.limiter.Take(key, n, now)
	if v.OK {
		t.at, t.bytes = append(t.at, now), append(t.bytes, n)
	}
	return v
}

// TestCapHoldsInEverySecond sends several streams at once and checks that no window
// of one second exceeds the link's cap.
func TestCapHoldsInEverySecond(t *testing.T) {
	start := time.Unix(1000, 0)
	domains := []sassafrastray.FailureDomain{{Name: "a", Region: "north", Places: 1}}
	links := []sassafrastray.Link{{From: "north", To: "south", BytesPerSecond: 400_000}}
	key := Key("north", "south")
	limiter := quota.New("a1", 1, rand.New(rand.NewPCG(1, 2)), quota.DefaultOptions())
	limiter.Configure([]quota.Limit{Limit(links[0], domains)}, domains, start)
	limiter.SetPlace(&sassafrastray.Place{Domain: "a"}, start)
	clock := &virtualClock{now: start.Add(time.Minute)}
	counter, tk := &byteCounter{}, &taker{limiter: limiter}
	limiter.Tick(clock.now)
	p := New(tk, clock, clock.sleep)
	p.Configure(links, domains)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			out := &sink{counter: counter}
			data := bytes.Repeat([]byte{'x'}, 500_000)
			n, err := p.Copy(t.Context(), key, out, bytes.NewReader(data))
			if err != nil || n != 500_000 || !bytes.Equal(out.Bytes(), data) {
				t.Errorf("copied %d bytes: %v", n, err)
			}
		})
	}
	wg.Wait()
	sum, total, oldest := 0.0, 0.0, 0
	for i, at := range tk.at {
		sum += tk.bytes[i]
		total += tk.bytes[i]
		for at.Sub(tk.at[oldest]) >= time.Second {
			sum -= tk.bytes[oldest]
			oldest++
		}
		if sum > 400_000 {
			t.Fatalf("%.0f bytes in the second before %v", sum, at)
		}
	}
	if counter.bytes > total {
		t.Errorf("%.0f bytes were written, %.0f were admitted", counter.bytes, total)
	}
	if took := clock.now.Sub(start.Add(time.Minute)); took > 7*time.Second {
		t.Errorf("two megabytes took %v at 340 kB/s", took)
	}
}

// TestHeadroomShrinksWithAge checks that a VM with an old or missing report is
// assumed to send up to its share of the link.
func TestHeadroomShrinksWithAge(t *testing.T) {
	now := time.Unix(1000, 0)
	domains := []sassafrastray.FailureDomain{{Name: "a", Region: "north", Places: 2}}
	links := []sassafrastray.Link{{From: "north", To: "south", BytesPerSecond: 1_000_000}}
	key := Key("north", "south")
	h := NewHeadroom()
	h.Configure(links, domains)
	if left := h.Left(key, now); left != 0 {
		t.Errorf("without reports: %v left", left)
	}
	h.Report(key, "a1", 100_000, now)
	h.Report(key, "a2", 0, now)
	last := h.Left(key, now)
	if last != 750_000 {
		t.Errorf("fresh reports: %v left", last)
	}
	for age := 3 * time.Second; age <= 10*time.Second; age += time.Second {
		left := h.Left(key, now.Add(age))
		if left >= last {
			t.Errorf("%v left at age %v, %v before", left, age, last)
		}
		last = left
	}
	if last != 0 {
		t.Errorf("stale reports: %v left", last)
	}
}

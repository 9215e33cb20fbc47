package pace

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
	// virtual is a clock that Sleep moves, for streams that run by turns.
	virtual struct {
		mu  sync.Mutex
		now time.Time
	}

	// ledger is a Taker over one Book that records what was admitted.
	ledger struct {
		mu    sync.Mutex
		book  *quota.Book
		at    []time.Time
		bytes []float64
	}
)

func (v *virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

func (v *virtual) sleep(ctx context.Context, d time.Duration) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = v.now.Add(d)
	return ctx.Err()
}

func (l *ledger) Take(key string, n float64, now time.Time) quota.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Tick(now)
	v := l.book.Take(key, n, now)
	if v.OK {
		l.at, l.bytes = append(l.at, now), append(l.bytes, n)
	}
	return v
}

// TestCapHoldsInEverySecond sends several streams at once and checks each
// window of one second against the link's cap.
func TestCapHoldsInEverySecond(t *testing.T) {
	start := time.Unix(1000, 0)
	domains := []sassafrastray.FailureDomain{{Name: "a", Region: "north", Places: 1}}
	links := []sassafrastray.Link{{From: "north", To: "south", BytesPerSecond: 400_000}}
	key := Key("north", "south")
	book := quota.New("a1", 1, rand.New(rand.NewPCG(1, 2)), quota.DefaultOptions())
	book.Configure([]quota.Limit{Limit(links[0], domains)}, domains, start)
	book.Hold(&sassafrastray.Place{Domain: "a"}, start)
	clock := &virtual{now: start.Add(time.Minute)}
	taker := &ledger{book: book}
	book.Tick(clock.now)
	p := New(taker, clock, clock.sleep)
	p.Configure(links, domains)
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			var out bytes.Buffer
			data := bytes.Repeat([]byte{'x'}, 500_000)
			n, err := p.Copy(t.Context(), key, &out, bytes.NewReader(data))
			if err != nil || n != 500_000 || !bytes.Equal(out.Bytes(), data) {
				t.Errorf("copied %d bytes: %v", n, err)
			}
		})
	}
	all.Wait()
	sum, first := 0.0, 0
	for i, at := range taker.at {
		sum += taker.bytes[i]
		for at.Sub(taker.at[first]) >= time.Second {
			sum -= taker.bytes[first]
			first++
		}
		if sum > 400_000 {
			t.Fatalf("%.0f bytes in the second before %v", sum, at)
		}
	}
	if took := clock.now.Sub(start.Add(time.Minute)); took > 7*time.Second {
		t.Errorf("two megabytes took %v at 340 kB/s", took)
	}
}

// TestHeadroomShrinksWithAge checks that old and missing figures count as load.
func TestHeadroomShrinksWithAge(t *testing.T) {
	now := time.Unix(1000, 0)
	domains := []sassafrastray.FailureDomain{{Name: "a", Region: "north", Places: 2}}
	links := []sassafrastray.Link{{From: "north", To: "south", BytesPerSecond: 1_000_000}}
	key := Key("north", "south")
	h := NewHeadroom()
	h.Configure(links, domains)
	if left := h.Left(key, now); left != 0 {
		t.Errorf("without figures: %v left", left)
	}
	h.Report(key, "a1", 100_000, now)
	h.Report(key, "a2", 0, now)
	last := h.Left(key, now)
	if last != 750_000 {
		t.Errorf("fresh figures: %v left", last)
	}
	for age := 3 * time.Second; age <= 10*time.Second; age += time.Second {
		left := h.Left(key, now.Add(age))
		if left >= last {
			t.Errorf("%v left at age %v, %v before", left, age, last)
		}
		last = left
	}
	if last != 0 {
		t.Errorf("stale figures: %v left", last)
	}
}

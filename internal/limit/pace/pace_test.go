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

	// taker is a Taker over one Book that records what was admitted.
	taker struct {
		mu    sync.Mutex
		book  *quota.Limiter
		at    []time.Time
		bytes []float64
	}

	// wire counts the bytes that all streams wrote. The virtual clock is
	// moved by every stream's sleep, so that the time of a write would tell
	// nothing; the time of its tokens does.
	wire struct {
		mu    sync.Mutex
		bytes float64
	}

	// sink is one stream's end of the wire.
	sink struct {
		bytes.Buffer
		wire *wire
	}
)

func (s *sink) Write(p []byte) (int, error) {
	s.wire.mu.Lock()
	defer s.wire.mu.Unlock()
	s.wire.bytes += Wire(len(p))
	return s.Buffer.Write(p)
}

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

func (t *taker) Take(key string, n float64, now time.Time) quota.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Tick(now)
	v := t.book.Take(key, n, now)
	if v.OK {
		t.at, t.bytes = append(t.at, now), append(t.bytes, n)
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
	book.SetPlace(&sassafrastray.Place{Domain: "a"}, start)
	clock := &virtual{now: start.Add(time.Minute)}
	w, tokens := &wire{}, &taker{book: book}
	book.Tick(clock.now)
	p := New(tokens, clock, clock.sleep)
	p.Configure(links, domains)
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			out := &sink{wire: w}
			data := bytes.Repeat([]byte{'x'}, 500_000)
			n, err := p.Copy(t.Context(), key, out, bytes.NewReader(data))
			if err != nil || n != 500_000 || !bytes.Equal(out.Bytes(), data) {
				t.Errorf("copied %d bytes: %v", n, err)
			}
		})
	}
	all.Wait()
	sum, total, first := 0.0, 0.0, 0
	for i, at := range tokens.at {
		sum += tokens.bytes[i]
		total += tokens.bytes[i]
		for at.Sub(tokens.at[first]) >= time.Second {
			sum -= tokens.bytes[first]
			first++
		}
		if sum > 400_000 {
			t.Fatalf("%.0f bytes in the second before %v", sum, at)
		}
	}
	if w.bytes > total {
		t.Errorf("%.0f bytes were written for %.0f that were admitted", w.bytes, total)
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

package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"sassafrastray"
)

func fourDomains() []sassafrastray.FailureDomain {
	return []sassafrastray.FailureDomain{
		{Name: "a", Region: "north", Places: 1},
		{Name: "b", Region: "north", Places: 1},
		{Name: "c", Region: "south", Places: 1},
		{Name: "d", Region: "south", Places: 1},
	}
}

// TestSharesSumToTheLimit checks that the places' units are the limit's.
func TestSharesSumToTheLimit(t *testing.T) {
	domains := fourDomains()
	for burst := range 30 {
		sum := int64(0)
		for _, d := range domains {
			units, _ := unitsOf(Limit{Key: "s/t", Burst: float64(burst)}, sassafrastray.Place{Domain: d.Name}, domains)
			sum += units
		}
		if sum != int64(burst) {
			t.Errorf("burst %d: shares sum to %d", burst, sum)
		}
	}
}

// TestTakeWithinBaseShare checks a single VM that owns the whole limit.
func TestTakeWithinBaseShare(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New("a1", 1, rand.New(rand.NewPCG(1, 2)), DefaultOptions())
	b.Configure([]Limit{{Key: "s/t", Rate: 5, Burst: 5}}, fourDomains()[:1], now)
	b.Hold(&sassafrastray.Place{Domain: "a"}, now)
	admitted := 0
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		b.Tick(now)
		if b.Take("s/t", 1, now).OK {
			admitted++
		}
	}
	if admitted < 45 || admitted > 50 {
		t.Errorf("admitted %d of 50 in ten seconds after settling", admitted)
	}
	if v := b.Take("s/x", 1, now); v.Known {
		t.Errorf("unknown key: %+v", v)
	}
}

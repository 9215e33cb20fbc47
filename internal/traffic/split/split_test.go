package split

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"sassafrastray"
)

// TestShares checks that after any number of requests the count of each service
// deviates from its share by at most one, or two if there are more than two
// services.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &sassafrastray.Route{Name: "r"}
		total := 0
		for i, w := range rapid.SliceOfN(rapid.IntRange(1, 1000), 1, 4).Draw(t, "weights") {
			r.Targets = append(r.Targets, sassafrastray.Target{Service: sassafrastray.ServiceName('a' + rune(i)), Weight: w})
			total += w
		}
		s, got := New(), map[sassafrastray.ServiceName]int{}
		for n := 1; n <= 300; n++ {
			got[s.Next(r)]++
			for _, target := range r.Targets {
				want := float64(n) * float64(target.Weight) / float64(total)
				if d := math.Abs(float64(got[target.Service]) - want); d > 1+1e-9*float64(n) && len(r.Targets) <= 2 || d > 2 {
					t.Fatalf("after %d requests %s got %d, want %.2f", n, target.Service, got[target.Service], want)
				}
			}
		}
	})
}

// TestReset checks that Reset discards the current weights that result from the
// old weights of the targets.
func TestReset(t *testing.T) {
	s := New()
	r := &sassafrastray.Route{Name: "r", Targets: []sassafrastray.Target{{Service: "a", Weight: 99}, {Service: "b", Weight: 1}}}
	for range 98 {
		s.Next(r)
	}
	s.Reset()
	r.Targets[0].Weight, r.Targets[1].Weight = 50, 50
	if first, second := s.Next(r), s.Next(r); first == second {
		t.Errorf("both requests went to %s", first)
	}
}

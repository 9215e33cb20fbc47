package placement

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const windowTime = 2 * time.Second

// regionWindow counts the requests of a region's callers in a window: those that were sent to
// the region's own servers and to others, and the refused ones.
type regionWindow struct{ near, away, refused int }

func (w regionWindow) sent() float64 { return float64(w.near + w.away) }

func (w regionWindow) awayShare() float64 { return float64(w.away) / w.sent() }

func (w regionWindow) refusedShare() float64 {
	return float64(w.refused) / (w.sent() + float64(w.refused))
}

// countWindow counts a request of a region's caller. s is the chosen server.
func (m *sharedModel) countWindow(region int, s *lruServer, sent bool, now time.Time) {
	list := &m.windows[region]
	for len(*list) <= int(now.Sub(start)/windowTime) {
		*list = append(*list, regionWindow{})
	}
	w := &(*list)[len(*list)-1]
	switch {
	case !sent:
		w.refused++
	case s.region == region:
		w.near++
	default:
		w.away++
	}
}

// wave returns a load that swings with a period of 36 s, at another phase in each region.
func wave(region, second int) float64 {
	return 1 + 0.55*math.Sin(2*math.Pi*(float64(second)/36+[3]float64{1.1, 0.4, 0.73}[region]))
}

// playRegions plays a load with admission control, and fails if the share of the requests of a
// region that go to others changes by more than the bound between two windows.
func playRegions(t *testing.T, d load, seed uint64) {
	t.Helper()
	m := newSharedModel(d, true, seed)
	for _, tables := range m.tables {
		for _, table := range tables {
			table.setGate(true)
		}
	}
	t.Log(m.play(d))
	for r, windows := range m.windows {
		for i, w := range windows {
			t.Logf("%s, %2d s: %.2f away, %.2f refused, %d", modelRegions[r], 2*i, w.awayShare(), w.refusedShare(), w.near+w.away+w.refused)
			if i == 0 {
				continue
			}
			// The objects requested in a window are random.
			before, a, b := windows[i-1], windows[i-1].awayShare(), w.awayShare()
			noise := 2 * math.Sqrt(a*(1-a)/before.sent()+b*(1-b)/w.sent())
			if math.Abs(a-b) > 0.15+noise {
				t.Errorf("%s at %d s: the share of other regions goes from %.2f to %.2f, noise %.2f", modelRegions[r], 2*i, a, b, noise)
			}
		}
	}
}

// TestRegionSharesWithBoundTeams guards against a region whose servers are filled at the start by
// its own callers and by teams of other regions that may go nowhere else, and that then refuses
// nearly all requests, so that those that run change their region at once.
func TestRegionSharesWithBoundTeams(t *testing.T) {
	d := unevenDemand
	d.at, d.bound, d.seconds = func(region, _ int) float64 { return [3]float64{2, 1, 1}[region] }, 0.15, 14
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playRegions(t, d, seed) })
	}
}

// TestRegionSharesInOverload guards against requests that change their region from one window to
// the next while the load of the regions changes.
func TestRegionSharesInOverload(t *testing.T) {
	small, even, burst := unevenDemand, evenDemand, evenDemand
	small.at = func(region, _ int) float64 { return [3]float64{2, 1, 1}[region] }
	even.at = wave
	burst.at = func(region, second int) float64 {
		if region == 0 && second >= 8 && second < 14 {
			return 2
		}
		return 0.9
	}
	for _, c := range []struct {
		name string
		load
	}{{"a region with few servers", small}, {"waves", even}, {"a burst in one region", burst}} {
		c.seconds = 24
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) { playRegions(t, c.load, seed) })
		}
	}
}

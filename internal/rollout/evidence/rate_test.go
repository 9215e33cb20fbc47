package evidence

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

var moves = flag.Int("moves", 0, "simulated moves of 5 min for each kind of version; 0 means one of 40 s")

// trials returns the number of simulated moves and their length in ticks.
func trials() (n, ticks int) {
	if *moves == 0 {
		return 1, 400
	}
	return *moves, 3000
}

// sample returns a request of a lognormal version.
func sample(rng *rand.Rand, failed, median, sigma float64) Sample {
	return lognormal(failed, median, sigma)(0, 0, 0, rng)
}

// pareto has latencies of infinite variance, cut off at 30 s.
func pareto(_, _, _ int, rng *rand.Rand) Sample {
	ms := 5 * math.Pow(1-rng.Float64(), -1/1.1)
	return Sample{OK: rng.Float64() >= 0.02, Latency: time.Duration(min(ms, 30000) * float64(time.Millisecond))}
}

// bursts fails 30% of requests for 5 s in each minute.
func bursts(tk, _, _ int, rng *rand.Rand) Sample {
	if tk%600 < 50 {
		return sample(rng, 0.3, 20, 1)
	}
	return sample(rng, 0.02, 20, 1)
}

// load triples latencies and doubles failures for half of each minute.
func load(tk, _, _ int, rng *rand.Rand) Sample {
	if tk%600 < 300 {
		return sample(rng, 0.04, 60, 1.2)
	}
	return sample(rng, 0.02, 20, 1)
}

func oneBadServer(_, _, b int, rng *rand.Rand) Sample {
	if b == 3 {
		return sample(rng, 0.7, 200, 1)
	}
	return sample(rng, 0.02, 20, 1)
}

// goodVersions are versions that must not be called bad, each with the old
// version that runs beside it. All of them fail at least 2% of requests.
var goodVersions = []struct {
	name     string
	old, new behavior
	uneven   bool // one VM fails more often on both versions, and sends more to the new version
}{
	{"alike", lognormal(0.02, 20, 1), lognormal(0.02, 20, 1), false},
	{"bursts of failures on both", bursts, bursts, false},
	{"load shifts on both", load, load, false},
	{"heavy-tailed latencies", pareto, pareto, false},
	{"10% slower", lognormal(0.02, 20, 1), lognormal(0.02, 22, 1), false},
	{"one sick backend server of 8", lognormal(0.02, 20, 1), oneBadServer, false},
	{"one VM in trouble", lognormal(0.02, 20, 1), lognormal(0.02, 20, 1), true},
}

var badVersions = []struct {
	name string
	new  behavior
	weak bool // may take longer than 40 s
}{
	{"fails 100%", lognormal(1, 20, 1), false},
	{"fails 30%", lognormal(0.3, 20, 1), false},
	{"fails 10%", lognormal(0.1, 20, 1), false},
	{"fails 6%", lognormal(0.06, 20, 1), true},
	{"fails 50% on one route", func(_, r, _ int, rng *rand.Rand) Sample {
		if r == 0 {
			return sample(rng, 0.5, 20, 1)
		}
		return sample(rng, 0.02, 20, 1)
	}, false},
	{"4 times slower", lognormal(0.02, 80, 1), false},
	{"2 times slower", lognormal(0.02, 40, 1), true},
	{"4 times slower on one route", func(_, r, _ int, rng *rand.Rand) Sample {
		if r == 0 {
			return sample(rng, 0.02, 80, 1)
		}
		return sample(rng, 0.02, 20, 1)
	}, false},
}

// threshold is the simplest detector, for comparison: a route of the new
// version is bad if more than 10% of at least 20 requests failed during the
// last 30 s.
type threshold struct{ ring [4][300][2]int }

func (b *threshold) add(route, tk int, ok bool) {
	b.ring[route][tk%300][1]++
	if !ok {
		b.ring[route][tk%300][0]++
	}
}

func (b *threshold) bad() bool {
	for r := range b.ring {
		failed, all := 0, 0
		for _, c := range b.ring[r] {
			failed, all = failed+c[0], all+c[1]
		}
		if all >= 20 && failed*10 > all {
			return true
		}
	}
	return false
}

// detection is the tick at which a version was called bad, or -1, and the
// number of requests to it until then. Good is the number of good verdicts
// among the judged ones, those after 20 s.
type detection struct{ at, requests, good, judged int }

// simulate runs one move and returns what the ledger and the threshold
// detected.
func simulate(seed uint64, share float64, old, candidate behavior, uneven bool, ticks int) (ledger, simple detection) {
	base := &threshold{}
	tk := 0
	tr := traffic{rng: rand.New(rand.NewPCG(seed, 7)), perTick: 40, share: share, backends: 8, routes: 4, uneven: uneven}
	tr.old = old
	tr.new = func(t, r, b int, rng *rand.Rand) Sample {
		s := candidate(t, r, b, rng)
		base.add(r, t, s.OK)
		return s
	}
	ls := tr.ledgers(3)
	ledger, simple = detection{at: -1}, detection{at: -1}
	requests := 0
	for ; tk < ticks && (ledger.at < 0 || simple.at < 0); tk++ {
		for r := range base.ring {
			base.ring[r][tk%300] = [2]int{}
		}
		n, ends := tr.playTick(ls, tk)
		requests += n
		if simple.at < 0 && base.bad() {
			simple = detection{at: tk, requests: requests}
		}
		if !ends || ledger.at >= 0 {
			continue
		}
		v := ls[0].Judge("stock", "v1", "v2", epoch.Add(time.Duration(tk)*tick))
		if v.Kind == Bad {
			ledger.at, ledger.requests = tk, requests
		}
		if tk > 200 {
			ledger.judged++
		}
		if tk > 200 && v.Kind == Good {
			ledger.good++
		}
	}
	return ledger, simple
}

// simulateAll runs the moves in two goroutines and returns the detections in
// the order of the seeds.
func simulateAll(share float64, old, candidate behavior, uneven bool) (ledger, simple []detection) {
	count, ticks := trials()
	ledger, simple = make([]detection, count), make([]detection, count)
	var wg sync.WaitGroup
	for half := range 2 {
		wg.Go(func() {
			for i := half; i < count; i += 2 {
				ledger[i], simple[i] = simulate(uint64(i), share, old, candidate, uneven, ticks)
			}
		})
	}
	wg.Wait()
	return ledger, simple
}

// summary returns how many moves were called bad, and a text with the median
// and the 99th percentile of the time to detection and the median of requests
// until then.
func summary(fs []detection) (n int, text string) {
	var at, requests []int
	for _, f := range fs {
		if f.at >= 0 {
			at, requests = append(at, f.at), append(requests, f.requests)
		}
	}
	if len(at) == 0 {
		return 0, "0"
	}
	slices.Sort(at)
	slices.Sort(requests)
	second := func(t int) float64 { return (time.Duration(t+1) * tick).Seconds() }
	return len(at), fmt.Sprintf("%d, %.0f s (99%%: %.0f s), %d requests", len(at),
		second(at[len(at)/2]), second(at[len(at)*99/100]), requests[len(at)/2])
}

// TestFalseAlarms measures how many good versions are called bad in moves of 5
// min at 10% of 400 requests per second. At most one in 1000 may be.
func TestFalseAlarms(t *testing.T) {
	for _, g := range goodVersions {
		t.Run(g.name, func(t *testing.T) {
			ledger, simple := simulateAll(0.1, g.old, g.new, g.uneven)
			n, text := summary(ledger)
			_, base := summary(simple)
			good, judged := 0, 0
			for _, f := range ledger {
				good, judged = good+f.good, judged+f.judged
			}
			t.Logf("| %s | %s | %s | %.0f%% |", g.name, text, base, 100*float64(good)/float64(max(judged, 1)))
			if n*1000 > *moves {
				t.Errorf("%d of %d moves called bad", n, max(*moves, 1))
			}
		})
	}
}

// TestDetection measures how soon bad versions are detected at 1% and 10% of
// 400 requests per second. At 10% all must be detected within 5 min.
func TestDetection(t *testing.T) {
	for _, share := range []float64{0.01, 0.1} {
		if *moves == 0 && share < 0.1 {
			continue
		}
		for _, b := range badVersions {
			ledger, simple := simulateAll(share, lognormal(0.02, 20, 1), b.new, false)
			n, text := summary(ledger)
			_, base := summary(simple)
			t.Logf("| %.0f%% | %s | %s | %s |", 100*share, b.name, text, base)
			if count, _ := trials(); share > 0.05 && n != count && (*moves > 0 || !b.weak) {
				t.Errorf("%s: %d of %d moves called bad", b.name, n, count)
			}
		}
	}
}

// TestOneDomain checks that failures of all backend servers of one failure
// domain do not make the version bad.
func TestOneDomain(t *testing.T) {
	cut := func(_, _, b int, rng *rand.Rand) Sample {
		if b%4 == 1 {
			return sample(rng, 0.9, 20, 1)
		}
		return sample(rng, 0.02, 20, 1)
	}
	if ledger, _ := simulate(1, 0.1, lognormal(0.02, 20, 1), cut, false, 600); ledger.at >= 0 {
		t.Fatalf("called bad after %d ticks", ledger.at)
	}
}

// TestWithoutOldVersion checks that a version that turns bad while the old one
// receives no requests is suspect, and that a comparison then tells whether it
// is bad.
func TestWithoutOldVersion(t *testing.T) {
	for _, both := range []bool{false, true} {
		tr := traffic{rng: rand.New(rand.NewPCG(1, 7)), perTick: 40, backends: 8, routes: 4}
		failing := func(tk, _, _ int, rng *rand.Rand) Sample {
			if tk > 300 {
				return sample(rng, 0.4, 20, 1)
			}
			return sample(rng, 0.02, 20, 1)
		}
		tr.new, tr.old = failing, lognormal(0.02, 20, 1)
		if both {
			tr.old = failing
		}
		tr.share = 0.5
		ls := tr.ledgers(3)
		var kinds []Kind
		for tk := range 1200 {
			if tk > 100 && len(kinds) == 0 {
				tr.share = 1
			}
			if _, ends := tr.playTick(ls, tk); !ends {
				continue
			}
			v := ls[0].Judge("stock", "v1", "v2", epoch.Add(time.Duration(tk)*tick))
			if v.Kind == Suspect && len(kinds) == 0 {
				t.Log(v, "at", tk)
				kinds, tr.share = append(kinds, Suspect), 0.5
			}
			if v.Kind == Bad {
				t.Log(v, "at", tk)
				kinds = append(kinds, Bad)
				break
			}
		}
		if want := 2; both && len(kinds) != 1 || !both && len(kinds) != want {
			t.Fatalf("both fail %v: %v", both, kinds)
		}
	}
}

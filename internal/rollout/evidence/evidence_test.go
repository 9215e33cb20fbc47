package evidence

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrastray"
)

type (
	// traffic generates the requests of one service.
	traffic struct {
		rng      *rand.Rand
		perTick  int // requests in each tick of 100 ms over all VMs
		share    float64
		backends int
		routes   int
		old      behavior
		new      behavior
		// uneven makes half of the requests on the first VM fail, and that VM
		// sends a larger share to the new version than the others.
		uneven bool
		// partitioned makes each backend server known to a single VM. The first
		// VM has none of the old version.
		partitioned bool
	}

	// behavior returns the outcome of a request at a tick, on a route and on a
	// backend server of a version.
	behavior func(tick, route, backend int, rng *rand.Rand) Sample
)

const tick = 100 * time.Millisecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// lognormal fails at the given rate and has log-normal latency with the given
// median in milliseconds.
func lognormal(failed, median, sigma float64) behavior {
	return func(_, _, _ int, rng *rand.Rand) Sample {
		return Sample{
			OK:      rng.Float64() >= failed,
			Latency: time.Duration(median * math.Exp(sigma*rng.NormFloat64()) * float64(time.Millisecond)),
		}
	}
}

func (tr traffic) service() sassafrastray.Service {
	s := sassafrastray.Service{Name: "stock", Move: &sassafrastray.Move{Name: "m", From: "v1", To: "v2"}}
	for i := range tr.routes {
		s.Routes = append(s.Routes, sassafrastray.Route{Name: routeName(i)})
	}
	for i := range tr.backends {
		s.Backends = append(s.Backends, sassafrastray.BackendServer{
			Name: backendName(i), Domain: sassafrastray.DomainName(fmt.Sprint("d", i%4)), Version: "v2",
		})
	}
	return s
}

func routeName(i int) sassafrastray.RouteName { return sassafrastray.RouteName(fmt.Sprint("r", i)) }

func backendName(i int) sassafrastray.BackendName {
	return sassafrastray.BackendName(fmt.Sprint("b", i))
}

// ledgers returns the ledgers of several VMs.
func (tr traffic) ledgers(vms int) []*Ledger {
	ls := make([]*Ledger, vms)
	for i := range ls {
		ls[i] = New(sassafrastray.VMName(fmt.Sprint("vm", i)), 1, Options{})
		ls[i].Configure([]sassafrastray.Service{tr.service()}, epoch)
	}
	return ls
}

// playTick simulates the requests of one tick, and reports whether a second
// ends with it. If so, the ledgers have exchanged digests.
func (tr traffic) playTick(ls []*Ledger, t int) (requests int, ends bool) {
	now := epoch.Add(time.Duration(t) * tick)
	for range tr.perTick {
		requests += tr.request(ls, t, now)
	}
	if t%10 != 9 {
		return requests, false
	}
	for _, a := range ls {
		d := a.Digest(now)
		for _, b := range ls {
			b.Merge(d, now)
		}
	}
	return requests, true
}

// run simulates a number of ticks over the ledgers of several VMs until a
// verdict is bad. It returns the tick of that verdict, or -1, the number of
// requests to the new version and the last verdict.
func (tr traffic) run(vms, ticks int) (at int, requests int, last Verdict) {
	ls := tr.ledgers(vms)
	for t := range ticks {
		n, ends := tr.playTick(ls, t)
		requests += n
		if !ends {
			continue
		}
		if last = ls[0].Judge("stock", "v1", "v2", epoch.Add(time.Duration(t)*tick)); last.Kind == Bad {
			return t, requests, last
		}
	}
	return -1, requests, last
}

func (tr traffic) request(ls []*Ledger, t int, now time.Time) int {
	r, b, vm := tr.rng.IntN(tr.routes), tr.rng.IntN(tr.backends), tr.rng.IntN(len(ls))
	share, broken := tr.share, tr.uneven && vm == 0 && tr.rng.Float64() < 0.5
	if tr.uneven && vm != 0 {
		share /= 5
	}
	if tr.rng.Float64() < share {
		if tr.partitioned {
			vm = b % len(ls)
		}
		s := tr.new(t, r, b, tr.rng)
		s.OK = s.OK && !broken
		ls[vm].Add("stock", "v2", routeName(r), backendName(b), s, now)
		return 1
	}
	if tr.partitioned {
		vm = 1 + b%(len(ls)-1)
	}
	s := tr.old(t, r, b, tr.rng)
	s.OK = s.OK && !broken
	ls[vm].Add("stock", "v1", routeName(r), "old", s, now)
	return 0
}

func TestJudge(t *testing.T) {
	steady := lognormal(0.02, 20, 1)
	tests := []struct {
		name   string
		routes int
		new    behavior
		want   Kind
		// within is the last tick at which a bad version may be detected.
		within int
	}{
		{"alike", 4, steady, Good, 0},
		{"fails", 4, lognormal(0.3, 20, 1), Bad, 60},
		{"slow", 4, lognormal(0.02, 80, 1), Bad, 200},
		{"one route of 32 fails", 32, func(tk, r, b int, rng *rand.Rand) Sample {
			if r == 2 {
				return lognormal(0.5, 20, 1)(tk, r, b, rng)
			}
			return steady(tk, r, b, rng)
		}, Bad, 600},
		{"fails later", 4, func(tk, r, b int, rng *rand.Rand) Sample {
			if tk > 600 {
				return lognormal(0.5, 20, 1)(tk, r, b, rng)
			}
			return steady(tk, r, b, rng)
		}, Bad, 630},
		{"one server fails", 4, func(tk, r, b int, rng *rand.Rand) Sample {
			if b == 3 {
				return lognormal(1, 20, 1)(tk, r, b, rng)
			}
			return steady(tk, r, b, rng)
		}, Good, 0},
		{"one server is slow", 4, func(tk, r, b int, rng *rand.Rand) Sample {
			if b == 3 {
				return lognormal(0.02, 2000, 1)(tk, r, b, rng)
			}
			return steady(tk, r, b, rng)
		}, Good, 0},
		{"cold caches", 4, func(tk, r, b int, rng *rand.Rand) Sample {
			return lognormal(0.02, 20+200*math.Exp(-float64(tk)/80), 1)(tk, r, b, rng)
		}, Good, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := traffic{
				rng: rand.New(rand.NewPCG(1, 2)), perTick: 40, share: 0.1, backends: 8, routes: tt.routes,
				old: steady, new: tt.new,
			}
			at, n, v := tr.run(3, 900)
			t.Log(at, n, v)
			if v.Kind != tt.want || at > tt.within {
				t.Fatalf("verdict %+v at %d, want %s within %d", v, at, tt.want, tt.within)
			}
		})
	}
}

func BenchmarkAdd(b *testing.B) {
	tr := traffic{rng: rand.New(rand.NewPCG(1, 2)), backends: 8, routes: 4}
	l := New("vm0", 1, Options{})
	l.Configure([]sassafrastray.Service{tr.service()}, epoch)
	b.ReportAllocs()
	for b.Loop() {
		l.Add("stock", "v2", "r1", "b3", Sample{OK: true, Latency: time.Millisecond}, epoch)
	}
}

func BenchmarkJudge(b *testing.B) {
	for _, partitioned := range []bool{false, true} {
		b.Run(fmt.Sprint("partitioned=", partitioned), func(b *testing.B) {
			steady := lognormal(0.02, 20, 1)
			tr := traffic{
				rng: rand.New(rand.NewPCG(1, 2)), perTick: 40, share: 0.1, backends: 16, routes: 4,
				old: steady, new: steady, partitioned: partitioned,
			}
			ls := tr.ledgers(11)
			for t := range 600 {
				tr.playTick(ls, t)
			}
			now := epoch.Add(time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				ls[0].Judge("stock", "v1", "v2", now)
			}
		})
	}
}

// TestPartitionedServers checks that the versions are told apart if each VM
// knows only some of the backend servers.
func TestPartitionedServers(t *testing.T) {
	for _, failed := range []float64{0.02, 0.3} {
		tr := traffic{
			rng: rand.New(rand.NewPCG(1, 2)), perTick: 40, share: 0.1, backends: 8, routes: 4,
			old: lognormal(0.02, 20, 1), new: lognormal(failed, 20, 1), partitioned: true,
		}
		at, _, v := tr.run(3, 400)
		if want := map[bool]Kind{false: Good, true: Bad}[failed > 0.1]; v.Kind != want || at > 100 {
			t.Errorf("fails %v: %+v at %d, want %s", failed, v, at, want)
		}
	}
}

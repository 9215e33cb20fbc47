package move

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/rollout/evidence"
)

var moves = flag.Int("moves", 0, "simulated moves for each kind of version; 0 means one for some kinds")

const perTick = 75 // requests in each tick, which makes 300 per second

// behavior returns how the new version answers at a share and on a route: the
// fraction of failures and the factor on latency.
type behavior func(tr *simulation, share, route int) (failed, slow float64)

// failing is good until 60 s after the move is done.
func failing(failed, slow float64) behavior {
	return func(tr *simulation, _, _ int) (float64, float64) {
		if !tr.done.IsZero() && tr.now.Sub(tr.done) > time.Minute {
			return failed, slow
		}
		return 0.02, 1
	}
}

// simulation is a fleet whose verdicts are based on simulated requests.
type simulation struct {
	*fleet
	rng     *rand.Rand
	begun   time.Time
	version behavior
	done    time.Time // when the record's move ended
	bothBad bool      // the old version answers like the new one
	// badSince is when the new version first answered worse, and sent the
	// number of requests to it since then.
	badSince time.Time
	sent     int
}

func newSimulation(seed uint64, deadline time.Duration) *simulation {
	tr := &simulation{fleet: newFleet(seed), rng: rand.New(rand.NewPCG(seed, 9))}
	m := newMove("m0", tr.now.Add(deadline))
	m.Steps, m.Soak = []int{10, 50, 100, 250, 500, 1000}, 10*time.Second
	tr.begun = tr.now
	tr.publish(m)
	for i := range vmCount {
		l := evidence.New(tr.name(i), 1, evidence.Options{})
		tr.ledgers = append(tr.ledgers, l)
	}
	return tr
}

func (tr *simulation) service() sassafrastray.Service {
	s := tr.services(1)[0]
	s.Backends = nil
	for i := range 8 {
		v := sassafrastray.VersionName("v1")
		if i%2 == 0 {
			v = "v2"
		}
		s.Backends = append(s.Backends, sassafrastray.BackendServer{
			Name: sassafrastray.BackendName(fmt.Sprint("b", i)), Domain: sassafrastray.DomainName(fmt.Sprint("d", i%4)), Version: v,
		})
	}
	for i := range 4 {
		s.Routes = append(s.Routes, sassafrastray.Route{Name: sassafrastray.RouteName(fmt.Sprint("r", i))})
	}
	return s
}

// second simulates one second.
func (tr *simulation) second() {
	for range time.Second / tick {
		tr.advance()
		for range perTick {
			tr.request()
		}
	}
	for i, l := range tr.ledgers {
		l.Configure([]sassafrastray.Service{tr.service()}, tr.now)
		d := l.Digest(tr.now)
		for j, peer := range tr.ledgers {
			if i != j {
				peer.Merge(d, tr.now)
			}
		}
	}
}

func (tr *simulation) request() {
	vm, route := tr.fleet.rng.IntN(vmCount), tr.rng.IntN(4)
	split := tr.vms[vm].m.Share(stock, tr.now)
	version := split.Version(tr.rng.IntN(fullShare))
	failed, slow := 0.02, 1.0
	backend := 1 + 2*tr.rng.IntN(4)
	if tr.bothBad && version == "v1" {
		failed, slow = tr.version(tr, split.Share, route)
	}
	if version == "v2" {
		backend--
		f, s := tr.version(tr, split.Share, route)
		failed, slow = max(failed, f), s
		tr.countRequest(f > 0.02 || s > 1.2)
	}
	ms := 20 * slow * math.Exp(tr.rng.NormFloat64())
	s := evidence.Sample{OK: tr.rng.Float64() >= failed, Latency: time.Duration(ms * float64(time.Millisecond))}
	tr.ledgers[vm].Add(stock, version, sassafrastray.RouteName(fmt.Sprint("r", route)),
		sassafrastray.BackendName(fmt.Sprint("b", backend)), s, tr.now)
}

// countRequest counts a request to the new version, if the version has answered
// worse by then.
func (tr *simulation) countRequest(bad bool) {
	if bad && tr.badSince.IsZero() {
		tr.badSince = tr.now
	}
	if !tr.badSince.IsZero() {
		tr.sent++
	}
}

// sending reports whether any VM still sends requests to the new version.
func (tr *simulation) sending() bool {
	return slices.ContainsFunc(tr.vms, func(v *vm) bool { return v.m.Share(stock, tr.now).Share > 0 })
}

var versions = []struct {
	name string
	want State
	// back reports whether the old version must receive all requests in the
	// end, whatever the record says.
	back bool
	// both reports whether the old version answers like the new one. The
	// simulation then runs to its end.
	both    bool
	version behavior
}{
	{"good", Done, false, false, func(*simulation, int, int) (float64, float64) { return 0.02, 1 }},
	{"cold caches", Done, false, false, func(tr *simulation, _, _ int) (float64, float64) {
		return 0.02, 1 + 8*math.Exp(-tr.now.Sub(tr.begun).Seconds()/15)
	}},
	{"fails 100% at once", Reverted, true, false, func(*simulation, int, int) (float64, float64) { return 1, 1 }},
	{"fails 30% at once", Reverted, true, false, func(*simulation, int, int) (float64, float64) { return 0.3, 1 }},
	{"fails 10% at once", Reverted, true, false, func(*simulation, int, int) (float64, float64) { return 0.1, 1 }},
	{"4 times slower at once", Reverted, true, false, func(*simulation, int, int) (float64, float64) { return 0.02, 4 }},
	{"fails 50% on one route", Reverted, true, false, func(_ *simulation, _, route int) (float64, float64) {
		if route == 2 {
			return 0.5, 1
		}
		return 0.02, 1
	}},
	{"fails 30% after 60 s", Reverted, true, false, func(tr *simulation, _, _ int) (float64, float64) {
		if tr.now.Sub(tr.begun) > time.Minute {
			return 0.3, 1
		}
		return 0.02, 1
	}},
	{"fails 30% from a share of 250", Reverted, true, false, func(_ *simulation, share, _ int) (float64, float64) {
		if share >= 250 {
			return 0.3, 1
		}
		return 0.02, 1
	}},
	{"4 times slower from a share of 250", Reverted, true, false, func(_ *simulation, share, _ int) (float64, float64) {
		if share >= 250 {
			return 0.02, 4
		}
		return 0.02, 1
	}},
	{"fails 40% 60 s after it is done", Done, true, false, failing(0.4, 1)},
	{"4 times slower 60 s after it is done", Done, true, false, failing(0.02, 4)},
	{"both fail 40% 60 s after it is done", Done, false, true, failing(0.4, 1)},
	{"both slow 60 s after it is done", Done, false, true, failing(0.02, 4)},
}

// lowest returns the smallest share that a VM sends to the new version.
func (tr *simulation) lowest() int {
	least := fullShare
	for _, v := range tr.vms {
		least = min(least, v.m.Share(stock, tr.now).Share)
	}
	return least
}

// TestSimulatedTraffic moves to versions of several kinds with verdicts from
// simulated requests. It logs how long each move takes and how many requests a
// bad version receives.
func TestSimulatedTraffic(t *testing.T) {
	for i, kind := range versions {
		if *moves == 0 && i%4 != 2 {
			continue
		}
		var took, sent []int
		for seed := range max(*moves, 1) {
			tr := newSimulation(uint64(seed), 8*time.Minute)
			tr.version, tr.bothBad = kind.version, kind.both
			end := tr.begun.Add(8 * time.Minute)
			for tr.now.Before(end) {
				tr.second()
				if r := tr.record(); tr.done.IsZero() && r != nil && r.State != Running {
					tr.done = tr.now
				}
				if !kind.both && !tr.done.IsZero() && (!kind.back || !tr.badSince.IsZero()) && tr.sending() != kind.back {
					break
				}
			}
			r := tr.record()
			if r.State != kind.want || tr.sending() == kind.back || kind.both && tr.lowest() < maxSuspectShare {
				t.Errorf("%s, seed %d: %s (%s), %+v", kind.name, seed, r.State, r.Reason, tr.vms[0].m.Status(tr.now))
			}
			from := tr.begun
			if kind.back && !tr.badSince.IsZero() {
				from = tr.badSince
			}
			took, sent = append(took, int(tr.now.Sub(from).Seconds())), append(sent, tr.sent)
		}
		slices.Sort(took)
		slices.Sort(sent)
		last := len(took) - 1
		t.Logf("| %s | %d s | %d s | %d | %d |", kind.name, took[len(took)/2], took[last], sent[len(sent)/2], sent[last])
	}
}

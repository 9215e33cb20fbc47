package placement

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sassafrastray"
)

// modelKnownObjects is the number of objects that a modelServer remembers.
const modelKnownObjects = 25

type (
	// policy chooses a server for an object. The returned function is
	// called when the request ends.
	policy interface {
		pick(object string, now time.Time) (sassafrastray.BackendName, func(took time.Duration, now time.Time), bool)
		tick(now time.Time)
	}

	// placementPolicy is the policy of this package, with the tables of
	// several VMs.
	placementPolicy struct {
		tables []*Table
		rng    *rand.Rand
		model  *model
	}

	// leastLoad chooses the server with the fewest requests, by exact
	// counts.
	leastLoad struct{ model *model }

	// modelServer is a server with slots, a queue and an LRU cache of
	// objects.
	modelServer struct {
		name   sassafrastray.BackendName
		domain sassafrastray.DomainName
		slots  int
		free   []time.Time
		load   int
		// factor multiplies the server's processing time, if it is set.
		factor int
		// order and entries are the LRU cache, the latest object first.
		order   *list.List
		entries map[string]*list.Element
	}

	model struct {
		servers []*modelServer
		byName  map[sassafrastray.BackendName]*modelServer
		warm    time.Duration
		cold    time.Duration
		// timeout ends an attempt that has no answer; zero means that
		// none ends.
		timeout time.Duration
		// queue is the number of requests that may wait at a server
		// before it sheds others; zero means no limit.
		queue int
	}

	// outcome holds the counts of a simulation.
	outcome struct {
		// all counts the requests, known those whose object the server knew,
		// inTime those answered in time, refused those that were not served,
		// and away those that other regions served.
		all, known, inTime, refused, away int
		// shares are the measured shares of other regions in windows of
		// two seconds, and windows the numbers of requests in these.
		shares, windows []float64
		// remoteShares are the intended shares of other regions,
		// sampled five times a second.
		remoteShares []float64
	}

	// completion is the end of a request that is in progress.
	completion struct {
		at   time.Time
		done func()
	}
)

func newModel(all []sassafrastray.BackendServer, warm, cold time.Duration) *model {
	m := &model{byName: map[sassafrastray.BackendName]*modelServer{}, warm: warm, cold: cold}
	for _, b := range all {
		s := &modelServer{name: b.Name, domain: b.Domain, slots: b.Slots, order: list.New(), entries: map[string]*list.Element{}}
		s.free = make([]time.Time, b.Slots)
		m.servers = append(m.servers, s)
		m.byName[b.Name] = s
	}
	return m
}

// run starts a request at the server. It returns when the request ends, and
// whether the server knew the object.
func (s *modelServer) run(object string, warm, cold time.Duration, now time.Time) (time.Time, bool) {
	e, known := s.entries[object]
	work := cold
	if known {
		work = warm
		s.order.MoveToFront(e)
	} else {
		s.entries[object] = s.order.PushFront(object)
		if s.order.Len() > modelKnownObjects {
			last := s.order.Back()
			delete(s.entries, last.Value.(string))
			s.order.Remove(last)
		}
	}
	work *= time.Duration(max(1, s.factor))
	i := 0
	for j := range s.free {
		if s.free[j].Before(s.free[i]) {
			i = j
		}
	}
	begin := later(now, s.free[i])
	s.free[i] = begin.Add(work)
	return s.free[i], known
}

func (p *placementPolicy) tick(now time.Time) {
	for _, t := range p.tables {
		t.Tick(now)
	}
}

func (p *placementPolicy) pick(object string, now time.Time) (sassafrastray.BackendName, func(time.Duration, time.Time), bool) {
	t := p.tables[p.rng.IntN(len(p.tables))]
	c, ok := t.Pick(request(object), now)
	if !ok {
		return "", nil, false
	}
	s := p.model.byName[c.Server.Name]
	return c.Server.Name, func(took time.Duration, now time.Time) {
		if took == 0 {
			t.Done(c, Shed, took, nil, now)
			return
		}
		if p.model.timeout > 0 && took >= p.model.timeout {
			t.Done(c, Timeout, took, nil, now)
			return
		}
		t.Done(c, OK, took, &sassafrastray.BackendLoad{Running: min(s.load, s.slots), Waiting: max(0, s.load-s.slots), Slots: s.slots}, now)
	}, true
}

func (l *leastLoad) tick(time.Time) {}

func (l *leastLoad) pick(string, time.Time) (sassafrastray.BackendName, func(time.Duration, time.Time), bool) {
	best := l.model.servers[0]
	for _, s := range l.model.servers {
		if regions[s.domain] == "north" && s.load < best.load {
			best = s
		}
	}
	return best.name, func(time.Duration, time.Time) {}, true
}

// simulate sends requests for random objects of the region. The counts of the
// outcome leave out the seconds before from.
func simulate(p policy, m *model, objects int, perSecond func(second int) float64, seconds, from int, seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out outcome
	var open []completion
	now := start
	window, windowAway := 0, 0
	for ms := range seconds * 1000 {
		now = start.Add(time.Duration(ms) * time.Millisecond)
		if ms%200 == 0 {
			p.tick(now)
			if v, ok := p.(*placementPolicy); ok && v.tables[0].services["s"].shareSet {
				out.remoteShares = append(out.remoteShares, v.tables[0].services["s"].remoteShare)
			}
		}
		for len(open) > 0 && !open[0].at.After(now) {
			open[0].done()
			open = open[1:]
		}
		if ms%2000 == 0 && ms > 0 && window > 0 {
			out.shares = append(out.shares, float64(windowAway)/float64(window))
			out.windows = append(out.windows, float64(window))
			window, windowAway = 0, 0
		}
		if rng.Float64() > perSecond(ms/1000)/1000 {
			continue
		}
		counted := ms >= from*1000
		object := fmt.Sprint(rng.IntN(objects))
		name, done, ok := p.pick(object, now)
		if counted {
			out.all++
		}
		if !ok {
			if counted {
				out.refused++
			}
			continue
		}
		s := m.byName[name]
		if m.queue > 0 && s.load >= s.slots+m.queue {
			done(0, now)
			if counted {
				out.refused++
			}
			continue
		}
		end, known := s.run(object, m.warm, m.cold, now)
		took := end.Sub(now)
		window++
		if regions[s.domain] != "north" {
			took += defaultDistance
			windowAway++
			if counted {
				out.away++
			}
		}
		if counted && known {
			out.known++
		}
		if counted && took <= 400*time.Millisecond {
			out.inTime++
		}
		if m.timeout > 0 {
			took = min(took, m.timeout)
		}
		s.load++
		i, _ := slices.BinarySearchFunc(open, now.Add(took), func(e completion, at time.Time) int { return e.at.Compare(at) })
		open = slices.Insert(open, i, completion{now.Add(took), func() { s.load--; done(took, now.Add(took)) }})
	}
	return out
}

// vms returns the policy of this package for three VMs of the region.
func vms(all []sassafrastray.BackendServer, m *model) *placementPolicy { return fleetOf(3, all, m) }

// fleetOf returns the policy of this package for count VMs of the region.
func fleetOf(count int, all []sassafrastray.BackendServer, m *model) *placementPolicy {
	p := &placementPolicy{model: m, rng: rand.New(rand.NewPCG(7, 7))}
	for i := range count {
		t := newTable("north", uint64(i))
		t.Update(all, nil, start)
		t.SetRegionPeers(count - 1)
		p.tables = append(p.tables, t)
	}
	return p
}

func steady(rate float64) func(int) float64 { return func(int) float64 { return rate } }

// TestFewObjectsManyRequests covers a region whose callers ask for few objects
// repeatedly, where a server knows the last 25 objects and works 3.3 times as
// long on another. The least loaded server rarely knows the object; the
// object's preferred server nearly always does.
func TestFewObjectsManyRequests(t *testing.T) {
	all := slices.Concat(servers("n-1", 3, 3), servers("n-2", 3, 3))
	const warm, cold, rate, objects = 192 * time.Millisecond, 640 * time.Millisecond, 45, 70
	m := newModel(all, warm, cold)
	ours := simulate(vms(all, m), m, objects, steady(rate), 40, 10, 1)
	m = newModel(all, warm, cold)
	least := simulate(&leastLoad{m}, m, objects, steady(rate), 40, 10, 1)
	t.Logf("placement: %d known, %d in time of %d; least load: %d known, %d in time", ours.known, ours.inTime, ours.all, least.known, least.inTime)
	if fraction := float64(ours.known) / float64(ours.all); fraction < 0.9 {
		t.Errorf("%.3f of the requests reached a server that knew their object, want 0.9", fraction)
	}
	if ours.inTime <= least.inTime {
		t.Errorf("placement served %d requests in time, least load %d", ours.inTime, least.inTime)
	}
}

// checkShares checks that the share of other regions changes by no more than
// the bound on shifts between two windows of two seconds.
func checkShares(t *testing.T, out outcome) {
	t.Helper()
	for i := 1; i < len(out.shares); i++ {
		a, b := out.shares[i-1], out.shares[i]
		// The objects requested in a window are random.
		noise := 2 * math.Sqrt(a*(1-a)/out.windows[i-1]+b*(1-b)/out.windows[i])
		if d := math.Abs(a - b); d > 0.15+noise {
			t.Errorf("the share of other regions went from %.2f to %.2f, noise %.2f", a, b, noise)
		}
	}
}

// TestRegionWithFewServers covers a region that has a tenth of the servers and
// a third of the callers. The load that exceeds its servers must go to other
// regions from the first second, and the share must change slowly: by no more
// than the bound on shifts between two windows of two seconds.
func TestRegionWithFewServers(t *testing.T) {
	all := slices.Concat(servers("n-1", 2, 4), servers("s-1", 9, 4), servers("w-1", 9, 4))
	m := newModel(all, 108*time.Millisecond, 360*time.Millisecond)
	wave := func(second int) float64 { return 95 * (1 + 0.55*math.Sin(2*math.Pi*float64(second)/36)) }
	out := simulate(vms(all, m), m, 70, wave, 72, 8, 2)
	t.Logf("%d requests, %d in time, %d refused, %d away, shares %.2f", out.all, out.inTime, out.refused, out.away, out.shares)
	if fraction := float64(out.inTime) / float64(out.all); fraction < 0.9 {
		t.Errorf("%.3f in time, want 0.9", fraction)
	}
	checkShares(t, out)
	for i := 10; i < len(out.remoteShares); i++ {
		// Half of the bound is left for random variation and detours.
		if d := math.Abs(out.remoteShares[i] - out.remoteShares[i-10]); d > 0.15/2 {
			t.Errorf("the intended share of other regions went from %.3f to %.3f in two seconds", out.remoteShares[i-10], out.remoteShares[i])
		}
	}
}

// TestHotObject covers one object that gets half of the requests, more than one
// server can handle. Its second choice must take part of them, and the other
// objects must still be served in time.
func TestHotObject(t *testing.T) {
	all := slices.Concat(servers("n-1", 3, 3), servers("n-2", 3, 3))
	m := newModel(all, 192*time.Millisecond, 640*time.Millisecond)
	withHotObject := &skewed{policy: vms(all, m), rng: rand.New(rand.NewPCG(3, 3))}
	out := simulate(withHotObject, m, 24, steady(40), 40, 10, 3)
	t.Logf("%d in time of %d", out.inTime, out.all)
	if fraction := float64(out.inTime) / float64(out.all); fraction < 0.85 {
		t.Errorf("%.3f in time, want 0.85", fraction)
	}
}

// skewed replaces the object of half of the requests by one object.
type skewed struct {
	policy
	rng *rand.Rand
}

func (s *skewed) pick(object string, now time.Time) (sassafrastray.BackendName, func(time.Duration, time.Time), bool) {
	if s.rng.IntN(2) == 0 {
		object = "0"
	}
	return s.policy.pick(object, now)
}

// TestOverload covers a load above the capacity of the region's servers, even
// if they know every object, while one server repeatedly leaves and returns, which
// moves objects. An unknown object takes as much of the servers' time as several
// known ones, so requests for unknown objects must stay rare. Served requests must
// be in time, and the others refused at once.
func TestOverload(t *testing.T) {
	all := slices.Concat(servers("n-1", 3, 4), servers("n-2", 3, 4))
	const warm, cold = 108 * time.Millisecond, 360 * time.Millisecond
	capacity := 24 / warm.Seconds()
	m := newModel(all, warm, cold)
	p := vms(all, m)
	withFlapping := &flapping{placementPolicy: p, all: all}
	out := simulate(withFlapping, m, 70, steady(1.3*capacity), 40, 8, 4)
	t.Logf("%d requests, %d known, %d in time, %d refused", out.all, out.known, out.inTime, out.refused)
	served := out.all - out.refused
	if fraction := float64(out.known) / float64(served); fraction < 0.95 {
		t.Errorf("%.3f of the served requests reached a server that knew their object, want 0.95", fraction)
	}
	if fraction := float64(out.inTime) / float64(served); fraction < 0.9 {
		t.Errorf("%.3f of the served requests were in time, want 0.9", fraction)
	}
	if fraction := float64(out.inTime) / (0.8 * capacity * 32); fraction < 1 {
		t.Errorf("in time: %.3f of the requests that four fifths of the capacity can serve, want 1", fraction)
	}
}

// flapping lets one server leave for four seconds in every twelve.
type flapping struct {
	*placementPolicy
	all     []sassafrastray.BackendServer
	leaving bool
}

func (i *flapping) tick(now time.Time) {
	leaving := int(now.Sub(start).Seconds())%12 >= 8
	if leaving != i.leaving {
		i.leaving = leaving
		list := slices.Clone(i.all)
		list[0].Leaving = leaving
		for _, t := range i.tables {
			t.Update(list, nil, now)
		}
	}
	i.placementPolicy.tick(now)
}

// TestServersTurnSlow covers servers that become ten times slower from one
// moment on. Their load and their late answers must keep other requests away.
func TestServersTurnSlow(t *testing.T) {
	all := slices.Concat(servers("n-1", 3, 3), servers("n-2", 3, 3))
	m := newModel(all, 192*time.Millisecond, 640*time.Millisecond)
	p := &slowed{placementPolicy: vms(all, m)}
	out := simulate(p, m, 24, steady(25), 24, 12, 6)
	t.Logf("%d in time of %d, %d at slow servers", out.inTime, out.all, p.slow)
	// Each of the three VMs sends the two servers a few requests before it
	// detects that they are slow.
	if p.slow > 60 {
		t.Errorf("%d requests at slow servers, want at most 60", p.slow)
	}
	if fraction := float64(out.inTime) / float64(out.all); fraction < 0.75 {
		t.Errorf("%.3f in time, want 0.75", fraction)
	}
}

// slowed makes two servers ten times slower after twelve seconds.
type slowed struct {
	*placementPolicy
	slow int
}

func (s *slowed) tick(now time.Time) {
	for _, v := range s.model.servers[:2] {
		v.factor = 1
		if now.Sub(start) >= 12*time.Second {
			v.factor = 10
		}
	}
	s.placementPolicy.tick(now)
}

func (s *slowed) pick(object string, now time.Time) (sassafrastray.BackendName, func(time.Duration, time.Time), bool) {
	name, done, ok := s.placementPolicy.pick(object, now)
	if ok && s.model.byName[name].factor > 1 {
		s.slow++
	}
	return name, done, ok
}

// TestColdStartOfARegionWithFewServers covers a region that has a tenth of the
// servers and a third of the callers, who all start at once while no server
// knows an object. The fraction of requests that other regions serve must
// change by no more than the bound on shifts between two windows of two
// seconds, also while the near servers are full.
func TestColdStartOfARegionWithFewServers(t *testing.T) {
	for _, rate := range []float64{500, 600, 700} {
		t.Run(fmt.Sprintf("%.0f a second", rate), func(t *testing.T) {
			all := slices.Concat(servers("n-1", 16, 4), servers("s-1", 68, 4), servers("w-1", 68, 4))
			m := newModel(all, 216*time.Millisecond, 720*time.Millisecond)
			m.timeout, m.queue = 2*time.Second, 12
			out := simulate(fleetOf(10, all, m), m, 279, steady(rate), 16, 0, 2)
			t.Logf("%d requests, %d in time, %d refused, %d away, shares %.2f", out.all, out.inTime, out.refused, out.away, out.shares)
			checkShares(t, out)
		})
	}
}

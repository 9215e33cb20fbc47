package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

// Reasons for a choice, or for none.
const (
	Preferred Reason = "preferred" // the object's first server of the region
	Spread    Reason = "spread"    // another server of the region is sooner
	Away      Reason = "away"      // the object belongs to another region's share
	Detour    Reason = "detour"    // its share's servers would be too late
	Busy      Reason = "busy"      // all servers would be too late
	None      Reason = "none"      // no server may take it
)

const (
	// patience is the part of a request's objective that it may wait behind
	// others before it is refused, by rank of urgency: the most urgent, the
	// usual, and all others.
	patienceFirst = 1.5
	patienceUsual = 1.0
	patienceRest  = 0.6

	// usualObjective stands for the objective of a route that has none.
	usualObjective = 500 * time.Millisecond

	// coldSpace widens the gap between two requests to a cold server, since
	// their ways may differ in time.
	coldSpace = 1.05

	// balance is the part of the work by which a server with all slots but
	// one in use appears later than an idle one.
	balance = 0.3

	// newcomerIdle and newcomerFull are the parts of the additional work on
	// an unknown object that count against a server on top of the work
	// itself, when the region's servers are idle and when they are full: the
	// work then keeps others waiting.
	newcomerIdle = 0.5
	newcomerFull = 8.0

	// fullFrom is the part of the slots in use from which that rises.
	fullFrom = 0.4

	// stranger is the part of the work that counts against a server which is
	// neither the first nor the second choice of an unknown object.
	stranger = 0.3

	// detourPart is the part of the requests that may leave the region that
	// their object belongs to, when it would be too late there.
	detourPart = 0.05
	mostDetour = 6

	// leastWait and mostWait bound the time after which a refused request is
	// asked to come back.
	leastWait = 200 * time.Millisecond
	mostWait  = 2 * time.Second

	// emptyWait is the time to come back if no server is known.
	emptyWait = time.Second
)

type (
	// Reason tells why a server was chosen, or why none was.
	Reason string

	// Request is what a choice needs to know of a request.
	Request struct {
		Service sassafrastray.ServiceName
		// Object is what the request is about, or empty.
		Object string
		Sticky bool
		// Regions are where it may be served, all that apply: one list for
		// each rule. An empty list allows every region.
		Regions [2][]sassafrastray.RegionName
		// Only is the version that the request must go to, Except one that
		// it must not go to; empty means any of those in force.
		Only, Except sassafrastray.VersionName
		// Narrow sends requests to as few servers as can take them.
		Narrow bool
		// Rank is the request's urgency, 0 first.
		Rank      int
		Objective time.Duration
		// Left is the time until nobody waits for the answer.
		Left    time.Duration
		Exclude []sassafrastray.BackendName
	}

	// Choice is a server for a request. It holds a place at the server until
	// Done. A choice that was not made has the best of the servers that were
	// weighed, if any, and holds nothing.
	Choice struct {
		Server sassafrastray.BackendServer
		Reason Reason
		// Wait is the time after which a refused request may fare better.
		Wait time.Duration
		// Expected is the time that the answer should take, and Load the
		// estimated requests at the server.
		Expected time.Duration
		Load     float64
		// Usual is the time that an answer takes at a server of the service
		// that knows the object; zero excuses a server that is cold.
		Usual time.Duration
		// Warm tells whether the server is taken to know the object.
		Warm bool
		// Age is the age of the load report that the choice rests on; it is
		// negative if there was none.
		Age time.Duration
		// Weighed is how many servers could have taken the request. Next is
		// the second best of those that the chosen one was compared with, and
		// NextExpected its expected time; Next is empty if there was none.
		Weighed      int
		Next         sassafrastray.BackendName
		NextExpected time.Duration

		server *server
		object uint64
		work   time.Duration
	}

	// candidate is a server that could take the request.
	candidate struct {
		server *server
		warm   bool
		first  bool
		cost   time.Duration
		wait   time.Duration
		work   time.Duration
		load   float64
	}

	// ranking is the outcome of comparing servers.
	ranking struct {
		best, next candidate
		// weighed is how many were compared.
		weighed int
	}
)

// Pick chooses the server for a request. It returns false if none should get
// it; the choice then has the reason and when to come back.
func (t *Table) Pick(r Request, now time.Time) (Choice, bool) {
	svc := t.services[r.Service]
	if svc == nil {
		return Choice{Reason: None, Wait: emptyWait}, false
	}
	svc.start(t)
	svc.detours = min(mostDetour, svc.detours+detourPart)
	object, part := t.object(r)
	far := part < svc.far
	nearby, others := t.best(svc, &r, object, far, now)
	near, away := nearby.best, others.best
	own, other, reason := near, away, Preferred
	if far && away.server != nil {
		own, other, reason = away, near, Away
	}
	switch {
	case own.server == nil && other.server == nil:
		return Choice{Reason: None, Wait: t.opening(svc, &r, now)}, false
	case own.server == nil:
		own, reason = other, Detour
	case other.server != nil && other.warm && svc.detours >= 1 && r.late(own) && !r.late(other):
		own, reason = other, Detour
		svc.detours--
	case reason == Preferred && !own.first:
		reason = Spread
	}
	if r.refuses(own) {
		return Choice{
			Server: own.server.BackendServer, Reason: Busy, Wait: t.comeBack(own.wait), Load: own.load, Expected: own.cost,
			Warm: own.warm, Age: own.server.age(now), Weighed: nearby.weighed + others.weighed,
		}, false
	}
	c := t.take(own, object, reason, now)
	c.Weighed = nearby.weighed + others.weighed
	next := nearby.next
	if own.server == others.best.server {
		next = others.next
	}
	if next.server != nil {
		c.Next, c.NextExpected = next.server.Name, next.cost
	}
	return c, true
}

// late tells whether the server would answer after the objective because of
// the requests before it.
func (r *Request) late(c candidate) bool {
	return c.cost > r.objective() && c.wait > r.objective()/4
}

func (r *Request) objective() time.Duration {
	if r.Objective <= 0 {
		return usualObjective
	}
	return r.Objective
}

// refuses tells whether the request is better refused than sent: it would wait
// longer than its urgency is worth, or its answer would come to nobody.
func (r *Request) refuses(c candidate) bool {
	part := patienceRest
	switch r.Rank {
	case 0:
		part = patienceFirst
	case 1:
		part = patienceUsual
	}
	if c.wait > time.Duration(part*float64(r.objective())) {
		return true
	}
	return c.wait > 0 && c.wait+c.work > r.Left
}

// comeBack spreads the returns of refused requests over the time after which
// the server's queue is worked off.
func (t *Table) comeBack(wait time.Duration) time.Duration {
	d := min(mostWait, max(leastWait, wait))
	return d + time.Duration(t.rng.Int64N(int64(d)/2+1))
}

// object returns the hash of the request's object, and which part of all
// objects it is in, between 0 and 1.
func (t *Table) object(r Request) (hash uint64, part float64) {
	if !r.Sticky || r.Object == "" {
		return 0, t.rng.Float64()
	}
	hash = xxhash.Sum64String(r.Object)
	return hash, float64(mix(hash, 0x9e3779b97f4a7c15)>>11) / (1 << 53)
}

// best returns the best server of the VM's region and of all other regions
// together. Far tells that the object belongs to the share of other regions.
func (t *Table) best(svc *service, r *Request, object uint64, far bool, now time.Time) (near, away ranking) {
	var nearby, others []*server
	for region, list := range svc.servers {
		switch {
		case !allowed(r.Regions, region):
		case region == t.opt.Region:
			nearby = list
		default:
			others = append(others, list...)
		}
	}
	return t.bestOf(svc, nearby, r, object, true, now), t.bestOf(svc, others, r, object, far, now)
}

func allowed(rules [2][]sassafrastray.RegionName, region sassafrastray.RegionName) bool {
	for _, list := range rules {
		if len(list) > 0 && !slices.Contains(list, region) {
			return false
		}
	}
	return true
}

// bestOf returns the server that should answer first. Home tells that the
// object's requests go to these servers as a rule, so that the one it prefers
// knows it.
func (t *Table) bestOf(svc *service, list []*server, r *Request, object uint64, home bool, now time.Time) ranking {
	first, second := preferred(svc, list, r, object)
	k := ranking{best: candidate{cost: math.MaxInt64}, next: candidate{cost: math.MaxInt64}}
	for _, s := range list {
		if !svc.runs(s, r) || !s.usable(now) || slices.Contains(r.Exclude, s.Name) {
			continue
		}
		if _, ok := t.coldGap(s); s.isCold(now) && !ok {
			continue
		}
		c := t.weigh(svc, s, object, home && s == first, now)
		if !c.warm {
			// Work on an object that the server does not know takes slots
			// from others, and it pushes out an object that the server knows.
			c.cost += time.Duration(svc.newcomer() * float64(svc.work(false)-svc.work(true)))
			if s != first && s != second {
				c.cost += time.Duration(stranger * float64(svc.work(false)))
			}
		}
		k.weighed++
		if r.Narrow && c.load < float64(s.Slots) {
			k.best, k.next = c, k.best
			return k
		}
		switch {
		case c.cost < k.best.cost:
			k.best, k.next = c, k.best
		case c.cost < k.next.cost:
			k.next = c
		}
	}
	return k
}

// preferred returns the two servers that an object prefers, whether or not
// they can take a request now.
func preferred(svc *service, list []*server, r *Request, object uint64) (first, second *server) {
	if object == 0 {
		return nil, nil
	}
	var top, next uint64
	for _, s := range list {
		if s.Leaving || s.evacuated || !svc.runs(s, r) {
			continue
		}
		switch h := mix(object, s.hash); {
		case first == nil || h > top:
			second, next = first, top
			first, top = s, h
		case second == nil || h > next:
			second, next = s, h
		}
	}
	return first, second
}

// runs tells whether the server's version may get the request.
func (s *service) runs(v *server, r *Request) bool {
	switch {
	case r.Only != "":
		return v.Version == r.Only
	case v.Version == r.Except:
		return false
	}
	return s.base[v.Version]
}

// weigh estimates when the server would answer.
func (t *Table) weigh(svc *service, s *server, object uint64, first bool, now time.Time) candidate {
	s.fade(now)
	c := candidate{server: s, first: first, load: s.load(t.mates, now)}
	c.warm = object == 0 || first || s.knows(object)
	c.work = time.Duration(float64(svc.work(c.warm)) * s.slow)
	if s.isCold(now) {
		c.work *= 2
	}
	slots := float64(max(1, s.Slots))
	if c.load >= slots {
		c.wait = time.Duration(float64(svc.mean) * s.slow * (c.load - slots + 1) / slots)
	}
	c.cost = t.distance(s.region) + c.work + c.wait +
		time.Duration(balance*float64(svc.warm)*min(1, c.load/slots)) +
		time.Duration(s.failing*float64(failurePenalty))
	return c
}

// take holds a place at the server.
func (t *Table) take(c candidate, object uint64, reason Reason, now time.Time) Choice {
	s := c.server
	s.inflight++
	if s.isCold(now) {
		gap, _ := t.coldGap(s)
		s.nextCold = now.Add(gap)
	}
	if s.probation() {
		s.trial = true
	}
	usual := s.service.warm + t.distance(s.region) + c.wait
	if s.isCold(now) {
		usual = 0
	}
	return Choice{
		Server: s.BackendServer, Reason: reason, Expected: c.cost, Load: c.load, Warm: c.warm, Age: s.age(now), Usual: usual,
		server: s, object: object, work: c.work,
	}
}

// coldGap returns the time between two requests of this VM to a cold server,
// such that all VMs together stay within the bound in any second. If there are
// more VMs than requests allowed, the server's hash decides which of them use
// it; it returns false for the others.
func (t *Table) coldGap(s *server) (time.Duration, bool) {
	bound := coldPart * (s.service.coldRate*t.opt.Bounds.ColdFactor + t.opt.Bounds.ColdReserve)
	if each := math.Floor(bound / float64(max(fleetGuess, len(t.fleet)+1))); each >= 1 {
		return time.Duration(coldSpace * float64(time.Second) / each), true
	}
	own, before := mix(s.hash, xxhash.Sum64String(string(t.opt.Self))), 0
	for _, vm := range t.fleet {
		if mix(s.hash, xxhash.Sum64String(string(vm))) > own {
			before++
		}
	}
	return time.Duration(coldSpace * float64(time.Second)), before < max(1, int(bound))
}

// opening returns when a server may take the request that none can take now.
func (t *Table) opening(svc *service, r *Request, now time.Time) time.Duration {
	wait := emptyWait
	for region, list := range svc.servers {
		if !allowed(r.Regions, region) {
			continue
		}
		for _, s := range list {
			if !s.Leaving && !s.evacuated && svc.runs(s, r) {
				wait = min(wait, max(leastWait, later(s.blockedUntil, s.nextCold).Sub(now)))
			}
		}
	}
	return t.comeBack(wait)
}

// Done gives the place at the server back. Took is the time from the choice to
// the end of the answer, and report the server's own load, if the answer had
// one.
func (t *Table) Done(c Choice, e End, took time.Duration, report *sassafrastray.BackendLoad, now time.Time) {
	s := c.server
	if s == nil {
		return
	}
	s.inflight--
	work := max(0, took-t.distance(s.region))
	block, until := s.block, s.blockedUntil
	s.end(e, work, c.work, now)
	switch {
	case s.blockedUntil.After(until):
		t.note(Event{Server: s.Name, Service: s.service.name, End: e, LeftOut: s.blockedUntil.Sub(now)})
	case block > 0 && s.block == 0:
		t.note(Event{Server: s.Name, Service: s.service.name, End: e})
	}
	if report != nil {
		s.others, s.reported = max(0, report.Running+report.Waiting-s.inflight-1), now
	}
	if e != OK {
		return
	}
	if c.object != 0 {
		s.learn(c.object, now)
	}
	if c.Load < float64(s.Slots) && s.slow < 2 && !s.isCold(now) {
		s.service.took(work, c.Warm)
	}
}

// mix hashes two hashes into one.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

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
	Spread    Reason = "spread"    // another server of the region is faster
	Away      Reason = "away"      // the object is in the share of other regions
	Detour    Reason = "detour"    // the servers that the object is assigned to are too late or unusable
	Busy      Reason = "busy"      // all servers would be too late
	None      Reason = "none"      // no server may take it
)

const (
	// The patience constants are the multiples of a request's objective for
	// which it may wait before it is refused, by rank: the most urgent, the
	// usual, and all others.
	patienceFirst = 1.5
	patienceUsual = 1.0
	patienceRest  = 0.6

	// defaultObjective is the objective of requests whose route has none.
	defaultObjective = 500 * time.Millisecond

	// coldGapFactor widens the gap between two requests to a cold server,
	// since they may take differently long to get there.
	coldGapFactor = 1.05

	// loadPenalty is the cost of a fully used server relative to an idle
	// one, as a fraction of the work. It rises in proportion to the load.
	loadPenalty = 0.3

	// unknownPenaltyIdle and unknownPenaltyFull are the multiples of the
	// additional work on an unknown object that count as a penalty on top
	// of the work itself, when the region's servers are idle and when they
	// are full, where that work makes other requests wait.
	unknownPenaltyIdle = 0.5
	unknownPenaltyFull = 8.0

	// penaltyRiseLoad is the fraction of slots in use above which the
	// penalty rises from the first to the second.
	penaltyRiseLoad = 0.4

	// nonPreferredPenalty is the penalty, as a fraction of the work, for a
	// server that is neither the first nor the second choice of an unknown
	// object.
	nonPreferredPenalty = 0.3

	// detourFraction is the fraction of requests that may leave the region
	// that their object is assigned to when it would answer too late. At
	// most maxDetours may follow one another.
	detourFraction = 0.05
	maxDetours     = 6

	// minRetryAfter and maxRetryAfter limit the time after which a refused
	// request should be retried, before jitter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second

	// noServerRetryAfter is the time to retry after if no server is known.
	noServerRetryAfter = time.Second
)

type (
	// Reason says why a server was chosen, or why none was.
	Reason string

	// Request holds the properties of a request that a choice depends on.
	Request struct {
		Service sassafrastray.ServiceName
		// Object identifies what the request is about. It may be empty.
		Object string
		Sticky bool
		// Regions lists the allowed regions of each rule; all rules
		// apply. An empty list allows every region.
		Regions [2][]sassafrastray.RegionName
		// Only is the version that the request must go to, and Except
		// is one that it must not go to. If Only is empty, any base
		// version but Except may serve it.
		Only, Except sassafrastray.VersionName
		// Narrow concentrates requests on as few servers as have free
		// slots.
		Narrow bool
		// Rank is the request's urgency; 0 is the most urgent.
		Rank      int
		Objective time.Duration
		// TimeLeft is the time until the caller stops waiting for the
		// answer.
		TimeLeft time.Duration
		Exclude  []sassafrastray.BackendName
	}

	// Choice is a server for a request. It occupies a place at the server
	// until Done. The Choice of a refused request describes the best server
	// that was considered, if any, and occupies no place.
	Choice struct {
		Server sassafrastray.BackendServer
		Reason Reason
		// Wait is the time after which a refused request should be
		// retried.
		Wait time.Duration
		// Expected is the estimated time until the answer, with
		// penalties, and Load the estimated number of requests at the
		// server.
		Expected time.Duration
		Load     float64
		// Baseline is the estimated time of an answer from a server
		// that knows the object, without penalties. It is zero for a
		// cold server, whose slow answers are expected.
		Baseline time.Duration
		// Warm says whether the server is assumed to know the object.
		Warm bool
		// Age is the age of the server's load report, or negative if
		// there was none.
		Age time.Duration
		// Considered is the number of servers that could have taken the
		// request. Next is the second best of those that the chosen
		// server was compared with, or empty if there was none, and
		// NextExpected is its expected time.
		Considered   int
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

	// ranking holds the two best servers of a comparison.
	ranking struct {
		best, next candidate
		// considered is the number of servers compared.
		considered int
	}
)

// Pick chooses the server for a request. It returns false if the request is
// refused; the Choice then has the reason and the time after which to retry.
func (t *Table) Pick(r Request, now time.Time) (Choice, bool) {
	svc := t.services[r.Service]
	if svc == nil {
		return Choice{Reason: None, Wait: noServerRetryAfter}, false
	}
	svc.initRemoteShare(t)
	svc.detours = min(maxDetours, svc.detours+detourFraction)
	object, part := t.object(r)
	far := part < svc.remoteShare
	nearby, others := t.best(svc, &r, object, far, now)
	near, away := nearby.best, others.best
	own, other, reason := near, away, Preferred
	if far && away.server != nil {
		own, other, reason = away, near, Away
	}
	switch {
	case own.server == nil && other.server == nil:
		return Choice{Reason: None, Wait: t.nextAvailable(svc, &r, now)}, false
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
			Server: own.server.BackendServer, Reason: Busy, Wait: t.retryAfter(own.wait), Load: own.load, Expected: own.cost,
			Warm: own.warm, Age: own.server.age(now), Considered: nearby.considered + others.considered,
		}, false
	}
	c := t.reserve(own, object, reason, now)
	c.Considered = nearby.considered + others.considered
	next := nearby.next
	if own.server == others.best.server {
		next = others.next
	}
	if next.server != nil {
		c.Next, c.NextExpected = next.server.Name, next.cost
	}
	return c, true
}

// late reports whether the server would answer after the objective because of
// the requests queued before this one.
func (r *Request) late(c candidate) bool {
	return c.cost > r.objective() && c.wait > r.objective()/4
}

func (r *Request) objective() time.Duration {
	if r.Objective <= 0 {
		return defaultObjective
	}
	return r.Objective
}

// refuses reports whether the request should be refused rather than sent,
// because it would wait longer than its rank allows, or because the caller
// would be gone before the answer.
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
	return c.wait > 0 && c.wait+c.work > r.TimeLeft
}

// retryAfter returns the time after which a refused request should be retried:
// the wait within its limits, with jitter that spreads the retries.
func (t *Table) retryAfter(wait time.Duration) time.Duration {
	d := min(maxRetryAfter, max(minRetryAfter, wait))
	return d + time.Duration(t.rng.Int64N(int64(d)/2+1))
}

// object returns the hash of the request's object and the object's position
// among all objects, from 0 up to 1. Objects at positions below the remote
// share go to other regions.
func (t *Table) object(r Request) (hash uint64, part float64) {
	if !r.Sticky || r.Object == "" {
		return 0, t.rng.Float64()
	}
	hash = xxhash.Sum64String(r.Object)
	return hash, float64(mix(hash, 0x9e3779b97f4a7c15)>>11) / (1 << 53)
}

// best ranks the servers of the VM's region and those of all other regions. far
// says that the object is in the share of other regions.
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

// bestOf ranks servers by expected time. home says that the object's requests
// usually go to these servers, so that the preferred one is assumed to know the
// object.
func (t *Table) bestOf(svc *service, list []*server, r *Request, object uint64, home bool, now time.Time) ranking {
	first, second := preferred(svc, list, r, object)
	k := ranking{best: candidate{cost: math.MaxInt64}, next: candidate{cost: math.MaxInt64}}
	for _, s := range list {
		if !svc.allowsVersion(s, r) || !s.usable(now) || slices.Contains(r.Exclude, s.Name) {
			continue
		}
		if _, ok := t.coldGap(s); s.isCold(now) && !ok {
			continue
		}
		c := t.estimate(svc, s, object, home && s == first, now)
		if !c.warm {
			// Work on an object that the server does not know takes
			// slots from other requests, and evicts an object that
			// it knows.
			c.cost += time.Duration(svc.unknownPenalty() * float64(svc.work(false)-svc.work(true)))
			if s != first && s != second {
				c.cost += time.Duration(nonPreferredPenalty * float64(svc.work(false)))
			}
		}
		k.considered++
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

// preferred returns the two servers that an object prefers, even if they cannot
// take a request now.
func preferred(svc *service, list []*server, r *Request, object uint64) (first, second *server) {
	if object == 0 {
		return nil, nil
	}
	var top, next uint64
	for _, s := range list {
		if s.Leaving || s.evacuated || !svc.allowsVersion(s, r) {
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

// allowsVersion reports whether the request may go to the server's version.
func (s *service) allowsVersion(v *server, r *Request) bool {
	switch {
	case r.Only != "":
		return v.Version == r.Only
	case v.Version == r.Except:
		return false
	}
	return s.base[v.Version]
}

// estimate estimates the time until the server would answer.
func (t *Table) estimate(svc *service, s *server, object uint64, first bool, now time.Time) candidate {
	s.decay(now)
	c := candidate{server: s, first: first, load: s.load(t.regionPeers, now)}
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
		time.Duration(loadPenalty*float64(svc.warm)*min(1, c.load/slots)) +
		time.Duration(s.failing*float64(failurePenalty))
	return c
}

// reserve takes a place at the server for a request.
func (t *Table) reserve(c candidate, object uint64, reason Reason, now time.Time) Choice {
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
		Server: s.BackendServer, Reason: reason, Expected: c.cost, Load: c.load, Warm: c.warm, Age: s.age(now), Baseline: usual,
		server: s, object: object, work: c.work,
	}
}

// coldGap returns the time between two requests of this VM to a cold server,
// such that all VMs together stay within the bound in any second. If there are
// more VMs than requests allowed, the server's hash selects the VMs that may
// use it, and coldGap returns false for the others.
func (t *Table) coldGap(s *server) (time.Duration, bool) {
	bound := coldFraction * (s.service.coldRate*t.opt.Bounds.ColdFactor + t.opt.Bounds.ColdReserve)
	if each := math.Floor(bound / float64(max(minFleetSize, len(t.fleet)+1))); each >= 1 {
		return time.Duration(coldGapFactor * float64(time.Second) / each), true
	}
	own, before := mix(s.hash, xxhash.Sum64String(string(t.opt.Self))), 0
	for _, vm := range t.fleet {
		if mix(s.hash, xxhash.Sum64String(string(vm))) > own {
			before++
		}
	}
	return time.Duration(coldGapFactor * float64(time.Second)), before < max(1, int(bound))
}

// nextAvailable returns when to retry a request that no server can take now.
func (t *Table) nextAvailable(svc *service, r *Request, now time.Time) time.Duration {
	wait := noServerRetryAfter
	for region, list := range svc.servers {
		if !allowed(r.Regions, region) {
			continue
		}
		for _, s := range list {
			if !s.Leaving && !s.evacuated && svc.allowsVersion(s, r) {
				wait = min(wait, max(minRetryAfter, later(s.blockedUntil, s.nextCold).Sub(now)))
			}
		}
	}
	return t.retryAfter(wait)
}

// Done releases the place at the server. took is the time from the choice to
// the end of the answer, and report is the server's own load, if the answer had
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
		t.recordEvent(Event{Server: s.Name, Service: s.service.name, End: e, LeftOut: s.blockedUntil.Sub(now)})
	case block > 0 && s.block == 0:
		t.recordEvent(Event{Server: s.Name, Service: s.service.name, End: e})
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
		s.service.recordWork(work, c.Warm)
	}
}

// mix combines two hashes into one.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

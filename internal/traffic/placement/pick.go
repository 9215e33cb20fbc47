package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
	"sassafrastray/internal/traffic/admission"
)

// Whether a server is expected to know the object of a request. Requests without an object
// and VMs that share no reports of runs have neither.
const (
	KnownObject Knowledge = "known"
	NewObject   Knowledge = "new"
)

// Reasons for a choice, or for none.
const (
	Preferred Reason = "preferred" // the object's first server of the region
	Spread    Reason = "spread"    // another server of the region, or any of them if there is no object
	Away      Reason = "away"      // the object is in the share of other regions
	Detour    Reason = "detour"    // the region that the object is assigned to is too slow or has no usable server
	Home      Reason = "home"      // the rules of the request do not allow the VM's region
	Busy      Reason = "busy"      // the request would wait too long at the selected server
	Limited   Reason = "limited"   // all servers that may take it have had what their limits allow
	Paused    Reason = "paused"    // all servers that may take it want no requests for a while
	None      Reason = "none"      // no server may take it
)

const (
	// The maxWaitFactor constants are the longest expected waits, as multiples
	// of the objective, at which a request is accepted: for priority 0, for
	// priority 1, and for all others.
	maxWaitFactorUrgent = 1.5
	maxWaitFactorNormal = 1.0
	maxWaitFactorLow    = 0.6

	// defaultObjective is the objective of requests whose route has none.
	defaultObjective = 500 * time.Millisecond

	// coldGapFactor widens the gap between two requests to a cold server,
	// since the delays on the way there vary.
	coldGapFactor = 1.05

	// loadPenalty is the penalty for a server with all slots in use, as a
	// fraction of the processing time. It is proportional to the load.
	loadPenalty = 0.3

	// unknownPenaltyIdle and unknownPenaltyFull are the penalties for a server
	// that does not know the object, on top of the additional processing time
	// and as multiples of it: when the region's servers are idle, and when
	// they are full and that time makes other requests wait.
	unknownPenaltyIdle = 0.5
	unknownPenaltyFull = 8.0

	// penaltyRiseLoad is the fraction of slots in use above which the penalty
	// rises from unknownPenaltyIdle to unknownPenaltyFull.
	penaltyRiseLoad = 0.4

	// nonPreferredPenalty is the further penalty, as a fraction of the
	// processing time, for a server that does not know the object and is not
	// one of the two that the object prefers.
	nonPreferredPenalty = 0.3

	// heavyBytes is the mean size of the bodies from which an object's
	// preferred server is one of the VM's failure domain, if that has
	// minNearServers. Its bodies then don't cross between domains, but each
	// domain's servers have to learn the object, which callers wait for.
	heavyBytes     = 64 << 10
	minNearServers = 2

	// detourFraction is the fraction of requests that may leave the region
	// that their object is assigned to when it would answer too late. Unused
	// detours accumulate up to maxDetours.
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
	// Knowledge says whether a server knows an object.
	Knowledge string

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
		// Narrow concentrates requests on few servers: the first one with a
		// free slot counts as the best, instead of the fastest.
		Narrow bool
		// Priority is the request's urgency; 0 is the most urgent.
		Priority  int
		Objective time.Duration
		// Bytes is the mean size of the bodies of such requests and their
		// answers together.
		Bytes int
		// TimeLeft is the time until the caller stops waiting for the
		// answer.
		TimeLeft time.Duration
		Exclude  []sassafrastray.BackendName
	}

	// Choice is a server for a request. It counts as a request in progress at
	// the server until Done. The Choice of a refused request describes the best
	// server that was considered, if any, and is not counted.
	Choice struct {
		Server sassafrastray.BackendServer
		Reason Reason
		// RetryAfter is the time after which a refused request should be
		// retried.
		RetryAfter time.Duration
		// Expected is the estimated time until the answer, with
		// penalties, and Load the estimated number of requests at the
		// server.
		Expected time.Duration
		Load     float64
		// Distance is the round trip to the server's region.
		Distance time.Duration
		// Baseline is the estimated time of an answer from a server
		// that knows the object, without penalties. It is zero for a
		// cold server, whose slow answers are expected.
		Baseline time.Duration
		// Warm says whether the server is assumed to know the object.
		Warm bool
		// ReportAge is the age of the server's load report, or negative if
		// there was none.
		ReportAge time.Duration
		// Considered is the number of servers that could have taken the
		// request. Next is the second best of those that the chosen
		// server was compared with, or empty if there was none, and
		// NextExpected is its expected time.
		Considered   int
		Next         sassafrastray.BackendName
		NextExpected time.Duration
		// Estimate and Verdict are what the request was admitted or refused by, where
		// the VMs of the region share reports of runs.
		Estimate admission.Estimate
		Verdict  admission.Verdict

		// Knowledge says whether the server knows the request's object.
		Knowledge Knowledge

		server *server
		object uint64
		work   time.Duration
		// The fields below are set where runs are shared: the expected wait, the factor
		// by which the server is expected to be slower than usual, the time of the choice,
		// and the object's rank at the server.
		wait     time.Duration
		slowdown float64
		began    time.Time
		rank     int
	}

	// candidate is a server that could take the request. warm says that it is
	// assumed to know the object, and preferred that it is the object's
	// preferred server.
	candidate struct {
		server    *server
		warm      bool
		preferred bool
		cost      time.Duration
		wait      time.Duration
		work      time.Duration
		load      float64
		// slowdown is the factor by which the server is expected to be slower than usual.
		slowdown float64
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
		return Choice{Reason: None, RetryAfter: noServerRetryAfter}, false
	}
	svc.countRequest(now)
	svc.initRemoteShare(t, now)
	svc.detours = min(maxDetours, svc.detours+detourFraction)
	object, position := t.object(r)
	inRemoteShare := position < svc.remoteShare
	local, remote := t.rankByRegion(svc, &r, object, inRemoteShare, now)
	bestLocal, bestRemote := local.best, remote.best
	chosen, alternative, reason := bestLocal, bestRemote, Preferred
	if inRemoteShare && bestRemote.server != nil {
		chosen, alternative, reason = bestRemote, bestLocal, Away
	}
	switch {
	case chosen.server == nil && alternative.server == nil:
		wait, reason := t.nextAvailable(svc, &r, now)
		return Choice{Reason: reason, RetryAfter: wait}, false
	case !sassafrastray.InRegions(r.Regions, t.opt.Region):
		chosen, reason = bestRemote, Home
	case chosen.server == nil:
		chosen, reason = alternative, Detour
	case alternative.server != nil && alternative.warm && svc.detours >= 1 && r.late(chosen) && !r.late(alternative):
		chosen, reason = alternative, Detour
		svc.detours--
	case reason == Preferred && !chosen.preferred:
		reason = Spread
	}
	admitted, ok := t.admit(svc, &r, chosen, now)
	svc.tally.count(reason, chosen.server.region, t.opt.Region, ok)
	svc.countDemand(&r, reason, chosen.server.region)
	if !ok {
		admitted.Server, admitted.Load, admitted.Expected = chosen.server.BackendServer, chosen.load, chosen.cost
		admitted.Warm, admitted.ReportAge, admitted.Considered = chosen.warm, t.reportAge(chosen.server, now), local.considered+remote.considered
		return admitted, false
	}
	c := t.reserve(chosen, object, reason, now)
	c.Considered, c.Estimate, c.Verdict = local.considered+remote.considered, admitted.Estimate, admitted.Verdict
	runnerUp := local.next
	if chosen.server == remote.best.server {
		runnerUp = remote.next
	}
	if runnerUp.server != nil {
		c.Next, c.NextExpected = runnerUp.server.Name, runnerUp.cost
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
// because it would wait longer than its priority allows, or because the caller
// would be gone before the answer.
func (r *Request) refuses(c candidate) bool {
	factor := maxWaitFactorLow
	switch r.Priority {
	case 0:
		factor = maxWaitFactorUrgent
	case 1:
		factor = maxWaitFactorNormal
	}
	if c.wait > time.Duration(factor*float64(r.objective())) {
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
func (t *Table) object(r Request) (hash uint64, position float64) {
	if !r.Sticky || r.Object == "" {
		return 0, t.rng.Float64()
	}
	hash = xxhash.Sum64String(r.Object)
	return hash, float64(mix(hash, 0x9e3779b97f4a7c15)>>11) / (1 << 53)
}

// reserve counts a request at the server until Done.
func (t *Table) reserve(c candidate, object uint64, reason Reason, now time.Time) Choice {
	s := c.server
	s.inflight++
	t.countLimited(s, now)
	if s.isCold(now) {
		gap, _ := t.coldGap(s)
		s.nextCold = now.Add(gap)
	}
	if s.probation() {
		s.trial = true
	}
	baseline := s.service.warmWork + t.distance(s.region) + c.wait
	if s.isCold(now) {
		baseline = 0
	}
	out := Choice{
		Server: s.BackendServer, Reason: reason, Expected: c.cost, Load: c.load, Warm: c.warm, ReportAge: t.reportAge(s, now), Baseline: baseline, Distance: t.distance(s.region),
		server: s, object: object, work: c.work,
	}
	if t.shared {
		t.reserveShared(&out, c, now)
	}
	return out
}

// coldGap returns the time between two requests of this VM to a cold server,
// such that all VMs together stay within the bound in any second. If there are
// more VMs than requests allowed, the server's hash selects the VMs that may
// use it, and coldGap returns false for the others.
func (t *Table) coldGap(s *server) (time.Duration, bool) {
	bound := coldFraction * (s.service.coldRate*t.opt.Bounds.ColdFactor + t.opt.Bounds.ColdReserve)
	if perVM := math.Floor(bound / float64(max(minFleetSize, len(t.fleet)+1))); perVM >= 1 {
		return time.Duration(coldGapFactor * float64(time.Second) / perVM), true
	}
	own, ahead := mix(s.hash, xxhash.Sum64String(string(t.opt.Self))), 0
	for i := range t.fleet {
		if mix(s.hash, xxhash.Sum64String(string(t.fleet[i].Name))) > own {
			ahead++
		}
	}
	return time.Duration(coldGapFactor * float64(time.Second)), ahead < max(1, int(bound))
}

// nextAvailable returns when to retry a request that no server can take now, and whether
// that is because of the servers' limits or pauses. It is not before any of them takes one
// if all have named a pause.
func (t *Table) nextAvailable(svc *service, r *Request, now time.Time) (time.Duration, Reason) {
	wait, reason := noServerRetryAfter, None
	resumes, others := time.Time{}, false
	for region, list := range svc.servers {
		if !sassafrastray.InRegions(r.Regions, region) {
			continue
		}
		for _, s := range list {
			if !s.leaves() && !s.evacuated && svc.allowsVersion(s, r) {
				if s.isPaused(now) {
					if resumes.IsZero() || s.pausedUntil.Before(resumes) {
						resumes = s.pausedUntil
					}
					continue
				}
				others = true
				next := later(s.blockedUntil, s.nextCold)
				if s.isLimited(now) {
					next, reason = later(next, s.limit.next), Limited
				}
				wait = min(wait, max(minRetryAfter, next.Sub(now)))
			}
		}
	}
	if !others && !resumes.IsZero() {
		d := resumes.Sub(now)
		return d + time.Duration(t.rng.Int64N(int64(minRetryAfter))), Paused
	}
	return t.retryAfter(wait), reason
}

// Done ends a request that Pick counted at a server. took is the time from the
// choice to the end of the answer, and report is the load that the server reported
// with its answer, or nil.
func (t *Table) Done(c Choice, e End, took time.Duration, report *sassafrastray.BackendLoad, now time.Time) {
	s := c.server
	if s == nil {
		return
	}
	s.inflight--
	work := max(0, took-t.distance(s.region))
	oldBlock, oldBlockedUntil := s.block, s.blockedUntil
	expected := c.work
	if !c.began.IsZero() {
		work, expected = t.doneShared(&c, e, work, report, now)
	}
	s.end(e, work, expected, now)
	switch {
	case s.blockedUntil.After(oldBlockedUntil):
		t.recordEvent(Event{Server: s.Name, Service: s.service.name, End: e, BlockedFor: s.blockedUntil.Sub(now)})
	case oldBlock > 0 && s.block == 0:
		t.recordEvent(Event{Server: s.Name, Service: s.service.name, End: e})
	}
	if report != nil {
		s.othersLoad, s.reportedAt = max(0, report.Running+report.Waiting-s.inflight-1), now
	}
	if e != OK {
		return
	}
	if c.object != 0 {
		s.learn(c.object, now)
	}
	if c.Load < float64(s.Slots) && s.slowness < 2 && !s.isCold(now) && c.began.IsZero() {
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

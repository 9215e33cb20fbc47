package scheduler

import (
	"time"

	"sassafrastray"
)

const (
	// meanSampleWeight is the weight of one sample in a moving mean.
	meanSampleWeight = 1.0 / 16
	// estimateMaxAge, plus twice the estimate itself, is how long an estimate
	// remains valid without a new sample.
	estimateMaxAge = 2 * time.Second
	// maxCostRatio bounds the cost of a route to between 1/maxCostRatio and
	// maxCostRatio.
	maxCostRatio = 32
	// maxBurstQueueAge is how long a queue may stay non-empty before its waits
	// are bounded to maxStandingServiceTimes mean service times. A longer standing
	// queue adds latency without serving more requests.
	maxBurstQueueAge        = time.Second
	maxStandingServiceTimes = 4
	// minStartSamples is how many intervals between starts are needed to
	// estimate the rate at which the requests of a team start.
	minStartSamples = 8
)

type (
	// poolKey identifies one version of a service.
	poolKey struct {
		service sassafrastray.ServiceName
		version sassafrastray.VersionName
	}

	// mean is a moving mean of service times in nanoseconds, 0 without any
	// sample.
	mean float64

	// estimate is the estimated service time of a route and the time of its
	// last change.
	estimate struct {
		mean mean
		at   time.Time
	}

	// pool holds the backend servers of one version of a service and the
	// requests that wait for them.
	pool struct {
		key         poolKey
		backends    []*backend
		teams       map[sassafrastray.TeamName]*team
		teamList    []*team // teams in order of their first request
		queued      int
		emptyAt     time.Time // when the queue was last seen empty
		virtualTime float64   // start tag of the last request that started
		serviceTime mean
		routes      map[sassafrastray.RouteName]estimate
	}
)

func newPool(key poolKey) *pool {
	return &pool{
		key:    key,
		teams:  make(map[sassafrastray.TeamName]*team),
		routes: make(map[sassafrastray.RouteName]estimate),
	}
}

// add returns the mean updated with the sample d.
func (m mean) add(d time.Duration) mean {
	if m == 0 {
		return mean(d)
	}
	return m + (mean(d)-m)*meanSampleWeight
}

// measure records the service time of a request. A request that timed out would
// have taken longer, so it never lowers the means.
func (p *pool) measure(route sassafrastray.RouteName, e End, started, now time.Time) {
	took := now.Sub(started)
	if e.Latency > 0 {
		took = e.Latency
	}
	r := p.routes[route].mean
	if e.Kind == OK || e.Kind == Timeout && mean(took) > r {
		p.routes[route] = estimate{mean: r.add(took), at: now}
		p.serviceTime = p.serviceTime.add(took)
	}
}

// decayEstimates halves the estimates that have had no recent sample. Otherwise a
// route whose estimate exceeds its deadlines would be refused forever, and no
// request could correct the estimate.
func (p *pool) decayEstimates(now time.Time) {
	for route, e := range p.routes {
		if now.Sub(e.at) < estimateMaxAge+2*time.Duration(e.mean) {
			continue
		}
		if e.mean /= 2; e.mean < mean(time.Millisecond) {
			delete(p.routes, route)
			continue
		}
		p.routes[route] = estimate{mean: e.mean, at: now}
	}
}

// expected returns the estimated service time of a route, 0 if it is unknown.
func (p *pool) expected(route sassafrastray.RouteName) time.Duration {
	return time.Duration(p.routes[route].mean)
}

// cost is the service time of a request of the route relative to the mean of the
// pool, or 1 if it is unknown. Teams share slot time rather than a number of
// requests, so that a team with slow requests does not take the slots of others.
func (p *pool) cost(route sassafrastray.RouteName) float64 {
	r := p.routes[route].mean
	if r == 0 || p.serviceTime == 0 {
		return 1
	}
	return min(maxCostRatio, max(1.0/maxCostRatio, float64(r/p.serviceTime)))
}

// panicking reports whether more than half of the backend servers are down, in
// which case the cause is probably elsewhere.
func (p *pool) panicking() bool {
	open, down := 0, 0
	for _, b := range p.backends {
		if b.open() {
			open++
			if b.down {
				down++
			}
		}
	}
	return 2*down > open
}

// capacity is the number of requests that the pool can handle concurrently.
func (p *pool) capacity() int {
	n, down := 0, 0
	for _, b := range p.backends {
		switch {
		case !b.open():
		case b.down:
			down++
		default:
			n += b.capacity()
		}
	}
	if n == 0 {
		return down
	}
	return n
}

// pick returns the backend server with the largest free fraction of its capacity
// that is not excluded, or nil. Ties are broken at random. One that is due for a
// probe takes precedence, since under low load it would otherwise never get one.
func (s *Scheduler) pick(p *pool, idempotent bool, exclude []sassafrastray.BackendName, now time.Time) *backend {
	if s.share.free(1) <= 0 {
		return nil
	}
	var (
		best                         *backend
		bestFree, bestCapacity, ties int
	)
	for _, b := range p.backends {
		n := b.free(now)
		if n <= 0 || excluded(b.name, exclude) {
			continue
		}
		if b.down && (idempotent || !now.Before(b.probeAt.Add(idempotentProbeWait))) {
			return b
		} else if b.down {
			continue
		}
		c := b.capacity()
		switch better := n*bestCapacity - bestFree*c; {
		case best == nil || better > 0:
			best, bestFree, bestCapacity, ties = b, n, c, 1
		case better == 0:
			if ties++; s.rng.IntN(ties) == 0 {
				best = b
			}
		}
	}
	if best == nil && p.panicking() {
		return p.pickDown(exclude, now)
	}
	return best
}

// pickDown returns a backend server that is down and may receive a request outside
// its probe schedule, or nil. It is used if most backend servers are down and the
// others are busy.
func (p *pool) pickDown(exclude []sassafrastray.BackendName, now time.Time) *backend {
	for _, b := range p.backends {
		if b.down && b.open() && !now.Before(b.pausedUntil) && !now.Before(b.nextPanicAt) && b.busy() == 0 && !excluded(b.name, exclude) {
			return b
		}
	}
	return nil
}

func excluded(name sassafrastray.BackendName, exclude []sassafrastray.BackendName) bool {
	for _, e := range exclude {
		if e == name {
			return true
		}
	}
	return false
}

// capacity is the number of requests of the pool that can run concurrently within
// this VM's share of the slots of its region.
func (s *Scheduler) capacity(p *pool) int {
	n := p.capacity()
	if s.share.bounded {
		n = min(n, s.share.slots)
	}
	return n
}

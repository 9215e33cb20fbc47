package keeper

import (
	"time"

	"sassafrastray"
)

const (
	// smoothing is the weight of one sample in a moving mean.
	smoothing = 1.0 / 16
	// estimateAge is how long an estimate lasts without a sample, beyond
	// twice its own time.
	estimateAge = 2 * time.Second
	// costBound bounds a route's cost, up and down.
	costBound = 32
	// standing is how long a queue may last before its waits are bounded to
	// standingWaits service times. A longer queue serves no more requests.
	standing      = time.Second
	standingWaits = 4
	// measuredStarts is how many starts tell a team's rate.
	measuredStarts = 8
)

type (
	// poolKey names one version of a service.
	poolKey struct {
		service sassafrastray.ServiceName
		version sassafrastray.VersionName
	}

	// mean is a moving mean of service times in nanoseconds, 0 if there was
	// no sample.
	mean float64

	// estimate is the service time of a route and when it was last adapted.
	estimate struct {
		mean mean
		at   time.Time
	}

	// pool holds the backend servers of one version of a service and the
	// requests that wait for them.
	pool struct {
		key      poolKey
		backends []*backend
		teams    map[sassafrastray.TeamName]*team
		order    []*team
		queued   int
		emptied  time.Time // when nothing waited last
		virtual  float64   // start tag of the last request that started
		service  mean
		routes   map[sassafrastray.RouteName]estimate
	}
)

func newPool(key poolKey) *pool {
	return &pool{
		key:    key,
		teams:  make(map[sassafrastray.TeamName]*team),
		routes: make(map[sassafrastray.RouteName]estimate),
	}
}

// add takes a sample.
func (m mean) add(d time.Duration) mean {
	if m == 0 {
		return mean(d)
	}
	return m + (mean(d)-m)*smoothing
}

// measure takes the service time of a request. One that timed out would have
// lasted longer, so it can't lower the means.
func (p *pool) measure(route sassafrastray.RouteName, e End, started, now time.Time) {
	took := now.Sub(started)
	if e.Latency > 0 {
		took = e.Latency
	}
	r := p.routes[route].mean
	if e.Kind == OK || e.Kind == Timeout && mean(took) > r {
		p.routes[route] = estimate{mean: r.add(took), at: now}
		p.service = p.service.add(took)
	}
}

// forget halves the estimates that have had no sample for a time. Otherwise a
// route whose estimate is above its deadlines would be refused for ever.
func (p *pool) forget(now time.Time) {
	for route, e := range p.routes {
		if now.Sub(e.at) < estimateAge+2*time.Duration(e.mean) {
			continue
		}
		if e.mean /= 2; e.mean < mean(time.Millisecond) {
			delete(p.routes, route)
			continue
		}
		p.routes[route] = estimate{mean: e.mean, at: now}
	}
}

// expected returns the measured service time of a route, 0 if unknown.
func (p *pool) expected(route sassafrastray.RouteName) time.Duration {
	return time.Duration(p.routes[route].mean)
}

// cost is the slot time of a request of the route, in means of the pool, or 1
// if unknown. Teams share slot time, not requests, so that one with slow
// requests does not take the slots of the others.
func (p *pool) cost(route sassafrastray.RouteName) float64 {
	r := p.routes[route].mean
	if r == 0 || p.service == 0 {
		return 1
	}
	return min(costBound, max(1.0/costBound, float64(r/p.service)))
}

// panicking reports whether most backend servers look bad, so that the cause
// is probably not with them.
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

// capacity is how many requests the pool can work on at once.
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

// pick returns the backend server with the greatest part of its capacity free
// that is not excluded, or nil. Those that are alike take turns at random. One
// that is due for a probe goes first, or it would never get one under low load.
func (k *Keeper) pick(p *pool, idempotent bool, exclude []sassafrastray.BackendName, now time.Time) *backend {
	if k.share.free(1) <= 0 {
		return nil
	}
	var (
		best         *backend
		most, of, eq int
	)
	for _, b := range p.backends {
		n := b.free(now)
		if n <= 0 || excluded(b.name, exclude) {
			continue
		}
		if b.down && (idempotent || !now.Before(b.probeAt.Add(probeWait))) {
			return b
		} else if b.down {
			continue
		}
		c := b.capacity()
		switch better := n*of - most*c; {
		case best == nil || better > 0:
			best, most, of, eq = b, n, c, 1
		case better == 0:
			if eq++; k.rng.IntN(eq) == 0 {
				best = b
			}
		}
	}
	if best == nil && p.panicking() {
		return p.desperate(exclude, now)
	}
	return best
}

// desperate returns a backend server that is down and may take one request out
// of turn, or nil. It is for when most look bad and the others are busy.
func (p *pool) desperate(exclude []sassafrastray.BackendName, now time.Time) *backend {
	for _, b := range p.backends {
		if b.down && b.open() && !now.Before(b.pause) && !now.Before(b.panicAt) && b.busy() == 0 && !excluded(b.name, exclude) {
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

// capacity is how many requests of the pool can run at once, with the share of
// the region's slots in mind.
func (k *Keeper) capacity(p *pool) int {
	n := p.capacity()
	if k.share.bounded {
		n = min(n, k.share.slots)
	}
	return n
}

package choice

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/scheduler"
)

type (
	// counter counts what this VM has sent since a figure was measured and
	// what has not been answered.
	counter struct{ n atomic.Int64 }

	// route is the link to another region.
	route struct {
		delay    time.Duration
		headroom int64
		at       time.Time
		sent     *counter
	}

	// candidate is a VM that keeps backend servers for one version of a
	// service.
	candidate struct {
		vm     sassafrastray.VMName
		domain sassafrastray.DomainName
		region sassafrastray.RegionName
		near   bool   // in the own failure domain
		link   *route // nil in the own region
		rivals int    // VMs outside its region that may send to it

		slots, used, queued int
		wait, mean          time.Duration
		teams               []scheduler.TeamLoad
		at                  time.Time
		sent                *counter
	}
)

// freshness is the part of a figure's headroom that still counts at its age.
// A figure whose time is not known has none.
func freshness(at, now time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	age := max(0, now.Sub(at))
	return max(0, 1-float64(age)/float64(horizon))
}

// headroom is how many more requests the VM is assumed to take at once.
func (c *candidate) headroom(now time.Time) float64 {
	free := float64(c.slots - c.used - c.queued)
	if free > 0 {
		free *= freshness(c.at, now)
	}
	return free - float64(c.sent.n.Load())
}

// expected is the expected wait of a request of the team in the VM's queue.
func (c *candidate) expected(team sassafrastray.TeamName, now time.Time) time.Duration {
	mean := c.mean
	if mean == 0 {
		mean = unknownMean
	}
	each := float64(mean) / float64(c.slots)
	if c.queued > 0 {
		wait := c.wait
		for i := range c.teams {
			if c.teams[i].Team == team {
				wait = c.teams[i].Wait
			}
		}
		return wait + time.Duration(each*float64(c.sent.n.Load()))
	}
	if h := c.headroom(now); h < 1 {
		return time.Duration(each * (1 - h))
	}
	return 0
}

// cost is the expected time until a request begins there: the way and back,
// and the wait.
func (c *candidate) cost(team sassafrastray.TeamName, now time.Time) time.Duration {
	cost := c.expected(team, now)
	switch {
	case c.link != nil:
		cost += 2 * c.link.delay
	case !c.near:
		cost += hop
	}
	return cost
}

// fill is the work at the VM for each of its slots.
func (c *candidate) fill() float64 {
	return float64(int64(c.used+c.queued)+c.sent.n.Load()) / float64(c.slots)
}

// before reports whether c is the better choice.
func (c *candidate) before(d *candidate, team sassafrastray.TeamName, now time.Time) bool {
	a, b := c.cost(team, now), d.cost(team, now)
	return a < b || a == b && c.fill() < d.fill()
}

// part reports whether a request fits into this VM's part of the headroom.
// A part below one request is used by chance, so that all rivals together
// stay near it.
func (c *candidate) part(now time.Time, rng *rand.Rand) bool {
	sent := float64(c.sent.n.Load())
	part := (c.headroom(now)+sent)/float64(max(1, c.rivals)) - sent
	return part >= 1 || rng.Float64() < part
}

// fits reports whether the link has headroom for the bytes.
func (l *route) fits(bytes int64, now time.Time) bool {
	free := float64(l.headroom) * freshness(l.at, now)
	return free >= float64(l.sent.n.Load()+max(1, bytes))
}

func (c *candidate) target(r Request) Target {
	t := Target{VM: c.vm, Domain: c.domain, Region: c.region, sent: c.sent}
	if c.link != nil {
		t.link, t.bytes = c.link.sent, r.Bytes
	}
	return t
}

package choice

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/scheduler"
)

type (
	// counter counts requests or bytes that this VM has sent since the
	// latest report and that are not answered yet.
	counter struct{ n atomic.Int64 }

	// regionLink is the link to another region. headroom is in bytes, as it was
	// at reportedAt; sent counts bytes.
	regionLink struct {
		delay      time.Duration
		headroom   int64
		reportedAt time.Time
		sent       *counter
	}

	// candidate is a VM that owns backend servers for one version of a
	// service, with its latest load report.
	candidate struct {
		vm            sassafrastray.VMName
		domain        sassafrastray.DomainName
		region        sassafrastray.RegionName
		sameDomain    bool        // in this VM's failure domain
		link          *regionLink // nil in this VM's region
		remoteSenders int         // VMs outside its region that may send to it

		slots, used, queued int
		wait, mean          time.Duration
		teams               []scheduler.TeamLoad
		reportedAt          time.Time
		sent                *counter
	}
)

// freshness returns the fraction of a report's headroom that still counts at
// its age. It is 0 for a report whose time is unknown.
func freshness(at, now time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	age := max(0, now.Sub(at))
	return max(0, 1-float64(age)/float64(maxReportAge))
}

// headroom estimates how many more requests the VM can run at once. It is
// negative if requests queue there.
func (c *candidate) headroom(now time.Time) float64 {
	free := float64(c.slots - c.used - c.queued)
	if free > 0 {
		free *= freshness(c.reportedAt, now)
	}
	return free - float64(c.sent.n.Load())
}

// expectedWait estimates how long a request of the team waits in the VM's queue.
func (c *candidate) expectedWait(team sassafrastray.TeamName, now time.Time) time.Duration {
	mean := c.mean
	if mean == 0 {
		mean = defaultMean
	}
	perRequest := float64(mean) / float64(c.slots)
	if c.queued > 0 {
		wait := c.wait
		for i := range c.teams {
			if c.teams[i].Team == team {
				wait = c.teams[i].Wait
			}
		}
		return wait + time.Duration(perRequest*float64(c.sent.n.Load()))
	}
	if h := c.headroom(now); h < 1 {
		return time.Duration(perRequest * (1 - h))
	}
	return 0
}

// cost estimates the delay that the choice of this VM adds to a request: the
// round trip and the wait.
func (c *candidate) cost(team sassafrastray.TeamName, now time.Time) time.Duration {
	cost := c.expectedWait(team, now)
	switch {
	case c.link != nil:
		cost += 2 * c.link.delay
	case !c.sameDomain:
		cost += crossDomainCost
	}
	return cost
}

// utilization is the number of requests at the VM per slot, queued ones
// included.
func (c *candidate) utilization() float64 {
	return float64(int64(c.used+c.queued)+c.sent.n.Load()) / float64(c.slots)
}

// betterThan reports whether c has a lower cost than d, or the same cost and a
// lower utilization.
func (c *candidate) betterThan(d *candidate, team sassafrastray.TeamName, now time.Time) bool {
	a, b := c.cost(team, now), d.cost(team, now)
	return a < b || a == b && c.utilization() < d.utilization()
}

// withinShare reports whether a request fits into this VM's share of the
// headroom, which is divided equally among the remote senders. A share below
// one request is used with that probability, so that all senders together stay
// near the headroom.
func (c *candidate) withinShare(now time.Time, rng *rand.Rand) bool {
	sent := float64(c.sent.n.Load())
	share := (c.headroom(now)+sent)/float64(max(1, c.remoteSenders)) - sent
	return share >= 1 || rng.Float64() < share
}

// fits reports whether the link has headroom for the bytes.
func (l *regionLink) fits(bytes int64, now time.Time) bool {
	free := float64(l.headroom) * freshness(l.reportedAt, now)
	return free >= float64(l.sent.n.Load()+max(1, bytes))
}

func (c *candidate) target(r Request) Target {
	t := Target{VM: c.vm, Domain: c.domain, Region: c.region, sent: c.sent}
	if c.link != nil {
		t.link, t.bytes = c.link.sent, r.Bytes
	}
	return t
}

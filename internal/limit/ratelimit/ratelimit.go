// Package ratelimit is a distributed rate limiter for the requests of teams. It
// divides each team's rate and burst among the VMs, so that a VM decides on a
// request without asking another one first.
//
// Each VM reports in its heartbeats how much every team requests from it. Its
// share of the team's rate and burst is its fraction of the total demand. A
// small part of the rate is divided evenly regardless of demand, so that a VM
// without demand can admit its first requests at once. An even share stays
// reserved for every VM that is not heard from, since it may be dead or cut off
// and still serving; a VM that is cut off limits itself to an even share. A VM
// uses a larger share only after the others have had time to receive the demand
// it is based on. VMs to which no callers are sent keep at most an even part of
// the evenly divided rate. While a team uses little of its quota, each VM admits
// a few requests beyond its share.
//
// A team's quota in any window is its rate times the window plus its burst. A VM
// admits a request if it has admitted fewer than its share of the quota within
// the window, and if the admissions reported by all VMs leave room for it. The
// second condition keeps the bound while a team's requests move between VMs.
//
// The package does no I/O. Callers must serialize all calls.
package ratelimit

import (
	"math"
	"time"

	"sassafrastray"
)

const (
	// evenFraction is the fraction of a rate that is divided evenly among the
	// VMs that hear each other, regardless of their demand.
	evenFraction = 0.10

	// assumedDemand, in requests per second, is added to every VM's measured
	// demand, so that random variation of a few requests does not decide how
	// the rate is divided.
	assumedDemand = 0.3

	// peerTimeout is the time after its last heartbeat at which a VM counts as
	// cut off.
	peerTimeout = 3500 * time.Millisecond

	// peerExpiry is how long rate stays reserved for a VM that is not heard
	// from. It is longer than callers stay with a VM that is cut off.
	peerExpiry = 2 * time.Minute

	// riseTimeConstant and fallTimeConstant are the time constants of the
	// measured demand: it follows a significant rise quickly and a fall slowly.
	riseTimeConstant = 400 * time.Millisecond
	fallTimeConstant = 3 * time.Second

	// minEvenFraction is the fraction of an even share that a VM keeps however
	// many requests the others report as admitted.
	minEvenFraction = 0.3

	// riseDeviations is how many standard deviations of the request count are
	// subtracted from the fast average, so that random variation does not count
	// as a rise.
	riseDeviations = 2

	// heartbeatGrowthFactor is the factor over the last reported demand above
	// which a VM that nears its share requests an immediate heartbeat.
	heartbeatGrowthFactor = 1.2

	// heartbeatMinGrowth is the least rise of the demand, in requests per
	// second, for an immediate heartbeat. A single additional request may be
	// random variation.
	heartbeatMinGrowth = 0.5

	// heartbeatMinUse is the fraction of its budget that a VM must have used
	// for an immediate heartbeat, so that the heartbeat precedes any refusal.
	heartbeatMinUse = 0.5

	// overlapFraction is the fraction of a team's quota by which the VMs' shares
	// may overlap while they change within a window; Options.Overshoot has to
	// cover it. overshootFraction of Options.OvershootRequests is divided among
	// the VMs in addition.
	overlapFraction   = 0.13
	overshootFraction = 0.4

	// lightUseFraction is the fraction of what all VMs together may admit for a
	// team below which they admit spare requests beyond their shares. The spare
	// requests of all VMs are at most spareFraction of Options.OvershootRequests.
	// They absorb random clusters of a few requests at one VM.
	lightUseFraction = 0.8
	spareFraction    = 1.2

	// startupPeriod is how long after its start a VM assumes a fleet of at least
	// Options.FleetSize VMs, however few it knows.
	startupPeriod = 7 * time.Second

	// maxDelay bounds how long an admitted request waits for its token.
	maxDelay = 250 * time.Millisecond

	// initialUseFraction is the fraction of its budget that counts as used when
	// a VM starts, because a previous process of the VM may have used it.
	initialUseFraction = 0.2

	// minRetryWait and maxRetryWait bound the time after which a refused
	// request is told to retry.
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = 3 * time.Second
)

type (
	// Options configures a Limiter.
	Options struct {
		// FleetSize is the number of VMs that a starting VM assumes until it
		// knows as many.
		FleetSize int
		// Window is the period over which a team's requests are bounded.
		Window time.Duration
		// Overshoot is the fraction of its quota, and OvershootRequests the
		// number of requests, by which a team may exceed its quota while the
		// VMs learn of each other's demand.
		Overshoot         float64
		OvershootRequests int
	}

	// Usage is what one team requests from one VM.
	Usage struct {
		// Demand is in requests per second.
		Demand float64 `json:"d,omitempty"`
		// Admitted is the number of requests admitted within the window.
		Admitted int `json:"n,omitempty"`
	}

	// TeamUsage holds the usage of all teams at one VM.
	TeamUsage map[sassafrastray.TeamName]Usage

	// Verdict is the decision on a request and the figures it is based on.
	Verdict struct {
		OK bool
		// Delay is how long an admitted request has to wait for its token.
		Delay time.Duration
		// Wait is how long to wait before a retry of a refused request.
		Wait time.Duration
		// Share is the VM's fraction of the team's rate, and DemandAge the age
		// of the oldest demand report that it is based on. Budget is how many
		// requests the VM may admit within the window, Used how many it has
		// admitted, and OthersUsed how many the other VMs have reported.
		Share                    float64
		DemandAge                time.Duration
		Budget, Used, OthersUsed int
	}

	// Limiter enforces one VM's share of the rates of all teams.
	Limiter struct {
		opt   Options
		teams map[sassafrastray.TeamName]*team
		peers map[sassafrastray.Source]*peer
		// reported is the usage in this VM's last heartbeat. reports holds the
		// sent reports from the newest confirmed one on, the oldest first.
		reported     TeamUsage
		reports      []sentReport
		heartbeatDue bool
		// idle is set while no callers are sent to this VM.
		idle bool
		// firstShareAt is when a share was computed for the first time.
		firstShareAt time.Time
		// configured is set once the first teams are known.
		configured bool
	}

	// sentReport is the usage that a heartbeat of this VM reported.
	sentReport struct {
		at    time.Time
		usage TeamUsage
	}

	// Report is what a VM, or the VMs of a region together, report.
	Report struct {
		Uses TeamUsage `json:"uses,omitempty"`
		// VMs is the number of VMs, and Idle the number of those to which no
		// callers are sent.
		VMs  int `json:"vms"`
		Idle int `json:"idle,omitempty"`
	}

	// peer is another VM, or the VMs of another region.
	peer struct {
		heardAt time.Time
		Report
		// knownVMs is the number of VMs, whether or not they are heard from.
		knownVMs int
	}

	team struct {
		rate, burst float64
		// admitted holds the times of the requests within the window, the
		// oldest first, including those delayed into the future.
		admitted []time.Time
		// fastRate and slowRate are moving averages of the request rate as of
		// countedAt.
		fastRate, slowRate float64
		countedAt          time.Time
		// share is the VM's fraction of the rate, and budget how many requests
		// it may admit within the window. It may admit spare more while all VMs
		// together have admitted fewer than lightUseLimit. othersAdmitted is
		// how many the other VMs have admitted.
		share           float64
		budget          float64
		spare           int
		lightUseLimit   float64
		othersAdmitted  int
		demandAge       time.Duration
		shareComputedAt time.Time
	}
)

const (
	// shareInterval is how long a computed share is used.
	shareInterval = 200 * time.Millisecond

	// maxVMs and maxFigure bound the number of VMs and the figures of a team in a
	// report.
	maxVMs    = 1 << 16
	maxFigure = 1 << 30
)

// New returns the Limiter of a VM that knows no other VM.
func New(opt Options) *Limiter {
	return &Limiter{
		opt: opt, teams: make(map[sassafrastray.TeamName]*team),
		peers: make(map[sassafrastray.Source]*peer), reported: TeamUsage{},
	}
}

// Configure sets the teams and their rates. Requests already admitted within the
// window stay counted. Teams without a rate are not limited.
func (l *Limiter) Configure(teams []sassafrastray.Team, now time.Time) {
	next := make(map[sassafrastray.TeamName]*team, len(teams))
	for i := range teams {
		c := &teams[i]
		if c.Rate <= 0 {
			continue
		}
		t := l.teams[c.Name]
		fresh := t == nil
		if fresh {
			t = &team{countedAt: now}
		}
		t.rate, t.burst = c.Rate, float64(c.Burst)
		next[c.Name] = t
		l.computeShare(t, c.Name, now)
		if fresh && !l.configured {
			t.addAdmitted(int(initialUseFraction*t.budget), now)
		}
	}
	l.teams, l.configured = next, l.configured || len(next) > 0
}

// addAdmitted records n requests as admitted now, in place of requests that may
// have been admitted without a record.
func (t *team) addAdmitted(n int, now time.Time) {
	for range n {
		t.admitted = append(t.admitted, now)
	}
}

// HandlePause counts all budgets as used after the VM was paused: its knowledge
// of the other VMs is outdated, and they may have used its share.
func (l *Limiter) HandlePause(now time.Time) {
	for _, p := range l.peers {
		p.heardAt = time.Time{}
	}
	for name, t := range l.teams {
		l.computeShare(t, name, now)
		t.admitted = t.admitted[:0]
		t.addAdmitted(int(math.Ceil(t.budget)), now)
	}
}

// SetIdle sets whether this VM is idle: no callers are sent to it.
func (l *Limiter) SetIdle(idle bool) { l.idle = idle }

// Take admits a request of the team, at once or after a delay, or refuses it with
// the time after which to retry. A team without a rate is always admitted.
func (l *Limiter) Take(name sassafrastray.TeamName, now time.Time) Verdict {
	t := l.teams[name]
	if t == nil {
		return Verdict{OK: true, Share: 1}
	}
	t.decay(now)
	t.fastRate += float64(time.Second) / float64(riseTimeConstant)
	t.slowRate += float64(time.Second) / float64(fallTimeConstant)
	t.dropExpired(now, l.opt.Window)
	if now.Sub(t.shareComputedAt) >= shareInterval {
		l.computeShare(t, name, now)
	}
	budget := t.limit()
	v := Verdict{Share: t.share, DemandAge: t.demandAge, Budget: budget, Used: len(t.admitted), OthersUsed: t.othersAdmitted}
	if reported := l.reported[name].Demand; t.demand() > max(heartbeatGrowthFactor*reported, reported+heartbeatMinGrowth) && float64(len(t.admitted)) >= heartbeatMinUse*float64(budget) {
		l.heartbeatDue = true
	}
	if len(t.admitted) < budget {
		t.admitted = append(t.admitted, now)
		v.OK = true
		return v
	}
	// The next request fits once the oldest excess request has left the window.
	v.Wait = t.admitted[len(t.admitted)-budget].Add(l.opt.Window).Sub(now)
	if v.Wait <= maxDelay {
		t.admitted = append(t.admitted, now.Add(v.Wait))
		v.OK, v.Delay, v.Wait = true, v.Wait, 0
		return v
	}
	v.Wait = min(maxRetryWait, max(minRetryWait, v.Wait))
	return v
}

// NeedsHeartbeat reports whether a heartbeat should be sent at once: a team nears
// its budget or was refused, and the other VMs don't know its demand yet.
func (l *Limiter) NeedsHeartbeat() bool { return l.heartbeatDue }

// Refund removes the team's latest request from the count, because it reached no
// backend server.
func (l *Limiter) Refund(name sassafrastray.TeamName) {
	if t := l.teams[name]; t != nil && len(t.admitted) > 0 {
		t.admitted = t.admitted[:len(t.admitted)-1]
	}
}

// computeShare computes the VM's share of the team's quota.
func (l *Limiter) computeShare(t *team, name sassafrastray.TeamName, now time.Time) {
	t.shareComputedAt, t.demandAge = now, 0
	quota := t.rate*l.opt.Window.Seconds() + t.burst
	maxAdmitted := (1+l.opt.Overshoot-overlapFraction)*quota + overshootFraction*float64(l.opt.OvershootRequests)
	ownDemand := min(t.demand(), l.confirmedUsage(now)[name].Demand)
	totalDemand, othersAdmitted, heard, unreachable, active := ownDemand, 0, 1, 0, 0
	if !l.idle {
		active = 1
	}
	for from, p := range l.peers {
		switch age := now.Sub(p.heardAt); {
		case age <= peerTimeout:
			u := p.Uses[name]
			totalDemand += u.Demand
			othersAdmitted += u.Admitted
			heard += p.VMs
			active += p.VMs - p.Idle
			unreachable += max(0, p.knownVMs-p.VMs)
			t.demandAge = max(t.demandAge, age)
		case age > peerExpiry && !p.heardAt.IsZero():
			delete(l.peers, from)
		default:
			unreachable += p.knownVMs
		}
	}
	if l.firstShareAt.IsZero() {
		l.firstShareAt = now
	}
	if now.Sub(l.firstShareAt) < startupPeriod {
		unreachable = max(unreachable, l.opt.FleetSize-heard)
	}
	vms := float64(heard)
	share := evenFraction / vms
	if assumed := assumedDemand; !l.idle || ownDemand > 0 {
		if l.idle {
			assumed = 0
		}
		share += (1 - evenFraction) * (ownDemand + assumed) / (totalDemand + assumedDemand*float64(max(1, active)))
	}
	reachableFraction := vms / (vms + float64(unreachable))
	t.share = reachableFraction * share
	t.othersAdmitted, t.lightUseLimit = othersAdmitted, lightUseFraction*maxAdmitted*reachableFraction
	t.spare = 0
	if !l.idle {
		t.spare = int(spareFraction * float64(l.opt.OvershootRequests) / float64(max(1, active)+unreachable))
	}
	t.budget = min(t.share*maxAdmitted, max(minEvenFraction*reachableFraction*maxAdmitted/vms, reachableFraction*maxAdmitted-float64(othersAdmitted)))
}

// limit returns how many requests the VM may admit within the window, including
// spare ones.
func (t *team) limit() int {
	n := max(1, int(t.budget))
	if float64(t.othersAdmitted+len(t.admitted)) < t.lightUseLimit {
		n += t.spare
	}
	return n
}

// confirmedUsage returns the newest usage that was reported before the last
// heartbeat of another VM: the others reduce their shares only once they have
// received it. A VM that is cut off from all others uses its last report.
func (l *Limiter) confirmedUsage(now time.Time) TeamUsage {
	var since time.Time
	for _, p := range l.peers {
		if now.Sub(p.heardAt) <= peerTimeout && p.heardAt.After(since) {
			since = p.heardAt
		}
	}
	if since.IsZero() {
		return l.reported
	}
	n := 0
	for n+1 < len(l.reports) && !l.reports[n+1].at.After(since) {
		n++
	}
	l.reports = l.reports[n:]
	if len(l.reports) == 0 {
		return TeamUsage{}
	}
	return l.reports[0].usage
}

// dropExpired removes the requests that have left the window.
func (t *team) dropExpired(now time.Time, window time.Duration) {
	n := 0
	for n < len(t.admitted) && now.Sub(t.admitted[n]) >= window {
		n++
	}
	t.admitted = append(t.admitted[:0], t.admitted[n:]...)
}

// decay brings the moving averages up to now.
func (t *team) decay(now time.Time) {
	if d := now.Sub(t.countedAt); d > 0 {
		t.fastRate *= math.Exp(-float64(d) / float64(riseTimeConstant))
		t.slowRate *= math.Exp(-float64(d) / float64(fallTimeConstant))
		t.countedAt = now
	}
}

// demand returns the requests per second that the team sends to the VM: the slow
// average, or the fast one less its random variation if that is higher.
func (t *team) demand() float64 {
	n := t.fastRate * riseTimeConstant.Seconds()
	return max(t.slowRate, (n-riseDeviations*math.Sqrt(n))/riseTimeConstant.Seconds())
}

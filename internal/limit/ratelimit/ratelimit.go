// Package ratelimit is a distributed rate limiter for the requests of teams. It
// divides each team's quota, its rate and burst, among the VMs, so that a VM decides on
// most requests without asking another one first.
//
// What the VMs hold of a quota never adds up to more than the quota, whatever the order
// and delay of messages, because a part of it is held by one VM at a time:
//
//   - The VMs that callers are meant to use own an equal part each, their base. It depends
//     on their number alone.
//   - A VM lends a part of its base for a limited time. It does without that part from
//     the moment at which it sends the loan until the time is over or the borrower has
//     confirmed a smaller one. The borrower counts the time from an earlier moment: when
//     it sent the message that the lender confirms with the loan.
//   - A VM that starts does not know what it lent before. It does without all that it may
//     have lent until the others have confirmed a message of it, or a loan's time is over.
//   - A new VM owns nothing until the others count it: those of its region have confirmed a
//     message of it, and those of the other regions know it.
//
// Who lends how much to whom follows the demand that VMs report to each other. If they
// disagree about it, loans are too small or go to the wrong VM, and no more.
//
// Each VM keeps a token bucket for its share of a quota. It is empty when the VM starts,
// and a larger share adds no tokens. So all VMs together admit in any window at most the
// refill of the window and the capacity of all buckets, which is the team's limit.
// Of a quota that is few tokens for each of its owners a VM may admit a request before it
// has the token, as long as it admits in the window no more than what it owns of that
// limit, has owned through all of the window and does not lend while it counts. After its
// start it first earns the token that an earlier process of it may have owed.
//
// If a quota is too small to be divided among the VMs that callers use, the VMs of each
// region lend their parts to one of them, the hub, and ask it for single tokens.
//
// The package does no I/O. Callers must serialize all calls.
package ratelimit

import (
	"net/netip"
	"time"

	"sassafrastray"
)

const (
	// evenFraction is the fraction of its base that a VM never lends, so that it can
	// admit the first requests at once.
	evenFraction = 0.10

	// exportFraction is the most of what it may lend that a VM lends to other regions.
	exportFraction = 0.3

	// assumedDemand, in requests per second, is added to every VM's measured
	// demand, so that random variation of a few requests does not decide how
	// the rate is divided.
	assumedDemand = 0.3

	// peerTimeout is the time after its last heartbeat at which a VM counts as
	// cut off.
	peerTimeout = 3500 * time.Millisecond

	// peerExpiry is how long a part of the quota stays reserved for a VM that is not
	// heard from. It is longer than callers stay with a VM that is cut off.
	peerExpiry = 2 * time.Minute

	// riseTimeConstant and fallTimeConstant are the time constants of the
	// measured demand: it follows a significant rise quickly and a fall slowly.
	riseTimeConstant = 400 * time.Millisecond
	fallTimeConstant = 3 * time.Second

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

	// heartbeatMaxTokens is the fraction of its bucket that a VM may have left for
	// an immediate heartbeat, so that the heartbeat precedes any refusal.
	heartbeatMaxTokens = 0.8

	// maxBucketRefill is the most of a team's limit in a window that buckets are
	// refilled with. The rest is their capacity.
	maxBucketRefill = 0.87

	// scatteredTokens is the average number of tokens that the buckets of a quota's owners
	// can hold, below which they admit requests in advance.
	scatteredTokens = 3

	// maxAdvance is the most requests that a VM admits before it has their tokens. A VM
	// that starts first earns as many tokens.
	maxAdvance = 1

	// newPeriod is how long after its start a VM's demand is not known.
	newPeriod = 1200 * time.Millisecond

	// startupPeriod is how long after its start a VM that can't learn how many VMs
	// there are admits nothing. Later it assumes at least Options.FleetSize.
	startupPeriod = 3 * time.Second

	// maxDelay bounds how long an admitted request waits for its token.
	// maxStartDelay is that bound while the bucket of a team within its rate has been
	// empty for less than a window.
	maxDelay      = 250 * time.Millisecond
	maxStartDelay = time.Second

	// silentTime is how long a hub that did not answer is not asked.
	silentTime = 500 * time.Millisecond

	// unknownWait is the time after which to retry a request that was refused because
	// the VM holds too little of the quota for a token.
	unknownWait = 300 * time.Millisecond

	// minRetryWait and maxRetryWait bound the time after which a refused
	// request is told to retry.
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = 3 * time.Second
)

type (
	// Options configures a Limiter.
	Options struct {
		// Self is the VM, and Region its region.
		Self   sassafrastray.VMName
		Region sassafrastray.RegionName
		// FleetSize is the least number of VMs that a VM assumes if it can't learn
		// how many there are.
		FleetSize int
		// Window is the period over which a team's requests are bounded.
		Window time.Duration
		// Overshoot is the fraction of its quota, and OvershootRequests the
		// number of requests, by which a team may exceed its quota.
		Overshoot         float64
		OvershootRequests int
	}

	// Usage is what one team requests from one VM.
	Usage struct {
		// Demand is in requests per second.
		Demand float64 `json:"d,omitempty"`
		// Imported is the fraction of the quota that VMs of other regions lend.
		Imported float64 `json:"i,omitempty"`
		// Tokens is how many tokens the VM can grant others.
		Tokens int `json:"t,omitempty"`
	}

	// TeamUsage holds the usage of all teams at one VM.
	TeamUsage map[sassafrastray.TeamName]Usage

	// Verdict is the decision on a request and the figures it is based on.
	Verdict struct {
		OK bool
		// Delay is how long an admitted request has to wait until Claim, which takes
		// its token.
		Delay time.Duration
		// Wait is how long to wait before a retry of a refused request.
		Wait time.Duration
		// Holder is the VM that may have a token for a refused request, if one may.
		Holder netip.AddrPort
		// Asked is how long the answer of the holder took.
		Asked time.Duration
		// Share is the VM's fraction of the quota, Lent what it lent to others and
		// Borrowed what it borrowed. VMs is the number of VMs that share the quota.
		Share, Lent, Borrowed float64
		VMs                   int
		// Tokens is how many the bucket held before the request, and Capacity the
		// most that it can hold.
		Tokens, Capacity float64
		// ticket identifies the token for Refund, delayed is when the request came.
		ticket  uint64
		delayed time.Time
	}

	// Limiter enforces one VM's share of the rates of all teams.
	Limiter struct {
		opt   Options
		teams map[sassafrastray.TeamName]*team
		peers map[sassafrastray.Source]*peer
		// peersChanged is set if the number of VMs may be another one than that of which
		// the base was computed.
		peersChanged bool
		// reported is the usage in this VM's last heartbeat.
		reported     TeamUsage
		heartbeatDue bool
		// idle is set while no callers are sent to this VM. Owner is set if it owns a part
		// of quotas, which it does not use before ownerFrom.
		idle, owner bool
		ownerFrom   time.Time
		// fleetKnown is set once all VMs are known, whether or not they are heard
		// from. startedAt is when the VM was first asked for its usage or a share.
		fleetKnown bool
		startedAt  time.Time
		// restarted is set if the VM is known not to be a new one.
		restarted bool
		// countedBy has the regions of which all VMs know this one.
		countedBy map[sassafrastray.RegionName]bool
		// reportedNew is set if the last heartbeat said that the VM is new.
		reportedNew bool
		ledger      ledger
		plan        plan
	}

	// Report is what a VM, or the VMs of a region together, report.
	Report struct {
		Uses TeamUsage `json:"uses,omitempty"`
		// VMs is the number of VMs, Idle the number of those to which no callers
		// are sent, and New the number of those that started so recently that their
		// demand is not known.
		VMs  int `json:"vms"`
		Idle int `json:"idle,omitempty"`
		New  int `json:"new,omitempty"`
	}

	// Peer is another VM, or the other VMs of a region that report together, which
	// have no address.
	Peer struct {
		Source  sassafrastray.Source
		Region  sassafrastray.RegionName
		Address netip.AddrPort
		// VMs is how many VMs it is, and Owners how many of them own a part of quotas.
		VMs, Owners int
	}

	// peer is what is known of a Peer.
	peer struct {
		Peer
		heardAt time.Time
		report  Report
	}

	team struct {
		rate, burst float64
		// fastRate and slowRate are moving averages of the request rate from
		// countedFrom to countedAt.
		fastRate, slowRate     float64
		countedFrom, countedAt time.Time
		bucket
		// share is the VM's fraction of the quota, own the part of it that it owns and has
		// not lent, and owned its changes within the window, the oldest first.
		share, own float64
		owned      []ownedPart
		// indebted is set once the debt of an earlier process is taken into account.
		indebted bool
		// admitted holds the times of the admissions within the window, the oldest first.
		admitted []time.Time
		// hub is the VM that holds the region's part, if the quota is too small to be
		// divided, or empty.
		hub sassafrastray.Source
		// emptyUntil is until when no other VM is asked for a token.
		emptyUntil time.Time
		// hubSilentUntil is until when the hub is not asked because it did not answer.
		hubSilentUntil time.Time
		counts         counts
	}

	// ownedPart is what a VM owned and had not lent from a time on.
	ownedPart struct {
		from time.Time
		own  float64
	}

	// counts are the requests of a team since the last Statuses.
	counts struct{ admitted, refused int }
)

const (
	// maxVMs bounds the number of VMs in a report, and maxDemand the demand of a team
	// at one VM.
	maxVMs    = 1 << 16
	maxDemand = 1e5
)

// New returns the Limiter of a VM that knows no other VM.
func New(opt Options) *Limiter {
	return &Limiter{
		opt: opt, teams: make(map[sassafrastray.TeamName]*team),
		peers: make(map[sassafrastray.Source]*peer), reported: TeamUsage{}, ledger: newLedger(), owner: true,
	}
}

// Configure sets the teams and their rates. Teams without a rate are not limited.
func (l *Limiter) Configure(teams []sassafrastray.Team, now time.Time) {
	l.expireLoans(now)
	next := make(map[sassafrastray.TeamName]*team, len(teams))
	for i := range teams {
		c := &teams[i]
		if c.Rate <= 0 {
			continue
		}
		t := l.teams[c.Name]
		if t == nil {
			t = &team{countedFrom: now, countedAt: now, bucket: bucket{refilledAt: now, emptyAt: now}}
		}
		t.refillTo(now)
		t.rate, t.burst = c.Rate, float64(c.Burst)
		next[c.Name] = t
	}
	l.teams = next
	l.plan.changed = true
	l.updateBase(now)
	l.updateShares(now)
}

// HandlePause gives up all loans after the VM was paused: it can't know that their time
// was not over, or that the other VMs are as it remembers them. Requests don't wait for what
// it earns next.
func (l *Limiter) HandlePause(now time.Time) {
	for _, p := range l.peers {
		p.heardAt = time.Time{}
	}
	l.ledger.dropLoans()
	l.plan.changed = true
	l.updateShares(now)
	for _, t := range l.teams {
		t.tokens, t.emptyAt = min(t.tokens, -t.refill*maxStartDelay.Seconds()), now
	}
}

// SetIdle sets whether this VM is idle: no callers are sent to it.
func (l *Limiter) SetIdle(idle bool) { l.idle = idle }

// SetOwner sets whether this VM owns a part of quotas. If it does from now on, the VMs that
// do not any more may still lend theirs.
func (l *Limiter) SetOwner(owner bool, now time.Time) {
	if owner && !l.owner && l.ledger.settled {
		l.ownerFrom = now.Add(loanTime + clockMargin)
	}
	l.owner = owner
	l.peersChanged = true
}

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
	l.advance(t, now)
	v := l.verdict(t, name)
	if reported := l.reported[name].Demand; t.demand() > max(heartbeatGrowthFactor*reported, reported+heartbeatMinGrowth) && t.tokens <= heartbeatMaxTokens*t.capacity {
		l.heartbeatDue = true
	}
	wait, possible := l.waitFor(t, t.waiting, now)
	switch {
	case wait == 0 || l.mayAdvance(t, now):
		v.OK, v.ticket = true, t.take(now)
	case possible && wait <= l.maxDelay(t, now):
		t.waiting++
		v.OK, v.Delay, v.delayed = true, wait, now
	default:
		v.Wait = min(maxRetryWait, max(minRetryWait, wait))
		v.Holder = l.holder(t, name, now)
	}
	if v.OK {
		t.counts.admitted++
	} else {
		t.counts.refused++
	}
	return v
}

// Claim takes the token of a request that has waited for the delay of its verdict. The
// request may have to wait once more or be refused, since the VM may have lent a part of
// its share meanwhile.
func (l *Limiter) Claim(name sassafrastray.TeamName, v Verdict, now time.Time) Verdict {
	t := l.teams[name]
	if t == nil || v.delayed.IsZero() {
		v.Delay = 0
		return v
	}
	l.advance(t, now)
	t.waiting--
	wait, possible := l.waitFor(t, 0, now)
	if limit := l.maxDelay(t, now); possible && wait > 0 && now.Add(wait).Sub(v.delayed) <= 2*limit {
		t.waiting++
		v.Delay = wait
		return v
	}
	v.Delay, v.delayed = 0, time.Time{}
	if wait == 0 {
		v.ticket = t.take(now)
		return v
	}
	t.counts.admitted--
	t.counts.refused++
	v.OK, v.Wait, v.Holder = false, min(maxRetryWait, max(minRetryWait, wait)), l.holder(t, name, now)
	return v
}

// NeedsHeartbeat reports whether a heartbeat should be sent at once: a team nears
// its budget or was refused, and the other VMs don't know its demand yet; or the VM
// waits for the others to confirm that it has started.
func (l *Limiter) NeedsHeartbeat() bool {
	return l.heartbeatDue || l.fleetKnown && !l.ledger.confirmed && !l.ledger.settled
}

// verdict returns a refusal with the team's figures.
func (l *Limiter) verdict(t *team, name sassafrastray.TeamName) Verdict {
	return Verdict{
		Share: t.share, Lent: l.ledger.lent[name], Borrowed: l.ledger.borrowed[name], VMs: l.ledger.vms, Tokens: t.tokens, Capacity: t.capacity,
	}
}

// advance brings the VM's shares and the team's tokens up to now.
func (l *Limiter) advance(t *team, now time.Time) {
	l.updateBase(now)
	t.refillTo(now)
}

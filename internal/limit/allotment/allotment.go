// Package allotment divides each team's rate and burst among the VMs without
// asking anybody before a request is admitted.
//
// Every VM tells the others in its heartbeats how much each team asks of it,
// and takes the part of the rate and the burst that its demand is of all
// demands. A part of it is divided evenly, so that a VM without demand can
// admit the first requests at once. For each VM that is not heard of, whether
// it is dead or cut off, an even part stays reserved; a VM that is cut off
// gives itself no more than that. A VM takes a larger part only after the
// others have had the time to hear of the demand that it rests on.
//
// What a team may have in any window is its rate over the window and its
// burst. Most of the burst is added to the rate, and the rest is the size of the
// VMs' token buckets; those of small teams may use the reserve for the time in
// which VMs learn of each other. A request that finds no token but one about to
// come waits for it.
//
// Nothing here does I/O. Callers hold a lock around all calls.
package allotment

import (
	"math"
	"time"

	"sassafrastray"
)

const (
	// evenPart is the part of a rate that is divided evenly among the VMs
	// that hear each other, whatever their demand.
	evenPart = 0.15

	// slight is a demand in requests per second that is assumed everywhere on
	// top of the measured one, so that the chance of few requests does not
	// divide the rate.
	slight = 0.7

	// silent is how long after its last heartbeat a VM counts as cut off.
	silent = 3500 * time.Millisecond

	// forget is how long a VM that was not heard of keeps its reserve. It is
	// longer than any cut that callers stay with.
	forget = 2 * time.Minute

	// risingTime and fallingTime are the time constants of the measured
	// demand: a rise that is more than chance is noticed soon, a fall later.
	risingTime  = 400 * time.Millisecond
	fallingTime = 3 * time.Second

	// chance is how many standard deviations of its count a rise must have.
	chance = 2

	// grown is the factor over the told demand from which a VM that refuses
	// requests asks for a heartbeat at once.
	grown = 1.2

	// bucketPart is the least part of a burst that is the size of the buckets.
	bucketPart = 0.3

	// bucketEach is how many requests in a row a VM should admit.
	bucketEach = 3

	// overPart and reservePart are the parts of what a team may have beyond
	// its due that the buckets may use.
	overPart    = 0.5
	reservePart = 0.8

	// longestDelay is how long a request waits at most for a token.
	longestDelay = 250 * time.Millisecond

	// startFill is the part of its burst that a VM has when it starts, since
	// an earlier run of it may have spent the rest.
	startFill = 0.3

	// leastWait and mostWait bound the time after which a refused request is
	// asked to come back.
	leastWait = 100 * time.Millisecond
	mostWait  = 3 * time.Second
)

type (
	// Options are the bounds of a Book.
	Options struct {
		// Fleet is the number of VMs that are assumed until as many are
		// known.
		Fleet int
		// Window is the span over which a team's requests are bounded.
		Window time.Duration
		// Over is the part of that, and Reserve the number of requests, that
		// a team may have beyond it while VMs learn of each other.
		Over    float64
		Reserve int
	}

	// Demands are the requests per second that each team asks of one VM.
	Demands map[sassafrastray.TeamName]float64

	// Verdict tells whether a request is admitted.
	Verdict struct {
		OK bool
		// Delay is how long an admitted request has to wait for its token.
		Delay time.Duration
		// Wait is when a refused request would find a token.
		Wait time.Duration
		// Share is the VM's part of the team's rate, and Age the age of the
		// oldest demand that it rests on.
		Share float64
		Age   time.Duration
	}

	// Book holds one VM's part of all teams' rates.
	Book struct {
		opt   Options
		teams map[sassafrastray.TeamName]*team
		peers map[sassafrastray.VMName]*peer
		// told is what the others can have heard of this VM's demand.
		told  Demands
		short bool
	}

	peer struct {
		heard   time.Time
		demands Demands
	}

	team struct {
		rate, burst float64
		// bucket is the size of all VMs' buckets, refill the rate of all.
		bucket, refill float64
		tokens         float64
		filled         time.Time
		// rising and falling are moving rates of requests as of counted.
		rising, falling float64
		counted         time.Time
		share           float64
		age             time.Duration
		shared          time.Time
	}
)

// refresh is how long a computed share is used.
const refresh = 200 * time.Millisecond

// New returns a book of a VM that knows no other.
func New(opt Options) *Book {
	return &Book{
		opt: opt, teams: make(map[sassafrastray.TeamName]*team),
		peers: make(map[sassafrastray.VMName]*peer), told: Demands{},
	}
}

// Configure takes in the teams' rates. What a team has left of its burst is
// kept, within its new burst.
func (b *Book) Configure(teams []sassafrastray.Team, now time.Time) {
	next := make(map[sassafrastray.TeamName]*team, len(teams))
	for i := range teams {
		c := &teams[i]
		if c.Rate <= 0 {
			continue
		}
		t := b.teams[c.Name]
		if t == nil {
			t = &team{counted: now, filled: now, tokens: -1}
		}
		t.rate, t.burst, t.shared = c.Rate, float64(c.Burst), time.Time{}
		next[c.Name] = t
	}
	b.teams = next
	for name, t := range b.teams {
		b.divide(t, name, now)
		if t.tokens < 0 {
			t.tokens = startFill * t.room()
		}
		t.tokens = min(t.tokens, t.room())
	}
}

// Suspended empties the book after a time in which the VM stood still: what it
// knew of the others is old, and they may have used its part.
func (b *Book) Suspended(now time.Time) {
	for _, t := range b.teams {
		t.tokens, t.filled, t.shared = 0, now, time.Time{}
	}
	for _, p := range b.peers {
		p.heard = time.Time{}
	}
}

// Heard takes in another VM's demands.
func (b *Book) Heard(vm sassafrastray.VMName, d Demands, now time.Time) {
	b.peers[vm] = &peer{heard: now, demands: d}
}

// Gone forgets a VM that will not come back.
func (b *Book) Gone(vm sassafrastray.VMName) { delete(b.peers, vm) }

// Tell returns the demands for the next heartbeat.
func (b *Book) Tell(now time.Time) Demands {
	d := Demands{}
	for name, t := range b.teams {
		t.decay(now)
		if n := t.demand(); n > 0.05 {
			d[name] = float64(int(n*10)) / 10
		}
	}
	b.told, b.short = d, false
	return d
}

// Take admits a request of the team, or tells when it would be. A team without
// a rate is always admitted.
func (b *Book) Take(name sassafrastray.TeamName, now time.Time) Verdict {
	t := b.teams[name]
	if t == nil {
		return Verdict{OK: true, Share: 1}
	}
	t.decay(now)
	t.rising += float64(time.Second) / float64(risingTime)
	t.falling += float64(time.Second) / float64(fallingTime)
	if now.Sub(t.shared) >= refresh {
		b.divide(t, name, now)
	}
	t.fill(now)
	if t.tokens >= 1 {
		t.tokens--
		return Verdict{OK: true, Share: t.share, Age: t.age}
	}
	if t.demand() > grown*b.told[name] {
		b.short = true
	}
	wait := mostWait
	if rate := t.refill * t.share; rate > 0 {
		wait = time.Duration((1 - t.tokens) / rate * float64(time.Second))
	}
	if wait <= longestDelay && t.falling <= t.refill*t.share {
		// The team asks for no more than its part; chance has brought
		// requests together.
		t.tokens--
		return Verdict{OK: true, Delay: wait, Share: t.share, Age: t.age}
	}
	return Verdict{Wait: min(mostWait, max(leastWait, wait)), Share: t.share, Age: t.age}
}

// Short tells whether a team was refused whose demand the others don't know
// yet, so that a heartbeat should go out at once.
func (b *Book) Short() bool { return b.short }

// Refund gives back the token of a request that reached no backend server.
func (b *Book) Refund(name sassafrastray.TeamName) {
	if t := b.teams[name]; t != nil {
		t.tokens = min(t.room(), t.tokens+1)
	}
}

// divide computes the VM's part of the team's rate.
func (b *Book) divide(t *team, name sassafrastray.TeamName, now time.Time) {
	t.shared = now
	own := min(t.demand(), b.told[name])
	all, heard, cut := own, 1, 0
	t.age = 0
	for vm, p := range b.peers {
		switch age := now.Sub(p.heard); {
		case age <= silent:
			all += p.demands[name]
			heard++
			t.age = max(t.age, age)
		case age > forget && !p.heard.IsZero():
			delete(b.peers, vm)
		default:
			cut++
		}
	}
	// VMs that were never heard of count too while the VM is new.
	cut = max(cut, b.opt.Fleet-heard)
	reach := float64(heard) / float64(heard+cut)
	vms := float64(heard)
	part := evenPart/vms + (1-evenPart)*(own+slight)/(all+slight*vms)
	t.share = reach * part
	b.size(t, float64(heard+cut))
}

// size divides what the team may have in a window between the refill and the
// buckets of all VMs.
func (b *Book) size(t *team, vms float64) {
	window := b.opt.Window.Seconds()
	due := t.rate*window + t.burst
	most := due*(1+overPart*b.opt.Over) + reservePart*float64(b.opt.Reserve)
	t.bucket = max(bucketPart*t.burst, min(bucketEach*vms, most-t.rate*window))
	t.refill = min(t.rate+(1-bucketPart)*t.burst/window, (most-t.bucket)/window)
}

// room is the greatest number of tokens that the VM holds.
func (t *team) room() float64 { return max(1, t.bucket*t.share) }

func (t *team) fill(now time.Time) {
	if d := now.Sub(t.filled); d > 0 {
		t.tokens = min(t.room(), t.tokens+t.refill*t.share*d.Seconds())
	}
	t.filled = now
}

func (t *team) decay(now time.Time) {
	if d := now.Sub(t.counted); d > 0 {
		t.rising *= math.Exp(-float64(d) / float64(risingTime))
		t.falling *= math.Exp(-float64(d) / float64(fallingTime))
		t.counted = now
	}
}

// demand returns the requests per second that the team asks of the VM.
func (t *team) demand() float64 {
	n := t.rising * risingTime.Seconds()
	return max(t.falling, (n-chance*math.Sqrt(n))/risingTime.Seconds())
}

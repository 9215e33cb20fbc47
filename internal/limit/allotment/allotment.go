// Package allotment divides each team's rate and burst among the VMs without
// asking anybody before a request is admitted.
//
// Every VM tells the others in its heartbeats how much each team asks of it,
// and takes the part of the rate and the burst that its demand is of all
// demands. A part of it is divided evenly, so that a VM without demand can
// admit the first requests at once. For each VM that is not heard of, whether
// it is dead or cut off, an even part stays reserved; a VM that is cut off
// gives itself no more than that. A VM takes a larger part only after the
// others have had the time to hear of the demand that it rests on. VMs to which
// callers are not sent keep no more than an even part of the small rest. While
// little of what a team may have is used, each VM admits a few requests more.
//
// What a team may have in any window is its rate over the window and its
// burst. A VM admits a request if it has admitted fewer than its part of that
// within the window, and if what all VMs told that they admitted leaves room.
// The second condition holds while a team's requests move from VM to VM.
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
	evenPart = 0.10

	// slight is a demand in requests per second that is assumed everywhere on
	// top of the measured one, so that the chance of few requests does not
	// divide the rate.
	slight = 0.3

	// silent is how long after its last heartbeat a VM counts as cut off.
	silent = 3500 * time.Millisecond

	// forget is how long a VM that was not heard of keeps its reserve. It is
	// longer than any cut that callers stay with.
	forget = 2 * time.Minute

	// risingTime and fallingTime are the time constants of the measured
	// demand: a rise that is more than chance is noticed soon, a fall later.
	risingTime  = 400 * time.Millisecond
	fallingTime = 3 * time.Second

	// evenLeast is the part of an even part that a VM has whatever the others
	// told that they admitted.
	evenLeast = 0.3

	// chance is how many standard deviations of its count a rise must have.
	chance = 2

	// grown is the factor over the told demand from which a VM that nears its
	// part asks for a heartbeat at once.
	grown = 1.2

	// more is the least rise of a demand, in requests per second, for which a
	// VM does so. A single request more is chance.
	more = 0.5

	// nearly is the part of what it may admit from which a VM does so before
	// it refuses any.
	nearly = 0.5

	// overlap is the part of a team's due by which the VMs' parts of it may
	// overlap while they change within a window; what the team may have
	// beyond its due has to cover that. reservePart of the reserve comes on
	// top.
	overlap     = 0.13
	reservePart = 0.4

	// calmPart is the part of what a team may have below which the VMs admit
	// spare requests beyond their parts; together those are at most sparePart
	// of the reserve. They serve the few requests that chance brings to one VM.
	calmPart  = 0.8
	sparePart = 1.2

	// young is how long after its start a VM takes the fleet to be as large
	// as its options say, however few VMs it knows.
	young = 7 * time.Second

	// longestDelay is how long a request waits at most for a token.
	longestDelay = 250 * time.Millisecond

	// startPart is the part of its due that counts as used when a VM starts,
	// since an earlier run of it may have used that.
	startPart = 0.2

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

	// Use is what one team asks of one VM.
	Use struct {
		// Demand is in requests per second.
		Demand float64 `json:"d,omitempty"`
		// Admitted is the number of requests admitted within the window.
		Admitted int `json:"n,omitempty"`
	}

	// Uses are those of all teams at one VM.
	Uses map[sassafrastray.TeamName]Use

	// Verdict tells whether a request is admitted.
	Verdict struct {
		OK bool
		// Delay is how long an admitted request has to wait for its token.
		Delay time.Duration
		// Wait is when a refused request would find a token.
		Wait time.Duration
		// Share is the VM's part of the team's rate, and Age the age of the
		// oldest demand that it rests on. Room is how many requests the VM
		// may have admitted within the window, Used how many it has, and
		// Others how many the other VMs have told.
		Share              float64
		Age                time.Duration
		Room, Used, Others int
	}

	// Book holds one VM's part of all teams' rates.
	Book struct {
		opt   Options
		teams map[sassafrastray.TeamName]*team
		peers map[sassafrastray.Source]*peer
		// told is what the latest heartbeat said of this VM's demand; tells has
		// it and the earlier ones that are not confirmed, the oldest first.
		told  Uses
		tells []tell
		short bool
		// idle tells that callers are not sent to this VM.
		idle bool
		// began is when the first part was computed.
		began time.Time
		// started is set once the first teams were known.
		started bool
	}

	// tell is what a heartbeat said.
	tell struct {
		at   time.Time
		uses Uses
	}

	// Report is what a VM, or the VMs of a region together, tell.
	Report struct {
		Uses Uses `json:"uses,omitempty"`
		// VMs is the number of VMs, and Idle how many of them callers are not
		// sent to.
		VMs  int `json:"vms"`
		Idle int `json:"idle,omitempty"`
	}

	// peer is another VM, or those of another region.
	peer struct {
		heard time.Time
		Report
		// known is how many VMs there are, whether or not they are heard of.
		known int
	}

	team struct {
		rate, burst float64
		// admitted are the times of the requests within the window, the
		// oldest first; those that wait for their time are among them.
		admitted []time.Time
		// rising and falling are moving rates of requests as of counted.
		rising, falling float64
		counted         time.Time
		// share is the VM's part, room how many requests it may have within
		// the window, and spare how many more while all VMs together have had
		// fewer than calm; others is what the other VMs have had.
		share  float64
		room   float64
		spare  int
		calm   float64
		others int
		age    time.Duration
		shared time.Time
	}
)

// refresh is how long a computed share is used.
const refresh = 200 * time.Millisecond

// Add adds what other VMs tell.
func (r *Report) Add(o Report) {
	if r.Uses == nil {
		r.Uses = make(Uses, len(o.Uses))
	}
	for team, u := range o.Uses {
		have := r.Uses[team]
		r.Uses[team] = Use{Demand: have.Demand + u.Demand, Admitted: have.Admitted + u.Admitted}
	}
	r.VMs += o.VMs
	r.Idle += o.Idle
}

// New returns a book of a VM that knows no other.
func New(opt Options) *Book {
	return &Book{
		opt: opt, teams: make(map[sassafrastray.TeamName]*team),
		peers: make(map[sassafrastray.Source]*peer), told: Uses{},
	}
}

// Configure takes in the teams' rates. What a team has had within the window
// goes on counting.
func (b *Book) Configure(teams []sassafrastray.Team, now time.Time) {
	next := make(map[sassafrastray.TeamName]*team, len(teams))
	for i := range teams {
		c := &teams[i]
		if c.Rate <= 0 {
			continue
		}
		t := b.teams[c.Name]
		fresh := t == nil
		if fresh {
			t = &team{counted: now}
		}
		t.rate, t.burst = c.Rate, float64(c.Burst)
		next[c.Name] = t
		b.divide(t, c.Name, now)
		if fresh && !b.started {
			t.use(int(startPart*t.room), now)
		}
	}
	b.teams, b.started = next, b.started || len(next) > 0
}

// use counts requests that may have been admitted.
func (t *team) use(n int, now time.Time) {
	for range n {
		t.admitted = append(t.admitted, now)
	}
}

// Suspended counts all parts as used after a time in which the VM stood still:
// what it knew of the others is old, and they may have used its part.
func (b *Book) Suspended(now time.Time) {
	for _, p := range b.peers {
		p.heard = time.Time{}
	}
	for name, t := range b.teams {
		b.divide(t, name, now)
		t.admitted = t.admitted[:0]
		t.use(int(math.Ceil(t.room)), now)
	}
}

// Heard takes in what teams ask of another VM, or of the VMs of a region.
func (b *Book) Heard(from sassafrastray.Source, r Report, now time.Time) {
	known := r.VMs
	if p := b.peers[from]; p != nil {
		known = max(known, p.known)
	}
	b.peers[from] = &peer{heard: now, Report: r, known: known}
}

// Forget drops a VM or region whose figures others tell now.
func (b *Book) Forget(from sassafrastray.Source) { delete(b.peers, from) }

// Idle tells whether callers are sent to this VM.
func (b *Book) Idle(idle bool) { b.idle = idle }

// Known tells of VMs that may admit requests, whether or not they were heard of.
func (b *Book) Known(from sassafrastray.Source, vms int) {
	if b.peers[from] == nil {
		b.peers[from] = &peer{}
	}
	b.peers[from].known = vms
}

// Tell returns what teams ask of this VM, for the next heartbeat.
func (b *Book) Tell(now time.Time) Uses {
	out := Uses{}
	for name, t := range b.teams {
		t.decay(now)
		t.forget(now, b.opt.Window)
		u := Use{Demand: float64(int(t.demand()*10)) / 10, Admitted: len(t.admitted)}
		if u != (Use{}) {
			out[name] = u
		}
	}
	b.told, b.short = out, false
	b.tells = append(b.tells, tell{now, out})
	return out
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
	t.forget(now, b.opt.Window)
	if now.Sub(t.shared) >= refresh {
		b.divide(t, name, now)
	}
	room := t.most()
	v := Verdict{Share: t.share, Age: t.age, Room: room, Used: len(t.admitted), Others: t.others}
	if told := b.told[name].Demand; t.demand() > max(grown*told, told+more) && float64(len(t.admitted)) >= nearly*float64(room) {
		b.short = true
	}
	if len(t.admitted) < room {
		t.admitted = append(t.admitted, now)
		v.OK = true
		return v
	}
	// The oldest requests leave the window first.
	v.Wait = t.admitted[len(t.admitted)-room].Add(b.opt.Window).Sub(now)
	if v.Wait <= longestDelay {
		t.admitted = append(t.admitted, now.Add(v.Wait))
		v.OK, v.Delay, v.Wait = true, v.Wait, 0
		return v
	}
	v.Wait = min(mostWait, max(leastWait, v.Wait))
	return v
}

// Short tells whether a team nears its part or was refused whose demand the
// others don't know yet, so that a heartbeat should go out at once.
func (b *Book) Short() bool { return b.short }

// Refund takes back the latest request, which reached no backend server.
func (b *Book) Refund(name sassafrastray.TeamName) {
	if t := b.teams[name]; t != nil && len(t.admitted) > 0 {
		t.admitted = t.admitted[:len(t.admitted)-1]
	}
}

// divide computes the VM's part of what the team may have.
func (b *Book) divide(t *team, name sassafrastray.TeamName, now time.Time) {
	t.shared, t.age = now, 0
	due := t.rate*b.opt.Window.Seconds() + t.burst
	most := (1+b.opt.Over-overlap)*due + reservePart*float64(b.opt.Reserve)
	own := min(t.demand(), b.confirmed(now)[name].Demand)
	all, others, heard, cut, busy := own, 0, 1, 0, 0
	if !b.idle {
		busy = 1
	}
	for from, p := range b.peers {
		switch age := now.Sub(p.heard); {
		case age <= silent:
			u := p.Uses[name]
			all += u.Demand
			others += u.Admitted
			heard += p.VMs
			busy += p.VMs - p.Idle
			cut += max(0, p.known-p.VMs)
			t.age = max(t.age, age)
		case age > forget && !p.heard.IsZero():
			delete(b.peers, from)
		default:
			cut += p.known
		}
	}
	if b.began.IsZero() {
		b.began = now
	}
	if now.Sub(b.began) < young {
		cut = max(cut, b.opt.Fleet-heard)
	}
	vms := float64(heard)
	part := evenPart / vms
	if assumed := slight; !b.idle || own > 0 {
		if b.idle {
			assumed = 0
		}
		part += (1 - evenPart) * (own + assumed) / (all + slight*float64(max(1, busy)))
	}
	reach := vms / (vms + float64(cut))
	t.share = reach * part
	t.others, t.calm = others, calmPart*most*reach
	t.spare = 0
	if !b.idle {
		t.spare = int(sparePart * float64(b.opt.Reserve) / float64(max(1, busy)+cut))
	}
	t.room = min(t.share*most, max(evenLeast*reach*most/vms, reach*most-float64(others)))
}

// most returns how many requests the VM may have admitted within the window.
func (t *team) most() int {
	n := max(1, int(t.room))
	if float64(t.others+len(t.admitted)) < t.calm {
		n += t.spare
	}
	return n
}

// confirmed returns the newest demand that was told before another VM spoke last:
// the others shrink their parts only once they have heard of it. A VM that a cut
// has parted from all others keeps to what they knew before.
func (b *Book) confirmed(now time.Time) Uses {
	var since time.Time
	for _, p := range b.peers {
		if now.Sub(p.heard) <= silent && p.heard.After(since) {
			since = p.heard
		}
	}
	if since.IsZero() {
		return b.told
	}
	n := 0
	for n+1 < len(b.tells) && !b.tells[n+1].at.After(since) {
		n++
	}
	b.tells = b.tells[n:]
	if len(b.tells) == 0 {
		return Uses{}
	}
	return b.tells[0].uses
}

// forget drops the requests that have left the window.
func (t *team) forget(now time.Time, window time.Duration) {
	n := 0
	for n < len(t.admitted) && now.Sub(t.admitted[n]) >= window {
		n++
	}
	t.admitted = append(t.admitted[:0], t.admitted[n:]...)
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

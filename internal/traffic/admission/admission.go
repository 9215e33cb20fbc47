// Package admission decides whether a VM sends a request to a backend server or refuses it
// at once, and when the caller of a refused request should return. It applies where the VMs
// of a region share what they see of their servers' load.
//
// In overload a queue makes every response late, so a request is refused if the queue alone
// would make it late, and otherwise at random with a probability that follows the load of
// all servers of the region. The package does no I/O and reads no clock. It responds to the
// estimates that it is given and to its own admissions, and to no other load.
package admission

import (
	"math/rand/v2"
	"time"

	"sassafrastray"
)

// Reasons for a refusal.
const (
	Deadline Reason = "deadline" // the response would come after the caller's deadline
	Late     Reason = "late"     // the response would come after the objective because of the queue
	Level    Reason = "level"    // the region's servers have no room for this share of the requests
)

const (
	// The factor constants scale the allowed wait and the admitted share: for priority 0,
	// for priority 1, and for all others.
	factorUrgent = 1.5
	factorNormal = 1.0
	factorLow    = 0.6

	// minAllowed is the least allowed wait, as a fraction of the objective. It is for
	// requests that can't meet the objective even without a wait, such as those for an
	// object that no server knows. With a quarter, objects don't spread to further servers
	// in overload, and fewer requests are served.
	minAllowed = 0.5

	// minRetryAfter and maxRetryAfter limit the time after which a refused request should
	// be retried.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second

	// patience is the fraction of the time left that callers wait at most before they
	// return.
	patience = 1.0 / 3

	// returnShare is the share of the admissions that is set aside for requests that
	// return. With a larger share, most responses in time go to requests that have already
	// waited for longer than their objective.
	returnShare = 1.0 / 3

	// maxPlaceGap is the longest time between two places. A VM that admits too few requests
	// for this keeps no places, since a longer gap would hold for long after the rate has
	// risen.
	maxPlaceGap = 10 * time.Second

	// maxCredit limits the number of places that are earned by earlier admissions. The rate
	// alone does not limit the places of a VM with few requests, since it is high for a
	// moment after each of them.
	maxCredit = 10
)

type (
	// Reason says why a request is refused.
	Reason string

	// Request holds the properties of a request that a decision depends on.
	Request struct {
		Service sassafrastray.ServiceName
		// Key is a hash of what distinguishes the request from most others, such as its
		// object. A request that returns has the same one.
		Key uint64
		// Priority is the request's urgency; 0 is the most urgent.
		Priority  int
		Objective time.Duration
		// TimeLeft is the time until the caller stops waiting.
		TimeLeft time.Duration
		// Admitted says that an earlier try of the request was admitted.
		Admitted bool
	}

	// Estimate is what is expected of the request at its best server.
	Estimate struct {
		// Wait is the time in the server's queue, Work the processing time, and Distance
		// the round trip.
		Wait, Work, Distance time.Duration
		// Region is the server's region, and RegionLoad the number of requests per slot
		// of the service's servers there, including the queued ones.
		Region     sassafrastray.RegionName
		RegionLoad float64
		// Guessed says that RegionLoad is a guess from the VM's own requests, since the VMs
		// of the region have not told each other yet what they see.
		Guessed bool
	}

	// Verdict is a decision.
	Verdict struct {
		Admit bool
		// RetryAfter and Reason are set if the request is refused. Place says that the
		// request is admitted when it returns after that time.
		RetryAfter time.Duration
		Reason     Reason
		Place      bool
		// Level is the share of the requests of priority 1 that is admitted. It is above
		// 1 if less urgent ones are admitted too.
		Level float64
	}

	// Gate decides for one VM. It is not safe for concurrent use.
	Gate struct {
		rng    *rand.Rand
		levels map[levelKey]*level
	}
)

// New returns a gate that admits everything until it learns of load.
func New(rng *rand.Rand) *Gate {
	return &Gate{rng: rng, levels: make(map[levelKey]*level)}
}

// Decide decides on a request.
func (g *Gate) Decide(r Request, e Estimate, now time.Time) Verdict {
	l := g.level(r.Service, e.Region, now)
	l.update(e.RegionLoad, now)
	place := -1
	if !r.Admitted {
		place = l.calendar.find(r.identity(now), now)
	}
	expected := r.Admitted || place >= 0
	limit := l.allowed(&r, &e, expected)
	switch {
	case !e.isAnswerable(r.TimeLeft) && !l.probe(&r, &e, now):
		return g.refuse(l, &r, Deadline, e.Distance+e.Wait+e.Work-r.TimeLeft, now)
	case e.Wait > limit:
		return g.refuse(l, &r, Late, e.Wait-limit, now)
	case !expected && e.Guessed && g.rng.Float64() >= guessedShare(e.RegionLoad)*factor(r.Priority):
		return g.refuse(l, &r, Level, e.drain(), now)
	case !expected && !e.isIdle() && g.rng.Float64() >= l.share*factor(r.Priority):
		return g.refuse(l, &r, Level, e.drain(), now)
	}
	if place >= 0 {
		l.calendar.remove(place)
	}
	l.count(now)
	return Verdict{Admit: true, Level: l.share}
}

func (g *Gate) level(s sassafrastray.ServiceName, region sassafrastray.RegionName, now time.Time) *level {
	k := levelKey{s, region}
	l := g.levels[k]
	if l == nil {
		l = &level{share: 1, createdAt: now, updatedAt: now, countedAt: now, probedAt: now}
		g.levels[k] = l
	}
	return l
}

// refuse returns the refusal of a request, with the time of a place if there is one while the
// caller waits. If there is none, the caller is told a time near the end of its wait, since
// the load is most likely to have changed then. drain is the time until the present queue
// has fallen to what is admitted.
func (g *Gate) refuse(l *level, r *Request, why Reason, drain time.Duration, now time.Time) Verdict {
	v := Verdict{Reason: why, Level: l.share}
	last := min(maxRetryAfter, time.Duration(patience*float64(r.TimeLeft)))
	first := max(minRetryAfter, drain)
	first += g.random(first / 2)
	if rate := returnShare * l.admissions(now); l.credit >= 1 && rate*maxPlaceGap.Seconds() >= 1 {
		gap := time.Duration(float64(time.Second) / rate)
		at, ok := l.calendar.add(now.Add(first), now.Add(last), gap, g.random(gap), r.identity(now))
		if ok {
			l.credit--
			v.Place, v.RetryAfter = true, at.Sub(now)
			return v
		}
	}
	earliest := max(minRetryAfter, last-last/3)
	v.RetryAfter = earliest + g.random(max(last-earliest, minRetryAfter/2))
	return v
}

func (r *Request) identity(now time.Time) identity {
	return identity{key: r.Key, deadline: now.Add(r.TimeLeft), priority: r.Priority}
}

// random returns a random time shorter than d.
func (g *Gate) random(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(g.rng.Int64N(int64(d)))
}

// isIdle reports whether the request takes a slot that no other request needs.
func (e *Estimate) isIdle() bool { return e.Wait <= 0 && e.RegionLoad < idleLoad }

// drain returns the time until the region's load has fallen to the target.
func (e *Estimate) drain() time.Duration {
	return time.Duration((e.RegionLoad - targetLoad) * float64(e.Work))
}

// isAnswerable reports whether the response can come within the time left. The expected work
// is an average, so a free server is tried unless not even half of it fits.
func (e *Estimate) isAnswerable(left time.Duration) bool {
	if e.isIdle() {
		return e.Distance+e.Work/2 <= left
	}
	return e.Distance+e.Wait+e.Work <= left
}

func factor(priority int) float64 {
	switch priority {
	case 0:
		return factorUrgent
	case 1:
		return factorNormal
	}
	return factorLow
}

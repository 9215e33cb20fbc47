package placement

import (
	"math"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// sampleSize is the number of random servers that are compared for a request without
	// an object. VMs that compared all servers would choose the same one at once.
	// More than two are worse in the model from 0.65 of the slots on.
	sampleSize = 2

	// spreadFraction is the spread of the choice among the servers that know an object, as
	// a fraction of the processing time: VMs with the same reports choose a server that
	// is later by this with about a third of the probability.
	spreadFraction = 0.1

	// learnBusy raises the cost of teaching a server an object when the region's servers
	// are full, as a multiple of the additional processing time. That cost is divided by
	// the runs of the object in learnHorizon, which the server then may take.
	learnBusy    = 1.0
	learnHorizon = time.Second

	// randomSize is the number of random servers that are considered beside the first two by
	// hash to teach a further server an object. For an object that no server knows they
	// made VMs teach more servers at once.
	randomSize = 2

	// learnStarts is the number of runs with which all VMs together teach a further server
	// an object, before they hear that it knows it. They hear of a run after hearTime.
	learnStarts = 1.5
	hearTime    = 600 * time.Millisecond

	// secondMargin is the fraction of the processing time by which the second of a new
	// object's servers must be better than the first one, and objectCost that which each
	// object that a server holds counts.
	secondMargin = 0.5
	objectCost   = 0.1
)

// candidates are the servers that may take a request for an object.
type candidates struct {
	// holders know the object. learner has its first run for this VM in progress; if
	// there are several, it is the first by hash. first and second are those of the others
	// that come first by hash, random are some more of them, and top is the first of all.
	holders             []*server
	learner             *server
	first, second       *server
	random              [randomSize]*server
	firstHash, nextHash uint64
	top                 *server
	learnerHash         uint64
	topHash             uint64
	considered          int
	array               [2 + randomSize]*server
}

// others returns the servers that may be taught the object, the preferred ones first.
func (c *candidates) others() []*server {
	list := append(c.array[:0], c.first)
	if c.second != nil {
		list = append(list, c.second)
	}
	for _, s := range c.random {
		if s != nil {
			list = append(list, s)
		}
	}
	return list
}

// rankShared ranks servers where the VMs of the region share what they see.
func (t *Table) rankShared(svc *service, list []*server, near sassafrastray.DomainName, r *Request, object uint64, now time.Time) ranking {
	if object == 0 {
		return t.rankSample(svc, list, r, now)
	}
	found := t.findCandidates(svc, list, near, r, object, now)
	if len(found.holders) == 0 && found.learner != nil {
		found.holders = append(found.holders, found.learner)
	}
	out := ranking{best: candidate{cost: math.MaxInt64}, next: candidate{cost: math.MaxInt64}, considered: found.considered}
	lowest := time.Duration(math.MaxInt64)
	for _, s := range found.holders {
		c := t.expect(svc, s, true, now)
		c.preferred = s == found.top
		score := c.cost + time.Duration(spreadFraction*float64(svc.warmWork)*math.Log(t.rng.ExpFloat64()))
		if score < lowest {
			lowest, out.best, out.next = score, c, out.best
		} else if c.cost < out.next.cost {
			out.next = c
		}
	}
	if c, score := t.expectNew(svc, &found, uint32(object), now); c.server != nil {
		if score < lowest {
			out.best, out.next = c, out.best
		} else if c.cost < out.next.cost {
			out.next = c
		}
	}
	return out
}

// expectNew returns the server to teach the object, and its expected time with the cost of
// learning spread over the runs that follow. It is the first by hash, unless another one is
// so much less loaded that VMs with different reports will agree on that.
func (t *Table) expectNew(svc *service, found *candidates, object uint32, now time.Time) (candidate, time.Duration) {
	if found.first == nil {
		return candidate{}, 0
	}
	learn := time.Duration(0)
	if len(found.holders) > 0 {
		rate := svc.perSecond(object, now)
		if t.rng.Float64() > min(1/float64(len(found.holders)+1), learnStarts/(rate*(svc.work(false)+hearTime).Seconds())) {
			return candidate{}, 0
		}
		busy := min(1, max(0, svc.nearLoad-penaltyRiseLoad)/(1-penaltyRiseLoad))
		runs := max(1, rate*learnHorizon.Seconds())
		learn = time.Duration(float64(svc.work(false)-svc.work(true)) * ((1+learnBusy*busy)/runs - 1))
	}
	best, lowest := candidate{}, time.Duration(math.MaxInt64)
	margin := time.Duration(secondMargin * float64(svc.warmWork))
	for i, s := range found.others() {
		c := t.expect(svc, s, false, now)
		c.preferred = s == found.top
		score := c.cost + time.Duration(objectCost*float64(svc.warmWork)*float64(len(s.objects)))
		if i > 0 {
			score += margin
		}
		if score < lowest {
			best, lowest = c, score
		}
	}
	return best, best.cost + learn
}

// findCandidates finds the servers that may take a request for an object. Those of the
// domain near come first, if it is not empty.
func (t *Table) findCandidates(svc *service, list []*server, near sassafrastray.DomainName, r *Request, object uint64, now time.Time) candidates {
	found := candidates{holders: t.scratch[:0]}
	id := uint32(object)
	for _, s := range list {
		if !t.mayTake(svc, s, r, now) {
			continue
		}
		found.considered++
		h := mix(object, s.hash) >> 1
		if near != "" && s.Domain == near {
			h |= 1 << 63
		}
		if found.top == nil || h > found.topHash {
			found.top, found.topHash = s, h
		}
		switch {
		case s.holds(id, svc.capacity):
			found.holders = append(found.holders, s)
		case slices.Contains(s.learning, id):
			if found.learner == nil || h > found.learnerHash {
				found.learner, found.learnerHash = s, h
			}
		case found.first == nil || h > found.firstHash:
			found.second, found.nextHash = found.first, found.firstHash
			found.first, found.firstHash = s, h
		case found.second == nil || h > found.nextHash:
			found.second, found.nextHash = s, h
		}
	}
	t.scratch = found.holders
	for i := range found.random {
		if len(found.holders) == 0 || found.second == nil {
			break
		}
		s := list[t.rng.IntN(len(list))]
		if (near == "" || s.Domain == near) && t.mayTake(svc, s, r, now) && !s.holds(id, svc.capacity) {
			found.random[i] = s
		}
	}
	return found
}

// rankSample ranks a few random servers of those that may take the request.
func (t *Table) rankSample(svc *service, list []*server, r *Request, now time.Time) ranking {
	usable := t.scratch[:0]
	for _, s := range list {
		if t.mayTake(svc, s, r, now) {
			usable = append(usable, s)
		}
	}
	t.scratch = usable
	out := ranking{best: candidate{cost: math.MaxInt64}, next: candidate{cost: math.MaxInt64}, considered: len(usable)}
	for i := range min(sampleSize, len(usable)) {
		j := i + t.rng.IntN(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]
		switch c := t.expect(svc, usable[i], true, now); {
		case c.cost < out.best.cost:
			out.best, out.next = c, out.best
		case c.cost < out.next.cost:
			out.next = c
		}
	}
	return out
}

// mayTake reports whether the server may get the request now.
func (t *Table) mayTake(svc *service, s *server, r *Request, now time.Time) bool {
	if !svc.allowsVersion(s, r) || !s.usable(now) || len(r.Exclude) > 0 && slices.Contains(r.Exclude, s.Name) {
		return false
	}
	if s.isCold(now) {
		_, ok := t.coldGap(s)
		return ok
	}
	return true
}

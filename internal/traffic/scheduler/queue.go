package scheduler

import (
	"math"
	"time"

	"sassafrastray"
)

type (
	// item is a waiting request.
	item struct {
		id         uint64
		team       *team
		route      sassafrastray.RouteName
		deadline   time.Time
		offeredAt  time.Time
		idempotent bool
		exclude    []sassafrastray.BackendName
		prev, next *item
	}

	// team is the queue of the requests of one team, in order of arrival. Its
	// tags are those of start-time fair queueing (SFQ), in units of request
	// cost divided by the weight.
	team struct {
		pool          *pool
		name          sassafrastray.TeamName
		weight        float64
		start         float64 // start tag of the first waiting request
		finish        float64 // finish tag of the last started request
		head, tail    *item
		queued        int
		startInterval mean      // mean time between starts while requests wait
		starts        int       // samples in startInterval
		lastStart     time.Time // zero if no request waited after the last start
		skipped       bool      // none of its waiting requests can use a free slot
	}
)

// team returns the queue of a team and creates it if necessary.
func (p *pool) team(name sassafrastray.TeamName, weight int) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{pool: p, name: name}
		p.teams[name] = t
		p.teamList = append(p.teamList, t)
	}
	t.weight = float64(max(1, weight))
	return t
}

// charge advances the tags for a request of t that starts.
func (p *pool) charge(t *team, cost float64) {
	if t.queued == 0 {
		t.start = max(p.virtualTime, t.finish)
	}
	p.virtualTime = max(p.virtualTime, t.start)
	t.finish = t.start + cost/t.weight
	t.start = t.finish
}

// push appends a request to the queue of its team.
func (p *pool) push(it *item) {
	t := it.team
	if t.queued == 0 {
		t.start = max(p.virtualTime, t.finish)
	}
	it.prev = t.tail
	if t.tail == nil {
		t.head = it
	} else {
		t.tail.next = it
	}
	t.tail = it
	t.queued++
	p.queued++
}

// remove removes a request from the queue of its team.
func (p *pool) remove(it *item) {
	t := it.team
	if it.prev == nil {
		t.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		t.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
	t.queued--
	p.queued--
}

// nextTeam returns the team with the lowest start tag among those that have waiting
// requests and are not skipped, or nil.
func (p *pool) nextTeam() *team {
	var best *team
	for _, t := range p.teamList {
		if t.queued == 0 || t.skipped {
			continue
		}
		if best == nil || t.start < best.start ||
			t.start == best.start && t.head.offeredAt.Before(best.head.offeredAt) {
			best = t
		}
	}
	return best
}

// longestQueue returns the team with the most waiting requests in relation to its
// weight.
func (p *pool) longestQueue() *team {
	var best *team
	for _, t := range p.teamList {
		if best == nil || float64(t.queued)*best.weight > float64(best.queued)*t.weight {
			best = t
		}
	}
	return best
}

// prune removes the teams that have no waiting requests and whose finish tag is not
// ahead of the virtual time.
func (p *pool) prune() {
	remaining := p.teamList[:0]
	for _, t := range p.teamList {
		if t.queued == 0 && t.finish <= p.virtualTime {
			delete(p.teams, t.name)
			continue
		}
		remaining = append(remaining, t)
	}
	clear(p.teamList[len(remaining):])
	p.teamList = remaining
}

// ahead estimates how many of the waiting requests start before a new one of t.
func (p *pool) ahead(t *team) int {
	n := t.queued
	turns := float64(t.queued + 1)
	for _, u := range p.teamList {
		if u != t && u.queued > 0 {
			n += min(u.queued, int(math.Ceil(turns*u.weight/t.weight)))
		}
	}
	return n
}

// started records the start of a waiting request of t. While more of its requests
// wait, the interval between starts gives the actual rate of the team, which
// depends on the demand of the other teams.
func (t *team) started(now time.Time) {
	if t.queued == 0 {
		t.startInterval, t.starts, t.lastStart = 0, 0, time.Time{}
		return
	}
	if !t.lastStart.IsZero() {
		t.startInterval = t.startInterval.add(now.Sub(t.lastStart))
		t.starts++
	}
	t.lastStart = now
}

// waitOf returns the expected time in the queue of a new request of t, 0 if no
// service time is known.
func (p *pool) waitOf(t *team, capacity int) time.Duration {
	wait := p.wait(p.ahead(t), capacity)
	if t.starts >= minStartSamples {
		wait = max(wait, time.Duration(t.queued+1)*time.Duration(t.startInterval))
	}
	return wait
}

// wait returns the expected time in the queue behind the given number of requests,
// 0 if no service time is known.
func (p *pool) wait(ahead, capacity int) time.Duration {
	return time.Duration(float64(ahead+1) * float64(p.serviceTime) / float64(max(1, capacity)))
}

// tooLong reports whether a wait exceeds the bound of a standing queue.
func (p *pool) tooLong(wait time.Duration, now time.Time) bool {
	return now.Sub(p.emptyAt) > maxBurstQueueAge && wait > maxStandingServiceTimes*time.Duration(p.serviceTime)
}

// dropReason returns why a waiting request can't be answered before its deadline,
// or ReasonOK.
func (p *pool) dropReason(it *item, now time.Time) sassafrastray.Reason {
	switch {
	case !now.Before(it.deadline):
		return sassafrastray.ReasonDeadline
	case now.Add(p.expected(it.route)).After(it.deadline):
		return sassafrastray.ReasonBusy
	}
	return sassafrastray.ReasonOK
}

package keeper

import (
	"math"
	"time"

	"sassafrastray"
)

type (
	// item is a request that waits.
	item struct {
		id         uint64
		team       *team
		route      sassafrastray.RouteName
		deadline   time.Time
		offered    time.Time
		idempotent bool
		exclude    []sassafrastray.BackendName
		prev, next *item
	}

	// team is the queue of one team's requests, in the order of arrival.
	// Its tags are those of start-time fair queueing, in costs of requests
	// divided by the weight.
	team struct {
		pool       *pool
		name       sassafrastray.TeamName
		weight     float64
		start      float64 // tag of the first waiting request
		finish     float64 // tag where the last started request ends
		head, tail *item
		queued     int
		every      mean      // time between starts while some wait
		starts     int       // in that mean
		last       time.Time // last such start, zero if none waited after it
		passed     bool      // nothing that waits can use a free slot
	}
)

// team returns the queue of a team, new if need be.
func (p *pool) team(name sassafrastray.TeamName, weight int) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{pool: p, name: name}
		p.teams[name] = t
		p.order = append(p.order, t)
	}
	t.weight = float64(max(1, weight))
	return t
}

// charge advances the tags for a request of t that starts.
func (p *pool) charge(t *team, cost float64) {
	if t.queued == 0 {
		t.start = max(p.virtual, t.finish)
	}
	p.virtual = max(p.virtual, t.start)
	t.finish = t.start + cost/t.weight
	t.start = t.finish
}

// push appends a request to its team's queue.
func (p *pool) push(it *item) {
	t := it.team
	if t.queued == 0 {
		t.start = max(p.virtual, t.finish)
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

// remove takes a request out of its team's queue.
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

// first returns the team whose turn it is among those that were not passed.
func (p *pool) first() *team {
	var best *team
	for _, t := range p.order {
		if t.queued == 0 || t.passed {
			continue
		}
		if best == nil || t.start < best.start ||
			t.start == best.start && t.head.offered.Before(best.head.offered) {
			best = t
		}
	}
	return best
}

// longest returns the team that has the most requests waiting for its weight.
func (p *pool) longest() *team {
	var best *team
	for _, t := range p.order {
		if best == nil || float64(t.queued)*best.weight > float64(best.queued)*t.weight {
			best = t
		}
	}
	return best
}

// prune forgets the teams that have nothing waiting and owe nothing.
func (p *pool) prune() {
	kept := p.order[:0]
	for _, t := range p.order {
		if t.queued == 0 && t.finish <= p.virtual {
			delete(p.teams, t.name)
			continue
		}
		kept = append(kept, t)
	}
	clear(p.order[len(kept):])
	p.order = kept
}

// ahead returns how many of the waiting requests start before a new one of t.
func (p *pool) ahead(t *team) int {
	n := t.queued
	turns := float64(t.queued + 1)
	for _, u := range p.order {
		if u != t && u.queued > 0 {
			n += min(u.queued, int(math.Ceil(turns*u.weight/t.weight)))
		}
	}
	return n
}

// started takes the start of a request of t that waited. While others of the
// team wait, the time between starts tells its true rate, which depends on how
// much the other teams ask for.
func (t *team) started(now time.Time) {
	if t.queued == 0 {
		t.every, t.starts, t.last = 0, 0, time.Time{}
		return
	}
	if !t.last.IsZero() {
		t.every = t.every.add(now.Sub(t.last))
		t.starts++
	}
	t.last = now
}

// waitOf returns the expected time in the queue of a new request of t, 0 if no
// service time is known.
func (p *pool) waitOf(t *team, capacity int) time.Duration {
	wait := p.wait(p.ahead(t), capacity)
	if t.starts >= measuredStarts {
		wait = max(wait, time.Duration(t.queued+1)*time.Duration(t.every))
	}
	return wait
}

// wait returns the expected time in the queue behind ahead requests, 0 if no
// service time is known.
func (p *pool) wait(ahead, capacity int) time.Duration {
	return time.Duration(float64(ahead+1) * float64(p.service) / float64(max(1, capacity)))
}

// tooLong reports whether a wait is too long for a queue that has lasted.
func (p *pool) tooLong(wait time.Duration, now time.Time) bool {
	return now.Sub(p.emptied) > standing && wait > standingWaits*time.Duration(p.service)
}

// hopeless returns why a waiting request can't be answered in time, or OK.
func (p *pool) hopeless(it *item, now time.Time) sassafrastray.Reason {
	switch {
	case !now.Before(it.deadline):
		return sassafrastray.ReasonDeadline
	case now.Add(p.expected(it.route)).After(it.deadline):
		return sassafrastray.ReasonBusy
	}
	return sassafrastray.ReasonOK
}

package scheduler

import (
	"fmt"
	"slices"
	"time"

	"sassafrastray"
)

// Offer requests a slot. If a slot is free, the request is dispatched even if its
// estimated service time exceeds the deadline, so that estimates are updated.
func (s *Scheduler) Offer(r Request, now time.Time) Outcome {
	s.requireUnusedID(r.ID)
	if !now.Before(r.Deadline) {
		return Outcome{Kind: Refused, Reason: sassafrastray.ReasonDeadline}
	}
	p := s.pools[poolKey{r.Service, r.Version}]
	if p == nil || !p.reachable(r.Exclude) {
		return Outcome{Kind: Refused, Reason: s.unavailableReason()}
	}
	if b := s.pick(p, r.Idempotent, r.Exclude, now); b != nil && (p.queued == 0 || !s.canStartQueued(p, now)) {
		p.charge(p.team(r.Team, r.Weight), p.cost(r.Route))
		s.dispatch(r.ID, p, b, r.Route, now)
		return Outcome{Kind: Dispatched, Backend: b.name, Reason: sassafrastray.ReasonOK}
	}
	return s.enqueue(p, r, now)
}

// requireUnusedID panics if a request with the ID is waiting or in flight.
func (s *Scheduler) requireUnusedID(id uint64) {
	_, running := s.inFlight[id]
	_, waiting := s.queued[id]
	if running || waiting {
		panic(fmt.Sprintf("scheduler: request ID %d is already in use", id))
	}
}

// reachable reports whether any backend server that is not excluded may receive
// requests.
func (p *pool) reachable(exclude []sassafrastray.BackendName) bool {
	for _, b := range p.backends {
		if b.open() && !excluded(b.name, exclude) {
			return true
		}
	}
	return false
}

// enqueue queues a request if it can be answered before its deadline and the
// queue is not full. If the queue of all teams is full, the last request of the
// team with the longest queue for its weight is dropped instead.
func (s *Scheduler) enqueue(p *pool, r Request, now time.Time) Outcome {
	capacity := s.capacity(p)
	t := p.team(r.Team, r.Weight)
	wait := p.waitOf(t, capacity)
	busy := Outcome{Kind: Refused, Reason: sassafrastray.ReasonBusy, Wait: wait}
	if capacity == 0 || t.queued >= s.opt.MaxTeamQueue {
		return busy
	}
	if r.MaxWait > 0 && wait > r.MaxWait || p.tooLong(wait, now) {
		return busy
	}
	if now.Add(wait + p.expected(r.Route)).After(r.Deadline) {
		return busy
	}
	if p.queued >= s.opt.MaxTotalQueue {
		l := p.longestQueue()
		if float64(t.queued+1)*l.weight >= float64(l.queued)*t.weight {
			return busy
		}
		s.drop(l.tail, sassafrastray.ReasonBusy)
	}
	it := &item{
		id: r.ID, team: t, route: r.Route, deadline: r.Deadline, offeredAt: now,
		idempotent: r.Idempotent, exclude: r.Exclude,
	}
	p.push(it)
	s.queued[r.ID] = it
	return Outcome{Kind: Queued, Reason: sassafrastray.ReasonOK, Wait: wait}
}

// dispatch occupies a slot of b for the request.
func (s *Scheduler) dispatch(id uint64, p *pool, b *backend, route sassafrastray.RouteName, now time.Time) {
	b.occupy(now)
	s.share.used++
	s.inFlight[id] = flight{backend: b, pool: p, route: route, started: now}
}

// Done ends a dispatched request, frees its slot and returns the requests that
// start now. The slice is valid until the next call. An ID that is not in flight
// is ignored, so that no slot is freed twice.
func (s *Scheduler) Done(id uint64, e End, now time.Time) []Start {
	s.starts = s.starts[:0]
	f, ok := s.inFlight[id]
	if !ok {
		return nil
	}
	delete(s.inFlight, id)
	s.share.used--
	f.backend.end(e, f.started, now, s.opt, s.rng)
	f.pool.measure(f.route, e, f.started, now)
	if s.share.bounded {
		s.fillAll(now)
	} else {
		s.fill(f.pool, now)
	}
	return s.starts
}

// Cancel removes a waiting request, which no later call returns, and returns the
// requests that start now. A request in flight keeps its slot until Done, because
// the backend server may still be working on it.
func (s *Scheduler) Cancel(id uint64, now time.Time) []Start {
	s.starts = s.starts[:0]
	it := s.queued[id]
	if it == nil {
		s.drops = slices.DeleteFunc(s.drops, func(d Drop) bool { return d.ID == id })
		return nil
	}
	p := it.team.pool
	p.remove(it)
	delete(s.queued, id)
	s.fill(p, now)
	return s.starts
}

// fillAll starts waiting requests in all pools. A different pool goes first each
// time, because the pools share the slots of the region.
func (s *Scheduler) fillAll(now time.Time) {
	n := len(s.poolList)
	if n == 0 {
		return
	}
	s.firstPool = (s.firstPool + 1) % n
	for i := range n {
		s.fill(s.poolList[(s.firstPool+i)%n], now)
	}
}

// fill starts waiting requests of the pool while slots are free.
func (s *Scheduler) fill(p *pool, now time.Time) {
	for p.queued > 0 {
		it, b := s.next(p, now)
		if it == nil {
			return
		}
		p.charge(it.team, p.cost(it.route))
		p.remove(it)
		it.team.started(now)
		delete(s.queued, it.id)
		s.dispatch(it.id, p, b, it.route, now)
		s.starts = append(s.starts, Start{ID: it.id, Backend: b.name})
	}
}

// canStartQueued reports whether a waiting request could start now.
func (s *Scheduler) canStartQueued(p *pool, now time.Time) bool {
	it, _ := s.next(p, now)
	return it != nil
}

// next returns the waiting request that starts next and its backend server, or nil.
// A team none of whose requests may use the free backend servers is skipped.
func (s *Scheduler) next(p *pool, now time.Time) (*item, *backend) {
	best := s.pick(p, true, nil, now)
	if best == nil {
		return nil, nil
	}
	for _, t := range p.teamList {
		t.skipped = false
	}
	for t := p.nextTeam(); t != nil; t = p.nextTeam() {
		for it := t.head; it != nil; {
			following := it.next
			if reason := p.dropReason(it, now); reason != sassafrastray.ReasonOK {
				s.drop(it, reason)
			} else if len(it.exclude) == 0 && (it.idempotent || !best.down) {
				return it, best
			} else if b := s.pick(p, it.idempotent, it.exclude, now); b != nil {
				return it, b
			}
			it = following
		}
		t.skipped = true
	}
	return nil, nil
}

package keeper

import (
	"fmt"
	"slices"
	"time"

	"sassafrastray"
)

// Offer asks for a slot. A request that finds a free one is always dispatched,
// whatever the measured service time, so that measurements go on.
func (k *Keeper) Offer(r Request, now time.Time) Outcome {
	k.unique(r.ID)
	if !now.Before(r.Deadline) {
		return Outcome{Kind: Refused, Reason: sassafrastray.ReasonDeadline}
	}
	p := k.pools[poolKey{r.Service, r.Version}]
	if p == nil || !p.reachable(r.Exclude) {
		return Outcome{Kind: Refused, Reason: k.absent()}
	}
	if b := k.pick(p, r.Idempotent, r.Exclude, now); b != nil && (p.queued == 0 || !k.usable(p, now)) {
		p.charge(p.team(r.Team, r.Weight), p.cost(r.Route))
		k.dispatch(r.ID, p, b, r.Route, now)
		return Outcome{Kind: Dispatch, Backend: b.name, Reason: sassafrastray.ReasonOK}
	}
	return k.enqueue(p, r, now)
}

// unique checks that the id is not in use.
func (k *Keeper) unique(id uint64) {
	_, flying := k.flights[id]
	_, waiting := k.queued[id]
	if flying || waiting {
		panic(fmt.Sprintf("keeper: request %d is offered twice", id))
	}
}

// reachable reports whether some backend server may serve a request.
func (p *pool) reachable(exclude []sassafrastray.BackendName) bool {
	for _, b := range p.backends {
		if b.open() && !excluded(b.name, exclude) {
			return true
		}
	}
	return false
}

// enqueue lets a request wait if it can be answered in time and there is room.
// If all the room is taken, the team with the most waiting gives way.
func (k *Keeper) enqueue(p *pool, r Request, now time.Time) Outcome {
	capacity := k.capacity(p)
	t := p.team(r.Team, r.Weight)
	wait := p.waitOf(t, capacity)
	busy := Outcome{Kind: Refused, Reason: sassafrastray.ReasonBusy, Wait: wait}
	if capacity == 0 || t.queued >= k.opt.TeamQueue {
		return busy
	}
	if r.Patience > 0 && wait > r.Patience || p.tooLong(wait, now) {
		return busy
	}
	if now.Add(wait + p.expected(r.Route)).After(r.Deadline) {
		return busy
	}
	if p.queued >= k.opt.TotalQueue {
		l := p.longest()
		if float64(t.queued+1)*l.weight >= float64(l.queued)*t.weight {
			return busy
		}
		k.drop(l.tail, sassafrastray.ReasonBusy)
	}
	it := &item{
		id: r.ID, team: t, route: r.Route, deadline: r.Deadline, offered: now,
		idempotent: r.Idempotent, exclude: r.Exclude,
	}
	p.push(it)
	k.queued[r.ID] = it
	return Outcome{Kind: Queued, Reason: sassafrastray.ReasonOK, Wait: wait}
}

// dispatch occupies a slot.
func (k *Keeper) dispatch(id uint64, p *pool, b *backend, route sassafrastray.RouteName, now time.Time) {
	b.occupy(now)
	k.share.used++
	k.flights[id] = flight{backend: b, pool: p, route: route, started: now}
}

// Done ends a dispatched request, frees its slot and returns the requests that
// start now. The slice is valid until the next call. An id that is not in
// flight is ignored, so that a slot is freed once.
func (k *Keeper) Done(id uint64, e End, now time.Time) []Start {
	k.starts = k.starts[:0]
	f, ok := k.flights[id]
	if !ok {
		return nil
	}
	delete(k.flights, id)
	k.share.used--
	f.backend.end(e, f.started, now, k.opt, k.rng)
	f.pool.measure(f.route, e, f.started, now)
	if k.share.bounded {
		k.fillAll(now)
	} else {
		k.fill(f.pool, now)
	}
	return k.starts
}

// Cancel ends a request that waits; no later call names it. One in flight keeps its slot until Done,
// because the backend server may still be working on it.
func (k *Keeper) Cancel(id uint64, now time.Time) []Start {
	k.starts = k.starts[:0]
	it := k.queued[id]
	if it == nil {
		k.drops = slices.DeleteFunc(k.drops, func(d Drop) bool { return d.ID == id })
		return nil
	}
	p := it.team.pool
	p.remove(it)
	delete(k.queued, id)
	k.fill(p, now)
	return k.starts
}

// fillAll starts what can start in all pools. They take turns in going first,
// because they share the region's slots.
func (k *Keeper) fillAll(now time.Time) {
	n := len(k.order)
	if n == 0 {
		return
	}
	k.turn = (k.turn + 1) % n
	for i := range n {
		k.fill(k.order[(k.turn+i)%n], now)
	}
}

// fill starts waiting requests of the pool while there are slots for them.
func (k *Keeper) fill(p *pool, now time.Time) {
	for p.queued > 0 {
		it, b := k.next(p, now)
		if it == nil {
			return
		}
		p.charge(it.team, p.cost(it.route))
		p.remove(it)
		it.team.started(now)
		delete(k.queued, it.id)
		k.dispatch(it.id, p, b, it.route, now)
		k.starts = append(k.starts, Start{ID: it.id, Backend: b.name})
	}
}

// usable reports whether a waiting request could start now.
func (k *Keeper) usable(p *pool, now time.Time) bool {
	it, _ := k.next(p, now)
	return it != nil
}

// next returns the request that starts next and its backend server, or nil.
// A team whose requests can't go to the free backend servers is passed over.
func (k *Keeper) next(p *pool, now time.Time) (*item, *backend) {
	best := k.pick(p, true, nil, now)
	if best == nil {
		return nil, nil
	}
	for _, t := range p.order {
		t.passed = false
	}
	for t := p.first(); t != nil; t = p.first() {
		for it := t.head; it != nil; {
			following := it.next
			if reason := p.hopeless(it, now); reason != sassafrastray.ReasonOK {
				k.drop(it, reason)
			} else if len(it.exclude) == 0 && (it.idempotent || !best.down) {
				return it, best
			} else if b := k.pick(p, it.idempotent, it.exclude, now); b != nil {
				return it, b
			}
			it = following
		}
		t.passed = true
	}
	return nil, nil
}

package entry

import (
	"sync"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/scheduler"
)

type (
	// Gate lets traffic and the control loop share the VM's Keeper, and wakes
	// requests that wait in its queue.
	Gate struct {
		clock sassafrastray.Clock

		mu      sync.Mutex
		keeper  *scheduler.Scheduler
		next    uint64
		waiting map[uint64]chan turn
	}

	// turn ends a request's wait: with a backend server, or with the reason
	// for which it was dropped.
	turn struct {
		backend sassafrastray.BackendName
		reason  sassafrastray.Reason
	}

	// ticket is one request's claim on a slot.
	ticket struct {
		id      uint64
		outcome scheduler.Outcome
		turn    <-chan turn
	}
)

// NewGate returns a Gate over the keeper, which it owns from now on.
func NewGate(clock sassafrastray.Clock, k *scheduler.Scheduler) *Gate {
	return &Gate{clock: clock, keeper: k, waiting: make(map[uint64]chan turn)}
}

// Do runs f with the keeper. The requests that f's call starts or drops must
// be returned by f.
func (g *Gate) Do(f func(k *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	starts, drops := f(g.keeper, g.clock.Now())
	g.wake(starts)
	for _, d := range drops {
		g.signal(d.ID, turn{reason: d.Reason})
	}
}

// offer asks for a slot. The request's id is filled in.
func (g *Gate) offer(r scheduler.Request) ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	r.ID = g.next
	t := ticket{id: r.ID}
	t.outcome = g.keeper.Offer(r, g.clock.Now())
	if t.outcome.Kind == scheduler.Queued {
		ch := make(chan turn, 1)
		g.waiting[r.ID] = ch
		t.turn = ch
	}
	return t
}

// done frees a slot.
func (g *Gate) done(id uint64, e scheduler.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.keeper.Done(id, e, g.clock.Now()))
}

// cancel gives up a wait. The request may have got its slot at the same
// moment; then the slot is freed.
func (g *Gate) cancel(t ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if g.waiting[t.id] != nil {
		delete(g.waiting, t.id)
		g.wake(g.keeper.Cancel(t.id, now))
		return
	}
	g.wake(g.keeper.Done(t.id, scheduler.End{Kind: scheduler.NotSent}, now))
}

func (g *Gate) wake(starts []scheduler.Start) {
	for _, s := range starts {
		g.signal(s.ID, turn{backend: s.Backend, reason: sassafrastray.ReasonOK})
	}
}

func (g *Gate) signal(id uint64, t turn) {
	ch := g.waiting[id]
	if ch == nil {
		return
	}
	delete(g.waiting, id)
	ch <- t
}

// Load returns the load of the backend servers that the VM keeps.
func (g *Gate) Load() []scheduler.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keeper.Load()
}

package entry

import (
	"sync"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/scheduler"
)

type (
	// SlotQueue guards the VM's Scheduler, which traffic and the control loop
	// share, and wakes the requests that wait in its queue for a slot. It is
	// safe for concurrent use.
	SlotQueue struct {
		clock sassafrastray.Clock

		mu        sync.Mutex // guards the fields below
		scheduler *scheduler.Scheduler
		lastID    uint64
		waiting   map[uint64]chan waitResult
	}

	// waitResult is how a request's wait ended: with a slot at a backend
	// server, or with the reason for which the request was dropped.
	waitResult struct {
		backend sassafrastray.BackendName
		reason  sassafrastray.Reason
	}

	// ticket is one request's slot, or its place in the queue for one.
	ticket struct {
		id      uint64
		outcome scheduler.Outcome
		result  <-chan waitResult
	}
)

// NewSlotQueue returns a SlotQueue that takes ownership of the scheduler.
func NewSlotQueue(clock sassafrastray.Clock, s *scheduler.Scheduler) *SlotQueue {
	return &SlotQueue{clock: clock, scheduler: s, waiting: make(map[uint64]chan waitResult)}
}

// Do calls f with the scheduler while it holds the lock. The function must return
// the requests that its calls of the scheduler started or dropped.
func (q *SlotQueue) Do(f func(s *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	starts, drops := f(q.scheduler, q.clock.Now())
	q.wake(starts)
	for _, d := range drops {
		q.signal(d.ID, waitResult{reason: d.Reason})
	}
}

// acquire asks the scheduler for a slot. It assigns the request's ID.
func (q *SlotQueue) acquire(r scheduler.Request) ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	r.ID = q.lastID
	t := ticket{id: r.ID}
	t.outcome = q.scheduler.Offer(r, q.clock.Now())
	if t.outcome.Kind == scheduler.Queued {
		ch := make(chan waitResult, 1)
		q.waiting[r.ID] = ch
		t.result = ch
	}
	return t
}

// release frees a slot and tells the scheduler how its request ended.
func (q *SlotQueue) release(id uint64, e scheduler.End) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake(q.scheduler.Done(id, e, q.clock.Now()))
}

// cancel ends a wait. If the request was given a slot concurrently, the slot is
// freed.
func (q *SlotQueue) cancel(t ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if q.waiting[t.id] != nil {
		delete(q.waiting, t.id)
		q.wake(q.scheduler.Cancel(t.id, now))
		return
	}
	q.wake(q.scheduler.Done(t.id, scheduler.End{Kind: scheduler.NotSent}, now))
}

func (q *SlotQueue) wake(starts []scheduler.Start) {
	for _, s := range starts {
		q.signal(s.ID, waitResult{backend: s.Backend, reason: sassafrastray.ReasonOK})
	}
}

func (q *SlotQueue) signal(id uint64, r waitResult) {
	ch := q.waiting[id]
	if ch == nil {
		return
	}
	delete(q.waiting, id)
	ch <- r
}

// Load returns the load of the backend servers that the VM owns.
func (q *SlotQueue) Load() []scheduler.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Load()
}

package edge

import (
	"sync"
	"time"

	"sassafrastray"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/retry"
)

// These let traffic and the control goroutine share what decides.
type (
	places struct {
		clock sassafrastray.Clock
		mu    sync.Mutex
		table *placement.Table
	}

	quotas struct {
		clock sassafrastray.Clock
		mu    sync.Mutex
		book  *ratelimit.Limiter
	}

	retries struct {
		clock  sassafrastray.Clock
		mu     sync.Mutex
		policy *retry.Policy
	}

	rollouts struct {
		clock sassafrastray.Clock
		mu    sync.Mutex
		desk  *rollout.Tracker
	}
)

// Pick chooses the server for a request.
func (p *places) Pick(r placement.Request) (placement.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Pick(r, p.clock.Now())
}

// Done gives the place at the server back.
func (p *places) Done(c placement.Choice, e placement.End, took time.Duration, load *sassafrastray.BackendLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Done(c, e, took, load, p.clock.Now())
}

func (p *places) do(f func(t *placement.Table, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.table, p.clock.Now())
}

// tick moves time on and returns what happened to servers since the last tick.
func (p *places) tick() (events []placement.Event) {
	p.do(func(t *placement.Table, now time.Time) {
		t.Tick(now)
		events = t.Events()
	})
	return events
}

// Take admits a request of the team, or tells when it would be.
func (q *quotas) Take(team sassafrastray.TeamName) ratelimit.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.book.Take(team, q.clock.Now())
}

// Refund gives back the token of a request that reached no backend server.
func (q *quotas) Refund(team sassafrastray.TeamName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.book.Refund(team)
}

func (q *quotas) do(f func(b *ratelimit.Limiter, now time.Time)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q.book, q.clock.Now())
}

func (q *quotas) short() (short bool) {
	q.do(func(b *ratelimit.Limiter, _ time.Time) { short = b.NeedsHeartbeat() })
	return short
}

func (q *quotas) suspended() { q.do(func(b *ratelimit.Limiter, now time.Time) { b.HandlePause(now) }) }

// Request counts a request that is tried for the first time.
func (r *retries) Request(s sassafrastray.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Request(s)
}

func (r *retries) bound(reserve float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.SetReserve(reserve)
}

// Affords reports whether the service's budget has a token for a retry.
func (r *retries) Affords(s sassafrastray.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Affords(s)
}

// Next decides what follows a try that ended.
func (r *retries) Next(a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Next(a, r.clock.Now())
}

// ChooseVersion returns the version that the next request of the service goes to.
func (r *rollouts) ChooseVersion(s sassafrastray.ServiceName) (only, except sassafrastray.VersionName, narrow bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.desk.SelectVersion(s)
}

// Observe counts how a request ended on a version.
func (r *rollouts) Observe(s sassafrastray.ServiceName, name sassafrastray.RouteName, v sassafrastray.VersionName, e rollout.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desk.Observe(s, name, v, e)
}

func (r *rollouts) do(f func(d *rollout.Tracker, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.desk, r.clock.Now())
}

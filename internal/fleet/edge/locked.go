package edge

import (
	"net/netip"
	"sync"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/quarantine"
	"sassafrastray/internal/traffic/report"
	"sassafrastray/internal/traffic/retry"
)

// These wrappers let request handlers and the control goroutine share components
// that are not safe for concurrent use.
type (
	lockedPlacement struct {
		clock sassafrastray.Clock
		mu    sync.Mutex
		table *placement.Table
	}

	lockedLimiter struct {
		clock   sassafrastray.Clock
		mu      sync.Mutex
		limiter *ratelimit.Limiter
		// ask asks another VM for a token of a team's quota.
		ask func(to netip.AddrPort, team sassafrastray.TeamName) (gossip.Token, error)
	}

	lockedRetries struct {
		clock  sassafrastray.Clock
		mu     sync.Mutex
		policy *retry.Policy
	}

	lockedQuarantine struct {
		clock sassafrastray.Clock
		mu    sync.Mutex
		table *quarantine.Table
	}

	lockedRollouts struct {
		clock   sassafrastray.Clock
		mu      sync.Mutex
		tracker *rollout.Tracker
	}
)

// Pick chooses the server for a request.
func (p *lockedPlacement) Pick(r placement.Request) (placement.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Pick(r, p.clock.Now())
}

// Done releases the place at the server.
func (p *lockedPlacement) Done(c placement.Choice, e placement.End, took time.Duration, load *sassafrastray.BackendLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Done(c, e, took, load, p.clock.Now())
}

// Takes reports whether the choice's server may still get the request.
func (p *lockedPlacement) Takes(c placement.Choice) (takes bool) {
	p.do(func(t *placement.Table, now time.Time) { takes = t.Takes(c, now) })
	return takes
}

// Named returns a choice of the server with a name, which is not counted there.
func (p *lockedPlacement) Named(name sassafrastray.BackendName) (c placement.Choice) {
	p.do(func(t *placement.Table, _ time.Time) { c = t.Named(name) })
	return c
}

// SetLimit records the limit that the choice's server named.
func (p *lockedPlacement) SetLimit(c placement.Choice, perSecond float64) {
	p.do(func(t *placement.Table, now time.Time) { t.SetLimit(c, perSecond, now) })
}

// EndLimit records that the choice's server named no limit.
func (p *lockedPlacement) EndLimit(c placement.Choice) {
	p.do(func(t *placement.Table, now time.Time) { t.EndLimit(c, now) })
}

// SetLeaving records that the choice's server said that it leaves.
func (p *lockedPlacement) SetLeaving(c placement.Choice) {
	p.do(func(t *placement.Table, _ time.Time) { t.SetLeaving(c) })
}

// SetPause records that the choice's server wants no requests for a time.
func (p *lockedPlacement) SetPause(c placement.Choice, d time.Duration) {
	p.do(func(t *placement.Table, now time.Time) { t.SetPause(c, d, now) })
}

// SetShared sets whether the VMs of the region share their reports of runs.
func (p *lockedPlacement) SetShared(shared bool) {
	p.do(func(t *placement.Table, _ time.Time) { t.SetShared(shared) })
}

// RunReports returns the latest runs that this VM saw, at most limit of them.
func (p *lockedPlacement) RunReports(limit int) (runs []report.Run) {
	p.do(func(t *placement.Table, now time.Time) { runs = t.RunReports(limit, now) })
	return runs
}

// ReceiveRuns records runs that another VM of the region saw.
func (p *lockedPlacement) ReceiveRuns(runs []report.Run) {
	p.do(func(t *placement.Table, now time.Time) { t.ReceiveRuns(runs, now) })
}

func (p *lockedPlacement) do(f func(t *placement.Table, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.table, p.clock.Now())
}

// tick adjusts the placement to the current time and returns the events of servers
// since the last tick. While the VM is partitioned from the servers its own load there
// says nothing.
func (p *lockedPlacement) tick(partitioned bool) (events []placement.Event) {
	p.do(func(t *placement.Table, now time.Time) {
		if !partitioned {
			t.Tick(now)
		}
		events = t.Events()
	})
	return events
}

// Take admits or refuses a request of the team, or asks the VM that may have a token.
func (q *lockedLimiter) Take(team sassafrastray.TeamName) (v ratelimit.Verdict) {
	q.do(func(l *ratelimit.Limiter, now time.Time) { v = l.Take(team, now) })
	return q.askHolder(team, v)
}

// Claim takes the token of a request that has waited for the delay of its verdict.
func (q *lockedLimiter) Claim(team sassafrastray.TeamName, v ratelimit.Verdict) ratelimit.Verdict {
	q.do(func(l *ratelimit.Limiter, now time.Time) { v = l.Claim(team, v, now) })
	return q.askHolder(team, v)
}

// TakeAgain takes a token for a further try of a request that may have run.
func (q *lockedLimiter) TakeAgain(team sassafrastray.TeamName) (v ratelimit.Verdict) {
	q.do(func(l *ratelimit.Limiter, now time.Time) { v = l.TakeAgain(team, now) })
	return v
}

// maxQuestions is the number of VMs that are asked for a token of one request.
const maxQuestions = 2

// askHolder asks the VMs that may have a token for a refused request. A token that comes
// too late is void.
func (q *lockedLimiter) askHolder(team sassafrastray.TeamName, v ratelimit.Verdict) ratelimit.Verdict {
	began := q.clock.Now()
	next := v.Holder
	for i := 0; i < maxQuestions && !v.OK && next.IsValid(); i++ {
		v.Holder = next
		asked := q.clock.Now()
		t, err := q.ask(v.Holder, team)
		q.do(func(l *ratelimit.Limiter, now time.Time) {
			v.Asked = now.Sub(began)
			switch {
			case err == nil && t.OK && now.Sub(asked) < ratelimit.GrantTime:
				l.Granted(team)
				v.OK, v.Wait = true, 0
			case err == nil && !t.OK:
				next = l.NotGranted(team, v.Holder, max(1, t.Wait), now)
				v.Wait = max(v.Wait, t.Wait)
			default:
				l.NotGranted(team, v.Holder, 0, now)
				next = netip.AddrPort{}
			}
		})
	}
	return v
}

// Refund returns the token of a request that reached no backend server.
func (q *lockedLimiter) Refund(team sassafrastray.TeamName, v ratelimit.Verdict) {
	q.do(func(l *ratelimit.Limiter, now time.Time) { l.Refund(team, v, now) })
}

func (q *lockedLimiter) do(f func(l *ratelimit.Limiter, now time.Time)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q.limiter, q.clock.Now())
}

func (q *lockedLimiter) needsHeartbeat() (needed bool) {
	q.do(func(l *ratelimit.Limiter, _ time.Time) { needed = l.NeedsHeartbeat() })
	return needed
}

func (q *lockedLimiter) setFleetKnown() {
	q.do(func(l *ratelimit.Limiter, now time.Time) { l.SetFleetKnown(now) })
}

func (q *lockedLimiter) handlePause() {
	q.do(func(l *ratelimit.Limiter, now time.Time) { l.HandlePause(now) })
}

// CountRequest counts the first attempt of a request.
func (r *lockedRetries) CountRequest(s sassafrastray.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.CountRequest(s)
}

func (r *lockedRetries) setReserve(reserve float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.SetReserve(reserve)
}

// HasToken reports whether the service's budget has a token for a retry.
func (r *lockedRetries) HasToken(s sassafrastray.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.HasToken(s)
}

// Next decides what follows a finished attempt.
func (r *lockedRetries) Next(a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Next(a, r.clock.Now())
}

// Watches reports whether the fingerprints of the service's requests are needed.
func (q *lockedQuarantine) Watches(s sassafrastray.ServiceName) (watches bool) {
	q.do(func(t *quarantine.Table, _ time.Time) { watches = t.Watches(s) })
	return watches
}

// Check says whether a request may be sent.
func (q *lockedQuarantine) Check(f quarantine.Fingerprint) (v quarantine.Verdict) {
	q.do(func(t *quarantine.Table, now time.Time) { v = t.Check(f, now) })
	return v
}

// Crashes returns how many servers crashed with the request present since it was last
// answered.
func (q *lockedQuarantine) Crashes(f quarantine.Fingerprint) (n int) {
	q.do(func(t *quarantine.Table, _ time.Time) { n = t.Crashes(f) })
	return n
}

// Crash records that a backend server crashed while it had the request.
func (q *lockedQuarantine) Crash(b *sassafrastray.BackendServer, f quarantine.Fingerprint) {
	q.do(func(t *quarantine.Table, now time.Time) { t.Crash(b, f, now) })
}

// Answered records that a backend server answered the request, in an attempt that started
// age ago.
func (q *lockedQuarantine) Answered(s sassafrastray.ServiceName, f quarantine.Fingerprint, age time.Duration) {
	q.do(func(t *quarantine.Table, now time.Time) { t.Answered(s, f, now.Add(-age), now) })
}

// tick forgets what is old, and returns the events since the last tick, the number of
// requests in quarantine and whether the other VMs should hear of a change at once.
func (q *lockedQuarantine) tick() (events []quarantine.Event, active int, news bool) {
	q.do(func(t *quarantine.Table, now time.Time) {
		t.Tick(now)
		events, active, news = t.Events(), t.Active(), t.NeedsReport()
	})
	return events, active, news
}

func (q *lockedQuarantine) do(f func(t *quarantine.Table, now time.Time)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q.table, q.clock.Now())
}

// ChooseVersion returns the constraint on the version of the service's next request.
func (r *lockedRollouts) ChooseVersion(s sassafrastray.ServiceName) (only, except sassafrastray.VersionName, narrow bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.SelectVersion(s)
}

// Observe counts the outcome of a request to a version.
func (r *lockedRollouts) Observe(s sassafrastray.ServiceName, name sassafrastray.RouteName, v sassafrastray.VersionName, e rollout.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Observe(s, name, v, e)
}

func (r *lockedRollouts) do(f func(t *rollout.Tracker, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.tracker, r.clock.Now())
}

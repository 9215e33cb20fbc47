// Package ingress handles the requests of callers where routes choose among
// services by host and path. It finds the team and the route of a request,
// admits it, sends it directly to a backend server that placement chooses,
// retries where that is allowed, and passes the response on.
package ingress

import (
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"sassafrastray"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/limit/usage"
	"sassafrastray/internal/operator/apikey"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/disconnect"
	"sassafrastray/internal/traffic/entry"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/quarantine"
	"sassafrastray/internal/traffic/retry"
	"sassafrastray/internal/traffic/route"
	"sassafrastray/internal/traffic/upstream"
)

type (
	// Snapshot is the state of the VM that requests are handled with. It is
	// immutable.
	Snapshot struct {
		Config *sassafrastray.Config
		Hosts  *route.Hosts
		Keys   *apikey.Table
		Teams  map[sassafrastray.TeamName]*sassafrastray.Team
	}

	// Placement chooses backend servers. It is safe for concurrent use.
	Placement interface {
		Pick(r placement.Request) (placement.Choice, bool)
		Done(c placement.Choice, e placement.End, took time.Duration, load *sassafrastray.BackendLoad)
		// SetLimit and EndLimit record whether the choice's server named a limit, in
		// requests per second.
		SetLimit(c placement.Choice, perSecond float64)
		EndLimit(c placement.Choice)
		// Takes reports whether the choice's server may still get the request.
		Takes(c placement.Choice) bool
		// Named returns a choice of the server with a name, which is not counted as a
		// request there.
		Named(name sassafrastray.BackendName) placement.Choice
		// SetLeaving and SetPause record that the choice's server said that it leaves,
		// or that it wants no requests for a time.
		SetLeaving(c placement.Choice)
		SetPause(c placement.Choice, d time.Duration)
	}

	// Quotas admits requests within the rates of teams. It is safe for
	// concurrent use.
	Quotas interface {
		Take(team sassafrastray.TeamName) ratelimit.Verdict
		// Claim takes the token of an admitted request after the delay of its verdict.
		Claim(team sassafrastray.TeamName, v ratelimit.Verdict) ratelimit.Verdict
		// TakeAgain takes a token for a further try of a request that may have run, if
		// there is one at once.
		TakeAgain(team sassafrastray.TeamName) ratelimit.Verdict
		// Refund returns the token of a request that has not run.
		Refund(team sassafrastray.TeamName, v ratelimit.Verdict)
	}

	// Retries decides on further tries. It is safe for concurrent use.
	Retries interface {
		// CountRequest adds to the service's budget for a request's first try.
		CountRequest(s sassafrastray.ServiceName)
		// HasToken reports whether the service's budget has a token for a retry.
		HasToken(s sassafrastray.ServiceName) bool
		// Next decides whether another try follows the attempt.
		Next(a retry.Attempt) retry.Decision
	}

	// Rollouts chooses versions and counts how their requests end. It is safe
	// for concurrent use.
	Rollouts interface {
		// ChooseVersion returns the only version that a request of the service
		// may go to, or else one that it must not go to; an empty name is no
		// restriction. If narrow is true, the requests should be concentrated
		// on as few backend servers with free slots as possible.
		ChooseVersion(s sassafrastray.ServiceName) (only, except sassafrastray.VersionName, narrow bool)
		// Observe counts how a request ended on a version.
		Observe(s sassafrastray.ServiceName, r sassafrastray.RouteName, v sassafrastray.VersionName, e rollout.Outcome)
	}

	// Pauses detects that the process was paused. It is safe for concurrent use.
	Pauses interface {
		// Await returns the number of pauses so far, and waits right after one
		// until the VM's state is current again.
		Await() uint64
	}

	// Quarantine keeps requests away from backend servers that crash when they run
	// them. It is safe for concurrent use.
	Quarantine interface {
		// Watches reports whether the fingerprints of the service's requests are
		// needed.
		Watches(s sassafrastray.ServiceName) bool
		// Check says whether a request may be sent.
		Check(f quarantine.Fingerprint) quarantine.Verdict
		// Crashes returns how many servers crashed with the request present since it was
		// last answered.
		Crashes(f quarantine.Fingerprint) int
		// Crash and Answered record that a backend server crashed while it had the
		// request, or answered it in an attempt that started age ago.
		Crash(b *sassafrastray.BackendServer, f quarantine.Fingerprint)
		Answered(s sassafrastray.ServiceName, f quarantine.Fingerprint, age time.Duration)
	}

	// Usage counts the runs of teams' requests at backend servers. It is safe for
	// concurrent use.
	Usage interface {
		// Begin records that a request of a team is sent to a server, where it will begin
		// to run after delay.
		Begin(team sassafrastray.TeamName, delay time.Duration) usage.Run
		// End records that the request began to run age ago, or that it did not run.
		End(r usage.Run, age time.Duration, ran bool)
	}

	// Partition tells whether the VM reaches backend servers, and which other VMs can
	// serve its requests if it does not. It is safe for concurrent use.
	Partition interface {
		// Partitioned reports whether the VM is partitioned from all backend servers.
		Partitioned() bool
		// Helper chooses a VM that serves a request instead, in a region that the rules
		// allow. It returns false if the VM is not partitioned or there is none. The
		// caller must call Release when the request has ended.
		Helper(regions [2][]sassafrastray.RegionName, exclude []sassafrastray.VMName) (sassafrastray.VM, bool)
		Release(name sassafrastray.VMName)
		// Begin and End record that a request waits at a server, and whether it was
		// answered.
		Begin(expected time.Duration) uint64
		End(id uint64, answered bool)
		// HeardSince reports whether any server answered, or was reached, after a time.
		HeardSince(t time.Time) bool
		// Reaches reports whether the VM can open connections to other servers than the
		// one at an address. It may try to.
		Reaches(other netip.AddrPort) bool
	}

	// Splitter divides a route's requests among its services. It is safe for
	// concurrent use.
	Splitter interface {
		Next(r *sassafrastray.Route) sassafrastray.ServiceName
	}

	// Deps are the dependencies of a Handler.
	Deps struct {
		Clock   sassafrastray.Clock
		Log     *slog.Logger
		Dialect sassafrastray.Dialect
		Region  sassafrastray.RegionName
		// Pool has the connections to backend servers, Relays those to other VMs.
		Pool, Relays *upstream.Pool
		Partition    Partition
		Placement    Placement
		Quotas       Quotas
		Retries      Retries
		Rollouts     Rollouts
		Quarantine   Quarantine
		Splits       Splitter
		Disconnects  *disconnect.Watcher
		Metrics      *entry.Metrics
		Pauses       Pauses
		// Usage is nil if the runs are not counted.
		Usage Usage
		// Memory is the VM's memory in bytes, and LinkBytesPerSecond the capacity
		// of its network link. Zero means unknown.
		Memory             int64
		LinkBytesPerSecond float64
		// Cores is the VM's capacity in processor cores. Zero means unknown.
		Cores float64
		// ConfigAge returns how long ago the configuration in force was last known to be
		// the latest one. When that is longer than MaxConfigAge, the VM denies no request
		// by it. A MaxConfigAge of zero means no limit.
		ConfigAge    func() time.Duration
		MaxConfigAge time.Duration
	}

	// Handler handles the requests of callers.
	Handler struct {
		Deps
		snap atomic.Pointer[Snapshot]
		// active is the number of requests in progress, relayed that of those which
		// other VMs relay to this one.
		active, relayed atomic.Int64
		// leavingUntil is when the VM stops, if it is stopping.
		leavingUntil atomic.Pointer[time.Time]
		// behind is set while another VM has a later configuration.
		behind    atomic.Bool
		memory    *memory
		sizes     *sizes
		durations *durations
		pace      *rate.Limiter
	}
)

// New returns a Handler that refuses all requests until it has a Snapshot.
func New(d Deps) *Handler {
	return &Handler{Deps: d, memory: newMemory(d.Memory), sizes: newSizes(), durations: newDurations(), pace: newPace(d.LinkBytesPerSecond)}
}

// Update replaces the Snapshot.
func (h *Handler) Update(s *Snapshot) { h.snap.Store(s) }

// SetBehind sets whether another VM has a later configuration than the Snapshot.
func (h *Handler) SetBehind(behind bool) { h.behind.Store(behind) }

// Leave makes all further responses close their connection, because the VM stops at a
// time. Requests that would not end by then are refused, and tries are no longer ended
// early for another try.
func (h *Handler) Leave(until time.Time) { h.leavingUntil.Store(&until) }

func (h *Handler) isLeaving() bool { return h.leavingUntil.Load() != nil }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// Handle handles one request of a caller.
func (h *Handler) Handle(ctx *fasthttp.RequestCtx) {
	h.handle(h.receive(ctx))
}

// RefuseBusy refuses a request of a caller for which the VM has no connection left.
func (h *Handler) RefuseBusy(ctx *fasthttp.RequestCtx) {
	r := notRun(sassafrastray.ReasonBusy, "too many connections")
	r.retryAfter = busyRetryAfter
	h.finish(h.receive(ctx), r)
}

func (h *Handler) handle(q *request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if q.relayed != nil {
		h.relayed.Add(1)
		defer h.relayed.Add(-1)
	}
	if h.isLeaving() {
		q.ctx.SetConnectionClose()
	}
	defer h.Disconnects.Remove(q)
	defer func() { h.memory.release(q.held) }()
	r := h.admit(q)
	if r == nil {
		r = h.serve(q)
	}
	h.finish(q, r)
}

// finish refuses the request if there is a refusal, and records its end.
func (h *Handler) finish(q *request, r *refusal) {
	if r != nil {
		h.refundToken(q, r)
		h.refuse(q, r)
	}
	h.recordEnd(q, r)
}

// Hosts returns the routes in force, or nil before the first configuration.
func (h *Handler) Hosts() *route.Hosts {
	if s := h.snap.Load(); s != nil {
		return s.Hosts
	}
	return nil
}

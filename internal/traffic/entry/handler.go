// Package entry answers callers: it turns a request into a team and a route,
// chooses where it goes, tries again where that is allowed, and streams the
// answer back. It also answers the requests that other VMs forward to the
// backend servers that this VM keeps.
package entry

import (
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/limit/pace"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/operator/apikey"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/evidence"
	"sassafrastray/internal/rollout/move"
	"sassafrastray/internal/traffic/choice"
	"sassafrastray/internal/traffic/hangup"
	"sassafrastray/internal/traffic/lookup"
	"sassafrastray/internal/traffic/route"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// latest is the deadline of a request whose route has no timeout.
	latest = time.Hour
)

type (
	// Snapshot is what traffic reads of the VM's state. It is immutable.
	Snapshot struct {
		Config *sassafrastray.Config
		Routes *route.Table
		Keys   *apikey.Table
		Lookup *lookup.Snapshot
		Choice *choice.Snapshot
		Splits map[sassafrastray.ServiceName]move.Split
		// VMs are the live VMs by name.
		VMs   map[sassafrastray.VMName]sassafrastray.VM
		State sassafrastray.VMState
		// Confirmed is when the VM last knew its configuration to be the
		// newest.
		Confirmed time.Time
	}

	// Quotas admits requests and bytes under the limits of the whole fleet.
	// It is safe for concurrent use.
	Quotas interface {
		Take(key string, n float64, now time.Time) quota.Verdict
		Again(key string, n float64, s quota.Stamp, now time.Time) quota.Verdict
		Await(key string) (ready <-chan struct{}, leave func())
		Refund(key string, n float64, s quota.Stamp, now time.Time)
	}

	// Samples takes evidence on versions. It is safe for concurrent use.
	Samples interface {
		Add(service sassafrastray.ServiceName, version sassafrastray.VersionName, route sassafrastray.RouteName,
			backend sassafrastray.BackendName, s evidence.Sample)
	}

	// Deps are what a Handler works with.
	Deps struct {
		Self     sassafrastray.VM
		Clock    sassafrastray.Clock
		Log      *slog.Logger
		Pool     *upstream.Pool
		Peers    *peer.Client
		Faults   *peer.Faults
		Gate     *Gate
		Quotas   Quotas
		Samples  Samples
		Hangups  *hangup.Watch
		Metrics  *Metrics
		Retry    *Retries
		Pacer    *pace.Pacer
		Decision bool
		// Unreachable is called when a VM could not be reached.
		Unreachable func(sassafrastray.VMName)
	}

	// Handler answers callers and other VMs.
	Handler struct {
		Deps
		snap   atomic.Pointer[Snapshot]
		active atomic.Int64
		serial atomic.Uint64
		prefix string
	}
)

// New returns a Handler that refuses everything until it has a Snapshot.
func New(d Deps, inc sassafrastray.Incarnation) *Handler {
	return &Handler{Deps: d, prefix: string(d.Self.Name) + "-" + strconv.FormatInt(int64(inc), 36) + "-"}
}

// Lookups returns the present answers to look-ups, or nil before the first
// configuration.
func (h *Handler) Lookups() *lookup.Snapshot {
	if s := h.snap.Load(); s != nil {
		return s.Lookup
	}
	return nil
}

// Config returns the configuration in force, or nil.
func (h *Handler) Config() *sassafrastray.Config {
	if s := h.snap.Load(); s != nil {
		return s.Config
	}
	return nil
}

// Update replaces what traffic reads.
func (h *Handler) Update(s *Snapshot) { h.snap.Store(s) }

// Active returns the number of requests under way.
func (h *Handler) Active() int64 { return h.active.Load() }

// Handle answers one request of a caller.
func (h *Handler) Handle(ctx *fasthttp.RequestCtx) {
	s := h.snap.Load()
	if s == nil {
		notRun(sassafrastray.ReasonStale, "no configuration yet").write(ctx, "")
		return
	}
	if s.State == sassafrastray.Leaving {
		ctx.SetConnectionClose()
	}
	m := s.Routes.Match(string(ctx.Host()), cleanPath(ctx), string(ctx.Method()))
	if m.Service == nil && string(ctx.Path()) == lookup.Path {
		h.Metrics.Lookups.Inc()
		lookup.Handle(ctx, s.Lookup, asker(ctx, s), false)
		return
	}
	h.active.Add(1)
	in := h.newInbound(ctx)
	in.id = h.prefix + strconv.FormatUint(h.serial.Add(1), 36)
	r := h.admit(in, s, m)
	if r == nil {
		r = h.steer(in, s)
	}
	if r == nil {
		return // the answer's body ends the request
	}
	h.refuse(in, r)
	h.finish(in)
}

// asker returns the team whose key came with a look-up, or "". A look-up needs
// no key; one that has it may be steered to where the team's quota is.
func asker(ctx *fasthttp.RequestCtx, s *Snapshot) sassafrastray.TeamName {
	found := apikey.Find(&ctx.Request)
	k, _ := found.Key()
	team, _ := s.Keys.Team(k)
	return team
}

func (h *Handler) newInbound(ctx *fasthttp.RequestCtx) *inbound {
	now := h.Clock.Now()
	return &inbound{ctx: ctx, conn: ctx.Conn(), arrived: now, leave: make(chan struct{}), path: string(ctx.RequestURI())}
}

// admit finds out who asks for what, and whether that is allowed.
func (h *Handler) admit(in *inbound, s *Snapshot, m route.Match) *refusal {
	in.service, in.route = m.Service, m.Route
	if m.Reason != sassafrastray.ReasonOK {
		in.ctx.SetConnectionClose()
		return notRun(m.Reason, "")
	}
	in.deadline = h.deadline(in)
	if !in.route.Open {
		if r := h.identify(in, s); r != nil {
			in.ctx.SetConnectionClose()
			return r
		}
	}
	if r := in.setBody(h.Clock.Now); r != nil {
		in.ctx.SetConnectionClose()
		return r
	}
	if in.watchable() {
		h.Hangups.Add(in, in.conn)
	}
	return nil
}

// identify finds the team of the request's key and removes the key.
func (h *Handler) identify(in *inbound, s *Snapshot) *refusal {
	found := apikey.Find(&in.ctx.Request)
	k, _ := found.Key()
	team, ok := s.Keys.Team(k)
	if !ok {
		return notRun(sassafrastray.ReasonKey, "")
	}
	if r := h.stale(in, s); r != nil {
		return r
	}
	a := in.service.Allowance(team)
	if a == nil {
		return notRun(sassafrastray.ReasonTeam, string(team))
	}
	in.team, in.weight, in.digest = team, a.Weight, apikey.Digest(string(k))
	if !apikey.Strip(&in.ctx.Request, found) {
		return notRun(sassafrastray.ReasonKey, "the key is where it can't be removed")
	}
	in.path = string(in.ctx.Request.Header.RequestURI())
	return nil
}

// stale refuses keys on routes whose operators want that from a VM that has
// not heard of the configuration for too long.
func (h *Handler) stale(in *inbound, s *Snapshot) *refusal {
	if in.route.Stale > 0 && h.Clock.Now().Sub(s.Confirmed) > in.route.Stale {
		return notRun(sassafrastray.ReasonStale, "the VM is cut off")
	}
	return nil
}

// recheck looks again whether the key is in force, for a request that waited.
func (h *Handler) recheck(in *inbound) *refusal {
	if in.route.Open {
		return nil
	}
	s := h.snap.Load()
	team, ok := s.Keys.TeamByDigest(in.digest)
	if !ok || team != in.team {
		return notRun(sassafrastray.ReasonKey, "withdrawn")
	}
	return h.stale(in, s)
}

// deadline is the route's or the caller's own, whichever is earlier.
func (h *Handler) deadline(in *inbound) time.Time {
	timeout := in.route.Timeout
	if timeout <= 0 {
		timeout = latest
	}
	if ms, err := strconv.Atoi(string(in.ctx.Request.Header.Peek(timeoutHeader))); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return in.arrived.Add(timeout)
}

// refuse answers in the system's own name.
func (h *Handler) refuse(in *inbound, r *refusal) {
	r.write(in.ctx, in.id)
	if in.origin != "" {
		h := &in.ctx.Response.Header
		h.Set(peer.BackendHeader, string(in.tried))
		h.Set(peer.WaitHeader, strconv.FormatInt(r.wait.Microseconds(), 10))
	}
	if in.large != nil && !in.large.done {
		in.large.drain()
		in.ctx.SetConnectionClose()
	}
	h.Metrics.ended(in, r.reason, h.Clock.Now())
	if h.Decision {
		h.Log.Info(message.Refused, "request", in.id, "service", name(in.service), "route", routeName(in.route),
			"team", in.team, "reason", r.reason, "result", r.result, "detail", r.detail)
	}
}

// finish ends a request that has its answer.
func (h *Handler) finish(in *inbound) {
	h.Hangups.Remove(in)
	h.active.Add(-1)
}

func name(s *sassafrastray.Service) sassafrastray.ServiceName {
	if s == nil {
		return ""
	}
	return s.Name
}

func routeName(r *sassafrastray.Route) sassafrastray.RouteName {
	if r == nil {
		return ""
	}
	return r.Name
}

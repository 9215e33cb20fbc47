// Package entry handles the requests of callers: it finds the team and the route
// of a request, chooses the VM that serves it, retries where that is allowed,
// and streams the response back. It also handles the requests that other VMs
// forward to the backend servers that this VM owns.
package entry

import (
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/limit/bandwidth"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/operator/apikey"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/evidence"
	"sassafrastray/internal/rollout/move"
	"sassafrastray/internal/traffic/choice"
	"sassafrastray/internal/traffic/disconnect"
	"sassafrastray/internal/traffic/lookup"
	"sassafrastray/internal/traffic/route"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// defaultTimeout bounds a request whose route has no timeout.
	defaultTimeout = time.Hour
)

type (
	// Snapshot is the state of the VM that requests are handled with. It is
	// immutable.
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
		// Confirmed is when the VM last knew that its configuration was the
		// newest.
		Confirmed time.Time
	}

	// Quotas admits requests and bytes under the limits of the whole fleet.
	// It is safe for concurrent use.
	Quotas interface {
		Take(key string, n float64, now time.Time) quota.Verdict
		TakeAgain(key string, n float64, s quota.Stamp, now time.Time) quota.Verdict
		Await(key string) (ready <-chan struct{}, leave func())
		Refund(key string, n float64, s quota.Stamp, now time.Time)
	}

	// Samples records how requests ended on each version, as evidence for
	// rollouts. It is safe for concurrent use.
	Samples interface {
		Add(service sassafrastray.ServiceName, version sassafrastray.VersionName, route sassafrastray.RouteName,
			backend sassafrastray.BackendName, s evidence.Sample)
	}

	// Deps are the dependencies of a Handler.
	Deps struct {
		Self         sassafrastray.VM
		Clock        sassafrastray.Clock
		Log          *slog.Logger
		Pool         *upstream.Pool
		Peers        *peer.Client
		Faults       *peer.Faults
		Slots        *SlotQueue
		Quotas       Quotas
		Samples      Samples
		Disconnects  *disconnect.Watcher
		Metrics      *Metrics
		Retries      *Retries
		Pacer        *bandwidth.Pacer
		LogDecisions bool
		// Unreachable is called when no connection to a VM could be opened.
		Unreachable func(sassafrastray.VMName)
	}

	// Handler handles the requests of callers and of other VMs.
	Handler struct {
		Deps
		snap       atomic.Pointer[Snapshot]
		active     atomic.Int64
		lastSerial atomic.Uint64
		idPrefix   string
	}
)

// New returns a Handler that refuses all requests until it has a Snapshot.
func New(d Deps, inc sassafrastray.Incarnation) *Handler {
	return &Handler{Deps: d, idPrefix: string(d.Self.Name) + "-" + strconv.FormatInt(int64(inc), 36) + "-"}
}

// Lookups returns the current look-up results, or nil before the first
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

// Update replaces the Snapshot.
func (h *Handler) Update(s *Snapshot) { h.snap.Store(s) }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// Handle handles one request of a caller.
func (h *Handler) Handle(ctx *fasthttp.RequestCtx) {
	s := h.snap.Load()
	if s == nil {
		notRun(sassafrastray.ReasonStaleConfig, "no configuration yet").write(ctx, "")
		return
	}
	if s.State == sassafrastray.VMLeaving {
		ctx.SetConnectionClose()
	}
	m := s.Routes.Match(string(ctx.Host()), cleanPath(ctx), string(ctx.Method()))
	if m.Service == nil && string(ctx.Path()) == lookup.Path {
		h.Metrics.Lookups.Inc()
		lookup.Handle(ctx, s.Lookup, lookupTeam(ctx, s), false)
		return
	}
	h.active.Add(1)
	in := h.newInbound(ctx)
	in.id = h.idPrefix + strconv.FormatUint(h.lastSerial.Add(1), 36)
	r := h.admit(in, s, m)
	if r == nil {
		r = h.steer(in, s)
	}
	if r == nil {
		return // the request ends with the response body
	}
	h.refuse(in, r)
	h.finish(in)
}

// lookupTeam returns the team whose key came with a look-up, or "". A look-up
// needs no key; one that has a key may be steered to where the team's quota is.
func lookupTeam(ctx *fasthttp.RequestCtx, s *Snapshot) sassafrastray.TeamName {
	found := apikey.Find(&ctx.Request)
	k, _ := found.Key()
	team, _ := s.Keys.Team(k)
	return team
}

func (h *Handler) newInbound(ctx *fasthttp.RequestCtx) *inbound {
	now := h.Clock.Now()
	return &inbound{ctx: ctx, conn: ctx.Conn(), arrived: now, disconnected: make(chan struct{}), path: string(ctx.RequestURI())}
}

// admit sets the request's route, deadline, team and body, and refuses a request
// that is not allowed.
func (h *Handler) admit(in *inbound, s *Snapshot, m route.Match) *refusal {
	in.service, in.route = m.Service, m.Route
	if m.Reason != sassafrastray.ReasonOK {
		in.ctx.SetConnectionClose()
		return notRun(m.Reason, "")
	}
	in.deadline = h.deadline(in)
	if !in.route.Public {
		if r := h.authenticate(in, s); r != nil {
			in.ctx.SetConnectionClose()
			return r
		}
	}
	if r := in.setBody(h.Clock.Now); r != nil {
		in.ctx.SetConnectionClose()
		return r
	}
	if in.watchable() {
		h.Disconnects.Add(in, in.conn)
	}
	return nil
}

// authenticate finds the team of the request's key, checks that it may use the
// service, and removes the key from the request.
func (h *Handler) authenticate(in *inbound, s *Snapshot) *refusal {
	found := apikey.Find(&in.ctx.Request)
	k, _ := found.Key()
	team, ok := s.Keys.Team(k)
	if !ok {
		return notRun(sassafrastray.ReasonKey, "")
	}
	if r := h.checkStale(in, s); r != nil {
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

// checkStale refuses the request if its route limits how long ago the VM last
// confirmed its configuration, and that limit is exceeded.
func (h *Handler) checkStale(in *inbound, s *Snapshot) *refusal {
	if in.route.MaxConfigAge > 0 && h.Clock.Now().Sub(s.Confirmed) > in.route.MaxConfigAge {
		return notRun(sassafrastray.ReasonStaleConfig, "the VM is cut off")
	}
	return nil
}

// recheckKey checks that the key is still valid, because it may have been
// withdrawn while the request waited.
func (h *Handler) recheckKey(in *inbound) *refusal {
	if in.route.Public {
		return nil
	}
	s := h.snap.Load()
	team, ok := s.Keys.TeamByDigest(in.digest)
	if !ok || team != in.team {
		return notRun(sassafrastray.ReasonKey, "withdrawn")
	}
	return h.checkStale(in, s)
}

// deadline returns the route's deadline or the caller's, whichever is earlier.
func (h *Handler) deadline(in *inbound) time.Time {
	timeout := in.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if ms, err := strconv.Atoi(string(in.ctx.Request.Header.Peek(timeoutHeader))); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return in.arrived.Add(timeout)
}

// refuse responds with the refusal, counts it and logs it.
func (h *Handler) refuse(in *inbound, r *refusal) {
	r.write(in.ctx, in.id)
	if in.origin != "" {
		h := &in.ctx.Response.Header
		h.Set(peer.BackendHeader, string(in.tried))
		h.Set(peer.ExpectedWaitHeader, strconv.FormatInt(r.retryAfter.Microseconds(), 10))
	}
	if in.bodyStream != nil && !in.bodyStream.done {
		in.bodyStream.drain()
		in.ctx.SetConnectionClose()
	}
	h.Metrics.recordEnd(in, r.reason, h.Clock.Now())
	if h.LogDecisions {
		h.Log.Info(message.Refused, "request", in.id, "service", serviceName(in.service), "route", routeName(in.route),
			"team", in.team, "reason", r.reason, "result", r.result, "detail", r.detail)
	}
}

// finish stops tracking a request whose response has ended.
func (h *Handler) finish(in *inbound) {
	h.Disconnects.Remove(in)
	h.active.Add(-1)
}

func serviceName(s *sassafrastray.Service) sassafrastray.ServiceName {
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

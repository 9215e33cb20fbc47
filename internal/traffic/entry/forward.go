package entry

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/traffic/problem"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// forwardGrace is how much longer a VM waits for the response of the VM that
	// it forwarded a request to than that VM waits for the backend server, so that
	// the other VM's report of the outcome still arrives after the deadline.
	forwardGrace = 250 * time.Millisecond

	// partitionDialTime is how long an attempt to connect to a VM takes across
	// an injected network partition.
	partitionDialTime = time.Second
)

// forward sends a request to the VM that owns the chosen backend servers. It
// returns nil if the response is set in the request's context; its body may
// still be streaming.
func (h *Handler) forward(in *inbound, to sassafrastray.VM) *refusal {
	if h.Faults.Partitioned(h.Self.Domain, to.Domain) {
		in.sleep(min(partitionDialTime, in.deadline.Sub(h.Clock.Now())))
		h.Unreachable(to.Name)
		return notRun(sassafrastray.ReasonVM, "unreachable")
	}
	if r := h.paceHeader(in, to); r != nil {
		return r
	}
	in.sleep(h.Faults.Delay(h.Self.Domain, to.Domain))
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	h.buildForwardRequest(in, req)
	call := upstream.Call{Address: to.PeerAddress, RequireFresh: !in.route.Idempotent, Deadline: in.deadline.Add(forwardGrace), ProgressTimeout: progressTimeout}
	in.fillBody(&call, req)
	if call.Body != nil {
		call.Body = h.paceBody(in, to, call.Body)
	}
	x := h.Pool.Start(call)
	in.attach(x)
	out := x.Do(req, resp)
	fasthttp.ReleaseRequest(req)
	in.sleep(h.Faults.Delay(to.Domain, h.Self.Domain))
	if out.Failure != upstream.None {
		fasthttp.ReleaseResponse(resp)
		if out.Failure == upstream.Dial {
			h.Unreachable(to.Name)
			return notRun(sassafrastray.ReasonVM, "unreachable")
		}
		return h.exchangeFailure(in, out)
	}
	in.tried = sassafrastray.BackendName(resp.Header.Peek(backendHeader))
	if reason := resp.Header.Peek(reasonHeader); len(reason) > 0 {
		return parseRefusal(resp)
	}
	if len(resp.Header.Peek(resultHeader)) == 0 {
		// Only errors of the protocol between VMs have no result, and the
		// other VM sends those before it accepts a request.
		discardResponse(resp)
		return notRun(sassafrastray.ReasonVM, "it refused the message")
	}
	h.deliver(in, resp, func(bool) {})
	return nil
}

// buildForwardRequest fills req with the request that the other VM receives.
func (h *Handler) buildForwardRequest(in *inbound, req *fasthttp.Request) {
	in.ctx.Request.Header.CopyTo(&req.Header)
	cleanRequestHeader(&req.Header)
	d := &req.Header
	d.SetRequestURI(peer.ForwardPath)
	h.Peers.Sign(d)
	d.Set(idHeader, in.id)
	d.Set(peer.PathHeader, in.path)
	d.Set(peer.ServiceHeader, string(in.service.Name))
	d.Set(peer.RouteHeader, string(in.route.Name))
	d.Set(peer.VersionHeader, string(in.version))
	d.Set(peer.TeamHeader, string(in.team))
	d.Set(peer.KeyHeader, string(in.digest))
	setInt(d, peer.ConfigHeader, in.config)
	setInt(d, peer.TimeoutHeader, in.remainingMillis(h.Clock.Now()))
	setInt(d, peer.MaxWaitHeader, in.maxWait.Microseconds())
	if len(in.exclude) > 0 {
		names := make([]string, len(in.exclude))
		for i, b := range in.exclude {
			names[i] = string(b)
		}
		d.Set(peer.AvoidHeader, strings.Join(names, ","))
	}
}

// parseRefusal reads the refusal in another VM's response and releases it.
func parseRefusal(resp *fasthttp.Response) *refusal {
	r := &refusal{
		reason: sassafrastray.Reason(resp.Header.Peek(reasonHeader)),
		result: sassafrastray.Result(resp.Header.Peek(resultHeader)),
	}
	if us, err := strconv.ParseInt(string(resp.Header.Peek(peer.ExpectedWaitHeader)), 10, 64); err == nil {
		r.retryAfter = time.Duration(us) * time.Microsecond
	}
	if problem.Status(r.reason) == 0 || r.result != sassafrastray.ResultNotRun {
		r.result = sassafrastray.ResultUnknown
	}
	if problem.Status(r.reason) == 0 {
		r.reason = sassafrastray.ReasonBadResponse
	}
	var p problem.Problem
	if s := resp.BodyStream(); s != nil {
		if b, err := io.ReadAll(io.LimitReader(s, maxReplayableBody)); err == nil && json.Unmarshal(b, &p) == nil {
			r.detail = p.Detail
		}
	}
	fasthttp.ReleaseResponse(resp)
	return r
}

// Forward handles a request that another VM accepted from a caller.
func (h *Handler) Forward(ctx *fasthttp.RequestCtx) {
	s := h.snap.Load()
	h.active.Add(1)
	in := h.newInbound(ctx)
	r := h.parseForwarded(in, s)
	if r == nil {
		if in.watchable() {
			h.Disconnects.Add(in, in.conn)
		}
		r = h.serveLocal(in)
	}
	if r == nil {
		return
	}
	h.refuse(in, r)
	h.finish(in)
}

// parseForwarded reads the headers that the other VM added to the request, and
// checks that the team may use the route.
func (h *Handler) parseForwarded(in *inbound, s *Snapshot) *refusal {
	d := &in.ctx.Request.Header
	in.id = string(d.Peek(idHeader))
	in.origin = sassafrastray.DomainName(d.Peek(peer.DomainHeader))
	in.path = string(d.Peek(peer.PathHeader))
	in.version = sassafrastray.VersionName(d.Peek(peer.VersionHeader))
	in.team = sassafrastray.TeamName(d.Peek(peer.TeamHeader))
	in.digest = sassafrastray.KeyDigest(d.Peek(peer.KeyHeader))
	ms, err := strconv.ParseInt(string(d.Peek(peer.TimeoutHeader)), 10, 64)
	if err != nil {
		return notRun(sassafrastray.ReasonVM, "no timeout in a forwarded request")
	}
	in.deadline = in.arrived.Add(time.Duration(ms) * time.Millisecond)
	if us, err := strconv.ParseInt(string(d.Peek(peer.MaxWaitHeader)), 10, 64); err == nil {
		in.maxWait = time.Duration(us) * time.Microsecond
	}
	if avoid := d.Peek(peer.AvoidHeader); len(avoid) > 0 {
		for n := range strings.SplitSeq(string(avoid), ",") {
			in.exclude = append(in.exclude, sassafrastray.BackendName(n))
		}
	}
	if r := in.resolve(s); r != nil {
		return r
	}
	if a := in.service.Allowance(in.team); a != nil {
		in.weight = a.Weight
	} else if !in.route.Public {
		return notRun(sassafrastray.ReasonTeam, string(in.team))
	}
	return in.setBody(h.Clock.Now)
}

// resolve finds the service and the route that the other VM names. A VM whose
// configuration is older than the other's refuses the request with that reason,
// because it could decide wrongly.
func (in *inbound) resolve(s *Snapshot) *refusal {
	d := &in.ctx.Request.Header
	number, err := strconv.ParseInt(string(d.Peek(peer.ConfigHeader)), 10, 64)
	if err != nil {
		return notRun(sassafrastray.ReasonVM, "no configuration's number in a forwarded request")
	}
	if s == nil || s.Config.Number < number {
		return notRun(sassafrastray.ReasonVM, "configuration behind")
	}
	if in.service = s.Config.Service(sassafrastray.ServiceName(d.Peek(peer.ServiceHeader))); in.service == nil {
		return notRun(sassafrastray.ReasonVM, "service unknown there")
	}
	if in.route = in.service.Route(sassafrastray.RouteName(d.Peek(peer.RouteHeader))); in.route == nil {
		return notRun(sassafrastray.ReasonVM, "route unknown there")
	}
	return nil
}

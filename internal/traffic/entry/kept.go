package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/evidence"
	"sassafrastray/internal/traffic/keeper"
	"sassafrastray/internal/traffic/upstream"
)

// kept answers a request from a backend server that this VM keeps. It returns
// nil if the answer is under way in the request's context.
func (h *Handler) kept(in *inbound) *refusal {
	giveUp := h.Clock.Now().Add(maxTokenWait)
	for {
		if r := h.gone(in); r != nil {
			return r
		}
		if r := h.token(in, giveUp); r != nil {
			return r
		}
		t := h.Gate.offer(h.ask(in))
		backend := t.outcome.Backend
		if t.outcome.Kind != keeper.Dispatch {
			// The token counts from the dispatch, so that requests which waited
			// together don't pass the burst when they leave together.
			h.refund(in)
		}
		switch t.outcome.Kind {
		case keeper.Refused:
			r := notRun(t.outcome.Reason, "")
			r.wait = t.outcome.Wait
			return r
		case keeper.Queued:
			var r *refusal
			if backend, r = h.queue(in, t); r != nil {
				return r
			}
		}
		r, again := h.dispatch(in, t, backend)
		if !again {
			return r
		}
	}
}

func (h *Handler) ask(in *inbound) keeper.Request {
	return keeper.Request{
		Service: in.service.Name, Version: in.version, Team: in.team, Weight: in.weight,
		Route: in.route.Name, Deadline: in.deadline, Idempotent: in.route.Idempotent,
		Patience: in.patience, Exclude: in.avoid,
	}
}

// sleep waits, and reports false if the caller hung up meanwhile.
func (in *inbound) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-in.leave:
		return false
	}
}

// queue waits for a slot.
func (h *Handler) queue(in *inbound, t ticket) (sassafrastray.BackendName, *refusal) {
	timer := time.NewTimer(in.deadline.Sub(h.Clock.Now()))
	defer timer.Stop()
	select {
	case turn := <-t.turn:
		if turn.reason != sassafrastray.ReasonOK {
			return "", notRun(turn.reason, "")
		}
		return turn.backend, nil
	case <-in.leave:
		h.Gate.cancel(t)
		return "", notRun(sassafrastray.ReasonCallerGone, "")
	case <-timer.C:
		h.Gate.cancel(t)
		return "", notRun(sassafrastray.ReasonDeadline, "")
	}
}

func (h *Handler) gone(in *inbound) *refusal {
	if in.isGone() {
		return notRun(sassafrastray.ReasonCallerGone, "")
	}
	return nil
}

// dispatch sends the request to the backend server whose slot it has. It asks
// for another round if the team's quota was used up meanwhile.
func (h *Handler) dispatch(in *inbound, t ticket, name sassafrastray.BackendName) (r *refusal, again bool) {
	s := h.snap.Load()
	b := backend(s.Config, in.service.Name, name)
	r = h.recheck(in)
	if r == nil && b == nil {
		r = notRun(sassafrastray.ReasonBackend, "the backend server is gone")
	}
	if r != nil {
		h.Gate.done(t.id, keeper.End{Kind: keeper.NotSent})
		h.refund(in)
		return r, false
	}
	in.tried = name
	start := h.Clock.Now()
	if h.Decision {
		h.Log.Info(message.Placed, "request", in.id, "service", in.service.Name, "route", in.route.Name, "team", in.team,
			"version", in.version, "backend", name, "waited", start.Sub(in.arrived), "reason", placed(t))
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	h.outbound(in, req)
	call := upstream.Call{Address: b.Address, Proved: !in.route.Idempotent, Deadline: in.deadline, Progress: progress}
	call.Ready = func() bool { return h.charge(in) }
	in.call(&call, req)
	x := h.Pool.Start(call)
	in.attach(x)
	out := x.Do(req, resp)
	fasthttp.ReleaseRequest(req)
	if out.Failure == upstream.Declined {
		fasthttp.ReleaseResponse(resp)
		h.Gate.done(t.id, keeper.End{Kind: keeper.NotSent})
		return nil, true
	}
	if !out.Sent {
		h.refund(in)
	}
	in.taken = time.Time{}
	return h.conclude(in, t, b, resp, out, start), false
}

func placed(t ticket) string {
	if t.outcome.Kind == keeper.Queued {
		return "queued"
	}
	return "free slot"
}

// outbound makes the request that a backend server sees.
func (h *Handler) outbound(in *inbound, req *fasthttp.Request) {
	in.ctx.Request.Header.CopyTo(&req.Header)
	cleanHeader(&req.Header)
	req.Header.SetRequestURI(in.path)
	req.Header.Set(idHeader, in.id)
	req.Header.Del(teamHeader)
	if in.team != "" {
		req.Header.Set(teamHeader, string(in.team))
	}
	setInt(&req.Header, timeoutHeader, in.left(h.Clock.Now()))
}

// conclude frees the slot, at once or when the answer's body has ended, and
// takes the evidence on the version.
func (h *Handler) conclude(in *inbound, t ticket, b *sassafrastray.BackendServer, resp *fasthttp.Response, out upstream.Outcome, start time.Time) *refusal {
	latency := h.Clock.Now().Sub(start)
	drain := len(resp.Header.Peek(drainHeader)) > 0
	end := keeper.End{Kind: keeper.OK, Latency: latency, Drain: drain}
	if out.Failure == upstream.None && len(resp.Header.Peek(shedHeader)) > 0 {
		// The backend server says itself that it did not run the request.
		end.Kind = keeper.Shed
		drop(resp)
		h.Gate.done(t.id, end)
		h.Metrics.shed(in)
		return notRun(sassafrastray.ReasonShed, string(b.Name))
	}
	if out.Failure != upstream.None {
		fasthttp.ReleaseResponse(resp)
		end.Kind = endKind(out)
		h.Gate.done(t.id, end)
		r := h.failed(in, out)
		h.sample(in, b, r.result, r.reason, 0, latency)
		return r
	}
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		end.Kind = keeper.Failed
	}
	h.sample(in, b, sassafrastray.ResultRan, sassafrastray.ReasonOK, resp.StatusCode(), latency)
	h.deliver(in, resp, func(whole bool) {
		if !whole && end.Kind == keeper.OK {
			end.Kind = keeper.Cancelled
			if !in.isGone() && !whole {
				end.Kind = keeper.Failed
			}
		}
		end.Latency = h.Clock.Now().Sub(start)
		h.Gate.done(t.id, end)
	})
	return nil
}

// failed tells what an exchange without an answer means for its request.
func (h *Handler) failed(in *inbound, out upstream.Outcome) *refusal {
	reason := sassafrastray.ReasonBadResponse
	switch {
	case out.Failure == upstream.Dial:
		reason = sassafrastray.ReasonBackend
	case in.large != nil && in.large.tooBig:
		reason = sassafrastray.ReasonBody
	case out.Failure == upstream.Silent:
		reason = sassafrastray.ReasonDeadline
	case out.Failure == upstream.Aborted || out.Failure == upstream.Body:
		reason = sassafrastray.ReasonCallerGone
	}
	detail := ""
	if out.Err != nil {
		detail = string(out.Failure)
		h.Log.Debug("exchange failed", "request", in.id, "failure", out.Failure, "error", out.Err)
	}
	if !out.Sent {
		return notRun(reason, detail)
	}
	return unknown(reason, detail)
}

func endKind(out upstream.Outcome) keeper.EndKind {
	switch {
	case out.Failure == upstream.Aborted || out.Failure == upstream.Body:
		return keeper.Cancelled
	case out.Failure == upstream.Silent:
		return keeper.Timeout
	}
	return keeper.Failed
}

// sample counts how the request ended, if that says something about the
// version of the backend server.
func (h *Handler) sample(in *inbound, b *sassafrastray.BackendServer, result sassafrastray.Result,
	reason sassafrastray.Reason, status int, latency time.Duration,
) {
	if counted, ok := evidence.Counts(result, reason, status); counted {
		h.Samples.Add(in.service.Name, b.Version, in.route.Name, b.Name, evidence.Sample{OK: ok, Latency: latency})
	}
}

func backend(c *sassafrastray.Config, service sassafrastray.ServiceName, name sassafrastray.BackendName) *sassafrastray.BackendServer {
	s := c.Service(service)
	if s == nil {
		return nil
	}
	for i := range s.Backends {
		if s.Backends[i].Name == name {
			return &s.Backends[i]
		}
	}
	return nil
}

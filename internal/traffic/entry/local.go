package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/evidence"
	"sassafrastray/internal/traffic/scheduler"
	"sassafrastray/internal/traffic/upstream"
)

// serveLocal sends a request to a backend server that this VM owns. It returns
// nil if the response is set in the request's context; its body may still be
// streaming.
func (h *Handler) serveLocal(in *inbound) *refusal {
	giveUpAt := h.Clock.Now().Add(maxTokenWait)
	for {
		if r := h.checkDisconnect(in); r != nil {
			return r
		}
		if r := h.waitForToken(in, giveUpAt); r != nil {
			return r
		}
		t := h.Slots.acquire(h.slotRequest(in))
		backend := t.outcome.Backend
		if t.outcome.Kind != scheduler.Dispatched {
			// The token is taken again at the dispatch. Otherwise requests that
			// waited together would exceed the burst when they are sent together.
			h.refundToken(in)
		}
		switch t.outcome.Kind {
		case scheduler.Refused:
			r := notRun(t.outcome.Reason, "")
			r.retryAfter = t.outcome.Wait
			return r
		case scheduler.Queued:
			var r *refusal
			if backend, r = h.waitForSlot(in, t); r != nil {
				return r
			}
		}
		r, again := h.dispatch(in, t, backend)
		if !again {
			return r
		}
	}
}

func (h *Handler) slotRequest(in *inbound) scheduler.Request {
	return scheduler.Request{
		Service: in.service.Name, Version: in.version, Team: in.team, Weight: in.weight,
		Route: in.route.Name, Deadline: in.deadline, Idempotent: in.route.Idempotent,
		MaxWait: in.maxWait, Exclude: in.exclude,
	}
}

// sleep waits for d. It returns false as soon as the caller disconnects.
func (in *inbound) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-in.disconnected:
		return false
	}
}

// waitForSlot waits for a queued request's slot until the deadline, and returns
// the slot's backend server.
func (h *Handler) waitForSlot(in *inbound, t ticket) (sassafrastray.BackendName, *refusal) {
	timer := time.NewTimer(in.deadline.Sub(h.Clock.Now()))
	defer timer.Stop()
	select {
	case result := <-t.result:
		if result.reason != sassafrastray.ReasonOK {
			return "", notRun(result.reason, "")
		}
		return result.backend, nil
	case <-in.disconnected:
		h.Slots.cancel(t)
		return "", notRun(sassafrastray.ReasonCallerGone, "")
	case <-timer.C:
		h.Slots.cancel(t)
		return "", notRun(sassafrastray.ReasonDeadline, "")
	}
}

func (h *Handler) checkDisconnect(in *inbound) *refusal {
	if in.isGone() {
		return notRun(sassafrastray.ReasonCallerGone, "")
	}
	return nil
}

// dispatch sends the request to the backend server whose slot it has. If the
// request is not sent because the team's quota has no token left, again is true:
// the request has to wait for a token and a slot again.
func (h *Handler) dispatch(in *inbound, t ticket, name sassafrastray.BackendName) (r *refusal, again bool) {
	s := h.snap.Load()
	b := findBackend(s.Config, in.service.Name, name)
	r = h.recheckKey(in)
	if r == nil && b == nil {
		r = notRun(sassafrastray.ReasonBackend, "the backend server is gone")
	}
	if r != nil {
		h.Slots.release(t.id, scheduler.End{Kind: scheduler.NotSent})
		h.refundToken(in)
		return r, false
	}
	in.tried = name
	start := h.Clock.Now()
	if h.LogDecisions {
		h.Log.Info(message.Placed, "request", in.id, "service", in.service.Name, "route", in.route.Name, "team", in.team,
			"version", in.version, "backend", name, "waited", start.Sub(in.arrived), "reason", dispatchReason(t))
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	h.buildBackendRequest(in, req)
	call := upstream.Call{Address: b.Address, RequireFresh: !in.route.Idempotent, Deadline: in.deadline, ProgressTimeout: progressTimeout}
	call.Ready = func() bool { return h.ensureFreshToken(in) }
	in.fillBody(&call, req)
	x := h.Pool.Start(call)
	in.attach(x)
	out := x.Do(req, resp)
	fasthttp.ReleaseRequest(req)
	if out.Failure == upstream.Declined {
		fasthttp.ReleaseResponse(resp)
		h.Slots.release(t.id, scheduler.End{Kind: scheduler.NotSent})
		return nil, true
	}
	if !out.Sent {
		h.refundToken(in)
	}
	in.tokenTaken = time.Time{}
	return h.conclude(in, t, b, resp, out, start), false
}

func dispatchReason(t ticket) string {
	if t.outcome.Kind == scheduler.Queued {
		return "queued"
	}
	return "free slot"
}

// buildBackendRequest fills req with the request that a backend server receives.
func (h *Handler) buildBackendRequest(in *inbound, req *fasthttp.Request) {
	in.ctx.Request.Header.CopyTo(&req.Header)
	cleanRequestHeader(&req.Header, teamHeader)
	req.Header.SetRequestURI(in.path)
	req.Header.Set(idHeader, in.id)
	if in.team != "" {
		req.Header.Set(teamHeader, string(in.team))
	}
	setInt(&req.Header, timeoutHeader, in.remainingMillis(h.Clock.Now()))
}

// conclude records the outcome of an exchange and passes the response on. It
// frees the slot at once, or when the response body has ended.
func (h *Handler) conclude(in *inbound, t ticket, b *sassafrastray.BackendServer, resp *fasthttp.Response, out upstream.Outcome, start time.Time) *refusal {
	latency := h.Clock.Now().Sub(start)
	drain := len(resp.Header.Peek(drainHeader)) > 0
	end := scheduler.End{Kind: scheduler.OK, Latency: latency, Drain: drain}
	if out.Failure == upstream.None && len(resp.Header.Peek(shedHeader)) > 0 {
		// The header states that the backend server did not run the request.
		end.Kind = scheduler.Shed
		discardResponse(resp)
		h.Slots.release(t.id, end)
		h.Metrics.recordShed(in)
		return notRun(sassafrastray.ReasonShed, string(b.Name))
	}
	if out.Failure != upstream.None {
		fasthttp.ReleaseResponse(resp)
		end.Kind = endKind(out)
		h.Slots.release(t.id, end)
		r := h.exchangeFailure(in, out)
		h.recordSample(in, b, r.result, r.reason, 0, latency)
		return r
	}
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		end.Kind = scheduler.Failed
	}
	h.recordSample(in, b, sassafrastray.ResultRan, sassafrastray.ReasonOK, resp.StatusCode(), latency)
	h.deliver(in, resp, func(complete bool) {
		if !complete && end.Kind == scheduler.OK {
			end.Kind = scheduler.Cancelled
			if !in.isGone() && !complete {
				end.Kind = scheduler.Failed
			}
		}
		end.Latency = h.Clock.Now().Sub(start)
		h.Slots.release(t.id, end)
	})
	return nil
}

// exchangeFailure returns the refusal for an exchange that got no response.
func (h *Handler) exchangeFailure(in *inbound, out upstream.Outcome) *refusal {
	reason := sassafrastray.ReasonBadResponse
	switch {
	case out.Failure == upstream.Dial:
		reason = sassafrastray.ReasonBackend
	case out.Failure == upstream.Full:
		reason = sassafrastray.ReasonBusy
	case in.bodyStream != nil && in.bodyStream.tooLarge:
		reason = sassafrastray.ReasonBody
	case out.Failure == upstream.Silent, out.Failure == upstream.Body && !h.Clock.Now().Before(in.deadline):
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

func endKind(out upstream.Outcome) scheduler.EndKind {
	switch {
	case out.Failure == upstream.Aborted, out.Failure == upstream.Full:
		return scheduler.Cancelled
	case out.Failure == upstream.Body:
		return scheduler.Incomplete
	case out.Failure == upstream.Silent:
		return scheduler.Timeout
	}
	return scheduler.Failed
}

// recordSample records how the request ended, if that is evidence about the
// version of the backend server.
func (h *Handler) recordSample(in *inbound, b *sassafrastray.BackendServer, result sassafrastray.Result,
	reason sassafrastray.Reason, status int, latency time.Duration,
) {
	if counted, ok := evidence.Classify(result, reason, status); counted {
		h.Samples.Add(in.service.Name, b.Version, in.route.Name, b.Name, evidence.Sample{OK: ok, Latency: latency})
	}
}

func findBackend(c *sassafrastray.Config, service sassafrastray.ServiceName, name sassafrastray.BackendName) *sassafrastray.BackendServer {
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

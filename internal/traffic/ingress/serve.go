package ingress

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/rollout/canary"
	"sassafrastray/internal/traffic/hop"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/retry"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// firstPart is the part of the time that is left which the first try of
	// an idempotent request may take before another server is tried.
	firstPart = 0.55

	// tooSlow is the multiple of the expected time up to which a try is never
	// given up for another.
	tooSlow = 4

	// slowFactor is the multiple of the usual time from which an answer
	// counts against its version. Work on an object that a server does not
	// know takes about three times as long.
	slowFactor = 5

	// largeAnswer is the size of the largest answer that is held whole, so
	// that a broken one can be asked for again, in bytes.
	largeAnswer = 256 << 10
)

// attempt is one try at a backend server.
type attempt struct {
	choice placement.Choice
	start  time.Time
	// next is the server of the try for which this one was ended early.
	next atomic.Pointer[placement.Choice]
	resp *fasthttp.Response
	out  upstream.Outcome
	body []byte
	// stream is set for an answer that is too large to be held.
	stream io.ReadCloser
}

// serve sends the request to a backend server, and to another if that is
// allowed. It returns nil if the response holds the answer.
func (h *Handler) serve(q *request) *refusal {
	q.service = h.Splits.Next(q.route)
	h.Retries.Request(q.service)
	var exclude []sassafrastray.BackendName
	var maybe bool
	var failure *attempt
	var held *placement.Choice
	for q.tries = 1; ; q.tries++ {
		a, r := h.try(q, exclude, held)
		if held = nil; a != nil {
			held = a.next.Load()
		}
		if r == nil && !h.worthAnother(q, a) {
			h.release(held)
			h.deliver(q, a)
			return nil
		}
		if r == nil {
			failure = a
		}
		// An earlier try may have run, whatever became of the last.
		maybe = maybe || r == nil || r.result != sassafrastray.ResultNotRun
		if r != nil && maybe {
			r.result = sassafrastray.ResultUnknown
		}
		d := h.Retries.Next(h.outcome(q, a, r, exclude))
		d.Retry = d.Retry && q.repeatable() && !q.isGone()
		h.tried(q, a, r, d)
		if !d.Retry {
			h.release(held)
			return h.giveUp(q, failure, r)
		}
		exclude = d.Exclude
		h.Metrics.Retries.WithLabelValues(string(q.service)).Inc()
		time.Sleep(d.Pause)
	}
}

// outcome describes how a try ended to those who decide on the next. A failure
// that a server answered counts as broken: another server may not fail.
func (h *Handler) outcome(q *request, a *attempt, r *refusal, exclude []sassafrastray.BackendName) retry.Attempt {
	end := retry.Attempt{
		Service: q.service, Number: q.tries, Idempotent: q.route.Idempotent, Deadline: q.deadline,
		MaxAttempts: q.route.MaxAttempts, Exclude: exclude, Result: sassafrastray.ResultUnknown, Reason: sassafrastray.ReasonBadResponse,
	}
	if r != nil {
		end.Result, end.Reason = r.result, r.reason
	}
	if a != nil {
		end.Backend = a.choice.Server.Name
		if r != nil && !a.out.Sent {
			// Nobody got the request, so it is no try of a backend server.
			end.Unsent, end.MaxAttempts = true, 0
		}
	}
	return end
}

// giveUp answers with a failure of a backend server, if there is one, or with
// the refusal.
func (h *Handler) giveUp(q *request, failure *attempt, r *refusal) *refusal {
	if failure != nil {
		h.deliver(q, failure)
		return nil
	}
	return r
}

// worthAnother tells whether an answer is a failure that another server may not
// give.
func (h *Handler) worthAnother(q *request, a *attempt) bool {
	return q.route.Idempotent && a.stream == nil && a.resp.StatusCode() >= fasthttp.StatusInternalServerError &&
		a.resp.StatusCode() != fasthttp.StatusGatewayTimeout
}

// try sends the request once. It returns a refusal if there is no answer, with
// the attempt if a server was chosen. Held is a place that the request has
// already, or nil.
func (h *Handler) try(
	q *request, exclude []sassafrastray.BackendName, held *placement.Choice,
) (*attempt, *refusal) {
	now := h.Clock.Now()
	if !now.Before(q.deadline) {
		h.release(held)
		return nil, notRun(sassafrastray.ReasonDeadline, "")
	}
	c, ok := placement.Choice{}, held != nil
	if ok {
		c = *held
	} else {
		c, ok = h.pick(q, exclude)
	}
	q.choice = c
	if !ok {
		reason := sassafrastray.ReasonBusy
		if c.Reason == placement.None {
			reason = sassafrastray.ReasonBackend
		}
		h.refund(q)
		r := notRun(reason, string(c.Reason))
		r.wait = c.Wait
		return nil, r
	}
	a := &attempt{choice: c, start: now, resp: fasthttp.AcquireResponse()}
	r := h.exchange(q, a, exclude)
	h.judge(q, a, r)
	return a, r
}

// refund gives the token of a request that reached no server back.
func (h *Handler) refund(q *request) {
	if !q.route.Public && q.tries == 1 {
		h.Quotas.Refund(q.team)
	}
}

// exchange sends the request and reads the answer.
func (h *Handler) exchange(q *request, a *attempt, exclude []sassafrastray.BackendName) *refusal {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	h.outbound(q, req, a)
	call := upstream.Call{Address: a.choice.Server.Address, Proved: !q.route.Idempotent, Deadline: q.deadline, Progress: progress}
	switch {
	case q.rest != nil:
		call.Body, call.Size = io.MultiReader(bytes.NewReader(q.body), q.rest), q.ctx.Request.Header.ContentLength()
	case len(q.body) > 0:
		req.SetBodyRaw(q.body)
	}
	x := h.Pool.Start(call)
	q.attach(x)
	end := h.limit(q, a, x, exclude)
	a.out = x.Do(req, a.resp)
	end()
	if a.out.Failure != upstream.None {
		return h.failed(q, a)
	}
	if len(a.resp.Header.Peek(h.Dialect.NotRun)) > 0 || a.resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		// The backend server says itself that it did not run the request.
		h.discard(a)
		return notRun(sassafrastray.ReasonShed, string(a.choice.Server.Name))
	}
	return h.readAnswer(q, a)
}

// limit makes the try of an idempotent request end early enough for another, if
// there can be one when that time comes: the budget has a token, and a server
// holds a place for it. A VM that is stopping breaks nothing off at which a
// server may be at work.
func (h *Handler) limit(q *request, a *attempt, x *upstream.Exchange, exclude []sassafrastray.BackendName) (end func()) {
	left := q.deadline.Sub(a.start)
	d := max(time.Duration(firstPart*float64(left)), tooSlow*a.choice.Expected)
	if !q.route.Idempotent || q.tries >= q.route.MaxAttempts || !q.repeatable() || d >= left {
		return func() {}
	}
	exclude = append(slices.Clone(exclude), a.choice.Server.Name)
	t := time.AfterFunc(d, func() {
		if h.leaving.Load() || !h.Retries.Affords(q.service) {
			return
		}
		if c, ok := h.pick(q, exclude); ok {
			a.next.Store(&c)
			x.Expire()
		}
	})
	return func() { t.Stop() }
}

// pick chooses a server for the request.
func (h *Handler) pick(q *request, exclude []sassafrastray.BackendName) (placement.Choice, bool) {
	only, except, narrow := h.Rollouts.Draw(q.service)
	c, ok := h.Placement.Pick(placement.Request{
		Service: q.service, Object: q.object, Sticky: q.route.Sticky, Regions: q.homes, Only: only, Except: except,
		Narrow: narrow, Rank: q.rank, Objective: q.route.LatencyObjective, TimeLeft: q.deadline.Sub(h.Clock.Now()), Exclude: exclude,
	})
	h.Metrics.Choices.WithLabelValues(string(c.Reason)).Inc()
	return c, ok
}

// release gives back the place that was held for a try that will not be.
func (h *Handler) release(c *placement.Choice) {
	if c != nil {
		h.Placement.Done(*c, placement.Cancelled, 0, nil)
	}
}

// outbound makes the request that a backend server sees.
func (h *Handler) outbound(q *request, req *fasthttp.Request, a *attempt) {
	q.ctx.Request.Header.CopyTo(&req.Header)
	d := &req.Header
	cleanRequest(d)
	d.SetRequestURIBytes(q.ctx.Request.Header.RequestURI())
	if q.team != "" {
		d.Set(h.Dialect.Team, string(q.team))
	}
	d.Set(h.Dialect.Expect, string(a.choice.Server.Name))
	d.Set(h.Dialect.Deadline, h.Dialect.FormatDeadline(q.deadline.Sub(h.Clock.Now())))
}

// cleanRequest removes the headers that concern the caller's connection only.
func cleanRequest(d *fasthttp.RequestHeader) {
	for name := range strings.SplitSeq(string(d.Peek(fasthttp.HeaderConnection)), ",") {
		if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, fasthttp.HeaderHost) {
			d.Del(name)
		}
	}
	hop.Clean(d)
}

// failed tells what an exchange without an answer means for its request.
func (h *Handler) failed(q *request, a *attempt) *refusal {
	fasthttp.ReleaseResponse(a.resp)
	a.resp = nil
	r := notRun(sassafrastray.ReasonBadResponse, string(a.out.Failure))
	if a.out.Sent {
		r.result = sassafrastray.ResultUnknown
	}
	switch a.out.Failure {
	case upstream.Dial:
		r.reason = sassafrastray.ReasonBackend
	case upstream.Silent:
		if a.next.Load() == nil {
			r.reason = sassafrastray.ReasonDeadline
		}
	case upstream.Aborted, upstream.Body:
		r.reason = sassafrastray.ReasonCallerGone
	}
	if r.result == sassafrastray.ResultNotRun {
		h.refund(q)
	}
	return r
}

// readAnswer holds the answer's body, or its beginning if it is large.
func (h *Handler) readAnswer(q *request, a *attempt) *refusal {
	stream, ok := a.resp.BodyStream().(io.ReadCloser)
	if !ok {
		return nil
	}
	size := a.resp.Header.ContentLength()
	if size > largeAnswer {
		a.stream = stream
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, largeAnswer))
	if err == nil && len(body) == largeAnswer {
		a.body, a.stream = body, stream
		return nil
	}
	if cerr := stream.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		h.discard(a)
		a.out.Failure = upstream.Cut
		reason := sassafrastray.ReasonBadResponse
		if q.isGone() {
			reason, a.out.Failure = sassafrastray.ReasonCallerGone, upstream.Aborted
		} else if !h.Clock.Now().Before(q.deadline) {
			reason, a.out.Failure = sassafrastray.ReasonDeadline, upstream.Silent
		}
		return &refusal{reason: reason, result: sassafrastray.ResultUnknown, detail: "the answer was not whole"}
	}
	a.body = body
	return nil
}

// discard gives up an answer.
func (h *Handler) discard(a *attempt) {
	if s, ok := a.resp.BodyStream().(io.ReadCloser); ok {
		// A short rest is read so that the connection can be used again; one
		// that can't be read closes it.
		_, _ = io.CopyN(io.Discard, s, held)
		_ = s.Close()
	}
}

// judge tells placement and the rollouts how the try ended.
func (h *Handler) judge(q *request, a *attempt, r *refusal) {
	took := h.Clock.Now().Sub(a.start)
	var load *sassafrastray.BackendLoad
	if a.resp != nil {
		if l, ok := h.Dialect.ParseLoad(a.resp.Header.Peek(h.Dialect.Load)); ok {
			load = &l
		}
	}
	end, seen, counts := placement.OK, canary.OK, true
	switch {
	case r == nil && a.resp.StatusCode() >= fasthttp.StatusInternalServerError:
		end, seen = placement.Failed, canary.Failed
	case r == nil:
		if a.choice.Baseline > 0 && took > slowFactor*a.choice.Baseline {
			seen = canary.Late
		}
	case r.reason == sassafrastray.ReasonShed:
		end, counts = placement.Shed, false
		if a.resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
			end = placement.Wrong
		}
		h.Metrics.Sheds.WithLabelValues(string(q.service)).Inc()
	case r.reason == sassafrastray.ReasonCallerGone:
		end, counts = placement.Cancelled, false
	case a.out.Failure == upstream.Dial:
		end, counts = placement.Refused, false
	case a.out.Failure == upstream.Silent:
		end, seen = placement.Timeout, canary.Late
	default:
		end, seen = placement.Failed, canary.Late
	}
	h.Placement.Done(a.choice, end, took, load)
	if counts {
		h.Rollouts.Saw(q.service, q.route.Name, a.choice.Server.Version, seen)
	}
}

// deliver passes an answer on.
func (h *Handler) deliver(q *request, a *attempt) {
	out := &q.ctx.Response
	closing := out.ConnectionClose()
	a.resp.Header.CopyTo(&out.Header)
	hop.Clean(&out.Header)
	out.Header.Del(h.Dialect.Load)
	h.Metrics.Bytes.WithLabelValues(string(q.service)).Add(float64(len(a.body)))
	skip := a.resp.SkipBody
	size := a.resp.Header.ContentLength()
	switch {
	case a.stream != nil:
		if len(a.body) > 0 {
			out.SetBodyStream(&joined{io.MultiReader(bytes.NewReader(a.body), a.stream), a.stream}, size)
		} else {
			out.SetBodyStream(a.stream, size)
		}
	case skip:
		out.SkipBody = true
	default:
		out.SetBodyRaw(a.body)
	}
	if a.stream == nil {
		fasthttp.ReleaseResponse(a.resp)
	}
	if closing || q.rest != nil {
		q.ctx.SetConnectionClose()
	}
}

// joined is a stream whose beginning was read already.
type joined struct {
	io.Reader
	io.Closer
}

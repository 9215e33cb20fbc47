package ingress

import (
	"bytes"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/limit/usage"
	"sassafrastray/internal/operator/crash"
	"sassafrastray/internal/traffic/hop"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/retry"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// tryShare is the share of the time until the deadline that a try of an
	// idempotent request may take before another server is tried.
	tryShare = 0.55

	// minTryFactor is the multiple of the expected time that a try may always
	// take before it is ended for another.
	minTryFactor = 4

	// maxBufferedResponse is the size in bytes above which a response is
	// streamed. A smaller one is buffered if there is memory for it, so that the
	// request can be sent again if the response breaks off.
	maxBufferedResponse = 640 << 10

	// smallResponse is the size in bytes up to which buffered responses don't
	// count towards the memory of large ones.
	smallResponse = 16 << 10
)

// notRunStatuses are the statuses that promise a caller that its request has not run.
var notRunStatuses = []int{
	fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable,
}

// attempt is one try at a backend server.
type attempt struct {
	choice placement.Choice
	start  time.Time
	// reserved is the reservation for the next try. It is set if this try was ended
	// early.
	reserved atomic.Pointer[reservation]
	resp     *fasthttp.Response
	out      upstream.Outcome
	body     blocks
	// held is the number of bytes of the handler's memory that hold the body.
	held int
	// stream is set for a response that is too large to be buffered.
	stream io.ReadCloser
	// run is the request's run in Handler.Usage, and sentAt when its first byte was sent.
	run    usage.Run
	sentAt time.Time
	// crashed means that the server crashed with the request.
	crashed bool
	// helper is the VM that the request was relayed to, or empty.
	helper sassafrastray.VMName
}

// reservation is a place at another server and the token of the team's quota for a
// further try.
type reservation struct {
	choice  placement.Choice
	verdict ratelimit.Verdict
}

// serve sends the request to a backend server, and retries after a failure that
// allows it. It returns nil if the response is set in the request's context; its
// body may still be streaming.
func (h *Handler) serve(q *request) *refusal {
	q.service = h.Splits.Next(q.route)
	if r := h.checkQuarantine(q); r != nil {
		return r
	}
	if !h.endsInTime(q) {
		return notRun(sassafrastray.ReasonLeaving, "no time is left for the request")
	}
	var exclude []sassafrastray.BackendName
	var mayHaveRun bool
	var failure *attempt
	var reserved *reservation
	for q.tries = 1; ; q.tries++ {
		runs := q.runs
		a, r := h.try(q, exclude, reserved)
		if reserved = nil; a != nil {
			reserved = a.reserved.Load()
		}
		if r == nil && failure != nil {
			h.releaseMemory(failure)
		}
		if r == nil && !h.isRetryable(q, a) {
			h.release(q, reserved)
			if r := h.checkPromise(q, a); r != nil {
				return r
			}
			h.deliver(q, a)
			return nil
		}
		if r == nil {
			failure = a
		}
		// An earlier try may have run, even if the last one did not.
		mayHaveRun = mayHaveRun || r == nil || r.result != sassafrastray.ResultNotRun
		if r != nil && mayHaveRun {
			r.result = sassafrastray.ResultUnknown
		}
		d := h.nextTry(q, a, r, exclude)
		d.Retry = d.Retry && q.repeatable() && !q.isGone() && !h.isHarmful(q, a) && h.endsInTime(q)
		if d.Retry && q.runs > runs && reserved == nil {
			v := h.Quotas.TakeAgain(q.team)
			d.Retry = v.OK
		}
		h.logTry(q, a, r, d.Retry, d.Backoff)
		if !d.Retry {
			h.release(q, reserved)
			return h.giveUp(q, failure, r)
		}
		exclude = d.Exclude
		h.Metrics.Retries.WithLabelValues(string(q.service)).Inc()
		time.Sleep(d.Backoff)
	}
}

// nextTry decides what follows a try. The end of a relayed request is final.
func (h *Handler) nextTry(q *request, a *attempt, r *refusal, exclude []sassafrastray.BackendName) retry.Decision {
	if a != nil && a.helper != "" {
		return retry.Decision{Reason: retry.Final}
	}
	return h.Retries.Next(h.retryAttempt(q, a, r, exclude))
}

// retryAttempt describes how a try ended to the retry policy. A response with a
// failure status has ReasonBadResponse, because another server may not fail.
func (h *Handler) retryAttempt(q *request, a *attempt, r *refusal, exclude []sassafrastray.BackendName) retry.Attempt {
	end := retry.Attempt{
		Service: q.service, Number: q.tries, Idempotent: q.route.Idempotent, Deadline: q.deadline,
		MaxAttempts: q.maxTries(), Exclude: exclude, Result: sassafrastray.ResultUnknown, Reason: sassafrastray.ReasonBadResponse,
	}
	if r != nil {
		end.Result, end.Reason = r.result, r.reason
	}
	if a != nil {
		end.Backend = a.choice.Server.Name
		if r != nil && !a.out.Sent {
			// No backend server received the request, so the route's limit on
			// attempts does not apply.
			end.Unsent, end.MaxAttempts = true, 0
		}
	}
	return end
}

// checkPromise refuses the answer of a server that may have run the request, if its status
// would tell the caller that it has not run and may be sent again. It drops that answer.
func (h *Handler) checkPromise(q *request, a *attempt) *refusal {
	status := a.resp.StatusCode()
	if q.route.Idempotent || !slices.Contains(notRunStatuses, status) {
		return nil
	}
	h.discard(a)
	return &refusal{reason: sassafrastray.ReasonBadResponse, result: sassafrastray.ResultUnknown, detail: "the server answered " + strconv.Itoa(status) + " and may have run it"}
}

// giveUp delivers the latest failure response of a backend server, if there is
// one, and otherwise returns the refusal.
func (h *Handler) giveUp(q *request, failure *attempt, r *refusal) *refusal {
	if failure != nil {
		h.deliver(q, failure)
		return nil
	}
	return r
}

// isRetryable reports whether the request is idempotent and the response is a
// failure that another server may not return.
func (h *Handler) isRetryable(q *request, a *attempt) bool {
	return q.route.Idempotent && a.stream == nil && a.helper == "" && a.resp.StatusCode() >= fasthttp.StatusInternalServerError &&
		a.resp.StatusCode() != fasthttp.StatusGatewayTimeout
}

// try sends the request once. It returns a refusal if there is no response, with
// the attempt if a server was chosen. If the request already has a reservation at
// a server, it is passed as reserved, which is nil otherwise.
func (h *Handler) try(
	q *request, exclude []sassafrastray.BackendName, reserved *reservation,
) (*attempt, *refusal) {
	if h.Pauses.Await() != q.pauses {
		// The key, the quota and the deadline were checked before the pause.
		h.release(q, reserved)
		r := notRun(sassafrastray.ReasonStaleConfig, "the VM was paused")
		r.retryAfter = pauseRetryAfter
		return nil, r
	}
	now := h.Clock.Now()
	if !now.Before(q.deadline) {
		h.release(q, reserved)
		return nil, notRun(sassafrastray.ReasonDeadline, "")
	}
	if a, r, ok := h.relay(q); ok {
		h.release(q, reserved)
		return a, r
	}
	if q.tries == 1 && (q.relayed == nil || q.relayed.First) {
		h.Retries.CountRequest(q.service)
	}
	c, ok := placement.Choice{}, reserved != nil
	if ok {
		c = reserved.choice
	} else {
		c, ok = h.pick(q, exclude)
	}
	q.choice = c
	if !ok {
		reason := sassafrastray.ReasonBusy
		if c.Reason == placement.None {
			reason = sassafrastray.ReasonBackend
		}
		r := notRun(reason, string(c.Reason))
		r.retryAfter = c.RetryAfter
		return nil, r
	}
	a := &attempt{choice: c, start: now, resp: fasthttp.AcquireResponse()}
	r := h.exchange(q, a, exclude)
	h.reportOutcome(q, a, r)
	return a, r
}

// refundToken returns the quota token of a refused request that has not run.
func (h *Handler) refundToken(q *request, r *refusal) {
	if q.verdict.OK && r.result == sassafrastray.ResultNotRun {
		h.Quotas.Refund(q.team, q.verdict)
	}
}

// exchange sends the request and reads the response.
func (h *Handler) exchange(q *request, a *attempt, exclude []sassafrastray.BackendName) *refusal {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	h.buildBackendRequest(q, req, a)
	call := h.newCall(q, req, a.choice.Server.Address)
	call.Ready = func() bool {
		if !h.Placement.Takes(a.choice) {
			return false
		}
		h.beginRun(q, a)
		return true
	}
	x := h.Pool.Start(call)
	q.attach(x)
	end := h.limitTry(q, a, x, exclude)
	h.await(a, x, req)
	end()
	q.sentAt = a.sentAt
	if a.out.Sent {
		q.sent++
	}
	if a.out.Failure != upstream.None {
		h.endRun(a, a.out.Sent)
		if a.out.Sent {
			q.runs++
		}
		h.checkCrash(q, a)
		return h.exchangeFailure(q, a)
	}
	misdirected := a.resp.StatusCode() == fasthttp.StatusMisdirectedRequest
	notExecuted := misdirected || len(a.resp.Header.Peek(h.Dialect.NotRun)) > 0
	h.endRun(a, !notExecuted)
	if !misdirected {
		// The body may take long, and what the server says of itself holds from now on.
		h.reportWords(a)
	}
	if notExecuted {
		// The response states that the backend server did not run the request.
		h.discard(a)
		return notRun(sassafrastray.ReasonShed, string(a.choice.Server.Name))
	}
	q.runs++
	h.recordAnswer(q, a)
	return h.readResponse(q, a)
}

// await waits for the server's response.
func (h *Handler) await(a *attempt, x *upstream.Exchange, req *fasthttp.Request) {
	answered := false
	id := h.Partition.Begin(a.choice.Expected)
	defer func() { h.Partition.End(id, answered) }()
	a.out = x.Do(req, a.resp)
	answered = a.out.Answered()
}

// newCall returns the call that sends the request's body to an address.
func (h *Handler) newCall(q *request, req *fasthttp.Request, to netip.AddrPort) upstream.Call {
	call := upstream.Call{Address: to, RequireFresh: !q.route.Idempotent, Deadline: q.deadline, ProgressTimeout: progressTimeout}
	switch {
	case q.rest != nil:
		call.Body, call.Size = io.MultiReader(bytes.NewReader(q.body), q.rest), q.header.ContentLength()
	case len(q.body) > 0:
		req.SetBodyRaw(q.body)
	}
	return call
}

// limitTry ends the try of an idempotent request early enough for another one, if
// at that time the retry budget and the team's quota have a token and another server can
// be reserved.
// A VM that is stopping doesn't end a try early, since a server may be working on
// it. The caller must call end when the exchange has ended.
func (h *Handler) limitTry(q *request, a *attempt, x *upstream.Exchange, exclude []sassafrastray.BackendName) (end func()) {
	left := q.deadline.Sub(a.start)
	d := max(time.Duration(tryShare*float64(left)), minTryFactor*a.choice.Expected)
	if !q.route.Idempotent || q.tries >= q.maxTries() || !q.repeatable() || d >= left {
		return func() {}
	}
	exclude = append(slices.Clone(exclude), a.choice.Server.Name)
	t := time.AfterFunc(d, func() {
		defer crash.Contain(h.Log, "second try")
		if h.isLeaving() || !h.Retries.HasToken(q.service) {
			return
		}
		c, ok := h.pick(q, exclude)
		if !ok {
			return
		}
		r := &reservation{choice: c, verdict: h.Quotas.TakeAgain(q.team)}
		if !r.verdict.OK {
			h.release(q, r)
			return
		}
		a.reserved.Store(r)
		x.Expire()
	})
	return func() { t.Stop() }
}

// pick chooses a server for the request.
func (h *Handler) pick(q *request, exclude []sassafrastray.BackendName) (placement.Choice, bool) {
	only, except, narrow := h.Rollouts.ChooseVersion(q.service)
	c, ok := h.Placement.Pick(placement.Request{
		Service: q.service, Object: q.object, Sticky: q.route.Sticky, Regions: q.regions, Only: only, Except: except,
		Narrow: narrow, Bytes: h.sizes.of(q.route.Name), Priority: q.priority, Objective: q.route.LatencyObjective, TimeLeft: q.deadline.Sub(h.Clock.Now()), Exclude: exclude,
	})
	h.Metrics.Choices.WithLabelValues(string(c.Reason)).Inc()
	if ok && c.Knowledge != "" {
		h.Metrics.Knowledge.WithLabelValues(string(c.Knowledge)).Inc()
		if c.ReportAge >= 0 {
			h.Metrics.ReportAge.Observe(c.ReportAge.Seconds())
		}
	}
	if c.Estimate.Region != "" {
		h.Metrics.RecordAdmission(q.service, c.Estimate.Region, string(c.Verdict.Reason), c.Verdict.Level)
	}
	return c, ok
}

// release cancels the reservation, if there is one, for a try that won't be made.
func (h *Handler) release(q *request, r *reservation) {
	if r == nil {
		return
	}
	h.Placement.Done(r.choice, placement.Cancelled, 0, nil)
	if r.verdict.OK {
		h.Quotas.Refund(q.team, r.verdict)
	}
}

// buildBackendRequest fills req with the request that a backend server receives.
func (h *Handler) buildBackendRequest(q *request, req *fasthttp.Request, a *attempt) {
	h.copyRequest(q, req)
	if q.team != "" {
		req.Header.Set(h.Dialect.Team, string(q.team))
	}
	req.Header.Set(h.Dialect.Expect, string(a.choice.Server.Name))
}

// copyRequest fills req with the header of the caller's request, without its key, and with
// the time that is left.
func (h *Handler) copyRequest(q *request, req *fasthttp.Request) {
	q.header.CopyTo(&req.Header)
	d := &req.Header
	hop.RemoveHeaders(d)
	// The Connection header may have named these.
	if q.id != "" {
		d.Set(h.Dialect.ID, q.id)
	}
	if q.object != "" {
		d.Set(h.Dialect.Object, q.object)
	}
	d.SetRequestURIBytes(q.header.RequestURI())
	d.Set(h.Dialect.Deadline, h.Dialect.FormatDeadline(q.deadline.Sub(h.Clock.Now())))
}

// exchangeFailure returns the refusal for an exchange that got no response.
func (h *Handler) exchangeFailure(q *request, a *attempt) *refusal {
	fasthttp.ReleaseResponse(a.resp)
	a.resp = nil
	r := notRun(sassafrastray.ReasonBadResponse, string(a.out.Failure))
	if a.out.Sent {
		r.result = sassafrastray.ResultUnknown
	}
	switch a.out.Failure {
	case upstream.Dial, upstream.Declined:
		r.reason = sassafrastray.ReasonBackend
	case upstream.Full:
		r.reason = sassafrastray.ReasonBusy
	case upstream.Silent:
		if a.reserved.Load() == nil {
			r.reason = sassafrastray.ReasonDeadline
		}
	case upstream.Body:
		r.reason = h.uploadFailure(q)
	case upstream.Aborted:
		r.reason = sassafrastray.ReasonCallerGone
	}
	return r
}

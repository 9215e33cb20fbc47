package ingress

import (
	"bytes"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/traffic/hop"
	"sassafrastray/internal/traffic/problem"
	"sassafrastray/internal/traffic/relay"
)

const (
	// pauseRetryAfter is the Retry-After of a request that the process was paused
	// with.
	pauseRetryAfter = 100 * time.Millisecond

	// startRetryAfter is the Retry-After of a VM that has no configuration yet.
	startRetryAfter = 500 * time.Millisecond

	// behindRetryAfter is the Retry-After of a VM of which the configuration is not the
	// latest one.
	behindRetryAfter = 500 * time.Millisecond

	// maxDrainBytes and maxDrainTime bound how much of the body of a refused
	// request is read.
	maxDrainBytes = 1 << 20
	maxDrainTime  = 500 * time.Millisecond
	// lateDrainTime replaces maxDrainTime after the request's deadline.
	lateDrainTime = 100 * time.Millisecond
)

// refusal is an error response that the system itself generates.
type refusal struct {
	reason sassafrastray.Reason
	result sassafrastray.Result
	// retryAfter is the time after which a retry may succeed, or zero if that is
	// unknown.
	retryAfter time.Duration
	detail     string
}

// notRun returns a refusal of a request that has not run.
func notRun(reason sassafrastray.Reason, detail string) *refusal {
	return &refusal{reason: reason, result: sassafrastray.ResultNotRun, detail: detail}
}

// admit sets the request's route, deadline, team and body, and refuses a request
// that is not allowed. It delays the request for as long as the team's quota
// requires.
func (h *Handler) admit(q *request) *refusal {
	q.pauses = h.Pauses.Await()
	s := h.snap.Load()
	if s == nil {
		r := notRun(sassafrastray.ReasonStaleConfig, "no configuration yet")
		r.retryAfter = startRetryAfter
		return r
	}
	q.config = s.Config.Number
	if q.relayed != nil {
		if r := h.admitRelayed(q, s); r != nil {
			return r
		}
	}
	q.route = s.Hosts.Find(string(q.ctx.Host()), q.path())
	if q.route == nil {
		return h.deny(sassafrastray.ReasonPath)
	}
	if q.route.Timeout > 0 {
		q.deadline = earliest(q.deadline, q.arrived.Add(q.route.Timeout))
	}
	q.priority, q.regions[0] = q.route.Priority, q.route.Regions
	if r := h.authenticate(q, s); r != nil {
		return r
	}
	limit := int64(0)
	if s.Config.Limits != nil {
		limit = s.Config.Limits.MaxBodyBytes
	}
	if r := h.readBody(q, limit); r != nil {
		return r
	}
	if q.rest == nil {
		h.Disconnects.Add(q, q.conn)
	}
	if q.route.Public || q.relayed != nil {
		return nil
	}
	return h.takeToken(q)
}

// deny returns the refusal of a request that the configuration does not allow. A later
// configuration may allow it, so a VM that may not have the latest one can't tell.
func (h *Handler) deny(reason sassafrastray.Reason) *refusal {
	detail := ""
	switch {
	case h.behind.Load():
		detail = "behind"
	case h.MaxConfigAge > 0 && h.ConfigAge() > h.MaxConfigAge:
		detail = "unconfirmed"
	default:
		return notRun(reason, "")
	}
	r := notRun(sassafrastray.ReasonStaleConfig, detail)
	r.retryAfter = behindRetryAfter
	return r
}

// takeToken takes a token of the team's quota, and waits for it if there is one soon.
func (h *Handler) takeToken(q *request) *refusal {
	v := h.Quotas.Take(q.team)
	for v.OK && v.Delay > 0 {
		q.delay += v.Delay
		time.Sleep(v.Delay)
		v = h.Quotas.Claim(q.team, v)
	}
	q.verdict = v
	if !v.OK {
		r := notRun(sassafrastray.ReasonQuota, string(q.team))
		r.retryAfter = v.Wait
		return r
	}
	return nil
}

// authenticate finds the team of the request's key. It removes the key and the
// headers that the system sets itself, also on public routes.
func (h *Handler) authenticate(q *request, s *Snapshot) *refusal {
	d := q.header
	k := bytes.Clone(d.Peek(h.Dialect.Key))
	q.key = k
	hop.Delete(d, h.Dialect.Key, h.Dialect.Team, h.Dialect.Expect)
	if q.route.Public {
		return nil
	}
	name, ok := s.Keys.Team(k)
	team := s.Teams[name]
	if !ok || team == nil {
		return h.deny(sassafrastray.ReasonKey)
	}
	q.team, q.regions[1] = name, team.Regions
	if team.Priority != nil {
		q.priority = *team.Priority
	}
	return nil
}

// refuse responds with the refusal. The status tells whether the request may have
// run: if so, it is 502 or 504. Otherwise it is that of the reason, with 503 in
// place of any other server error.
func (h *Handler) refuse(q *request, r *refusal) {
	ctx := q.ctx
	p := problem.New(r.reason, r.result, r.detail, q.id)
	switch {
	case r.result != sassafrastray.ResultNotRun && r.reason == sassafrastray.ReasonDeadline:
		p.Status = fasthttp.StatusGatewayTimeout
	case r.result != sassafrastray.ResultNotRun:
		p.Status = fasthttp.StatusBadGateway
	case p.Status >= fasthttp.StatusInternalServerError:
		p.Status = fasthttp.StatusServiceUnavailable
	}
	closing := ctx.Response.ConnectionClose()
	p.Write(ctx)
	if q.id != "" {
		ctx.Response.Header.Set(h.Dialect.ID, q.id)
	}
	if q.relayed != nil {
		relay.Result{Reason: r.reason, Result: r.result, Wait: r.retryAfter, Detail: r.detail}.Write(&ctx.Response.Header)
	}
	if r.retryAfter > 0 && r.result == sassafrastray.ResultNotRun {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, h.Dialect.FormatWait(r.retryAfter))
	}
	if !h.drain(q) || closing {
		ctx.SetConnectionClose()
	}
}

// drain reads and discards a bounded part of the remaining body. If the
// connection is closed while the caller is still writing, the caller may lose
// the response. It reports whether the connection can carry another request.
func (h *Handler) drain(q *request) bool {
	if q.stream == nil {
		return true
	}
	if q.body != nil && q.rest == nil {
		return true
	}
	buf := make([]byte, 32<<10)
	now, limit := h.Clock.Now(), maxDrainTime
	if !now.Before(q.deadline) {
		limit = lateDrainTime
	}
	q.conn.SetReadDeadline(now.Add(limit))
	defer q.conn.SetReadDeadline(time.Time{})
	for left := maxDrainBytes; left > 0; {
		n, err := q.stream.Read(buf)
		left -= n
		if err != nil {
			return err == io.EOF
		}
	}
	return false
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

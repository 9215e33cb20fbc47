package ingress

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/traffic/problem"
)

const (
	// startWait is when to come back to a VM that has no configuration yet.
	startWait = 500 * time.Millisecond

	// drainBytes bounds what is read of a body that is refused, in bytes.
	drainBytes = 1 << 20
	drainTime  = 500 * time.Millisecond
)

// refusal is an answer that the system gives by itself.
type refusal struct {
	reason sassafrastray.Reason
	result sassafrastray.Result
	// wait is when a repeated request may fare better, if known.
	wait   time.Duration
	detail string
}

func notRun(reason sassafrastray.Reason, detail string) *refusal {
	return &refusal{reason: reason, result: sassafrastray.ResultNotRun, detail: detail}
}

// admit finds out who asks for what, and whether that is allowed.
func (h *Handler) admit(q *request) *refusal {
	s := h.snap.Load()
	if s == nil {
		r := notRun(sassafrastray.ReasonStaleConfig, "no configuration yet")
		r.wait = startWait
		return r
	}
	q.config = s.Config.Number
	q.route = s.Hosts.Find(string(q.ctx.Host()), q.path())
	if q.route == nil {
		return notRun(sassafrastray.ReasonPath, "")
	}
	if q.route.Timeout > 0 {
		q.deadline = earlier(q.deadline, q.arrived.Add(q.route.Timeout))
	}
	q.rank, q.homes[0] = q.route.Priority, q.route.Regions
	if r := h.identify(q, s); r != nil {
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
		h.Hangups.Add(q, q.conn)
	}
	if q.route.Public {
		return nil
	}
	q.verdict = h.Quotas.Take(q.team)
	if !q.verdict.OK {
		r := notRun(sassafrastray.ReasonQuota, string(q.team))
		r.wait = q.verdict.Wait
		return r
	}
	time.Sleep(q.verdict.Delay)
	return nil
}

// identify finds the team of the request's key and removes the key. Headers
// that the system sets itself are removed on every route.
func (h *Handler) identify(q *request, s *Snapshot) *refusal {
	d := &q.ctx.Request.Header
	k := append([]byte(nil), d.Peek(h.Dialect.Key)...)
	d.Del(h.Dialect.Key)
	d.Del(h.Dialect.Team)
	d.Del(h.Dialect.Expect)
	if q.route.Public {
		return nil
	}
	name, ok := s.Keys.Team(k)
	team := s.Teams[name]
	if !ok || team == nil {
		return notRun(sassafrastray.ReasonKey, "")
	}
	q.team, q.homes[1] = name, team.Regions
	if team.Priority != nil {
		q.rank = *team.Priority
	}
	return nil
}

// refuse answers in the system's own name. A request that has not run gets a
// status that says so, and one that may have run gets none of those.
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
	if r.wait > 0 && r.result == sassafrastray.ResultNotRun {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, h.Dialect.FormatWait(r.wait))
	}
	if !h.drain(q) || closing {
		ctx.SetConnectionClose()
	}
}

// drain reads and forgets a bounded rest of a body that nobody wants, because a
// caller who still writes when its connection is closed may lose the answer. It
// reports whether the connection can carry another request.
func (h *Handler) drain(q *request) bool {
	if !q.ctx.Request.IsBodyStream() {
		return true
	}
	if q.body != nil && q.rest == nil {
		return true
	}
	buf := make([]byte, 32<<10)
	q.conn.SetReadDeadline(h.Clock.Now().Add(drainTime))
	defer q.conn.SetReadDeadline(time.Time{})
	stream := q.ctx.Request.BodyStream()
	for left := drainBytes; left > 0; {
		n, err := stream.Read(buf)
		left -= n
		if err != nil {
			return err == io.EOF
		}
	}
	return false
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

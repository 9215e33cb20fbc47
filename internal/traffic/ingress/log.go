package ingress

import (
	"context"
	"log/slog"
	"time"

	"sassafrastray"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/traffic/placement"
)

// recordEnd counts a request that has ended and writes its log line.
func (h *Handler) recordEnd(q *request, r *refusal) {
	now := h.Clock.Now()
	reason := sassafrastray.ReasonOK
	if r != nil {
		reason = r.reason
	}
	side := "callers"
	if q.relayed != nil {
		side = "vms"
	}
	h.Metrics.Requests.WithLabelValues(side, string(q.service), string(q.team), string(reason)).Inc()
	h.Metrics.Latency.WithLabelValues(side, string(q.service)).Observe(now.Sub(q.arrived).Seconds())
	level := slog.LevelInfo
	if r != nil {
		level = slog.LevelWarn
	}
	if !h.Log.Enabled(context.Background(), level) {
		return
	}
	args := []any{
		"request", q.id, "object", q.object, "route", q.routeName(), "team", q.team, "service", q.service, "config", q.config,
		"reason", reason, "status", q.ctx.Response.StatusCode(), "tries", q.tries, "runs", q.runs, "took", now.Sub(q.arrived),
		"left", q.deadline.Sub(now), "share", q.verdict.Share, "lent", q.verdict.Lent, "borrowed", q.verdict.Borrowed, "vms", q.verdict.VMs, "delay", q.delay,
		"tokens", q.verdict.Tokens, "capacity", q.verdict.Capacity,
	}
	if q.verdict.Holder.IsValid() {
		args = append(args, "holder", q.verdict.Holder, "asked", q.verdict.Asked)
	}
	if q.helper != "" {
		args = append(args, "through", q.helper)
	}
	args = appendChoice(args, &q.choice)
	if !q.sentAt.IsZero() {
		args = append(args, "sentAfter", q.sentAt.Sub(q.arrived))
	}
	answered, refused := message.Answered, message.Refused
	if q.relayed != nil {
		answered, refused = message.RelayedAnswered, message.RelayedRefused
	}
	if r != nil {
		args = append(args, "result", r.result, "detail", r.detail, "wait", r.retryAfter)
		h.Log.Warn(refused, args...)
		return
	}
	h.Log.Info(answered, args...)
}

// logTry writes a log line about a try whose response was not used, with the
// decision on a retry. The line at the end of the request describes only the last
// try.
func (h *Handler) logTry(q *request, a *attempt, r *refusal, again bool, pause time.Duration) {
	if a == nil || !h.Log.Enabled(context.Background(), slog.LevelWarn) {
		return
	}
	now := h.Clock.Now()
	args := []any{
		"request", q.id, "try", q.tries, "service", q.service, "config", q.config, "took", now.Sub(a.start),
		"left", q.deadline.Sub(now), "address", a.choice.Server.Address, "sent", a.out.Sent,
	}
	if a.helper != "" {
		args = append(args, "through", a.helper)
	}
	args = appendChoice(args, &a.choice)
	if !a.sentAt.IsZero() {
		args = append(args, "sentAfter", a.sentAt.Sub(a.start))
	}
	if r == nil {
		args = append(args, "reason", "failure", "status", a.resp.StatusCode())
	} else {
		args = append(args, "reason", r.reason, "result", r.result, "detail", r.detail)
	}
	h.Log.Warn(message.TryFailed, append(args, "again", again, "pause", pause)...)
}

// appendChoice appends the log attributes of the chosen backend server and the
// reasons for the choice.
func appendChoice(args []any, c *placement.Choice) []any {
	if c.Server.Name == "" {
		return args
	}
	if c.Knowledge != "" {
		args = append(args, "knowledge", c.Knowledge)
	}
	if c.Estimate.Region != "" {
		args = append(args, "expectedWait", c.Estimate.Wait, "work", c.Estimate.Work, "regionLoad", c.Estimate.RegionLoad, "level", c.Verdict.Level)
	}
	return append(args, "backend", c.Server.Name, "version", c.Server.Version, "domain", c.Server.Domain,
		"choice", c.Reason, "load", c.Load, "report", c.ReportAge, "warm", c.Warm, "expected", c.Expected,
		"weighed", c.Considered, "next", c.Next, "nextExpected", c.NextExpected)
}

package ingress

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/upstream"
)

// lateFactor is the multiple of the usual time above which a response counts
// against its version. A server takes about three times as long for an object
// that it has not handled recently, which must not count.
const lateFactor = 5

// reportOutcome reports to placement and the rollouts how the try ended.
func (h *Handler) reportOutcome(q *request, a *attempt, r *refusal) {
	took := h.Clock.Now().Sub(a.start)
	if a.out.Sent {
		h.durations.record(q.route.Name, took)
	}
	var load *sassafrastray.BackendLoad
	if a.resp != nil {
		if l, ok := h.Dialect.ParseLoad(a.resp.Header.Peek(h.Dialect.Load)); ok {
			load = &l
		}
	}
	end, seen, counts := placement.OK, rollout.OK, true
	switch {
	case r == nil && a.resp.StatusCode() >= fasthttp.StatusInternalServerError:
		end, seen = placement.Failed, rollout.Failed
	case r == nil:
		if a.choice.Baseline > 0 && took > lateFactor*a.choice.Baseline {
			seen = rollout.Late
		}
	case r.reason == sassafrastray.ReasonShed:
		end, counts = placement.Shed, false
		if a.resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
			end = placement.Wrong
		}
		h.Metrics.Sheds.WithLabelValues(string(q.service)).Inc()
	case r.reason == sassafrastray.ReasonCallerGone, a.out.Failure == upstream.Body, a.out.Failure == upstream.Declined, a.out.Failure == upstream.Full:
		end, counts = placement.Cancelled, false
	case a.out.Failure == upstream.Dial:
		end, counts = placement.Refused, false
	case a.crashed:
		end, seen = placement.Refused, rollout.Late
	case a.out.Failure == upstream.Silent:
		end, seen = placement.Timeout, rollout.Late
	default:
		end, seen = placement.Failed, rollout.Late
	}
	h.Placement.Done(a.choice, end, took, load)
	if r == nil {
		h.endLimit(a)
	}
	if counts && (r == nil || h.Partition.HeardSince(a.start)) {
		h.Rollouts.Observe(q.service, q.route.Name, a.choice.Server.Version, seen)
	}
}

// reportWords reports what the server says of itself in the head of its response.
func (h *Handler) reportWords(a *attempt) {
	h.reportLimit(a)
	h.reportLeaving(a)
	h.reportPause(a)
}

// reportLeaving reports that the server said in its response that it leaves.
func (h *Handler) reportLeaving(a *attempt) {
	if slices.ContainsFunc(a.resp.Header.PeekAll(h.Dialect.Leaving), h.Dialect.ParseLeaving) {
		h.Placement.SetLeaving(a.choice)
	}
}

// reportPause reports the pause that the server named when it turned the request away. If
// it named several, the longest binds; a value that can't be read changes nothing.
func (h *Handler) reportPause(a *attempt) {
	if a.resp.StatusCode() != fasthttp.StatusServiceUnavailable {
		return
	}
	longest := time.Duration(0)
	for _, b := range a.resp.Header.PeekAll(h.Dialect.Pause) {
		d, ok := h.Dialect.ParsePause(b)
		if !ok {
			h.Log.Warn(message.PauseUnreadable, "backend", a.choice.Server.Name, "value", string(b))
			continue
		}
		longest = max(longest, d)
	}
	if longest > 0 {
		h.Placement.SetPause(a.choice, longest)
	}
}

// reportLimit reports the limit that the server named in its response. If it named
// several, the lowest binds; a value that can't be read changes nothing.
func (h *Handler) reportLimit(a *attempt) {
	lowest, readable := 0.0, false
	for _, b := range a.resp.Header.PeekAll(h.Dialect.Limit) {
		n, ok := h.Dialect.ParseLimit(b)
		if !ok {
			h.Log.Warn(message.LimitUnreadable, "backend", a.choice.Server.Name, "value", string(b))
			continue
		}
		if !readable || n < lowest {
			lowest, readable = n, true
		}
	}
	if readable {
		h.Placement.SetLimit(a.choice, lowest)
	}
}

// endLimit ends the server's limit after a whole response to a request that ran, if that
// names none.
func (h *Handler) endLimit(a *attempt) {
	if len(a.resp.Header.PeekAll(h.Dialect.Limit)) == 0 {
		h.Placement.EndLimit(a.choice)
	}
}

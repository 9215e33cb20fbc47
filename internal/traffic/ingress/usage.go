package ingress

import (
	"time"

	"sassafrastray/internal/traffic/upstream"
)

// beginRun records that the first byte of a request is about to be sent to the attempt's
// server, and counts the run of a team's request. It begins there half a round trip later.
func (h *Handler) beginRun(q *request, a *attempt) {
	a.sentAt = h.Clock.Now()
	h.Metrics.SendDelay.WithLabelValues(regionLabel(a.choice.Distance)).Observe(a.sentAt.Sub(a.start).Seconds())
	if h.Usage == nil || q.team == "" {
		return
	}
	a.run = h.Usage.Begin(q.team, a.choice.Distance/2)
}

// regionLabel returns the value of metrics' label region, by the round trip to the server.
func regionLabel(distance time.Duration) string {
	if distance > 0 {
		return "other"
	}
	return "near"
}

// endRun records whether the attempt's request ran.
func (h *Handler) endRun(a *attempt, ran bool) {
	if h.Usage == nil || a.run == 0 {
		return
	}
	h.Usage.End(a.run, runAge(h.Clock.Now().Sub(a.sentAt), a.choice.Distance, a.choice.Work(), a.out.Failure == upstream.None), ran)
	a.run = 0
}

// runAge estimates how long ago a run began whose request was sent at a time before now. A
// server may have queued the request, so a run that has just been answered began no
// earlier than its work before the answer. Work is zero if it is not known.
func runAge(sent, trip, work time.Duration, answered bool) time.Duration {
	age := sent - trip/2
	if answered && work > 0 {
		age = min(age, work+trip/2)
	}
	return max(0, age)
}

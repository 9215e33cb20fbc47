package entry

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/limit/quota"
)

const (
	// maxTokenWait is the longest that a request waits for its team's quota
	// in place of a refusal.
	maxTokenWait = 400 * time.Millisecond

	// tokenAge is how long before its first byte a request may have taken its
	// token.
	tokenAge = 2 * time.Millisecond
)

// QuotaKey returns the key of a team's quota at a service.
func QuotaKey(s sassafrastray.ServiceName, t sassafrastray.TeamName) string {
	return string(s) + "/" + string(t)
}

// take takes a token of the team's quota.
func (h *Handler) take(in *inbound) quota.Verdict {
	now := h.Clock.Now()
	if in.route.Public {
		in.taken = now
		return quota.Verdict{OK: true}
	}
	v := h.Quotas.Take(QuotaKey(in.service.Name, in.team), 1, now)
	in.hold(v, now)
	return v
}

func (in *inbound) hold(v quota.Verdict, now time.Time) {
	if v.OK {
		in.stamp, in.taken = v.Stamp, now
	}
}

// refund gives the request's token back, if it holds one.
func (h *Handler) refund(in *inbound) {
	if !in.taken.IsZero() && !in.route.Public {
		h.Quotas.Refund(QuotaKey(in.service.Name, in.team), 1, in.stamp, h.Clock.Now())
	}
	in.taken = time.Time{}
}

// token takes a token of the team's quota, waiting a little for one that is
// about to come.
func (h *Handler) token(in *inbound, giveUp time.Time) *refusal {
	for v := h.take(in); !v.OK; {
		now := h.Clock.Now()
		if v.Wait <= 0 || now.Add(v.Wait).After(giveUp) || now.Add(v.Wait).After(in.deadline) {
			r := notRun(sassafrastray.ReasonQuota, string(in.team))
			r.wait = max(v.Wait, time.Second)
			return r
		}
		if !h.await(in, v.Wait) {
			return notRun(sassafrastray.ReasonCallerGone, "")
		}
		now = h.Clock.Now()
		v = h.Quotas.Again(QuotaKey(in.service.Name, in.team), 1, v.Stamp, now)
		in.hold(v, now)
	}
	return nil
}

// charge makes sure, right before the first byte is sent, that the request
// holds a token that it took just now. A token that was taken earlier, before
// a wait in the queue or for a connection, would let requests bunch up beyond
// the burst.
func (h *Handler) charge(in *inbound) bool {
	if !in.taken.IsZero() && h.Clock.Now().Sub(in.taken) <= tokenAge {
		return true
	}
	h.refund(in)
	return h.take(in).OK
}

// await waits until a token may have come, at most for d. It reports false if
// the caller hung up meanwhile.
func (h *Handler) await(in *inbound, d time.Duration) bool {
	ready, leave := h.Quotas.Await(QuotaKey(in.service.Name, in.team))
	defer leave()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ready:
	case <-t.C:
	case <-in.leave:
		return false
	}
	return true
}

package entry

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/limit/quota"
)

const (
	// maxTokenWait is the longest time that a request waits for a token of its
	// team's quota before it is refused.
	maxTokenWait = 400 * time.Millisecond

	// maxTokenAge is the greatest age of a request's token when its first byte is
	// sent.
	maxTokenAge = 2 * time.Millisecond
)

// QuotaKey returns the key of a team's quota at a service.
func QuotaKey(s sassafrastray.ServiceName, t sassafrastray.TeamName) string {
	return string(s) + "/" + string(t)
}

// takeToken takes a token of the team's quota. A public route needs none.
func (h *Handler) takeToken(in *inbound) quota.Verdict {
	now := h.Clock.Now()
	if in.route.Public {
		in.tokenTaken = now
		return quota.Verdict{OK: true}
	}
	v := h.Quotas.Take(QuotaKey(in.service.Name, in.team), 1, now)
	in.holdToken(v, now)
	return v
}

// holdToken records the token that the verdict grants, if any.
func (in *inbound) holdToken(v quota.Verdict, now time.Time) {
	if v.OK {
		in.tokenStamp, in.tokenTaken = v.Stamp, now
	}
}

// refundToken returns the request's token to the quota, if it holds one.
func (h *Handler) refundToken(in *inbound) {
	if !in.tokenTaken.IsZero() && !in.route.Public {
		h.Quotas.Refund(QuotaKey(in.service.Name, in.team), 1, in.tokenStamp, h.Clock.Now())
	}
	in.tokenTaken = time.Time{}
}

// waitForToken takes a token of the team's quota. It waits for one that is
// expected before giveUpAt and before the request's deadline.
func (h *Handler) waitForToken(in *inbound, giveUpAt time.Time) *refusal {
	for v := h.takeToken(in); !v.OK; {
		now := h.Clock.Now()
		if v.Wait <= 0 || now.Add(v.Wait).After(giveUpAt) || now.Add(v.Wait).After(in.deadline) {
			r := notRun(sassafrastray.ReasonQuota, string(in.team))
			r.retryAfter = max(v.Wait, time.Second)
			return r
		}
		if !h.awaitToken(in, v.Wait) {
			return notRun(sassafrastray.ReasonCallerGone, "")
		}
		now = h.Clock.Now()
		v = h.Quotas.TakeAgain(QuotaKey(in.service.Name, in.team), 1, v.Stamp, now)
		in.holdToken(v, now)
	}
	return nil
}

// ensureFreshToken checks, right before the first byte is sent, that the request
// holds a token no older than maxTokenAge, and otherwise takes a new one. With
// tokens taken before a wait in the queue or for a connection, requests could be
// sent together in excess of the burst. It reports whether the request holds a
// token.
func (h *Handler) ensureFreshToken(in *inbound) bool {
	if !in.tokenTaken.IsZero() && h.Clock.Now().Sub(in.tokenTaken) <= maxTokenAge {
		return true
	}
	h.refundToken(in)
	return h.takeToken(in).OK
}

// awaitToken waits until a token may be available, but no longer than d. It
// returns false if the caller disconnects meanwhile.
func (h *Handler) awaitToken(in *inbound, d time.Duration) bool {
	ready, leave := h.Quotas.Await(QuotaKey(in.service.Name, in.team))
	defer leave()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ready:
	case <-t.C:
	case <-in.disconnected:
		return false
	}
	return true
}

package ratelimit

import (
	"math"
	"time"
)

// wait returns how long a request has to wait until it may be admitted.
func (l *Limiter) wait(t *team, now time.Time) time.Duration {
	missing := 1 - t.tokens
	if missing <= 0 || t.inLightUse(now, l.opt.Window) && missing <= lightBurst-t.capacity {
		return 0
	}
	if t.refill <= 0 {
		return unknownWait
	}
	return min(math.MaxInt32*time.Millisecond, time.Duration(missing/t.refill*float64(time.Second)))
}

// inLightUse reports whether the team uses little of its quota, and this VM less than
// its share. In the first window after the bucket was emptied that is not known.
func (t *team) inLightUse(now time.Time, window time.Duration) bool {
	used := float64(len(t.admitted))
	return now.Sub(t.emptyAt) >= window && used+1 <= max(1, t.lightBudget) && used+float64(t.othersAdmitted) < t.lightUseLimit
}

// maxDelay returns how long an admitted request may wait. The requests of a team above
// its rate don't wait: each of them would, and none would be served sooner.
func (t *team) maxDelay(now time.Time, window time.Duration) time.Duration {
	switch {
	case t.slowRate > t.refill:
		return 0
	case now.Sub(t.emptyAt) < window:
		return maxStartDelay
	}
	return maxDelay
}

// refillTo adds the tokens of the time until now.
func (t *team) refillTo(now time.Time) {
	if d := now.Sub(t.refilledAt); d > 0 {
		t.tokens = min(t.capacity, t.tokens+t.refill*d.Seconds())
		t.refilledAt = now
	}
}

// dropExpired removes the requests that have left the window.
func (t *team) dropExpired(now time.Time, window time.Duration) {
	n := 0
	for n < len(t.admitted) && now.Sub(t.admitted[n]) >= window {
		n++
	}
	t.admitted = append(t.admitted[:0], t.admitted[n:]...)
}

// decay brings the moving averages up to now.
func (t *team) decay(now time.Time) {
	if d := now.Sub(t.countedAt); d > 0 {
		t.fastRate *= math.Exp(-float64(d) / float64(riseTimeConstant))
		t.slowRate *= math.Exp(-float64(d) / float64(fallTimeConstant))
		t.countedAt = now
	}
}

// demand returns the requests per second that the team sends to the VM: the slow
// average, or the fast one less its random variation if that is higher.
func (t *team) demand() float64 {
	n := t.fastRate * riseTimeConstant.Seconds()
	age := t.countedAt.Sub(t.countedFrom)
	slow := t.slowRate / (1 - math.Exp(-float64(max(age, riseTimeConstant))/float64(fallTimeConstant)))
	return max(slow, (n-riseDeviations*math.Sqrt(n))/riseTimeConstant.Seconds())
}

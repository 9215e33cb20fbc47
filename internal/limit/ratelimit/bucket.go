package ratelimit

import (
	"math"
	"time"
)

// tokenRounding makes up for rounding in a bucket that refills by small amounts.
const tokenRounding = 1e-9

type (
	// bucket is a token bucket. Tokens is its content as of refilledAt. Refill is in
	// tokens per second.
	bucket struct {
		tokens, refill, capacity float64
		refilledAt               time.Time
		// emptyAt is when the bucket was last emptied: at a start of the VM, after a
		// pause, or when it learned of the team.
		emptyAt time.Time
		// waiting is the number of requests that wait for a token.
		waiting int
		// taken holds the tokens taken lately that a refund would return, the oldest
		// first, with what is left of each. Refundable is the sum of it.
		taken      []takenToken
		refundable float64
		ticket     uint64
		// reserved holds until when capacity backs each token that another VM may
		// still use.
		reserved []time.Time
	}

	takenToken struct {
		ticket uint64
		left   float64
	}
)

// waitFor returns how long a request has to wait for a token behind others. It returns
// false if the bucket can't hold a token.
func (b *bucket) waitFor(others int, now time.Time) (time.Duration, bool) {
	missing := 1 + float64(others) - b.tokens
	if missing <= tokenRounding {
		return 0, true
	}
	if b.refill <= 0 || b.room(now) < 1 {
		return unknownWait, false
	}
	return min(math.MaxInt32*time.Millisecond, time.Duration(math.Ceil(missing/b.refill*float64(time.Second)))), true
}

// take takes a token for a request that is admitted and returns its ticket. The tokens are
// negative after requests that are admitted before.
func (t *team) take(now time.Time) uint64 {
	t.admitted = append(t.admitted, now)
	return t.bucket.take()
}

// take takes a token and returns its ticket.
func (b *bucket) take() uint64 {
	if b.tokens--; math.Abs(b.tokens) < tokenRounding {
		b.tokens = 0
	}
	b.ticket++
	b.taken, b.refundable = append(b.taken, takenToken{b.ticket, 1}), b.refundable+1
	return b.ticket
}

// refund returns what is left of a token: what the bucket would hold if it had not been
// taken. A whole one could exceed what the bucket may give in a window, if the bucket was
// full in between.
func (b *bucket) refund(ticket uint64) {
	for i, t := range b.taken {
		if t.ticket == ticket {
			b.tokens += t.left
			b.refundable -= t.left
			b.taken = append(b.taken[:i], b.taken[i+1:]...)
			return
		}
	}
}

// reserve sets a token's capacity aside until a time.
func (b *bucket) reserve(until time.Time) { b.reserved = append(b.reserved, until) }

// room returns the capacity less what is reserved at a time.
func (b *bucket) room(now time.Time) float64 {
	n := 0
	for n < len(b.reserved) && !now.Before(b.reserved[n]) {
		n++
	}
	b.reserved = append(b.reserved[:0], b.reserved[n:]...)
	return max(0, b.capacity-float64(len(b.reserved)))
}

// refillTo adds the tokens of the time until now.
func (b *bucket) refillTo(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens += b.refill * d.Seconds()
		b.refilledAt = now
	}
	b.clip(now)
}

// resize changes the refill and the capacity. More of them adds no tokens.
func (b *bucket) resize(refill, capacity float64, now time.Time) {
	b.refillTo(now)
	b.refill, b.capacity = refill, capacity
	b.clip(now)
}

// clip drops the tokens above the capacity, and of the refunds those of which the tokens
// would have been dropped.
func (b *bucket) clip(now time.Time) {
	room := b.room(now)
	b.tokens = min(b.tokens, room)
	excess := b.tokens + b.refundable - room
	n := 0
	for n < len(b.taken) && excess > 0 {
		cut := min(excess, b.taken[n].left)
		b.taken[n].left -= cut
		b.refundable -= cut
		if excess -= cut; b.taken[n].left > tokenRounding {
			break
		}
		b.refundable -= b.taken[n].left
		n++
	}
	b.taken = append(b.taken[:0], b.taken[n:]...)
}

// mayAdvance reports whether the VM may admit a request before it has a token for it: with
// it, the VM has admitted at most its own part of the team's limit within the window, and
// maxAdvance in advance. What an earlier process of the VM admitted is not known, so that
// counts only later.
func (l *Limiter) mayAdvance(t *team, now time.Time) bool {
	if !l.isScattered(t) || t.tokens < 1-maxAdvance {
		return false
	}
	if window := l.opt.Window + GrantTime + clockMargin; l.age(now) < loanTime+clockMargin+window || now.Sub(t.emptyAt) < window {
		return false
	}
	admitted, own := l.countAdmitted(t, now), t.own
	for i := range t.owned {
		own = min(own, t.owned[i].own)
	}
	return float64(admitted+1) <= own*l.limit(t)
}

// countAdmitted returns the number of requests admitted within the window, and forgets what
// was before it. A token that was granted may be used somewhat later.
func (l *Limiter) countAdmitted(t *team, now time.Time) int {
	from := now.Add(-l.opt.Window - GrantTime - clockMargin)
	n := 0
	for n < len(t.admitted) && t.admitted[n].Before(from) {
		n++
	}
	t.admitted = append(t.admitted[:0], t.admitted[n:]...)
	n = 0
	for n+1 < len(t.owned) && t.owned[n+1].from.Before(from) {
		n++
	}
	t.owned = append(t.owned[:0], t.owned[n:]...)
	return len(t.admitted)
}

// maxDelay returns how long an admitted request may wait. The requests of a team above
// its rate don't wait: each of them would, and none would be served sooner.
func (l *Limiter) maxDelay(t *team, now time.Time) time.Duration {
	refill := t.refill
	if b := l.initialBucket(t); b != nil {
		refill = b.refill
	}
	switch {
	case t.slowRate > refill:
		return 0
	case now.Sub(t.emptyAt) < l.opt.Window:
		return maxStartDelay
	}
	return maxDelay
}

// waitFor returns how long a request of the team has to wait for a token behind others. It
// returns false if the VM can't hold a token.
func (l *Limiter) waitFor(t *team, others int, now time.Time) (time.Duration, bool) {
	if b := l.initialBucket(t); b != nil {
		return b.waitFor(others, now)
	}
	return t.waitFor(others, now)
}

// initialBucket returns the team's bucket as it will soon be at a VM that started and does
// without its part yet. It returns nil for other VMs.
func (l *Limiter) initialBucket(t *team) *bucket {
	d := &l.ledger
	if d.settled || d.confirmed && d.base > 0 || d.vms == 0 || !l.owner {
		return nil
	}
	share := 1 / float64(d.vms)
	refill, most := l.limits(t)
	return &bucket{tokens: t.tokens, refill: share * refill, capacity: bucketCapacity(share, most, d.vms)}
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

package scheduler

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// maxConsecutiveFailures is how many failures in a row mark a backend
	// server as down.
	maxConsecutiveFailures = 3
	// maxFailureRatio is the moving average of failed requests, from 0 to 1,
	// that also marks it as down. failureSampleWeight is the weight of one
	// result in that average.
	maxFailureRatio     = 0.5
	failureSampleWeight = 1.0 / 8
	// probesToUp is how many single requests must succeed before a backend
	// server that is down is up again.
	probesToUp = 2
	// idleRaiseIntervals is the number of recovery intervals after which a
	// limit is raised even if no request has been answered.
	idleRaiseIntervals = 10

	probePause          = 500 * time.Millisecond
	probePauseMax       = 8 * time.Second
	idempotentProbeWait = 2 * time.Second // how long a probe waits for an idempotent request
	panicPause          = 100 * time.Millisecond
	shedPause           = 20 * time.Millisecond
	shedPauseMax        = time.Second
	peakWindow          = 2 * time.Second
)

type (
	// busySlots holds the times at which slots that are counted as busy
	// become free.
	busySlots []time.Time

	// backend is the state that the scheduler holds for one backend server.
	backend struct {
		name    sassafrastray.BackendName
		domain  sassafrastray.DomainName
		region  sassafrastray.RegionName
		address netip.AddrPort
		slots   int
		leaving bool
		removed bool // no longer configured
		added   bool // added to the configuration while this VM was running

		owned               bool
		ownedAt, releasedAt time.Time

		used             int
		handover, linger busySlots
		peak             [2]int // most own requests in flight in this window and the previous one
		peakAt           time.Time

		// limit is the number of requests that the results of earlier requests
		// allow in flight.
		limit    int
		raiseAt  time.Time
		answered bool
		// ceiling is the number of requests that the load reports of the backend
		// server allow in flight, or 0 if they set no bound.
		ceiling      int
		ceilingUntil time.Time

		drainingAt time.Time // last sign of draining, zero if it is not draining
		// reportedDrainingAt is when the backend server itself last reported that
		// it is draining.
		reportedDrainingAt time.Time
		down               bool
		downAt             time.Time
		failures           int     // in a row
		failureRatio       float64 // moving average of failed requests, from 0 to 1
		probes             int
		probeAt            time.Time
		nextPanicAt        time.Time
		backoff            time.Duration
		sheds              int
		pausedUntil        time.Time // after it shed a request, nothing is sent until then
	}
)

// expire removes the slots that have become free by now.
func (h busySlots) expire(now time.Time) busySlots {
	return slices.DeleteFunc(h, func(t time.Time) bool { return !now.Before(t) })
}

// truncate leaves at most n slots busy.
func (h busySlots) truncate(n int) busySlots { return h[:min(len(h), max(0, n))] }

// capacity is the number of requests that the backend server is expected to
// handle concurrently.
func (b *backend) capacity() int {
	n := min(b.slots, b.limit)
	if b.ceiling > 0 {
		n = min(n, b.ceiling)
	}
	return n
}

// open reports whether the backend server may receive new requests at all.
func (b *backend) open() bool {
	return b.owned && !b.removed && !b.leaving && b.drainingAt.IsZero()
}

// busy is the number of slots that are or may be in use by requests of this VM
// and of the previous owner.
func (b *backend) busy() int { return b.used + len(b.handover) + len(b.linger) }

// free returns how many more requests it may receive now. One that is down
// receives single probe requests with pauses between them.
func (b *backend) free(now time.Time) int {
	if !b.open() || now.Before(b.pausedUntil) {
		return 0
	}
	if b.down {
		if now.Before(b.probeAt) {
			return 0
		}
		return min(1, b.slots) - b.busy()
	}
	return b.capacity() - b.busy()
}

// occupy counts a request that is sent to the backend server.
func (b *backend) occupy(now time.Time) {
	b.used++
	b.nextPanicAt = now.Add(panicPause)
	b.updatePeak(now)
}

// updatePeak records the maximum number of own requests in flight in the last
// two windows, because a report that lags still counts requests that have since
// ended.
func (b *backend) updatePeak(now time.Time) {
	if since := now.Sub(b.peakAt); since >= peakWindow {
		b.peak[1] = b.peak[0]
		if since >= 2*peakWindow {
			b.peak[1] = b.used
		}
		b.peak[0], b.peakAt = b.used, now
	}
	b.peak[0] = max(b.peak[0], b.used)
}

// slowStart resets the limit to one slot, from which it is raised step by step.
func (b *backend) slowStart(now time.Time, opt Options) {
	b.limit, b.answered = 1, false
	b.raiseAt = now.Add(opt.RecoveryInterval)
}

// tick expires busy slots and the ceiling, and raises the limit by one slot if a
// request has been answered since the last increase, or after idleRaiseIntervals.
func (b *backend) tick(now time.Time, opt Options) {
	b.handover = b.handover.expire(now)
	b.linger = b.linger.expire(now)
	b.updatePeak(now)
	if b.ceiling > 0 && !now.Before(b.ceilingUntil) {
		b.limit, b.ceiling = min(b.limit, b.ceiling), 0
		b.raiseAt = now.Add(opt.RecoveryInterval)
	}
	if b.limit >= b.slots || b.down || now.Before(b.raiseAt) {
		return
	}
	if b.answered || !now.Before(b.raiseAt.Add((idleRaiseIntervals-1)*opt.RecoveryInterval)) {
		b.limit++
		b.answered = false
		b.raiseAt = now.Add(opt.RecoveryInterval)
	}
}

// end records the end of a request that was sent to the backend server.
func (b *backend) end(e End, started, now time.Time, opt Options, rng *rand.Rand) {
	b.used--
	if e.Drain {
		b.drainingAt, b.reportedDrainingAt = now, now
	}
	switch e.Kind {
	case OK:
		b.succeed(now, opt)
	case Shed:
		b.shed(now, opt, rng)
	case Failed, NotSent:
		b.fail(started, now, rng)
	case Timeout:
		b.linger = append(b.linger, now.Add(opt.Linger))
		b.fail(started, now, rng)
	case Cancelled:
		b.linger = append(b.linger, now.Add(opt.Linger))
	}
}

// succeed records an answered request. A backend server that is down is up again
// after probesToUp of them and then starts with one slot.
func (b *backend) succeed(now time.Time, opt Options) {
	b.answered = true
	b.failures, b.sheds = 0, 0
	b.failureRatio -= b.failureRatio * failureSampleWeight
	if !b.down {
		return
	}
	b.probeAt = now
	if b.probes++; b.probes >= probesToUp {
		b.down, b.backoff, b.failureRatio = false, 0, 0
		b.slowStart(now, opt)
	}
}

// shed lowers the limit to the number of requests that the backend server did
// accept, and pauses it for a time that doubles with each further shed.
func (b *backend) shed(now time.Time, opt Options, rng *rand.Rand) {
	b.limit = max(1, min(b.limit, b.used))
	b.answered = false
	b.raiseAt = now.Add(opt.RecoveryInterval)
	pause := min(shedPauseMax, shedPause<<min(b.sheds, 6))
	b.sheds++
	b.pausedUntil = now.Add(jitter(pause, rng))
}

// fail records a failed request. The backend server is marked as down after too
// many failures in a row, at too high a failure ratio, or if a probe fails.
// Requests sent before it was marked as down are not probes and do not extend the
// backoff.
func (b *backend) fail(started, now time.Time, rng *rand.Rand) {
	b.failures++
	b.failureRatio += (1 - b.failureRatio) * failureSampleWeight
	if b.down && started.Before(b.downAt) {
		return
	}
	if !b.down && b.failures < maxConsecutiveFailures && b.failureRatio < maxFailureRatio {
		return
	}
	b.down, b.downAt, b.probes = true, now, 0
	b.backoff = min(probePauseMax, max(probePause, 2*b.backoff))
	b.probeAt = now.Add(jitter(b.backoff, rng))
}

// jitter returns a random duration between d/2 and 3d/2.
func jitter(d time.Duration, rng *rand.Rand) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(d)+1))
}

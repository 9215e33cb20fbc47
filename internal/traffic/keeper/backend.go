package keeper

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// failuresToDown is how many failures in a row take a backend server out.
	failuresToDown = 3
	// failingToDown is the moving share of failures that does the same, and
	// failingWeight the weight of one result in it.
	failingToDown = 0.5
	failingWeight = 1.0 / 8
	// probesToUp is how many single requests must succeed to bring it back.
	probesToUp = 2
	// idleRaises is after how many recovery times a limit rises without an
	// answer.
	idleRaises = 10

	probePause    = 500 * time.Millisecond
	probePauseMax = 8 * time.Second
	probeWait     = 2 * time.Second // for an idempotent request
	panicPause    = 100 * time.Millisecond
	shedPause     = 20 * time.Millisecond
	shedPauseMax  = time.Second
	peakWindow    = 2 * time.Second
)

type (
	// holds are the times when slots that are counted as busy become free.
	holds []time.Time

	// backend is what the keeper knows of one backend server.
	backend struct {
		name    sassafrastray.BackendName
		domain  sassafrastray.DomainName
		region  sassafrastray.RegionName
		address netip.AddrPort
		slots   int
		leaving bool
		gone    bool // no longer configured
		fresh   bool // configured while this VM was running

		kept        bool
		taken, lost time.Time

		used             int
		handover, linger holds
		peak             [2]int // own requests in flight, this window and the last
		peakAt           time.Time

		// limit is what the backend server's own answers allow.
		limit    int
		raiseAt  time.Time
		answered bool
		// ceiling is what its reports allow, or 0.
		ceiling      int
		ceilingUntil time.Time

		drained time.Time // last sign of draining, zero if none
		// told is when the backend server itself last said so.
		told     time.Time
		down     bool
		downAt   time.Time
		failures int     // in a row
		failing  float64 // moving share of failures
		probes   int
		probeAt  time.Time
		panicAt  time.Time
		backoff  time.Duration
		sheds    int
		pause    time.Time // after sheds, nothing is sent until then
	}
)

// expire removes the slots that are free by now.
func (h holds) expire(now time.Time) holds {
	return slices.DeleteFunc(h, func(t time.Time) bool { return !now.Before(t) })
}

// keep leaves at most n slots busy.
func (h holds) keep(n int) holds { return h[:min(len(h), max(0, n))] }

// capacity is how many requests the backend server is thought to take.
func (b *backend) capacity() int {
	n := min(b.slots, b.limit)
	if b.ceiling > 0 {
		n = min(n, b.ceiling)
	}
	return n
}

// open reports whether the backend server may receive new work at all.
func (b *backend) open() bool {
	return b.kept && !b.gone && !b.leaving && b.drained.IsZero()
}

// busy is how many slots are or may be in use by this VM's requests and those
// of an earlier keeper.
func (b *backend) busy() int { return b.used + len(b.handover) + len(b.linger) }

// free returns how many requests it may receive now. One that is down takes
// single requests with pauses between them.
func (b *backend) free(now time.Time) int {
	if !b.open() || now.Before(b.pause) {
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
	b.panicAt = now.Add(panicPause)
	b.turnPeak(now)
}

// turnPeak remembers the most requests in flight of the last two windows,
// because a report that lags counts requests that have ended since.
func (b *backend) turnPeak(now time.Time) {
	if since := now.Sub(b.peakAt); since >= peakWindow {
		b.peak[1] = b.peak[0]
		if since >= 2*peakWindow {
			b.peak[1] = b.used
		}
		b.peak[0], b.peakAt = b.used, now
	}
	b.peak[0] = max(b.peak[0], b.used)
}

// cold lets the backend server begin with one slot.
func (b *backend) cold(now time.Time, opt Options) {
	b.limit, b.answered = 1, false
	b.raiseAt = now.Add(opt.Recovery)
}

// tick ends what lasts for a time only, and raises the limit by one slot if
// the backend server has answered since the last raise.
func (b *backend) tick(now time.Time, opt Options) {
	b.handover = b.handover.expire(now)
	b.linger = b.linger.expire(now)
	b.turnPeak(now)
	if b.ceiling > 0 && !now.Before(b.ceilingUntil) {
		b.limit, b.ceiling = min(b.limit, b.ceiling), 0
		b.raiseAt = now.Add(opt.Recovery)
	}
	if b.limit >= b.slots || b.down || now.Before(b.raiseAt) {
		return
	}
	if b.answered || !now.Before(b.raiseAt.Add((idleRaises-1)*opt.Recovery)) {
		b.limit++
		b.answered = false
		b.raiseAt = now.Add(opt.Recovery)
	}
}

// end takes the end of a request that was sent to the backend server.
func (b *backend) end(e End, started, now time.Time, opt Options, rng *rand.Rand) {
	b.used--
	if e.Drain {
		b.drained, b.told = now, now
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

// succeed counts an answer; a backend server that was down comes back after
// some, with one slot.
func (b *backend) succeed(now time.Time, opt Options) {
	b.answered = true
	b.failures, b.sheds = 0, 0
	b.failing -= b.failing * failingWeight
	if !b.down {
		return
	}
	b.probeAt = now
	if b.probes++; b.probes >= probesToUp {
		b.down, b.backoff, b.failing = false, 0, 0
		b.cold(now, opt)
	}
}

// shed lowers the limit to what the backend server does take, and leaves it
// alone for a moment that doubles while it goes on shedding.
func (b *backend) shed(now time.Time, opt Options, rng *rand.Rand) {
	b.limit = max(1, min(b.limit, b.used))
	b.answered = false
	b.raiseAt = now.Add(opt.Recovery)
	pause := min(shedPauseMax, shedPause<<min(b.sheds, 6))
	b.sheds++
	b.pause = now.Add(jitter(pause, rng))
}

// fail counts a failure; some in a row, too large a share, or that of a probe
// take the backend server out. What it received before it was out says nothing
// new.
func (b *backend) fail(started, now time.Time, rng *rand.Rand) {
	b.failures++
	b.failing += (1 - b.failing) * failingWeight
	if b.down && started.Before(b.downAt) {
		return
	}
	if !b.down && b.failures < failuresToDown && b.failing < failingToDown {
		return
	}
	b.down, b.downAt, b.probes = true, now, 0
	b.backoff = min(probePauseMax, max(probePause, 2*b.backoff))
	b.probeAt = now.Add(jitter(b.backoff, rng))
}

// jitter returns a time between half of d and one and a half of d.
func jitter(d time.Duration, rng *rand.Rand) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(d)+1))
}

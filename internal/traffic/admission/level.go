package admission

import (
	"math"
	"time"

	"sassafrastray"
)

const (
	// targetLoad is the number of requests per slot, without those of this VM since the
	// reports, up to which the share rises. With the rates below, the load of an overloaded
	// region settles at 1.2 to 1.4, the queue that keeps the servers busy although VMs
	// choose them by reports up to a second old.
	targetLoad = 0.9

	// idleLoad is the load below which a request without a wait is always admitted. It is
	// well below targetLoad, or else all VMs would admit everything whenever the load is
	// below the target, and refuse it again a second later.
	idleLoad = 0.6

	// queueLoad is the load above which the region's servers have queues, whatever the
	// share, since that follows more slowly.
	queueLoad = 1.2

	// riseRate is how much the share rises in a second, and changeRate the fraction of
	// itself by which it falls in a second for each request per slot above targetLoad.
	// Faster rates make the load swing, since it is known a second late. Far above the
	// target the share falls faster, with the square of the excess, and below it rises
	// faster, by recoverRate.
	riseRate    = 0.035
	changeRate  = 0.4
	recoverRate = 1.2

	// learnTime is the time after which a VM has heard the reports of the others. It then
	// takes the share from the load, but at least minLearned of the requests, since the
	// load is unusual if all VMs have just started.
	learnTime  = 1250 * time.Millisecond
	minLearned = 0.2

	// fullLoad is the guessed load from which no request is admitted. All VMs would
	// otherwise fill the servers' queues before the first of them hears of it, and then
	// refuse all requests until these are empty.
	fullLoad = 1.5

	// minShare limits the time that the share takes to rise after an overload, and
	// maxShare admits all requests of all priorities.
	minShare = 0.05
	maxShare = 1 / factorLow

	// maxStep bounds the time between two requests for which the share falls, since the
	// load may have been lower meanwhile.
	maxStep = time.Second

	// probeInterval is the time between requests that are sent to idle servers although the
	// estimate says that the response would come too late. Without them a wrong estimate
	// would keep out the requests that correct it.
	probeInterval = time.Second

	// rateSpan is the time over which the rate of admissions is averaged.
	rateSpan = 2 * time.Second
)

type (
	levelKey struct {
		service sassafrastray.ServiceName
		region  sassafrastray.RegionName
	}

	// level is the state of one service in one region.
	level struct {
		// share is the share of the requests of priority 1 that is admitted.
		share float64
		// load is the region's load at the time updatedAt.
		load                 float64
		createdAt, updatedAt time.Time
		// learned is set once the share has been taken from the load.
		learned bool
		// probedAt is the time of the latest request that was sent despite its estimate.
		probedAt time.Time
		// rate is the average number of admissions a second at the time countedAt.
		rate      float64
		countedAt time.Time
		calendar  calendar
		// credit is the number of places that may be added.
		credit float64
	}
)

// update moves the share toward the value at which the region's load is near the target. The
// share rises by a constant and falls by a fraction of itself, so the shares of VMs that see
// the same load become equal.
func (l *level) update(load float64, now time.Time) {
	d := now.Sub(l.updatedAt)
	l.load, l.updatedAt = load, now
	switch excess := load - targetLoad; {
	case excess <= 0:
		l.share += d.Seconds() * (riseRate - recoverRate*l.share*excess)
	default:
		l.share += min(maxStep, d).Seconds() * (riseRate - changeRate*l.share*excess*max(1, 2*excess))
	}
	if !l.learned && now.Sub(l.createdAt) >= learnTime {
		l.learned, l.share = true, max(minLearned, settledShare(load))
	}
	l.share = min(maxShare, max(minShare, l.share))
}

// settledShare returns the share that neither rises nor falls at a load.
func settledShare(load float64) float64 {
	if load <= targetLoad {
		return maxShare
	}
	return riseRate / (changeRate * (load - targetLoad))
}

// guessedShare returns the share that is admitted at a guessed load.
func guessedShare(load float64) float64 {
	return maxShare * min(1, max(0, (fullLoad-load)/(fullLoad-targetLoad)))
}

// isShedding reports whether the region has too much load for all requests of priority 1.
func (l *level) isShedding() bool { return l.share < 1 || l.load > queueLoad }

// allowed returns the longest wait at which the request is admitted. Where the region has room,
// it is as long as the objective: a late response is better than none, and the estimate of one
// server's wait may be wrong. An expected request may wait as long as an urgent one, since it
// has been told that there is room for it.
func (l *level) allowed(r *Request, e *Estimate, expected bool) time.Duration {
	f := factor(r.Priority)
	switch {
	case expected:
		return time.Duration(factorUrgent * float64(r.Objective))
	case !l.isShedding():
		return time.Duration(f * float64(r.Objective))
	}
	spare := max(r.Objective-e.Distance-e.Work, time.Duration(minAllowed*float64(r.Objective)))
	return time.Duration(f * float64(spare))
}

// probe reports whether the request is sent to an idle server although its estimate says that
// the response would come too late.
func (l *level) probe(r *Request, e *Estimate, now time.Time) bool {
	if !e.isIdle() || e.Distance > r.TimeLeft || now.Sub(l.probedAt) < probeInterval {
		return false
	}
	l.probedAt = now
	return true
}

// count counts an admission.
func (l *level) count(now time.Time) {
	l.rate, l.countedAt = l.admissions(now)+1/rateSpan.Seconds(), now
	l.credit = min(maxCredit, l.credit+returnShare)
}

// admissions returns the average number of admissions a second.
func (l *level) admissions(now time.Time) float64 {
	return l.rate * math.Exp(-float64(now.Sub(l.countedAt))/float64(rateSpan))
}

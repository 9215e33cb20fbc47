package vm

import (
	"slices"
	"sync"
	"time"

	"sassafrastray"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/rollout/evidence"
)

type (
	// sharedLimiter is the VM's limiter behind a lock, for requests and the
	// control goroutine.
	sharedLimiter struct {
		clock   sassafrastray.Clock
		mu      sync.Mutex
		limiter *quota.Limiter
		// shortage is signalled when a request has to wait for tokens.
		shortage chan struct{}
		// waiting holds the requests that wait for a token, by key, the oldest
		// first.
		waiting map[string][]chan struct{}
	}

	// sharedLedger is the evidence on versions behind a lock, for requests and
	// the control goroutine.
	sharedLedger struct {
		clock  sassafrastray.Clock
		mu     sync.Mutex
		ledger *evidence.Ledger
	}
)

// Take takes n tokens of the limit called key.
func (l *sharedLimiter) Take(key string, n float64, now time.Time) quota.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signalShortage(l.limiter.Take(key, n, now))
}

// TakeAgain is Take for a request that has waited as long as an earlier verdict
// told it to.
func (l *sharedLimiter) TakeAgain(key string, n float64, s quota.Stamp, now time.Time) quota.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signalShortage(l.limiter.Retry(key, n, s, now))
}

// signalShortage wakes the control goroutine if a request has to wait for
// tokens.
func (l *sharedLimiter) signalShortage(v quota.Verdict) quota.Verdict {
	if !v.OK && v.Wait > 0 {
		select {
		case l.shortage <- struct{}{}:
		default:
		}
	}
	return v
}

// Refund returns the tokens of a request that was not dispatched.
func (l *sharedLimiter) Refund(key string, n float64, s quota.Stamp, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Refund(key, n, s, now)
}

// Await returns a channel that is closed when a token of the limit is available
// to the caller, and a function that ends the wait.
func (l *sharedLimiter) Await(key string) (<-chan struct{}, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch := make(chan struct{})
	l.waiting[key] = append(l.waiting[key], ch)
	return ch, func() { l.stopWaiting(key, ch) }
}

func (l *sharedLimiter) stopWaiting(key string, ch chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.waiting[key]
	if i := slices.Index(list, ch); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(l.waiting, key)
		return
	}
	l.waiting[key] = list
}

// do runs f with the limiter and then wakes the requests for which there are
// tokens.
func (l *sharedLimiter) do(f func(l *quota.Limiter, now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	f(l.limiter, now)
	for key, list := range l.waiting {
		n := 0
		for n < len(list) && l.limiter.Ready(key, float64(n+1), now) {
			close(list[n])
			n++
		}
		if n == len(list) {
			delete(l.waiting, key)
		} else {
			l.waiting[key] = list[n:]
		}
	}
}

// Add records how a request ended on a version.
func (l *sharedLedger) Add(service sassafrastray.ServiceName, version sassafrastray.VersionName,
	route sassafrastray.RouteName, backend sassafrastray.BackendName, s evidence.Sample,
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Add(service, version, route, backend, s, l.clock.Now())
}

func (l *sharedLedger) do(f func(l *evidence.Ledger, now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.ledger, l.clock.Now())
}

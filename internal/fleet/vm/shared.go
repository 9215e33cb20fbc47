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
	// book lets traffic and the control goroutine share the VM's quotas.
	book struct {
		clock sassafrastray.Clock
		mu    sync.Mutex
		book  *quota.Limiter
		// short is signalled when a request waits for tokens.
		short chan struct{}
		// waiting are the requests that wait for a token, by key, the oldest
		// first.
		waiting map[string][]chan struct{}
	}

	// ledger lets traffic and the control goroutine share the evidence on
	// versions.
	ledger struct {
		clock  sassafrastray.Clock
		mu     sync.Mutex
		ledger *evidence.Ledger
	}
)

// Take takes n tokens of the limit called key.
func (b *book) Take(key string, n float64, now time.Time) quota.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ask(b.book.Take(key, n, now))
}

// TakeAgain is Take for a request that waited as an earlier verdict told it to.
func (b *book) TakeAgain(key string, n float64, s quota.Stamp, now time.Time) quota.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ask(b.book.Retry(key, n, s, now))
}

// ask wakes the control goroutine if a request has to wait for tokens.
func (b *book) ask(v quota.Verdict) quota.Verdict {
	if !v.OK && v.Wait > 0 {
		select {
		case b.short <- struct{}{}:
		default:
		}
	}
	return v
}

// Refund gives back tokens of a request that was not dispatched.
func (b *book) Refund(key string, n float64, s quota.Stamp, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.book.Refund(key, n, s, now)
}

// Await returns a channel that is closed when a token of the limit is there for
// the caller, and a function that ends the wait.
func (b *book) Await(key string) (<-chan struct{}, func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ch := make(chan struct{})
	b.waiting[key] = append(b.waiting[key], ch)
	return ch, func() { b.leave(key, ch) }
}

func (b *book) leave(key string, ch chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.waiting[key]
	if i := slices.Index(list, ch); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(b.waiting, key)
		return
	}
	b.waiting[key] = list
}

// do runs f with the quotas, and then wakes the requests for which there are
// tokens now.
func (b *book) do(f func(b *quota.Limiter, now time.Time)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	f(b.book, now)
	for key, list := range b.waiting {
		n := 0
		for n < len(list) && b.book.Ready(key, float64(n+1), now) {
			close(list[n])
			n++
		}
		if n == len(list) {
			delete(b.waiting, key)
		} else {
			b.waiting[key] = list[n:]
		}
	}
}

// Add counts how a request ended on a version.
func (l *ledger) Add(service sassafrastray.ServiceName, version sassafrastray.VersionName,
	route sassafrastray.RouteName, backend sassafrastray.BackendName, s evidence.Sample,
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Add(service, version, route, backend, s, l.clock.Now())
}

func (l *ledger) do(f func(l *evidence.Ledger, now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.ledger, l.clock.Now())
}

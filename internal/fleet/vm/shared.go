package vm

import (
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
		book  *quota.Book
		// short is signalled when a request waits for tokens.
		short chan struct{}
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

// Again is Take for a request that waited as an earlier verdict told it to.
func (b *book) Again(key string, n float64, s quota.Stamp, now time.Time) quota.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ask(b.book.Again(key, n, s, now))
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

func (b *book) do(f func(b *quota.Book, now time.Time)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.book, b.clock.Now())
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

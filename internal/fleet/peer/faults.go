package peer

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

type (
	// Faults simulates network faults between VMs, for experiments. VMs whose
	// settings don't allow faults have a nil *Faults, which does nothing.
	Faults struct {
		mu     sync.RWMutex
		cut    map[sassafrastray.DomainName]bool
		delays map[[2]sassafrastray.DomainName]time.Duration
	}
)

// NewFaults returns Faults without any fault.
func NewFaults() *Faults { return &Faults{} }

// Cut cuts the failure domains off from all others; it replaces earlier cuts.
func (f *Faults) Cut(domains []sassafrastray.DomainName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = make(map[sassafrastray.DomainName]bool)
	for _, d := range domains {
		f.cut[d] = true
	}
}

// SetDelays sets how long a message travels from one failure domain to another;
// it replaces earlier delays.
func (f *Faults) SetDelays(delays map[[2]sassafrastray.DomainName]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delays = delays
}

// Partitioned reports whether the two failure domains are cut off from each
// other.
func (f *Faults) Partitioned(a, b sassafrastray.DomainName) bool {
	if f == nil || a == b {
		return false
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.cut[a] || f.cut[b]
}

// Delay returns how long a message travels between the two failure domains.
func (f *Faults) Delay(a, b sassafrastray.DomainName) time.Duration {
	if f == nil {
		return 0
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.delays[[2]sassafrastray.DomainName{a, b}]
}

// transit waits as long as a message travels. A message between domains that are
// cut off from each other is lost, so its sender waits for the timeout as it would
// on a real network.
func (f *Faults) transit(a, b sassafrastray.DomainName, timeout time.Duration) error {
	if f.Partitioned(a, b) {
		time.Sleep(timeout)
		return errors.New("cut off")
	}
	if d := f.Delay(a, b); d > 0 {
		time.Sleep(d)
	}
	return nil
}

package peer

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

type (
	// Faults puts network faults between VMs, for experiments. VMs whose
	// settings don't allow faults have a nil *Faults, which does nothing.
	Faults struct {
		mu    sync.RWMutex
		cut   map[sassafrastray.DomainName]bool
		delay map[[2]sassafrastray.DomainName]time.Duration
	}
)

// NewFaults returns Faults that do nothing yet.
func NewFaults() *Faults { return &Faults{} }

// Cut separates the failure domains from all others; it replaces earlier cuts.
func (f *Faults) Cut(domains []sassafrastray.DomainName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = make(map[sassafrastray.DomainName]bool)
	for _, d := range domains {
		f.cut[d] = true
	}
}

// Delay makes each message from one failure domain to another wait.
func (f *Faults) Delay(delay map[[2]sassafrastray.DomainName]time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// Parted reports whether the two failure domains are cut off from each other.
func (f *Faults) Parted(a, b sassafrastray.DomainName) bool {
	if f == nil || a == b {
		return false
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.cut[a] || f.cut[b]
}

// Wait returns how long a message between the two failure domains travels.
func (f *Faults) Wait(a, b sassafrastray.DomainName) time.Duration {
	if f == nil {
		return 0
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.delay[[2]sassafrastray.DomainName{a, b}]
}

// cross waits as long as a message travels. A message over a cut is lost, so
// its sender waits for the timeout as it would on a real network.
func (f *Faults) cross(a, b sassafrastray.DomainName, timeout time.Duration) error {
	if f.Parted(a, b) {
		time.Sleep(timeout)
		return errors.New("cut off")
	}
	if d := f.Wait(a, b); d > 0 {
		time.Sleep(d)
	}
	return nil
}

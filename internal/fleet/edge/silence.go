package edge

import (
	"time"

	"sassafrastray"
)

// expiryTime is how long a VM has to be silent before it is assumed to be
// permanently gone and its registration is removed. It is longer than any network
// partition through which callers stay connected.
const expiryTime = 2 * time.Minute

// silenceTracker records when each VM was last heard from, or first known if it
// never was, so that the VMs stop sending each other entries of VMs that are
// permanently gone.
type silenceTracker struct {
	since map[sassafrastray.VMName]time.Time
}

func newSilenceTracker() *silenceTracker {
	return &silenceTracker{since: make(map[sassafrastray.VMName]time.Time)}
}

// recordHeartbeat records a heartbeat of a VM.
func (t *silenceTracker) recordHeartbeat(name sassafrastray.VMName, now time.Time) {
	t.since[name] = now
}

// expired reports whether a VM has been silent for longer than expiryTime.
func (t *silenceTracker) expired(name sassafrastray.VMName, now time.Time) bool {
	since, ok := t.since[name]
	return ok && now.Sub(since) > expiryTime
}

// unexpired returns the VMs that have not expired, without duplicates, and starts to
// track new ones. VMs for which isDirect returns false are always included: they
// send no heartbeats to this VM, so their silence means nothing.
func (t *silenceTracker) unexpired(vms []sassafrastray.VM, isDirect func(sassafrastray.VM) bool, now time.Time) []sassafrastray.VM {
	seen := make(map[sassafrastray.VMName]bool, len(vms))
	var out []sassafrastray.VM
	for _, vm := range vms {
		if seen[vm.Name] {
			continue
		}
		seen[vm.Name] = true
		if _, ok := t.since[vm.Name]; !ok {
			t.since[vm.Name] = now
		}
		if !t.expired(vm.Name, now) || !isDirect(vm) {
			out = append(out, vm)
		}
	}
	return out
}

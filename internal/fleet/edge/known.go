package edge

import (
	"time"

	"sassafrastray"
)

// goneTime is how long a VM has to be silent before it counts as gone for good
// and its registration is removed. It is longer than any cut that callers stay
// with.
const goneTime = 2 * time.Minute

// known remembers since when each VM has been silent, or known and never heard
// of, so that VMs which are gone for good are not handed around for ever.
type known struct {
	since map[sassafrastray.VMName]time.Time
}

func newKnown() *known { return &known{since: make(map[sassafrastray.VMName]time.Time)} }

// heard notes a VM's heartbeat.
func (k *known) heard(name sassafrastray.VMName, now time.Time) { k.since[name] = now }

// gone tells whether a VM is gone for good.
func (k *known) gone(name sassafrastray.VMName, now time.Time) bool {
	since, ok := k.since[name]
	return ok && now.Sub(since) > goneTime
}

// left returns the VMs that are not gone, each once. Those that are new are
// known from now on. Silence says nothing of a VM that hears denies.
func (k *known) left(vms []sassafrastray.VM, hears func(sassafrastray.VM) bool, now time.Time) []sassafrastray.VM {
	seen := make(map[sassafrastray.VMName]bool, len(vms))
	var out []sassafrastray.VM
	for _, vm := range vms {
		if seen[vm.Name] {
			continue
		}
		seen[vm.Name] = true
		if _, ok := k.since[vm.Name]; !ok {
			k.since[vm.Name] = now
		}
		if !k.gone(vm.Name, now) || !hears(vm) {
			out = append(out, vm)
		}
	}
	return out
}

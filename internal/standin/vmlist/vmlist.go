// Package vmlist simulates the platform's list of VMs, which shows changes late.
package vmlist

import (
	"slices"
	"time"

	"sassafrastray"
)

type (
	// List is a list of VMs in which each change becomes visible only after a
	// lag. It is not safe for concurrent use.
	List struct {
		lag     time.Duration
		visible []sassafrastray.VM
		pending []update
	}

	// update is a new list of VMs and the time at which it becomes visible.
	update struct {
		visibleAt time.Time
		vms       []sassafrastray.VM
	}
)

// New returns a list in which vms are visible immediately and updates after lag.
func New(vms []sassafrastray.VM, lag time.Duration) *List {
	return &List{lag: lag, visible: sorted(vms)}
}

// Set replaces the VMs. The change becomes visible once the lag has passed.
func (l *List) Set(vms []sassafrastray.VM, now time.Time) {
	l.pending = append(l.pending, update{now.Add(l.lag), sorted(vms)})
}

// SetLag changes the lag of later updates.
func (l *List) SetLag(lag time.Duration) { l.lag = lag }

// VMs returns the visible VMs in order. It assumes that now is never
// before the time of an earlier call.
func (l *List) VMs(now time.Time) []sassafrastray.VM {
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.visible = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return l.visible
}

// sorted returns an ordered copy of vms.
func sorted(vms []sassafrastray.VM) []sassafrastray.VM {
	s := append([]sassafrastray.VM{}, vms...)
	slices.SortFunc(s, func(a, b sassafrastray.VM) int {
		if a.Less(b) {
			return -1
		}
		return 1
	})
	return s
}

// Package roster holds the stand-in for the platform's list of VMs.
package roster

import (
	"slices"
	"time"

	"sassafrastray"
)

type (
	// Roster is a list of VMs that shows each change only after a lag.
	// Callers lock it.
	Roster struct {
		lag     time.Duration
		shown   []sassafrastray.VM
		pending []edition
	}

	// edition is a list that is shown from a time on.
	edition struct {
		from time.Time
		vms  []sassafrastray.VM
	}
)

// New returns a roster that shows vms at once and later lists after lag.
func New(vms []sassafrastray.VM, lag time.Duration) *Roster {
	return &Roster{lag: lag, shown: sorted(vms)}
}

// Set replaces the list; VMs shows it once the lag has passed.
func (r *Roster) Set(vms []sassafrastray.VM, now time.Time) {
	r.pending = append(r.pending, edition{now.Add(r.lag), sorted(vms)})
}

// SetLag changes the lag of later lists.
func (r *Roster) SetLag(lag time.Duration) { r.lag = lag }

// VMs returns the list as the platform shows it now.
func (r *Roster) VMs(now time.Time) []sassafrastray.VM {
	for len(r.pending) > 0 && !now.Before(r.pending[0].from) {
		r.shown = r.pending[0].vms
		r.pending = r.pending[1:]
	}
	return r.shown
}

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

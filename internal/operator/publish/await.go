package publish

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"sassafrastray"
)

// pollInterval is the time between two questions to the VMs.
const pollInterval = 250 * time.Millisecond

type (
	// Status is the part of a VM's status page that tells which
	// configuration is in force where.
	Status struct {
		VMs []VMStatus `json:"vms"`
	}

	// VMStatus is what a VM knows of itself or of another one.
	VMStatus struct {
		Name   sassafrastray.VMName     `json:"name"`
		Domain sassafrastray.DomainName `json:"domain"`
		// Config is the number of the configuration in force there.
		Config int64                 `json:"config"`
		State  sassafrastray.VMState `json:"state"`
		// Age is how long ago the VM was heard of, in nanoseconds.
		Age time.Duration `json:"age"`
	}

	// Ask returns the status page of the VM with the given operations
	// address.
	Ask func(ctx context.Context, vm netip.AddrPort) (Status, error)

	// Progress is where a configuration is in force. Behind has the VMs
	// where it is not, and Silent the addresses that gave no answer.
	Progress struct {
		Seen   int
		Behind []VMStatus
		Silent []netip.AddrPort
	}
)

// Done tells whether the configuration is in force everywhere.
func (p Progress) Done() bool { return p.Seen > 0 && len(p.Behind) == 0 && len(p.Silent) == 0 }

// Measure merges the answers of several VMs and finds those that number has
// not reached. Leaving VMs need not have it. Of two accounts of a VM the one
// with the greater number is newer, since numbers never go back.
func Measure(answers []Status, number int64) Progress {
	newest := map[sassafrastray.VMName]VMStatus{}
	for _, a := range answers {
		for _, v := range a.VMs {
			if old, ok := newest[v.Name]; !ok || v.Config > old.Config || v.Config == old.Config && v.Age < old.Age {
				newest[v.Name] = v
			}
		}
	}
	var p Progress
	for _, v := range newest {
		if v.State == sassafrastray.VMLeaving {
			continue
		}
		p.Seen++
		if v.Config < number {
			p.Behind = append(p.Behind, v)
		}
	}
	slices.SortFunc(p.Behind, func(a, b VMStatus) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return p
}

// Await asks the VMs until the configuration is in force everywhere or the
// context ends, and returns the last state.
func Await(ctx context.Context, ask Ask, sleep Sleep, vms []netip.AddrPort, number int64) Progress {
	for {
		var (
			answers []Status
			silent  []netip.AddrPort
		)
		for _, vm := range vms {
			s, err := ask(ctx, vm)
			if err != nil {
				silent = append(silent, vm)
				continue
			}
			answers = append(answers, s)
		}
		p := Measure(answers, number)
		p.Silent = silent
		if p.Done() || sleep(ctx, pollInterval) != nil {
			return p
		}
	}
}

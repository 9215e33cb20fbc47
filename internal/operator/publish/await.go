package publish

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"sassafrastray"
)

// pollInterval is the time between two requests for the VMs' status.
const pollInterval = 250 * time.Millisecond

type (
	// Status is the part of a VM's status page that lists the configuration
	// in force on each VM.
	Status struct {
		VMs []VMStatus `json:"vms"`
	}

	// VMStatus is what a VM reports of itself or of another VM.
	VMStatus struct {
		Name   sassafrastray.VMName     `json:"name"`
		Domain sassafrastray.DomainName `json:"domain"`
		// Config is the number of the configuration in force there.
		Config int64                 `json:"config"`
		State  sassafrastray.VMState `json:"state"`
		// Age is the time since the VM was last heard of, in nanoseconds.
		Age time.Duration `json:"age"`
	}

	// StatusFunc returns the status page of the VM with the given operations
	// address.
	StatusFunc func(ctx context.Context, vm netip.AddrPort) (Status, error)

	// Progress describes on which VMs a configuration is in force. Total is
	// the number of known VMs that need it, Behind lists those that do not have it
	// yet, and Unreachable the addresses that gave no answer.
	Progress struct {
		Total       int
		Behind      []VMStatus
		Unreachable []netip.AddrPort
	}
)

// Done reports whether the configuration is in force on every VM that needs it, and
// every address gave an answer.
func (p Progress) Done() bool { return p.Total > 0 && len(p.Behind) == 0 && len(p.Unreachable) == 0 }

// ProgressOf merges the answers of several VMs into the progress of configuration
// number. Leaving VMs do not need it. If answers differ about a VM, the one with the
// greater number is newer, since numbers never decrease.
func ProgressOf(answers []Status, number int64) Progress {
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
		p.Total++
		if v.Config < number {
			p.Behind = append(p.Behind, v)
		}
	}
	slices.SortFunc(p.Behind, func(a, b VMStatus) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return p
}

// Await polls the VMs until the configuration is in force everywhere or the context
// ends, and returns the last progress. A round that the end of the context interrupts
// counts only if there was none before it: its failed calls say nothing of the VMs.
func Await(ctx context.Context, getStatus StatusFunc, sleep Sleep, vms []netip.AddrPort, number int64) Progress {
	var last *Progress
	for {
		var (
			answers     []Status
			unreachable []netip.AddrPort
		)
		for _, vm := range vms {
			s, err := getStatus(ctx, vm)
			if err != nil {
				unreachable = append(unreachable, vm)
				continue
			}
			answers = append(answers, s)
		}
		p := ProgressOf(answers, number)
		p.Unreachable = unreachable
		if ctx.Err() != nil && last != nil && !p.Done() {
			return *last
		}
		last = &p
		if p.Done() || sleep(ctx, pollInterval) != nil {
			return p
		}
	}
}

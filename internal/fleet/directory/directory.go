// Package directory names the VMs that a caller may use: those of its own
// region that take requests, and others only if there are none.
//
// In a large fleet it names the larger part of a region's capacity on few VMs
// only. A team's rate is divided among the VMs that its callers use, and each VM
// learns of the backend servers' load from its own requests, so both work better
// when a region's requests meet at few VMs.
package directory

import (
	"cmp"
	"net/netip"
	"slices"

	"sassafrastray"
)

const (
	// most bounds the VMs that one answer names.
	most = 64

	// fewest is the number of a region's VMs up to which all of them are
	// named, and fewestEach the number of a failure domain's VMs that are
	// named at least, so that the loss of some leaves others.
	fewest     = 8
	fewestEach = 3

	// part is the part of a region's capacity that the named VMs have
	// together, so that they can take over what another region of the same
	// size leaves behind.
	part = 0.5

	// bytesPerCore is what passes a VM's link in a second each way while
	// requests keep one core busy: 2,500 requests of 0.4 ms, as measured on
	// the platform, taken to have 10 kB each.
	bytesPerCore = 25e6
)

// VM is a VM as the directory sees it.
type VM struct {
	Address netip.AddrPort
	Domain  sassafrastray.DomainName
	Region  sassafrastray.RegionName
	// Ready VMs have a configuration, Suspect ones were not heard of lately.
	Ready, Suspect bool
	// Size is the VM's capacity in processor cores; zero means unknown.
	Size float64
}

// Size returns the capacity of a VM with so many processor cores and so many bytes
// per second on its link; zero means unknown. Requests need both, and what is
// shorter counts.
func Size(cores, link float64) float64 {
	if link == 0 {
		return cores
	}
	return min(cores, link/bytesPerCore)
}

// Name returns the addresses for a caller. Homes are the regions in which the
// host's routes may be served; they matter only if the caller's own region has
// no VM.
func Name(vms []VM, region sassafrastray.RegionName, homes []sassafrastray.RegionName) []netip.AddrPort {
	tests := []func(v VM) bool{
		func(v VM) bool { return v.Ready && !v.Suspect && v.Region == region },
		func(v VM) bool { return v.Ready && !v.Suspect && slices.Contains(homes, v.Region) },
		func(v VM) bool { return v.Ready && !v.Suspect },
		func(v VM) bool { return v.Ready },
		func(VM) bool { return true },
	}
	for i, test := range tests {
		var fit []VM
		for _, v := range vms {
			if test(v) {
				fit = append(fit, v)
			}
		}
		if i == 0 {
			fit = largest(fit)
		}
		if len(fit) > 0 {
			return addresses(fit)
		}
	}
	return nil
}

func addresses(vms []VM) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, min(most, len(vms)))
	for _, v := range vms[:min(most, len(vms))] {
		out = append(out, v.Address)
	}
	return out
}

// largest returns the VMs with the most capacity, as many as it takes to have
// the part of it that callers are sent to, in the order of their addresses. All
// VMs that know the same others choose the same.
func largest(vms []VM) []VM {
	if len(vms) <= fewest {
		return vms
	}
	bySize := slices.Clone(vms)
	slices.SortStableFunc(bySize, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), a.Address.Compare(b.Address))
	})
	all := 0.0
	for _, v := range vms {
		all += v.Size
	}
	if all == 0 {
		return vms
	}
	var out []VM
	sum, each := 0.0, make(map[sassafrastray.DomainName]int)
	for _, v := range bySize {
		if sum >= part*all && len(out) >= fewest && each[v.Domain] >= fewestEach {
			continue
		}
		out = append(out, v)
		sum += v.Size
		each[v.Domain]++
	}
	slices.SortFunc(out, func(a, b VM) int { return a.Address.Compare(b.Address) })
	return out
}

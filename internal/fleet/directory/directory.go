// Package directory selects the VMs that a caller may use: those of its own region
// that accept requests and reach backend servers, and others only if there are none.
//
// Of a region with many VMs it selects only a few, the largest ones, which carry half of
// what its VMs can carry. Callers choose evenly among them, so a small VM beside large ones
// gets as many requests as they do, and what all of them carry is as many times what the
// smallest one does. A team's rate is divided among the VMs that its callers
// use, and each VM learns the backend servers' load from its own requests, so both
// work better when few VMs receive a region's requests.
package directory

import (
	"cmp"
	"net/netip"
	"slices"

	"sassafrastray"
)

const (
	// maxAddresses bounds the addresses in one answer.
	maxAddresses = 64

	// smallRegion is the number of VMs up to which all VMs of a region are selected.
	smallRegion = 8

	// minVMs is the number selected in a larger region, and minVMsPerDomain the minimum
	// number in each of its failure domains, so that the loss of some leaves others.
	minVMs          = 8
	minVMsPerDomain = 3

	// minVMsLarge and minVMsPerDomainLarge replace them in large fleets. Small VMs are not
	// selected there to reach the minimum of the region: callers choose evenly, and requests
	// through a VM with a fifth of the cores and a twentieth of the link took up to twice as
	// long.
	minVMsLarge          = 4
	minVMsPerDomainLarge = 2

	// smallFraction is the fraction of the largest VM's capacity below which one is small.
	smallFraction = 0.5

	// capacityFraction is the part of the most that VMs of a region can carry which the
	// selected ones carry, so that they can take over the load of another region of the
	// same size.
	capacityFraction = 0.5

	// bytesPerCore is the traffic per second, each way, of the requests that keep
	// one core busy: 2,500 requests with 0.4 ms of processor time and 10 kB each.
	bytesPerCore = 25e6
)

// VM is the state of a VM that its selection depends on.
type VM struct {
	Address netip.AddrPort
	Domain  sassafrastray.DomainName
	Region  sassafrastray.RegionName
	// Ready VMs have a configuration, Suspect ones have been silent for too long, and
	// Partitioned ones reach no backend servers by themselves.
	Ready, Suspect, Partitioned bool
	// Size is the VM's capacity in processor cores; zero means unknown.
	Size float64
}

// Size returns the capacity of a VM with so many processor cores and so many bytes
// per second on its link; zero means unknown. Requests need both, so the scarcer one
// determines it.
func Size(cores, link float64) float64 {
	if link == 0 {
		return cores
	}
	return min(cores, link/bytesPerCore)
}

// Select returns the addresses for a caller. Homes are the regions in which the
// host's routes may be served; they matter only if the caller's own region has no
// VM. Large says that the fleet is large, so that fewer VMs are enough.
func Select(vms []VM, region sassafrastray.RegionName, homes []sassafrastray.RegionName, large bool) []netip.AddrPort {
	local := func(v VM) bool { return v.Region == region }
	home := func(v VM) bool { return slices.Contains(homes, v.Region) }
	anywhere := func(VM) bool { return true }
	connected := func(place func(VM) bool) func(VM) bool {
		return func(v VM) bool { return v.Ready && !v.Suspect && !v.Partitioned && place(v) }
	}
	answering := func(place func(VM) bool) func(VM) bool {
		return func(v VM) bool { return v.Ready && !v.Suspect && place(v) }
	}
	criteria := []func(v VM) bool{
		connected(local), connected(home), connected(anywhere),
		answering(local), answering(home), answering(anywhere),
		func(v VM) bool { return v.Ready },
		anywhere,
	}
	for i, matches := range criteria {
		var selected []VM
		for _, v := range vms {
			if matches(v) {
				selected = append(selected, v)
			}
		}
		if i == 0 || i == 3 {
			selected = largest(selected, large)
		}
		if len(selected) > 0 {
			return addresses(selected)
		}
	}
	return nil
}

func addresses(vms []VM) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, min(maxAddresses, len(vms)))
	for _, v := range vms[:min(maxAddresses, len(vms))] {
		out = append(out, v.Address)
	}
	return out
}

// largest returns as many of the largest VMs as it takes to carry capacityFraction of the
// most that any number of them can carry, and to reach the minimum numbers, in the order of
// their addresses. All VMs that know the same others select the same.
func largest(vms []VM, large bool) []VM {
	if len(vms) <= smallRegion {
		return vms
	}
	bySize := slices.Clone(vms)
	slices.SortStableFunc(bySize, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), a.Address.Compare(b.Address))
	})
	most := 0.0
	for i, v := range bySize {
		most = max(most, evenCapacity(i+1, v))
	}
	if most == 0 {
		return vms
	}
	region, domain := minVMs, minVMsPerDomain
	if large {
		region, domain = minVMsLarge, minVMsPerDomainLarge
	}
	var out []VM
	enough, perDomain := false, make(map[sassafrastray.DomainName]int)
	for _, v := range bySize {
		small := large && v.Size < smallFraction*bySize[0].Size
		if enough && (small || len(out) >= region) && perDomain[v.Domain] >= domain {
			continue
		}
		out = append(out, v)
		perDomain[v.Domain]++
		enough = enough || evenCapacity(len(out), v) >= capacityFraction*most
	}
	slices.SortFunc(out, func(a, b VM) int { return a.Address.Compare(b.Address) })
	return out
}

// evenCapacity returns the capacity of n VMs among which callers choose evenly.
func evenCapacity(n int, smallest VM) float64 { return float64(n) * smallest.Size }

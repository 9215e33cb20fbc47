// Package directory names the VMs that a caller may use: those of its own
// region that take requests, and others only if there are none.
package directory

import (
	"net/netip"
	"slices"

	"sassafrastray"
)

// most bounds the VMs that one answer names.
const most = 64

// VM is a VM as the directory sees it.
type VM struct {
	Address netip.AddrPort
	Domain  sassafrastray.DomainName
	Region  sassafrastray.RegionName
	// Ready VMs have a configuration, Suspect ones were not heard of lately.
	Ready, Suspect bool
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
	for _, test := range tests {
		var out []netip.AddrPort
		for _, v := range vms {
			if test(v) && len(out) < most {
				out = append(out, v.Address)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

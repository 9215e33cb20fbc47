package sassafrastray

import (
	"net/netip"
	"slices"
	"time"
)

type (
	// Region is a set of failure domains that are close to each other.
	Region struct {
		Name RegionName `json:"name"`
		// Slots bounds the requests in flight to the region's backend
		// servers. Zero means the sum of their slots.
		Slots int `json:"slots,omitempty"`
	}

	// FailureDomain is a part of a region that fails, or loses its network, as a
	// unit.
	FailureDomain struct {
		Name   DomainName `json:"name"`
		Region RegionName `json:"region"`
		// Places is the intended number of entry VMs in the domain. Each place
		// has an equal share of every quota.
		Places int `json:"places"`
	}

	// Link is one direction of the network connection between two regions.
	Link struct {
		From RegionName `json:"from"`
		To   RegionName `json:"to"`
		// BytesPerSecond is the cap on the bytes that the system may send
		// over the link in any second.
		BytesPerSecond int64 `json:"bytes"`
		// Delay is the one-way latency of a packet on the link.
		Delay time.Duration `json:"delay"`
	}

	// AddressBlock is a range of callers' addresses and the region nearest to
	// it.
	AddressBlock struct {
		Prefix netip.Prefix `json:"prefix"`
		Region RegionName   `json:"region"`
	}
)

// InRegions reports whether every rule allows the region. An empty rule allows all.
func InRegions(rules [2][]RegionName, r RegionName) bool {
	for _, list := range rules {
		if len(list) > 0 && !slices.Contains(list, r) {
			return false
		}
	}
	return true
}

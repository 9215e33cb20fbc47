package sassafrastray

import (
	"net/netip"
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

	// FailureDomain is a part of a region that fails, or is cut off, as one.
	FailureDomain struct {
		Name   DomainName `json:"name"`
		Region RegionName `json:"region"`
		// Places is how many entry VMs the domain is meant to have. Each
		// place carries an equal share of every quota.
		Places int `json:"places"`
	}

	// Link is one direction of the network between two regions.
	Link struct {
		From RegionName `json:"from"`
		To   RegionName `json:"to"`
		// BytesPerSecond is the cap on the bytes that the system may send
		// over the link in any second.
		BytesPerSecond int64 `json:"bytes"`
		// Delay is the time one packet takes across the link.
		Delay time.Duration `json:"delay"`
	}

	// Block is a range of callers' addresses and the region nearest to it.
	Block struct {
		Prefix netip.Prefix `json:"prefix"`
		Region RegionName   `json:"region"`
	}
)

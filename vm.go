package sassafrastray

import (
	"net/netip"
	"strconv"
	"strings"
)

// States of a VM in the platform's list and in heartbeats.
const (
	// VMLive means that the VM accepts requests.
	VMLive VMState = "live"
	// VMLeaving means that the VM finishes its requests and is not returned by
	// look-ups.
	VMLeaving VMState = "leaving"
)

type (
	// VMState tells whether a VM accepts new requests.
	VMState string

	// VM is an entry VM of the system.
	VM struct {
		Name   VMName     `json:"name"`
		Domain DomainName `json:"domain"`
		// CallerAddress is where callers send look-ups and requests.
		CallerAddress netip.AddrPort `json:"callers"`
		// PeerAddress is where other VMs connect, with the inner protocol.
		PeerAddress netip.AddrPort `json:"inner"`
		State       VMState        `json:"state"`
		// Cores is the VM's capacity in processor cores. Zero means that it is
		// not known.
		Cores float64 `json:"size,omitempty"`
	}

	// Place is a share of every quota, held by at most one VM at a time. The
	// configuration sets the number of places of each failure domain.
	Place struct {
		Domain DomainName
		Index  int
	}
)

// Less orders VMs by name.
func (v VM) Less(w VM) bool { return strings.Compare(string(v.Name), string(w.Name)) < 0 }

// String returns the place as domain/index.
func (p Place) String() string { return string(p.Domain) + "/" + strconv.Itoa(p.Index) }

// Reachable reports whether the VM has a name and an address for other VMs.
func (v *VM) Reachable() bool { return v.Name != "" && v.PeerAddress.IsValid() }

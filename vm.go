package sassafrastray

import (
	"net/netip"
	"strconv"
	"strings"
)

// States of a VM in the platform's list and in heartbeats.
const (
	// Live VMs take requests.
	Live VMState = "live"
	// Leaving VMs finish what they have and are in no look-up.
	Leaving VMState = "leaving"
)

type (
	// VMState is whether a VM takes new requests.
	VMState string

	// VM is an entry VM of the system.
	VM struct {
		Name   VMName     `json:"name"`
		Domain DomainName `json:"domain"`
		// Callers is where callers send look-ups and requests.
		Callers netip.AddrPort `json:"callers"`
		// Inner is where other VMs speak the inner protocol.
		Inner netip.AddrPort `json:"inner"`
		State VMState        `json:"state"`
		// Size is how much load the VM can carry, in processor cores; zero
		// means that nobody knows.
		Size float64 `json:"size,omitempty"`
	}

	// Place is a share of every quota that one VM holds at a time. A
	// failure domain has as many places as its configuration says.
	Place struct {
		Domain DomainName
		Index  int
	}
)

// Less orders VMs by name.
func (v VM) Less(w VM) bool { return strings.Compare(string(v.Name), string(w.Name)) < 0 }

// String returns the place as domain/index.
func (p Place) String() string { return string(p.Domain) + "/" + strconv.Itoa(p.Index) }

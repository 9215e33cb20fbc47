// Package peer implements the inner protocol, by which VMs talk to each other:
// JSON over HTTP, on a listener separate from the callers'. It carries
// heartbeats, quota loans, configurations, and forwarded requests, whose bodies
// are streamed.
package peer

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/rollout/evidence"
	"sassafrastray/internal/rollout/move"
	"sassafrastray/internal/traffic/scheduler"
)

// Paths of the inner protocol.
const (
	HeartbeatPath = "/beat"
	ConfigPath    = "/config"
	QuotaPath     = "/quota"
	ForwardPath   = "/forward"
)

// Headers of the inner protocol. Headers with the prefix are removed from callers'
// requests, so none of them can come from a caller.
const (
	HeaderPrefix       = "Inner-"
	TokenHeader        = "Inner-Token"
	FromHeader         = "Inner-From"
	DomainHeader       = "Inner-Domain"
	ServiceHeader      = "Inner-Service"
	RouteHeader        = "Inner-Route"
	VersionHeader      = "Inner-Version"
	TeamHeader         = "Inner-Team"
	KeyHeader          = "Inner-Key"      // digest of the caller's key
	TimeoutHeader      = "Inner-Timeout"  // time left, in milliseconds
	MaxWaitHeader      = "Inner-Patience" // longest wait that the sender accepts, in microseconds; 0 for any
	ExpectedWaitHeader = "Inner-Wait"     // expected wait in microseconds, in a refusal
	ConfigHeader       = "Inner-Config"   // number of the sender's configuration
	PathHeader         = "Inner-Path"     // the caller's path and query
	AvoidHeader        = "Inner-Avoid"    // backend servers not to use again
	BackendHeader      = "Inner-Backend"  // backend server that was tried
)

type (
	// Heartbeat is what a VM reports to others about itself and, in a sparse
	// fleet, about third VMs.
	Heartbeat struct {
		VM       sassafrastray.VM          `json:"vm"`
		Inc      sassafrastray.Incarnation `json:"inc"`
		Sequence uint64                    `json:"seq"`
		Config   int64                     `json:"config"`
		// Confirmed is how long ago the VM last knew that its configuration is
		// the newest, in milliseconds.
		Confirmed int64 `json:"confirmed"`
		// Ready is whether callers may be sent to the VM.
		Ready bool `json:"ready,omitempty"`
		// Loads, Holdings and Draining describe the backend servers that the VM
		// owns.
		Loads    []scheduler.Load            `json:"loads,omitempty"`
		Holdings []scheduler.Holding         `json:"holdings,omitempty"`
		Draining []sassafrastray.BackendName `json:"drains,omitempty"`
		Quota    quota.Digest                `json:"quota,omitzero"`
		Evidence evidence.Digest             `json:"evidence,omitzero"`
		Moves    move.Heartbeat              `json:"moves,omitzero"`
		// RelayAge is the age of the heartbeat at the VM that relays it, in
		// milliseconds.
		RelayAge int64 `json:"heard,omitempty"`
		// Relay is nil in fleets where every VM sends heartbeats to every
		// other.
		Relay *Relay `json:"relay,omitempty"`
	}

	// Relay is what a VM knows of other VMs. The request carries
	// SummaryVersions and, within a failure domain, HeartbeatVersions. The
	// answer carries the Heartbeats that HeartbeatVersions lacks, the
	// SummaryVersions that are newer than the requester's, and the Summaries of
	// those that differ.
	Relay struct {
		HeartbeatVersions []member.HeartbeatVersion `json:"seen,omitempty"`
		SummaryVersions   []member.SummaryVersion   `json:"marks,omitempty"`
		Heartbeats        []Heartbeat               `json:"mates,omitempty"`
		Summaries         []Summary                 `json:"summaries,omitempty"`
	}

	// Summary is what other failure domains know of one: a few of its VMs, with
	// their loads in rounded figures.
	Summary struct {
		Domain  sassafrastray.DomainName `json:"domain"`
		Entries []Heartbeat              `json:"entries"`
	}
)

// MemberHeartbeat returns the part of the heartbeat that package member uses.
func (h *Heartbeat) MemberHeartbeat() member.Heartbeat {
	return member.Heartbeat{VM: h.VM, Incarnation: h.Inc, Sequence: h.Sequence, Config: h.Config}
}

// ConfirmedAge returns how long ago the VM knew its configuration to be the
// newest.
func (h *Heartbeat) ConfirmedAge() time.Duration {
	return time.Duration(h.Confirmed) * time.Millisecond
}

// ForRelay returns the heartbeat without the parts that are only exchanged
// directly.
func (h *Heartbeat) ForRelay() Heartbeat {
	return Heartbeat{
		VM: h.VM, Inc: h.Inc, Sequence: h.Sequence, Config: h.Config, Confirmed: h.Confirmed, Ready: h.Ready,
		Loads: h.Loads, Holdings: h.Holdings, Draining: h.Draining,
	}
}

// MemberHeartbeats returns the parts of the summary that package member uses.
func (s *Summary) MemberHeartbeats() []member.Heartbeat {
	out := make([]member.Heartbeat, len(s.Entries))
	for i := range s.Entries {
		out[i] = s.Entries[i].MemberHeartbeat()
	}
	return out
}

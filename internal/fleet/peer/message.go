// Package peer is the inner protocol, which VMs speak among themselves: JSON
// over HTTP on a listener apart from the callers', for heartbeats, quota loans
// and configuration, and forwarded requests with their bodies as streams.
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
	BeatPath    = "/beat"
	ConfigPath  = "/config"
	QuotaPath   = "/quota"
	ForwardPath = "/forward"
)

// Headers of the inner protocol. A caller's headers with the prefix are
// dropped, so none of them can come from a caller.
const (
	Prefix         = "Inner-"
	TokenHeader    = "Inner-Token"
	FromHeader     = "Inner-From"
	DomainHeader   = "Inner-Domain"
	ServiceHeader  = "Inner-Service"
	RouteHeader    = "Inner-Route"
	VersionHeader  = "Inner-Version"
	TeamHeader     = "Inner-Team"
	KeyHeader      = "Inner-Key"      // digest of the caller's key
	TimeoutHeader  = "Inner-Timeout"  // milliseconds left
	PatienceHeader = "Inner-Patience" // microseconds that it accepts to wait, 0 for any
	WaitHeader     = "Inner-Wait"     // expected wait in microseconds, on a refusal
	ConfigHeader   = "Inner-Config"   // number of the sender's configuration
	PathHeader     = "Inner-Path"     // the caller's path and query
	AvoidHeader    = "Inner-Avoid"    // backend servers not to use again
	BackendHeader  = "Inner-Backend"  // backend server that was tried
)

type (
	// Heartbeat is what a VM tells others about itself and, in a large
	// fleet, about third VMs.
	Heartbeat struct {
		VM       sassafrastray.VM          `json:"vm"`
		Inc      sassafrastray.Incarnation `json:"inc"`
		Sequence uint64                    `json:"seq"`
		Config   int64                     `json:"config"`
		// Confirmed is how long ago the VM last knew that its configuration
		// is the newest, in milliseconds.
		Confirmed int64 `json:"confirmed"`
		// Ready tells that callers may be sent to the VM.
		Ready bool `json:"ready,omitempty"`
		// Loads, Holdings and Drains tell of the backend servers that the VM
		// keeps.
		Loads    []scheduler.Load            `json:"loads,omitempty"`
		Holdings []scheduler.Holding         `json:"holdings,omitempty"`
		Drains   []sassafrastray.BackendName `json:"drains,omitempty"`
		Quota    quota.Digest                `json:"quota,omitzero"`
		Evidence evidence.Digest             `json:"evidence,omitzero"`
		Moves    move.Heartbeat              `json:"moves,omitzero"`
		// Heard is how long ago the relaying VM heard of this heartbeat, in
		// milliseconds.
		Heard int64 `json:"heard,omitempty"`
		// Relay is nil in fleets where every VM hears every other.
		Relay *Relay `json:"relay,omitempty"`
	}

	// Relay is what a VM knows and tells of others. A VM that asks gives
	// Seen to VMs of its own failure domain, and Marks; the answer has the
	// heartbeats of Mates that Seen lacks, the Marks that are newer than the
	// asker's, and the Summaries of those that changed.
	Relay struct {
		Seen      []member.HeartbeatVersion `json:"seen,omitempty"`
		Marks     []member.SummaryVersion   `json:"marks,omitempty"`
		Mates     []Heartbeat               `json:"mates,omitempty"`
		Summaries []Summary                 `json:"summaries,omitempty"`
	}

	// Summary is what other failure domains know of one: a few of its VMs,
	// with their loads in coarse figures.
	Summary struct {
		Domain  sassafrastray.DomainName `json:"domain"`
		Entries []Heartbeat              `json:"entries"`
	}
)

// Beat returns the part of the heartbeat that membership reads.
func (h *Heartbeat) Beat() member.Heartbeat {
	return member.Heartbeat{VM: h.VM, Incarnation: h.Inc, Sequence: h.Sequence, Config: h.Config}
}

// Age returns how long ago the VM knew its configuration to be the newest.
func (h *Heartbeat) Age() time.Duration { return time.Duration(h.Confirmed) * time.Millisecond }

// Brief returns the heartbeat without what only VMs that hear it directly
// need.
func (h *Heartbeat) Brief() Heartbeat {
	return Heartbeat{
		VM: h.VM, Inc: h.Inc, Sequence: h.Sequence, Config: h.Config, Confirmed: h.Confirmed, Ready: h.Ready,
		Loads: h.Loads, Holdings: h.Holdings, Drains: h.Drains,
	}
}

// Beats returns the parts of the summary that membership reads.
func (s *Summary) Beats() []member.Heartbeat {
	out := make([]member.Heartbeat, len(s.Entries))
	for i := range s.Entries {
		out[i] = s.Entries[i].Beat()
	}
	return out
}

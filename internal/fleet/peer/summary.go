package peer

import (
	"encoding/json"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
	"sassafrastray/internal/traffic/scheduler"
)

const (
	// maxEntries is how many VMs of a failure domain other domains know.
	maxEntries = 4
	// loadSteps is the number of steps in which a summary counts used slots.
	loadSteps = 8
)

type pool struct {
	service sassafrastray.ServiceName
	version sassafrastray.VersionName
}

// Summarize returns the summary of a failure domain by its VMs' heartbeats,
// which are in order of preference. It names VMs that together keep backend
// servers of as many services and versions as possible.
func Summarize(domain sassafrastray.DomainName, beats []*Heartbeat) Summary {
	s := Summary{Domain: domain}
	covered := make(map[pool]bool)
	left := append([]*Heartbeat(nil), beats...)
	for len(left) > 0 && len(s.Entries) < maxEntries {
		best, most := 0, -1
		for i, h := range left {
			if n := h.adds(covered); n > most {
				best, most = i, n
			}
		}
		h := left[best]
		left = append(left[:best], left[best+1:]...)
		for _, l := range h.Loads {
			covered[pool{l.Service, l.Version}] = true
		}
		s.Entries = append(s.Entries, h.entry())
	}
	return s
}

// adds returns how many services and versions the VM adds to those covered. A
// VM that is not ready comes after all others.
func (h *Heartbeat) adds(covered map[pool]bool) int {
	n := 0
	for _, l := range h.Loads {
		if !covered[pool{l.Service, l.Version}] {
			n++
		}
	}
	if h.Ready {
		n++
	}
	return n
}

// entry returns the heartbeat as a summary has it. Its figures are coarse, so
// that most rounds leave the summary as it is.
func (h *Heartbeat) entry() Heartbeat {
	e := Heartbeat{VM: h.VM, Inc: h.Inc, Sequence: h.Sequence, Config: h.Config, Ready: h.Ready}
	for _, l := range h.Loads {
		step := max(1, l.Slots/loadSteps)
		e.Loads = append(e.Loads, scheduler.Load{
			Service: l.Service, Version: l.Version, Domain: l.Domain, Slots: l.Slots,
			Used: (l.Used + step - 1) / step * step, Queued: coarse(l.Queued),
			Wait: time.Duration(coarse(int(l.Wait.Milliseconds()))) * time.Millisecond,
			Mean: time.Duration(coarse(int(l.Mean.Milliseconds()))) * time.Millisecond,
		})
	}
	return e
}

// coarse rounds n up to a power of two.
func coarse(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << bits.Len(uint(n-1))
}

// Sum hashes what other failure domains need to learn anew when it changes.
func (s *Summary) Sum() uint16 {
	c := Summary{Domain: s.Domain, Entries: append([]Heartbeat(nil), s.Entries...)}
	for i := range c.Entries {
		c.Entries[i].Sequence = 0
	}
	b, err := json.Marshal(c)
	if err != nil {
		panic("peer: a summary can't be encoded: " + err.Error())
	}
	return uint16(xxhash.Sum64(b))
}

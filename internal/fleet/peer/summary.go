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
	// maxSummaryEntries is how many VMs of a failure domain its summary names
	// at most.
	maxSummaryEntries = 4
	// loadSteps is the number of steps to which a summary rounds the used
	// slots.
	loadSteps = 8
)

type serviceVersion struct {
	service sassafrastray.ServiceName
	version sassafrastray.VersionName
}

// Summarize returns the summary of a failure domain from its VMs' heartbeats,
// which are in order of preference. It names VMs that together own backend
// servers of as many services and versions as possible.
func Summarize(domain sassafrastray.DomainName, heartbeats []*Heartbeat) Summary {
	s := Summary{Domain: domain}
	covered := make(map[serviceVersion]bool)
	remaining := append([]*Heartbeat(nil), heartbeats...)
	for len(remaining) > 0 && len(s.Entries) < maxSummaryEntries {
		best, bestCount := 0, -1
		for i, h := range remaining {
			if n := h.newlyCovered(covered); n > bestCount {
				best, bestCount = i, n
			}
		}
		h := remaining[best]
		remaining = append(remaining[:best], remaining[best+1:]...)
		for _, l := range h.Loads {
			covered[serviceVersion{l.Service, l.Version}] = true
		}
		s.Entries = append(s.Entries, h.summaryEntry())
	}
	return s
}

// newlyCovered returns how many services and versions the VM adds to those
// covered, and one more if it is ready: among VMs that add the same, a ready
// one comes first.
func (h *Heartbeat) newlyCovered(covered map[serviceVersion]bool) int {
	n := 0
	for _, l := range h.Loads {
		if !covered[serviceVersion{l.Service, l.Version}] {
			n++
		}
	}
	if h.Ready {
		n++
	}
	return n
}

// summaryEntry returns the heartbeat as it appears in a summary. Its figures
// are rounded, so that the summary stays the same in most rounds.
func (h *Heartbeat) summaryEntry() Heartbeat {
	e := Heartbeat{VM: h.VM, Inc: h.Inc, Sequence: h.Sequence, Config: h.Config, Ready: h.Ready}
	for _, l := range h.Loads {
		step := max(1, l.Slots/loadSteps)
		e.Loads = append(e.Loads, scheduler.Load{
			Service: l.Service, Version: l.Version, Domain: l.Domain, Slots: l.Slots,
			Used: (l.Used + step - 1) / step * step, Queued: roundUpToPowerOf2(l.Queued),
			Wait: time.Duration(roundUpToPowerOf2(int(l.Wait.Milliseconds()))) * time.Millisecond,
			Mean: time.Duration(roundUpToPowerOf2(int(l.Mean.Milliseconds()))) * time.Millisecond,
		})
	}
	return e
}

// roundUpToPowerOf2 rounds n up to a power of two, or to 0 if n is not
// positive.
func roundUpToPowerOf2(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << bits.Len(uint(n-1))
}

// Hash hashes the summary without its sequence numbers, so that the hash changes
// only when the summary has to be sent to other failure domains again.
func (s *Summary) Hash() uint16 {
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

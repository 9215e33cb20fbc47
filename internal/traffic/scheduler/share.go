package scheduler

import (
	"time"

	"sassafrastray"
)

// share is this VM's share of the slots of its region. A lower share applies at
// once. A higher one is delayed, so that the sum over all VMs stays within the
// slots of the region while a new configuration or view spreads.
type share struct {
	known        bool // set has been called, so the bound of the region is known
	bounded      bool
	slots        int
	used         int
	pendingSlots int
	pendingAt    time.Time
}

// set applies the share that follows from the current configuration and view, or
// removes the bound if slots is negative.
func (s *share) set(slots int, now time.Time, delay time.Duration) {
	if slots < 0 {
		s.known, s.bounded = true, false
		return
	}
	if !s.bounded {
		s.bounded, s.slots, s.pendingSlots, s.pendingAt = true, 0, 0, now
		if s.known {
			s.slots, s.pendingSlots = slots, slots
		}
		s.known = true
	}
	if slots != s.pendingSlots {
		s.pendingSlots, s.pendingAt = slots, now.Add(delay)
	}
	s.slots = min(s.slots, slots)
}

// tick applies an increase once its delay has passed.
func (s *share) tick(now time.Time) {
	if s.bounded && !now.Before(s.pendingAt) {
		s.slots = s.pendingSlots
	}
}

// free returns how many more requests the share allows, at most n.
func (s *share) free(n int) int {
	if !s.bounded {
		return n
	}
	return min(n, s.slots-s.used)
}

// regionShare returns this VM's share of the slots of its region, 0 if the VM is
// not in the view, or -1 if the region is not bounded. Each backend server is
// allotted a fixed part that depends only on the configuration, so that VMs with
// different views agree on it.
func (s *Scheduler) regionShare() int {
	if !s.present {
		return 0
	}
	region := s.region()
	bound := 0
	for _, r := range s.config.Fleet.Regions {
		if r.Name == region {
			bound = r.Slots
		}
	}
	if bound == 0 {
		return -1
	}
	total := 0
	for _, b := range s.byName {
		if b.countsIn(region) {
			total += b.slots
		}
	}
	bound = min(bound, total)
	sum, before := 0, 0
	for _, b := range s.byName {
		if !b.countsIn(region) {
			continue
		}
		// Differences of the rounded running sum are whole numbers that add up to
		// bound.
		part := bound*(before+b.slots)/total - bound*before/total
		before += b.slots
		if b.owned {
			sum += part
		}
	}
	return sum
}

// region returns the region of this VM, which is also that of all backend servers
// it owns.
func (s *Scheduler) region() sassafrastray.RegionName {
	for _, m := range s.live {
		if m.VM == s.self {
			return m.Region
		}
	}
	return ""
}

// countsIn reports whether b is allotted a part of the slots of the region.
func (b *backend) countsIn(region sassafrastray.RegionName) bool {
	return b.region == region && !b.removed && !b.leaving
}

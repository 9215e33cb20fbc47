package keeper

import (
	"time"

	"sassafrastray"
)

// share is this VM's part of its region's slots. A lower part binds at once;
// a higher one waits, so that the sum over the VMs stays within the region's
// slots while a configuration or a view spreads.
type share struct {
	known   bool // the region's bound has been heard
	bounded bool
	slots   int
	used    int
	next    int
	at      time.Time
}

// set gives the part that the current configuration and view ask for.
func (s *share) set(slots int, now time.Time, delay time.Duration) {
	if slots < 0 {
		s.known, s.bounded = true, false
		return
	}
	if !s.bounded {
		s.bounded, s.slots, s.next, s.at = true, 0, 0, now
		if s.known {
			s.slots, s.next = slots, slots
		}
		s.known = true
	}
	if slots != s.next {
		s.next, s.at = slots, now.Add(delay)
	}
	s.slots = min(s.slots, slots)
}

// tick applies a raise that has waited long enough.
func (s *share) tick(now time.Time) {
	if s.bounded && !now.Before(s.at) {
		s.slots = s.next
	}
}

// free returns how many more requests the region allows, at most n.
func (s *share) free(n int) int {
	if !s.bounded {
		return n
	}
	return min(n, s.slots-s.used)
}

// allowance returns this VM's part of the slots of its region, none if it is
// not in the view, or -1 if the region is not bounded. Each backend server
// carries a part that depends on the configuration alone, so that views that
// differ agree on it.
func (k *Keeper) allowance() int {
	if !k.present {
		return 0
	}
	region := k.region()
	bound := 0
	for _, r := range k.config.Fleet.Regions {
		if r.Name == region {
			bound = r.Slots
		}
	}
	if bound == 0 {
		return -1
	}
	total := 0
	for _, b := range k.names {
		if b.countsIn(region) {
			total += b.slots
		}
	}
	bound = min(bound, total)
	sum, before := 0, 0
	for _, b := range k.names {
		if !b.countsIn(region) {
			continue
		}
		// Rounding the running sum gives whole parts that add up to bound.
		part := bound*(before+b.slots)/total - bound*before/total
		before += b.slots
		if b.kept {
			sum += part
		}
	}
	return sum
}

// region returns the region of this VM, which is that of all it keeps.
func (k *Keeper) region() sassafrastray.RegionName {
	for _, m := range k.live {
		if m.VM == k.self {
			return m.Region
		}
	}
	return ""
}

// countsIn reports whether b carries a part of the region's slots.
func (b *backend) countsIn(region sassafrastray.RegionName) bool {
	return b.region == region && !b.gone && !b.leaving
}

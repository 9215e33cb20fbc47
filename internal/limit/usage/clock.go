package usage

import (
	"slices"
	"time"

	"sassafrastray"
)

const (
	// offsetLifetime is how long the offset of a VM's clock counts after it was last
	// heard. It is much longer than a pause of the process, after which no other VM was
	// heard for a while: clocks drift by less than a millisecond in this time.
	offsetLifetime = time.Minute

	// offsetMemory is how long the best offset of a VM's clock replaces lower ones. Each
	// delay of a message on its way makes its offset lower, by seconds after a pause.
	offsetMemory = 8 * time.Second
)

type (
	// Clock estimates the time that the VMs of a fleet share: the median of their wall
	// clocks, as offsets against a clock of this VM that never steps.
	Clock struct {
		own   time.Duration
		peers map[sassafrastray.VMName]peerOffset
	}

	peerOffset struct {
		offset time.Duration
		// measured is when the offset was measured, heard when the VM was last heard.
		measured, heard time.Time
	}
)

// NewClock returns a clock that knows no other VM.
func NewClock() *Clock { return &Clock{peers: make(map[sassafrastray.VMName]peerOffset)} }

// SetOwn sets the offset of this VM's wall clock.
func (c *Clock) SetOwn(offset time.Duration) { c.own = offset }

// SetPeer sets the offset of another VM's wall clock as a message says it that was heard at
// a time. The greatest offset of the last seconds counts, which had the least delay.
func (c *Clock) SetPeer(vm sassafrastray.VMName, offset time.Duration, heard time.Time) {
	p, ok := c.peers[vm]
	if !ok || offset >= p.offset || heard.Sub(p.measured) > offsetMemory {
		p.offset, p.measured = offset, heard
	}
	if heard.After(p.heard) {
		p.heard = heard
	}
	c.peers[vm] = p
}

// Offset returns the median of the offsets.
func (c *Clock) Offset(now time.Time) time.Duration {
	all := make([]time.Duration, 0, len(c.peers)+1)
	all = append(all, c.own)
	for vm, p := range c.peers {
		if now.Sub(p.heard) > offsetLifetime {
			delete(c.peers, vm)
			continue
		}
		all = append(all, p.offset)
	}
	slices.Sort(all)
	low, high := all[(len(all)-1)/2], all[len(all)/2]
	return low + (high-low)/2
}

// Own returns the offset of this VM's wall clock.
func (c *Clock) Own() time.Duration { return c.own }

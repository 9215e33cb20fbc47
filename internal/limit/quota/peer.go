package quota

import (
	"math"
	"slices"
	"time"

	"sassafrastray"
)

// idleShare is the part of a limit's rate below which demand does not count
// for gathering units.
const idleShare = 0.001

type (
	// Peer is another VM as heartbeats describe it.
	Peer struct {
		Name   sassafrastray.VMName
		Inc    sassafrastray.Incarnation
		Domain sassafrastray.DomainName
		Region sassafrastray.RegionName
		Digest Digest
	}

	// Digest is what a VM could lend, for heartbeats.
	Digest struct {
		Spare []Spare `json:"spare,omitempty"`
	}

	// Spare is what a VM has and wants of one limit.
	Spare struct {
		Key string `json:"key"`
		// Base is the share of the VM's place, lent or not.
		Base int64 `json:"base,omitempty"`
		// Units of the base share are free to be lent.
		Units int64 `json:"units,omitempty"`
		// Lack is how many units the VM's demand misses.
		Lack int64 `json:"lack,omitempty"`
		// Size is the bucket's capacity.
		Size int64 `json:"size,omitempty"`
		// Tokens are whole tokens in the bucket.
		Tokens float64 `json:"tokens,omitempty"`
		// Demand is in tokens per second, averaged over a long time.
		Demand float64 `json:"demand,omitempty"`
		// Hub means that the VM gathers spare units.
		Hub bool `json:"hub,omitempty"`
	}

	// candidate is a VM that may become the hub of a limit.
	candidate struct {
		name   sassafrastray.VMName
		demand float64
	}

	// neighbour is a peer with what the Book believes it still has.
	neighbour struct {
		Peer
		distance int
		spare    map[string]*Spare
	}
)

// Digest describes the limits of which the VM has or wants a part.
func (b *Book) Digest() Digest {
	var d Digest
	for _, e := range b.order {
		s := Spare{
			Key: e.limit.Key, Units: e.spare(e.last.Add(b.opt.Tokens + b.opt.Margin)), Lack: e.lack(), Base: e.share, Size: int64(e.capacity),
			Tokens: math.Floor(e.tokens), Demand: math.Round(e.habit*1000) / 1000, Hub: e.isHub,
		}
		if s != (Spare{Key: e.limit.Key}) {
			d.Spare = append(d.Spare, s)
		}
	}
	return d
}

// Peers replaces what is known of other VMs. They are asked in order of their
// distance, and in random order where that is equal.
func (b *Book) Peers(view []Peer, now time.Time) {
	region := b.regionOf(b.opt.Domain)
	b.peers = b.peers[:0]
	for _, p := range view {
		if p.Name == b.self {
			continue
		}
		n := &neighbour{Peer: p, distance: 2, spare: make(map[string]*Spare, len(p.Digest.Spare))}
		switch {
		case p.Domain == b.opt.Domain:
			n.distance = 0
		case p.Region == region:
			n.distance = 1
		}
		for _, s := range p.Digest.Spare {
			n.spare[s.Key] = &s
		}
		b.peers = append(b.peers, n)
	}
	b.rng.Shuffle(len(b.peers), func(i, j int) { b.peers[i], b.peers[j] = b.peers[j], b.peers[i] })
	slices.SortStableFunc(b.peers, func(m, n *neighbour) int { return m.distance - n.distance })
	for _, e := range b.order {
		b.elect(e)
		for vm, o := range e.backoff {
			if now.Sub(o.until) > mostBackoff {
				delete(e.backoff, vm)
			}
		}
	}
}

func (b *Book) regionOf(d sassafrastray.DomainName) sassafrastray.RegionName {
	for _, fd := range b.domains {
		if fd.Name == d {
			return fd.Region
		}
	}
	return ""
}

// elect chooses the hub of a limit: the VM that gathers the spare units, so
// that tokens do not lie in fractions at many VMs. It is the VM with the most
// demand; another one takes over only when its demand is clearly higher. VMs
// may disagree for a while, which costs messages and no more.
func (b *Book) elect(e *entry) {
	own := candidate{name: b.self, demand: e.habit}
	best, hub := own, candidate{}
	claimed := e.isHub
	if claimed {
		hub = own
	}
	e.hub, e.busy, e.wants = nil, e.habit > e.limit.Rate*idleShare, 0
	for _, n := range b.peers {
		s := n.spare[e.limit.Key]
		if s == nil {
			continue
		}
		e.wants += s.Lack
		e.busy = e.busy || s.Demand > e.limit.Rate*idleShare
		c := candidate{name: n.Name, demand: s.Demand}
		if c.above(best) {
			best = c
		}
		if s.Hub && (!claimed || c.above(hub)) {
			claimed, hub, e.hub = true, c, n
		}
	}
	switch {
	case !claimed:
		e.isHub = best == own
	case e.hub != nil && best == own && own.demand > 2*hub.demand+e.unitRate()/2:
		e.isHub, e.hub = true, nil
	default:
		e.isHub = e.hub == nil
	}
}

// above orders candidates by demand, and by name where that is equal.
func (c candidate) above(d candidate) bool {
	if c.demand != d.demand {
		return c.demand > d.demand
	}
	return c.name > d.name
}

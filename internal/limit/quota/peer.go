package quota

import (
	"slices"
	"time"

	"sassafrastray"
)

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

	// Spare is what a VM owns of one limit.
	Spare struct {
		Key string `json:"key"`
		// Units are free to be lent.
		Units int64 `json:"units,omitempty"`
		// Lent units are with other VMs.
		Lent   int64   `json:"lent,omitempty"`
		Tokens float64 `json:"tokens,omitempty"`
		// Demand is in tokens per second.
		Demand float64 `json:"demand,omitempty"`
	}

	// neighbour is a peer with what the Book believes it still has.
	neighbour struct {
		Peer
		distance int
		spare    map[string]*known
	}

	known struct {
		Spare
		at time.Time
	}
)

// Digest describes the limits of which the VM owns a part.
func (b *Book) Digest() Digest {
	var d Digest
	for _, e := range b.order {
		if e.share == 0 || !e.active {
			continue
		}
		units, _ := e.lentOut()
		d.Spare = append(d.Spare, Spare{
			Key: e.limit.Key, Units: e.free(), Lent: units, Tokens: float64(int64(e.tokens)), Demand: float64(int64(e.demand)),
		})
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
		n := &neighbour{Peer: p, distance: 2, spare: make(map[string]*known, len(p.Digest.Spare))}
		switch {
		case p.Domain == b.opt.Domain:
			n.distance = 0
		case p.Region == region:
			n.distance = 1
		}
		for _, s := range p.Digest.Spare {
			n.spare[s.Key] = &known{Spare: s, at: now}
		}
		b.peers = append(b.peers, n)
	}
	b.rng.Shuffle(len(b.peers), func(i, j int) { b.peers[i], b.peers[j] = b.peers[j], b.peers[i] })
	slices.SortStableFunc(b.peers, func(m, n *neighbour) int { return m.distance - n.distance })
	for _, e := range b.order {
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

// estimate returns the tokens that the peer has by now if it spent none.
func (k *known) estimate(unitRate float64, now time.Time) float64 {
	refilled := float64(k.Units) * unitRate * now.Sub(k.at).Seconds()
	return min(k.Tokens+refilled, float64(k.Units))
}

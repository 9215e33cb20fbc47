package quota

import (
	"math"
	"slices"
	"time"

	"sassafrastray"
)

// idleFraction is the fraction of a limit's rate up to which a VM's demand
// counts as none when the hub gathers units.
const idleFraction = 0.001

type (
	// Peer is another VM as described by its heartbeats.
	Peer struct {
		Name   sassafrastray.VMName
		Inc    sassafrastray.Incarnation
		Domain sassafrastray.DomainName
		Region sassafrastray.RegionName
		Digest Digest
	}

	// Digest is the part of a VM's heartbeat that describes what it can lend and
	// what it needs.
	Digest struct {
		Limits []LimitDigest `json:"spare,omitempty"`
	}

	// LimitDigest describes what a VM has and needs of one limit.
	LimitDigest struct {
		Key string `json:"key"`
		// BaseShare is the share of the VM's place in units, including lent
		// ones.
		BaseShare int64 `json:"base,omitempty"`
		// SpareUnits is how many units of the base share can be lent.
		SpareUnits int64 `json:"units,omitempty"`
		// MissingUnits is how many units the VM's demand needs beyond those
		// that it has.
		MissingUnits int64 `json:"lack,omitempty"`
		// Capacity is the capacity of the bucket in tokens.
		Capacity int64 `json:"size,omitempty"`
		// Tokens is the number of whole tokens in the bucket.
		Tokens float64 `json:"tokens,omitempty"`
		// Demand is in tokens per second, averaged over a long time.
		Demand float64 `json:"demand,omitempty"`
		// Hub is set if the VM gathers spare units.
		Hub bool `json:"hub,omitempty"`
	}

	// candidate is a VM that may become the hub of a limit.
	candidate struct {
		name   sassafrastray.VMName
		demand float64
	}

	// knownPeer is a peer and an estimate of what it can still lend, after the
	// requests already sent to it. distance is 0 within the failure domain, 1
	// within the region and 2 elsewhere.
	knownPeer struct {
		Peer
		distance int
		limits   map[string]*LimitDigest
	}
)

// Digest returns the digest of the limits of which the VM has or needs units or
// tokens.
func (lim *Limiter) Digest() Digest {
	var d Digest
	for _, e := range lim.ordered {
		s := LimitDigest{
			Key: e.limit.Key, SpareUnits: e.spareUnits(e.refilledAt.Add(lim.opt.TokenLoanLength + lim.opt.Margin)), MissingUnits: e.missingUnits(), BaseShare: e.share, Capacity: int64(e.capacity),
			Tokens: math.Floor(e.tokens), Demand: math.Round(e.slowDemand*1000) / 1000, Hub: e.isHub,
		}
		if s != (LimitDigest{Key: e.limit.Key}) {
			d.Limits = append(d.Limits, s)
		}
	}
	return d
}

// SetPeers replaces what is known of other VMs. They are asked for loans in
// order of distance, and in random order at the same distance.
func (lim *Limiter) SetPeers(view []Peer, now time.Time) {
	region := lim.regionOf(lim.opt.Domain)
	lim.peers = lim.peers[:0]
	for _, p := range view {
		if p.Name == lim.self {
			continue
		}
		n := &knownPeer{Peer: p, distance: 2, limits: make(map[string]*LimitDigest, len(p.Digest.Limits))}
		switch {
		case p.Domain == lim.opt.Domain:
			n.distance = 0
		case p.Region == region:
			n.distance = 1
		}
		for _, s := range p.Digest.Limits {
			n.limits[s.Key] = &s
		}
		lim.peers = append(lim.peers, n)
	}
	lim.rng.Shuffle(len(lim.peers), func(i, j int) { lim.peers[i], lim.peers[j] = lim.peers[j], lim.peers[i] })
	slices.SortStableFunc(lim.peers, func(m, n *knownPeer) int { return m.distance - n.distance })
	for _, e := range lim.ordered {
		lim.electHub(e)
		for vm, o := range e.backoff {
			if now.Sub(o.until) > maxBackoff {
				delete(e.backoff, vm)
			}
		}
	}
}

// regionOf returns the region of a failure domain, or "" if the domain is
// unknown.
func (lim *Limiter) regionOf(d sassafrastray.DomainName) sassafrastray.RegionName {
	for _, fd := range lim.domains {
		if fd.Name == d {
			return fd.Region
		}
	}
	return ""
}

// electHub chooses the hub of a limit: the VM that gathers the spare units, so
// that tokens do not accumulate as unusable fractions at many VMs. The hub is
// the VM with the highest demand. Another VM takes over only when its demand is
// clearly higher. VMs may disagree temporarily, which costs additional messages
// but never exceeds the limit.
func (lim *Limiter) electHub(e *entry) {
	own := candidate{name: lim.self, demand: e.slowDemand}
	best, hub := own, candidate{}
	claimed := e.isHub
	if claimed {
		hub = own
	}
	e.hub, e.inDemand, e.othersMissing = nil, e.slowDemand > e.limit.Rate*idleFraction, 0
	for _, n := range lim.peers {
		s := n.limits[e.limit.Key]
		if s == nil {
			continue
		}
		e.othersMissing += s.MissingUnits
		e.inDemand = e.inDemand || s.Demand > e.limit.Rate*idleFraction
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

// above orders candidates by demand, and by name if that is equal.
func (c candidate) above(d candidate) bool {
	if c.demand != d.demand {
		return c.demand > d.demand
	}
	return c.name > d.name
}

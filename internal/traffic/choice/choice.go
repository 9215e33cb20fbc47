// Package choice decides which VM's keeper gets a request.
//
// The control goroutine builds a Snapshot from the figures that VMs send in
// their heartbeats; requests pick from it without locks or allocations. The
// figures are late, so what a VM is assumed to have free shrinks with their
// age, and each VM counts what it has itself sent since.
package choice

import (
	"math"
	"math/rand/v2"
	"time"

	"sassafrastray"
)

// Reasons for a choice.
const (
	// Domain means that the own failure domain takes the request.
	Domain Reason = "domain"
	// Region means that another failure domain of the region is less busy.
	Region Reason = "region"
	// Link means that the wait in the own region is longer than the way to
	// another one.
	Link Reason = "link"
	// Only means that the own region has nothing that serves it.
	Only Reason = "only"
	// Full means that the links to where it could go have no headroom.
	Full Reason = "full"
	// None means that no known VM keeps backend servers for it.
	None Reason = "none"
)

// Never is the wait at a VM that can't serve the request at all.
const Never = time.Duration(math.MaxInt64)

const (
	// horizon is the age at which a figure tells of no headroom any more.
	horizon = 3 * time.Second
	// hop is the cost of leaving the own failure domain.
	hop = 2 * time.Millisecond
	// unknownMean stands for a service time that has not been measured.
	unknownMean = 50 * time.Millisecond
)

type (
	// Reason tells why a VM was chosen.
	Reason string

	// Request is what a choice depends on. Bytes is the expected size of the
	// request with its answer.
	Request struct {
		Service sassafrastray.ServiceName
		Version sassafrastray.VersionName
		Team    sassafrastray.TeamName
		Bytes   int64
	}

	// Target is a VM that keeps backend servers for the request.
	Target struct {
		VM     sassafrastray.VMName
		Domain sassafrastray.DomainName
		Region sassafrastray.RegionName

		sent  *counter
		link  *counter
		bytes int64
	}

	// Choice is the VM that gets the request and, if Second names one, the
	// VM that gets it if the first would let it wait.
	Choice struct {
		Target
		Reason Reason
		Second Target
	}

	// Offer is one step of a choice: the target and the longest wait that
	// the request accepts there, zero for any.
	Offer struct {
		Target
		Patience time.Duration
	}
)

// Offer returns step n of the choice, from 0, or false if there is none left.
// waits are what the targets of the earlier steps told when they refused. The
// first target is asked for a slot, or a wait that is no longer than the way
// to another; the second for a shorter wait than the first one told; then the
// better of the two takes the request as long as the deadline allows. A target
// that refused for another reason than the wait told Never.
func (c Choice) Offer(n int, waits [2]time.Duration) (Offer, bool) {
	switch {
	case n == 0 && c.Second.VM == "":
		return Offer{Target: c.Target}, true
	case n == 0:
		return Offer{Target: c.Target, Patience: hop}, true
	case n == 1 && c.Second.VM != "" && waits[0] == Never:
		return Offer{Target: c.Second}, true
	case n == 1 && c.Second.VM != "":
		return Offer{Target: c.Second, Patience: max(hop, waits[0])}, true
	case n != 2 || waits[0] == Never:
		return Offer{}, false
	case waits[1] < waits[0]:
		return Offer{Target: c.Second}, true
	}
	return Offer{Target: c.Target}, true
}

// Sent counts a request that goes to the target. Each Sent needs one Done.
func (t Target) Sent() {
	t.sent.n.Add(1)
	if t.link != nil {
		t.link.n.Add(t.bytes)
	}
}

// Done ends the counting of a request that went to the target.
func (t Target) Done() {
	t.sent.n.Add(-1)
	if t.link != nil {
		t.link.n.Add(-t.bytes)
	}
}

// Pick chooses a VM for the request. It reports false if there is none.
func (s *Snapshot) Pick(r Request, now time.Time, rng *rand.Rand) (Choice, bool) {
	t := s.tables[key{r.Service, r.Version}]
	if t == nil {
		return Choice{Reason: None}, false
	}
	local := t.least(0, t.region, r.Team, now)
	if local == nil {
		return t.leave(r, Only, now, rng)
	}
	if cost := local.cost(r.Team, now); t.tempted(cost) {
		if c, ok := t.leave(r, Link, now, rng); ok && t.far(c.VM).cost(r.Team, now) < cost {
			c.Second = local.target(r)
			return c, true
		}
	}
	return t.stay(r, now, rng), true
}

// stay chooses within the region, and within the failure domain unless a
// request would have to wait there.
func (t *table) stay(r Request, now time.Time, rng *rand.Rand) Choice {
	end := t.region
	if own := t.least(0, t.domain, r.Team, now); own != nil && own.cost(r.Team, now) <= hop {
		end = t.domain
	}
	first := t.sample(0, end, nil, rng)
	second := t.sample(0, end, first, rng)
	if second != nil && second.before(first, r.Team, now) {
		first, second = second, first
	}
	if second == nil {
		second = t.sample(0, t.region, first, rng)
	}
	c := Choice{Target: first.target(r), Reason: Region}
	if first.near {
		c.Reason = Domain
	}
	if second != nil {
		c.Second = second.target(r)
	}
	return c
}

// leave chooses a VM of another region. A crossing that is not forced stays
// within this VM's part of the headroom there; one that is forced may wait
// there.
func (t *table) leave(r Request, reason Reason, now time.Time, rng *rand.Rand) (Choice, bool) {
	if t.region == len(t.candidates) {
		return Choice{Reason: None}, false
	}
	var first, second *candidate
	for i := t.region; i < len(t.candidates); i++ {
		c := &t.candidates[i]
		if !c.link.fits(r.Bytes, now) || reason == Link && !c.part(now, rng) {
			continue
		}
		switch {
		case first == nil || c.before(first, r.Team, now):
			first, second = c, first
		case second == nil || c.before(second, r.Team, now):
			second = c
		}
	}
	if first == nil {
		return Choice{Reason: Full}, false
	}
	// Of the best two, either may go first, so that VMs with the same
	// figures do not all send to one.
	if second != nil && second.cost(r.Team, now)-first.cost(r.Team, now) <= hop && rng.IntN(2) == 0 {
		first, second = second, first
	}
	c := Choice{Target: first.target(r), Reason: reason}
	if second != nil {
		c.Second = second.target(r)
	}
	return c, true
}

// least returns the candidate with the least cost from i to j, or nil.
func (t *table) least(i, j int, team sassafrastray.TeamName, now time.Time) *candidate {
	var best *candidate
	for ; i < j; i++ {
		if c := &t.candidates[i]; best == nil || c.before(best, team, now) {
			best = c
		}
	}
	return best
}

// sample returns a random candidate from i to j by slots, but not other. It
// returns nil if there is none.
func (t *table) sample(i, j int, other *candidate, rng *rand.Rand) *candidate {
	total := 0
	for k := i; k < j; k++ {
		if c := &t.candidates[k]; c != other {
			total += c.slots
		}
	}
	if total == 0 {
		return nil
	}
	at := rng.IntN(total)
	for k := i; k < j; k++ {
		c := &t.candidates[k]
		if c == other {
			continue
		}
		if at -= c.slots; at < 0 {
			return c
		}
	}
	return nil
}

// far returns the candidate of the VM in another region.
func (t *table) far(vm sassafrastray.VMName) *candidate {
	for i := t.region; i < len(t.candidates); i++ {
		if t.candidates[i].vm == vm {
			return &t.candidates[i]
		}
	}
	return nil
}

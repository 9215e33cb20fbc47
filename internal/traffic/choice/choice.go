// Package choice decides which VM's scheduler gets a request.
//
// The control goroutine builds a Snapshot from the load reports in the VMs'
// heartbeats; requests pick from it without locks or allocations. Reports are
// out of date when they arrive, so the headroom assumed at a VM shrinks with
// the report's age, and each VM counts what it has itself sent since.
package choice

import (
	"math"
	"math/rand/v2"
	"time"

	"sassafrastray"
)

// Reasons for a choice.
const (
	// ReasonDomain means that this VM's failure domain takes the request.
	ReasonDomain Reason = "domain"
	// ReasonRegion means that another failure domain of the region is less busy.
	ReasonRegion Reason = "region"
	// ReasonLink means that the wait in this VM's region is longer than the
	// round trip to another one.
	ReasonLink Reason = "link"
	// ReasonOnly means that only other regions have VMs for the request.
	ReasonOnly Reason = "only"
	// ReasonFull means that no region with VMs for the request has headroom
	// on the link to it.
	ReasonFull Reason = "full"
	// ReasonNone means that no known VM has backend servers for the request.
	ReasonNone Reason = "none"
)

// Never is the wait at a VM that cannot serve the request.
const Never = time.Duration(math.MaxInt64)

const (
	// maxReportAge is the age from which a report's headroom counts as zero.
	maxReportAge = 3 * time.Second
	// crossDomainCost is the cost of sending a request to another failure
	// domain of the region.
	crossDomainCost = 2 * time.Millisecond
	// defaultMean is the mean service time assumed if none is reported.
	defaultMean = 50 * time.Millisecond
)

type (
	// Reason tells why a VM was chosen.
	Reason string

	// Request holds the properties of a request that a choice depends on.
	// Bytes is the expected size of the request and its answer.
	Request struct {
		Service sassafrastray.ServiceName
		Version sassafrastray.VersionName
		Team    sassafrastray.TeamName
		Bytes   int64
	}

	// Target is a VM that owns backend servers for the request.
	Target struct {
		VM     sassafrastray.VMName
		Domain sassafrastray.DomainName
		Region sassafrastray.RegionName

		sent  *counter
		link  *counter
		bytes int64
	}

	// Choice is the VM that is offered the request first and, if Second
	// names one, the VM that is offered it if it would wait at the first.
	Choice struct {
		Target
		Reason Reason
		Second Target
	}

	// Offer is one step of a choice: a target and the longest wait in its
	// queue that the request accepts, zero for any.
	Offer struct {
		Target
		MaxWait time.Duration
	}
)

// Offer returns step n of the choice, counted from 0, or false if there is none
// left. waits are the waits that the targets of the earlier steps reported when
// they refused; Never stands for a refusal for another reason than the wait.
// The first target must have a free slot, or a wait no longer than the cost of
// going to another failure domain. The second must have a shorter wait than the
// first reported. The last offer goes to the target with the shorter wait,
// whatever that is.
func (c Choice) Offer(n int, waits [2]time.Duration) (Offer, bool) {
	switch {
	case n == 0 && c.Second.VM == "":
		return Offer{Target: c.Target}, true
	case n == 0:
		return Offer{Target: c.Target, MaxWait: crossDomainCost}, true
	case n == 1 && c.Second.VM != "" && waits[0] == Never:
		return Offer{Target: c.Second}, true
	case n == 1 && c.Second.VM != "":
		return Offer{Target: c.Second, MaxWait: max(crossDomainCost, waits[0])}, true
	case n != 2 || waits[0] == Never:
		return Offer{}, false
	case waits[1] < waits[0]:
		return Offer{Target: c.Second}, true
	}
	return Offer{Target: c.Target}, true
}

// Sent counts a request that goes to the target. Each call needs one of Done.
func (t Target) Sent() {
	t.sent.n.Add(1)
	if t.link != nil {
		t.link.n.Add(t.bytes)
	}
}

// Done stops counting a request that went to the target.
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
		return Choice{Reason: ReasonNone}, false
	}
	local := t.cheapest(0, t.regionEnd, r.Team, now)
	if local == nil {
		return t.pickRemote(r, ReasonOnly, now, rng)
	}
	if cost := local.cost(r.Team, now); t.exceedsRoundTrip(cost) {
		if c, ok := t.pickRemote(r, ReasonLink, now, rng); ok && t.remote(c.VM).cost(r.Team, now) < cost {
			c.Second = local.target(r)
			return c, true
		}
	}
	return t.pickLocal(r, now, rng), true
}

// pickLocal chooses within the region, and within the failure domain unless a
// request would have to wait there.
func (t *table) pickLocal(r Request, now time.Time, rng *rand.Rand) Choice {
	end := t.regionEnd
	if own := t.cheapest(0, t.domainEnd, r.Team, now); own != nil && own.cost(r.Team, now) <= crossDomainCost {
		end = t.domainEnd
	}
	first := t.sample(0, end, nil, rng)
	second := t.sample(0, end, first, rng)
	if second != nil && second.betterThan(first, r.Team, now) {
		first, second = second, first
	}
	if second == nil {
		second = t.sample(0, t.regionEnd, first, rng)
	}
	c := Choice{Target: first.target(r), Reason: ReasonRegion}
	if first.sameDomain {
		c.Reason = ReasonDomain
	}
	if second != nil {
		c.Second = second.target(r)
	}
	return c
}

// pickRemote chooses a VM of another region. If this VM's region could serve
// the request too (ReasonLink), the VM must have headroom within this VM's
// share; if it could not, the request may wait there.
func (t *table) pickRemote(r Request, reason Reason, now time.Time, rng *rand.Rand) (Choice, bool) {
	if t.regionEnd == len(t.candidates) {
		return Choice{Reason: ReasonNone}, false
	}
	var first, second *candidate
	for i := t.regionEnd; i < len(t.candidates); i++ {
		c := &t.candidates[i]
		if !c.link.fits(r.Bytes, now) || reason == ReasonLink && !c.withinShare(now, rng) {
			continue
		}
		switch {
		case first == nil || c.betterThan(first, r.Team, now):
			first, second = c, first
		case second == nil || c.betterThan(second, r.Team, now):
			second = c
		}
	}
	if first == nil {
		return Choice{Reason: ReasonFull}, false
	}
	// The order of the best two is random, so that senders with the same
	// reports do not all choose the same VM.
	if second != nil && second.cost(r.Team, now)-first.cost(r.Team, now) <= crossDomainCost && rng.IntN(2) == 0 {
		first, second = second, first
	}
	c := Choice{Target: first.target(r), Reason: reason}
	if second != nil {
		c.Second = second.target(r)
	}
	return c, true
}

// cheapest returns the candidate with the lowest cost among those from index i
// up to j, or nil if there is none.
func (t *table) cheapest(i, j int, team sassafrastray.TeamName, now time.Time) *candidate {
	var best *candidate
	for ; i < j; i++ {
		if c := &t.candidates[i]; best == nil || c.betterThan(best, team, now) {
			best = c
		}
	}
	return best
}

// sample returns a random candidate among those from index i up to j, weighted
// by slots and other than other, or nil if there is none.
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

// remote returns the candidate for a VM of another region, or nil.
func (t *table) remote(vm sassafrastray.VMName) *candidate {
	for i := t.regionEnd; i < len(t.candidates); i++ {
		if t.candidates[i].vm == vm {
			return &t.candidates[i]
		}
	}
	return nil
}

package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"sassafrastray"
)

const (
	// defaultWarm and defaultCold are the processing times assumed for objects
	// that a server knows and for others until they are measured.
	defaultWarm = 150 * time.Millisecond
	defaultCold = 400 * time.Millisecond

	// overflowNear and overflowFar are the fractions of a region's slots
	// above which objects go to other regions: overflowNear if these are
	// near, overflowFar if the round trip takes at least as long as the
	// processing.
	overflowNear = 0.45
	overflowFar  = 0.75

	// evenShareNear and evenShareFar set the initial share of other regions,
	// for the same two distances: a region whose slots are the fraction x of
	// an even share keeps x times this factor of its objects, and other
	// regions get the rest.
	evenShareNear = 1.0
	evenShareFar  = 1.8

	// evenShareShared replaces evenShareFar where the VMs of a region share reports of
	// runs, which happens in large fleets. Their first requests need unlearned objects, so
	// that a small region that keeps more is overloaded until the share has followed.
	evenShareShared = 1.15

	// tickInterval is the usual time between two calls of Tick.
	tickInterval = 200 * time.Millisecond

	// shiftFraction is the fraction of the bound on shifts between regions
	// by which the share may change per second.
	shiftFraction = 0.2

	// loadGain is the weight of a new load sample in its moving average.
	loadGain = 0.2

	// awayMargin is the factor by which a region's load must exceed the one seen at other
	// regions' servers before objects go there, where runs are shared. Regions with the
	// same load would otherwise exchange objects, which other servers then have to learn.
	awayMargin = 1.3

	// maxRemoteShare limits the share of other regions.
	maxRemoteShare = 0.9

	// shareResetTime is how long after a service's first request its initial share of other
	// regions is set again if VMs begin to share reports of runs. The first requests may
	// arrive before the VM knows how large the fleet is.
	shareResetTime = time.Second

	// planTime is how long after a service's first request the first plan holds at once.
	planTime = 1500 * time.Millisecond
)

// service is the state of one service in a Table.
type service struct {
	name       sassafrastray.ServiceName
	coldPeriod time.Duration
	coldRate   float64
	// servers holds the servers of each region, sorted by name.
	servers map[sassafrastray.RegionName][]*server
	// regions are the keys of servers in order, so that a choice by a seeded source of
	// randomness can be repeated.
	regions []sassafrastray.RegionName
	// base holds the versions that get the requests that ask for no
	// version.
	base map[sassafrastray.VersionName]bool
	// shareSet is set once the initial share of other regions is known.
	shareSet bool
	// firstRequest and lastRequest are the times of the service's first and latest requests.
	firstRequest, lastRequest time.Time
	// planned is set once the demand of all regions has been known.
	planned bool
	// remoteShare is the fraction of objects that go to other regions.
	remoteShare float64
	// nearLoad is the moving average of requests per slot in the VM's
	// region.
	nearLoad float64
	// awayLoad is the moving average of requests per slot at the servers of other regions
	// that were observed lately, where runs are shared.
	awayLoad float64
	// warmWork and coldWork are the average processing times of objects that
	// the server knew and of others.
	warmWork, coldWork time.Duration
	// meanWork is the average processing time of all objects.
	meanWork time.Duration
	// detours is how many requests may now leave their object's region.
	detours float64
	// capacity is the number of objects that a server is estimated to keep, and slowdown
	// the average slowdown of the servers' machines.
	capacity float64
	slowdown average
	// works counts the processing times of unknown (0) and of known objects (1).
	works [2]int
	// rates holds how often the objects are run in the region.
	rates          map[uint32]rate
	ratesCheckedAt time.Time
	tally          Tally
	// count holds the late requests at this VM, peers the latest reports of the other VMs
	// of the region, and others those of the other regions.
	count  demandCount
	peers  map[sassafrastray.VMName]regionState
	others map[sassafrastray.RegionName]regionState
}

func newService(name sassafrastray.ServiceName) *service {
	return &service{
		name: name, warmWork: defaultWarm, coldWork: defaultCold, meanWork: defaultWarm,
		servers: make(map[sassafrastray.RegionName][]*server),
		base:    make(map[sassafrastray.VersionName]bool), capacity: initialCapacity, rates: make(map[uint32]rate),
		slowdown: average{value: 1, count: 1}, count: demandCount{demand: newDemand()},
		peers: make(map[sassafrastray.VMName]regionState), others: make(map[sassafrastray.RegionName]regionState),
	}
}

func (s *service) add(v *server) {
	list, known := s.servers[v.region]
	if !known {
		i, _ := slices.BinarySearch(s.regions, v.region)
		s.regions = slices.Insert(s.regions, i, v.region)
	}
	i, _ := slices.BinarySearchFunc(list, v, func(a, b *server) int { return strings.Compare(string(a.Name), string(b.Name)) })
	s.servers[v.region] = slices.Insert(list, i, v)
}

func (s *service) remove(v *server) {
	list := s.servers[v.region]
	if i := slices.Index(list, v); i >= 0 {
		s.servers[v.region] = slices.Delete(list, i, i+1)
	}
}

// restoreBase makes all present versions base versions if none is left, so that
// a service stays reachable whose servers were all replaced without a rollout.
func (s *service) restoreBase() {
	present := make(map[sassafrastray.VersionName]bool)
	for _, list := range s.servers {
		for _, v := range list {
			if s.base[v.Version] {
				return
			}
			present[v.Version] = true
		}
	}
	if len(present) > 0 {
		s.base = present
	}
}

// countRequest records the time of a request.
func (s *service) countRequest(now time.Time) {
	if s.firstRequest.IsZero() {
		s.firstRequest = now
	}
	s.lastRequest = now
}

// initRemoteShare sets the initial share of other regions, to that of the other VMs of the
// region or else from the numbers of slots. It does so at the first request, since the
// distances are known by then.
func (s *service) initRemoteShare(t *Table, now time.Time) {
	if s.shareSet {
		return
	}
	if share, ok := s.peerShare(now); ok {
		s.remoteShare, s.shareSet, s.planned = share, true, true
		return
	}
	near, all := 0, 0
	for region, list := range s.servers {
		for _, v := range list {
			if v.leaves() || v.evacuated {
				continue
			}
			all += v.Slots
			if region == t.opt.Region {
				near += v.Slots
			}
		}
	}
	if all == 0 {
		return
	}
	s.shareSet = true
	regions := map[sassafrastray.RegionName]bool{}
	for _, r := range t.opt.Regions {
		regions[r] = true
	}
	far := evenShareFar
	if t.shared {
		far = evenShareShared
	}
	even := float64(all) / float64(max(1, len(regions)))
	s.remoteShare = min(maxRemoteShare, max(0, 1-t.interpolate(s, evenShareNear, far)*float64(near)/even))
}

// interpolate returns a value between near and far, by the round trip to the
// farthest region of the service relative to the processing time.
func (t *Table) interpolate(s *service, near, far float64) float64 {
	ratio := 0.0
	for r := range s.servers {
		ratio = max(ratio, float64(t.distance(r))/float64(max(1, s.warmWork)))
	}
	return near + (far-near)*min(1, ratio)
}

// regionLoads are the requests and slots at the usable servers of the VM's region, of all
// others, and of those of the others that were observed lately.
type regionLoads struct {
	near, away, observed                float64
	nearSlots, awaySlots, observedSlots int
}

func (s *service) loads(t *Table, now time.Time) regionLoads {
	var out regionLoads
	for _, region := range s.regions {
		for _, v := range s.servers[region] {
			if v.leaves() || v.evacuated || now.Before(v.blockedUntil) || v.isPaused(now) || v.limit != nil {
				continue
			}
			load := t.loadOf(v, now)
			if region == t.opt.Region {
				out.near, out.nearSlots = out.near+load, out.nearSlots+v.Slots
				continue
			}
			out.away, out.awaySlots = out.away+load, out.awaySlots+v.Slots
			if t.shared && v.isObserved(now) {
				out.observed, out.observedSlots = out.observed+load, out.observedSlots+v.Slots
			}
		}
	}
	return out
}

// tick moves the share of other regions toward the value at which the load of the
// near servers is at the overflow threshold, or to the planned one if that is less.
func (s *service) tick(t *Table, now time.Time) {
	s.forgetRates(now)
	s.count.tick()
	l := s.loads(t, now)
	if l.nearSlots == 0 {
		return
	}
	s.nearLoad += loadGain * (l.near/float64(l.nearSlots) - s.nearLoad)
	if l.awaySlots == 0 {
		return
	}
	if l.observedSlots > 0 {
		s.awayLoad += loadGain * (l.observed/float64(l.observedSlots) - s.awayLoad)
	}
	if planned, ok := s.plan(t, now); ok {
		s.follow(t, planned, now)
		return
	}
	threshold := t.interpolate(s, overflowNear, overflowFar)
	if l.observedSlots > 0 {
		threshold = max(threshold, awayMargin*s.awayLoad)
	}
	target := s.shareAt(threshold)
	if l.away/float64(l.awaySlots) > 1 {
		target = min(target, s.remoteShare)
	}
	s.moveShare(t, target)
}

// shareAt returns the share of other regions at which the near servers have the given load.
func (s *service) shareAt(load float64) float64 {
	if all := s.nearLoad / max(1-maxRemoteShare, 1-s.remoteShare); all > load {
		return 1 - load/all
	}
	return 0
}

// follow moves the share toward the planned one, or further if the near servers have more load than
// those of other regions, since requests differ in the load that they cause. It does so as far as
// the near servers have load.
func (s *service) follow(t *Table, planned float64, now time.Time) {
	first := !s.planned && now.Sub(s.firstRequest) <= planTime
	s.planned = true
	if first {
		// Nothing was known of the demand before the first requests, and the bound is on
		// changes from one moment to the next.
		s.remoteShare = min(maxRemoteShare, planned)
		return
	}
	if share, ok := s.peerShare(now); ok {
		s.remoteShare += shareGain * (share - s.remoteShare)
	}
	target := max(planned, s.shareAt(awayMargin*s.othersLoad(t)))
	s.moveShare(t, min(target, s.shareAt(t.interpolate(s, overflowNear, overflowFar))))
}

// moveShare moves the share toward the target, by a step for one tick.
func (s *service) moveShare(t *Table, target float64) {
	step := t.opt.Bounds.MaxRegionShift * shiftFraction * tickInterval.Seconds()
	s.remoteShare = min(maxRemoteShare, max(0, s.remoteShare+math.Copysign(min(step, math.Abs(target-s.remoteShare)), target-s.remoteShare)))
}

// recordWork adds a request's processing time, without the round trip, to the
// averages.
func (s *service) recordWork(d time.Duration, warm bool) {
	avg := &s.coldWork
	if warm {
		avg = &s.warmWork
	}
	*avg += time.Duration(gain / 4 * float64(d-*avg))
	s.meanWork += time.Duration(gain / 4 * float64(d-s.meanWork))
}

// unknownPenalty returns the penalty for a server that does not know the object,
// as a multiple of the additional processing time.
func (s *service) unknownPenalty() float64 {
	return unknownPenaltyIdle + (unknownPenaltyFull-unknownPenaltyIdle)*min(1, max(0, s.nearLoad-penaltyRiseLoad)/(1-penaltyRiseLoad))
}

// work returns the expected processing time of an object that the server knows
// (warm) or does not know.
func (s *service) work(warm bool) time.Duration {
	if warm {
		return s.warmWork
	}
	return max(s.warmWork, s.coldWork)
}

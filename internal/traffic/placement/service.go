package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"sassafrastray"
)

const (
	// defaultWarm and defaultCold are the times of work on known and
	// unknown objects that are assumed before they are measured.
	defaultWarm = 150 * time.Millisecond
	defaultCold = 400 * time.Millisecond

	// overflowNear and overflowFar are the fractions of a region's slots
	// above which objects go to other regions: the first if these are near,
	// the second if the round trip takes at least as long as the work.
	overflowNear = 0.45
	overflowFar  = 0.75

	// evenShareNear and evenShareFar set the initial share of other
	// regions, for the same two distances: a region with fewer slots than
	// an even share times this factor sends the rest of its objects away.
	evenShareNear = 1.0
	evenShareFar  = 1.8

	// tickInterval is the usual time between two calls of Tick.
	tickInterval = 200 * time.Millisecond

	// shiftFraction is the fraction of the bound on shifts between regions
	// by which the share may change per second.
	shiftFraction = 0.2

	// loadGain is the weight of a new load sample in its moving average.
	loadGain = 0.2

	// maxRemoteShare limits the share of other regions.
	maxRemoteShare = 0.9
)

// service is the state of one service in a Table.
type service struct {
	name     sassafrastray.ServiceName
	cold     time.Duration
	coldRate float64
	// servers holds the servers of each region, sorted by name.
	servers map[sassafrastray.RegionName][]*server
	// base holds the versions that get the requests that ask for no
	// version.
	base map[sassafrastray.VersionName]bool
	// shareSet is set once the initial share of other regions is known.
	shareSet bool
	// remoteShare is the fraction of objects that go to other regions.
	remoteShare float64
	// nearLoad is the moving average of requests per slot in the VM's
	// region.
	nearLoad float64
	// warm and coldWork are the measured times of work on objects that the
	// server knew and on others.
	warm, coldWork time.Duration
	// mean is the measured time of work on any object.
	mean time.Duration
	// detours is how many more requests may leave their object's region.
	detours float64
}

func newService(name sassafrastray.ServiceName) *service {
	return &service{
		name: name, warm: defaultWarm, coldWork: defaultCold, mean: defaultWarm,
		servers: make(map[sassafrastray.RegionName][]*server),
		base:    make(map[sassafrastray.VersionName]bool),
	}
}

func (s *service) add(v *server) {
	list := s.servers[v.region]
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

// initRemoteShare sets the initial share of other regions from the numbers of
// slots. It does so at the first request, since the distances are known by
// then.
func (s *service) initRemoteShare(t *Table) {
	if s.shareSet {
		return
	}
	near, all := 0, 0
	for region, list := range s.servers {
		for _, v := range list {
			if v.Leaving || v.evacuated {
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
	even := float64(all) / float64(max(1, len(regions)))
	s.remoteShare = min(maxRemoteShare, max(0, 1-t.interpolate(s, evenShareNear, evenShareFar)*float64(near)/even))
}

// interpolate returns a value between near and far, by the distance to the
// farthest region of the service relative to the time of work.
func (t *Table) interpolate(s *service, near, far float64) float64 {
	way := 0.0
	for r := range s.servers {
		way = max(way, float64(t.distance(r))/float64(max(1, s.warm)))
	}
	return near + (far-near)*min(1, way)
}

// tick moves the share of other regions towards the value at which the near
// servers have their intended load.
func (s *service) tick(t *Table, now time.Time) {
	near, nearSlots, away, awaySlots := 0.0, 0, 0.0, 0
	for region, list := range s.servers {
		for _, v := range list {
			if v.Leaving || v.evacuated || now.Before(v.blockedUntil) {
				continue
			}
			if region == t.opt.Region {
				near, nearSlots = near+v.load(t.regionPeers, now), nearSlots+v.Slots
			} else {
				away, awaySlots = away+v.load(t.regionPeers, now), awaySlots+v.Slots
			}
		}
	}
	if nearSlots == 0 {
		return
	}
	s.nearLoad += loadGain * (near/float64(nearSlots) - s.nearLoad)
	if awaySlots == 0 {
		return
	}
	want := 0.0
	full := t.interpolate(s, overflowNear, overflowFar)
	if all := s.nearLoad / max(1-maxRemoteShare, 1-s.remoteShare); all > full {
		want = 1 - full/all
	}
	if away/float64(awaySlots) > 1 {
		want = min(want, s.remoteShare)
	}
	step := t.opt.Bounds.MaxRegionShift * shiftFraction * tickInterval.Seconds()
	s.remoteShare = min(maxRemoteShare, max(0, s.remoteShare+math.Copysign(min(step, math.Abs(want-s.remoteShare)), want-s.remoteShare)))
}

// recordWork adds the time of a request's work, without the distance, to the
// averages.
func (s *service) recordWork(d time.Duration, warm bool) {
	of := &s.coldWork
	if warm {
		of = &s.warm
	}
	*of += time.Duration(gain / 4 * float64(d-*of))
	s.mean += time.Duration(gain / 4 * float64(d-s.mean))
}

// unknownPenalty returns the multiple of the additional work on an unknown
// object that counts as a penalty.
func (s *service) unknownPenalty() float64 {
	return unknownPenaltyIdle + (unknownPenaltyFull-unknownPenaltyIdle)*min(1, max(0, s.nearLoad-penaltyRiseLoad)/(1-penaltyRiseLoad))
}

// work returns the expected time of work on a known or an unknown object.
func (s *service) work(warm bool) time.Duration {
	if warm {
		return s.warm
	}
	return max(s.warm, s.coldWork)
}

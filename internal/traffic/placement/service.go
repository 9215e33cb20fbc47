package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"sassafrastray"
)

const (
	// usualWarm and usualCold are the times of work that are assumed before
	// any was measured.
	usualWarm = 150 * time.Millisecond
	usualCold = 400 * time.Millisecond

	// fullNear and fullFar are the parts of the slots of a region's servers
	// above which objects go to other regions: if those are near, and if the
	// way there takes as long as the work.
	fullNear = 0.45
	fullFar  = 0.75

	// evenNear and evenFar scale the first share of other regions, by the
	// same rule: a region that has less than its even part of the slots, times
	// this, sends the rest away.
	evenNear = 1.0
	evenFar  = 1.8

	// tickTime is the usual time between two calls of Tick.
	tickTime = 200 * time.Millisecond

	// shiftPart is the part of the bound on shifts between regions, per
	// second, by which the share may change.
	shiftPart = 0.2

	// smooth is the weight of a new reading of the load.
	smooth = 0.2

	// mostFar bounds the share of other regions.
	mostFar = 0.9
)

// service is what a Table knows of one service.
type service struct {
	name     sassafrastray.ServiceName
	cold     time.Duration
	coldRate float64
	// servers are in the order of their names, by region.
	servers map[sassafrastray.RegionName][]*server
	// base are the versions that requests go to when they ask for none.
	base map[sassafrastray.VersionName]bool
	// begun is set once the first share of other regions is known.
	begun bool
	// far is the part of the objects that go to other regions.
	far float64
	// busy is the smoothed part of the near slots in use.
	busy float64
	// warm and coldWork are the measured times of work on an object that
	// the server knew, and on another.
	warm, coldWork time.Duration
	// mean is the measured time of work on any object.
	mean time.Duration
	// detours is how many requests may leave their object's share.
	detours float64
}

func newService(name sassafrastray.ServiceName) *service {
	return &service{
		name: name, warm: usualWarm, coldWork: usualCold, mean: usualWarm,
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

// rest keeps a service reachable whose servers were all replaced by another
// version without a rollout.
func (s *service) rest() {
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

// start sets the first share of other regions from the slots, when the first
// request comes: by then the distances are known.
func (s *service) start(t *Table) {
	if s.begun {
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
	s.begun = true
	regions := map[sassafrastray.RegionName]bool{}
	for _, r := range t.opt.Regions {
		regions[r] = true
	}
	even := float64(all) / float64(max(1, len(regions)))
	s.far = min(mostFar, max(0, 1-t.scale(s, evenNear, evenFar)*float64(near)/even))
}

// scale returns a figure between those for other regions that are near and for
// others.
func (t *Table) scale(s *service, near, far float64) float64 {
	way := 0.0
	for r := range s.servers {
		way = max(way, float64(t.distance(r))/float64(max(1, s.warm)))
	}
	return near + (far-near)*min(1, way)
}

// tick moves the share of other regions towards what would leave the near
// servers as full as they should be.
func (s *service) tick(t *Table, now time.Time) {
	near, nearSlots, away, awaySlots := 0.0, 0, 0.0, 0
	for region, list := range s.servers {
		for _, v := range list {
			if v.Leaving || v.evacuated || now.Before(v.blockedUntil) {
				continue
			}
			if region == t.opt.Region {
				near, nearSlots = near+v.load(t.mates, now), nearSlots+v.Slots
			} else {
				away, awaySlots = away+v.load(t.mates, now), awaySlots+v.Slots
			}
		}
	}
	if nearSlots == 0 {
		return
	}
	s.busy += smooth * (near/float64(nearSlots) - s.busy)
	if awaySlots == 0 {
		return
	}
	want := 0.0
	full := t.scale(s, fullNear, fullFar)
	if all := s.busy / max(1-mostFar, 1-s.far); all > full {
		want = 1 - full/all
	}
	if away/float64(awaySlots) > 1 {
		want = min(want, s.far)
	}
	step := t.opt.Bounds.Shift * shiftPart * tickTime.Seconds()
	s.far = min(mostFar, max(0, s.far+math.Copysign(min(step, math.Abs(want-s.far)), want-s.far)))
}

// took takes in the time of a request's work without the distance.
func (s *service) took(d time.Duration, warm bool) {
	of := &s.coldWork
	if warm {
		of = &s.warm
	}
	*of += time.Duration(gain / 4 * float64(d-*of))
	s.mean += time.Duration(gain / 4 * float64(d-s.mean))
}

// newcomer returns the part of the additional work on an unknown object that
// counts against a server.
func (s *service) newcomer() float64 {
	return newcomerIdle + (newcomerFull-newcomerIdle)*min(1, max(0, s.busy-fullFrom)/(1-fullFrom))
}

// work returns the expected time of work.
func (s *service) work(warm bool) time.Duration {
	if warm {
		return s.warm
	}
	return max(s.warm, s.coldWork)
}

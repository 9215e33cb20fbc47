// Package arrival generates the schedule of requests of a load test in advance.
package arrival

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/standin/scenario"
)

type (
	// Arrival is one request of the schedule.
	Arrival struct {
		// At is the time to send the request, counted from the start of the run.
		At time.Duration
		// Number is the position in the schedule, from 0.
		Number  int
		Team    *scenario.Team
		Service *scenario.Service
		Kind    *scenario.Kind
		// InQuota is true if the request is within the team's quota, that is,
		// if a token bucket with the quota's rate and burst, full at the start
		// of the run, admits it.
		InQuota bool
	}

	// Schedule yields the arrivals of a case in order of time. Those of each
	// team and service are a Poisson process that does not depend on the
	// outcomes of the requests.
	Schedule struct {
		streams streams
		number  int
	}

	// stream generates the arrivals of one team at one service.
	stream struct {
		next        time.Duration
		team        *scenario.Team
		service     *scenario.Service
		demand      scenario.Demand
		phases      []scenario.Phase
		rand        *rand.Rand
		totalWeight int
		bucket      bucket
	}

	// bucket is the token bucket of a quota.
	bucket struct {
		tokens  float64
		updated time.Duration
	}

	// streams is a heap of streams, ordered by the time of the next arrival.
	streams []*stream
)

// New returns the schedule of a case. The same seed gives the same schedule.
func New(c *scenario.Case) *Schedule {
	s := &Schedule{}
	for i := range c.Teams {
		team := &c.Teams[i]
		for j, name := range slices.Sorted(maps.Keys(team.Demand)) {
			st := &stream{
				team: team, service: c.Service(name), demand: team.Demand[name], phases: c.Phases,
				rand: rand.New(rand.NewPCG(c.Seed, uint64(i)<<32|uint64(j))),
			}
			for _, k := range st.service.Kinds {
				st.totalWeight += k.Weight
			}
			st.bucket.tokens = float64(st.demand.Burst)
			if st.advance() {
				s.streams = append(s.streams, st)
			}
		}
	}
	heap.Init(&s.streams)
	return s
}

// Next returns the next arrival, or false after the last.
func (s *Schedule) Next() (Arrival, bool) {
	if len(s.streams) == 0 {
		return Arrival{}, false
	}
	st := s.streams[0]
	a := Arrival{
		At: st.next, Number: s.number, Team: st.team, Service: st.service,
		Kind: st.drawKind(), InQuota: st.takeToken(),
	}
	s.number++
	if st.advance() {
		heap.Fix(&s.streams, 0)
	} else {
		heap.Pop(&s.streams)
	}
	return a, true
}

// advance draws the time of the next arrival and reports whether it is within
// the run.
func (s *stream) advance() bool {
	// remaining is the unit-rate exponential variate of the interarrival
	// time. Each phase consumes its rate times its length.
	remaining := s.rand.ExpFloat64()
	start := time.Duration(0)
	for _, p := range s.phases {
		end := start + p.Length
		from := max(start, s.next)
		start = end
		rate := p.Rate(s.team.Name, s.demand)
		if from >= end || rate <= 0 {
			continue
		}
		if expected := rate * (end - from).Seconds(); expected < remaining {
			remaining -= expected
			continue
		}
		s.next = from + time.Duration(remaining/rate*float64(time.Second))
		return true
	}
	return false
}

// drawKind draws a request kind by weight.
func (s *stream) drawKind() *scenario.Kind {
	n := s.rand.IntN(s.totalWeight)
	for i := range s.service.Kinds {
		k := &s.service.Kinds[i]
		if n -= k.Weight; n < 0 {
			return k
		}
	}
	panic("arrival: weights of request kinds do not add up to their total")
}

// takeToken takes a token for the next arrival and reports whether there was one.
func (s *stream) takeToken() bool {
	if s.demand.Quota == 0 {
		return true
	}
	b := &s.bucket
	b.tokens += s.demand.Quota * (s.next - b.updated).Seconds()
	b.tokens = min(b.tokens, max(1, float64(s.demand.Burst)))
	b.updated = s.next
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Demand returns the demand of the arrival's team at its service.
func (a Arrival) Demand() scenario.Demand { return a.Team.Demand[a.Service.Name] }

// Names returns the names of the arrival's team and service.
func (a Arrival) Names() (sassafrastray.TeamName, sassafrastray.ServiceName) {
	return a.Team.Name, a.Service.Name
}

func (s streams) Len() int           { return len(s) }
func (s streams) Less(i, j int) bool { return s[i].next < s[j].next }
func (s streams) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *streams) Push(x any) { *s = append(*s, x.(*stream)) }

// Pop implements heap.Interface.
func (s *streams) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// Package arrival fixes in advance when callers send which requests.
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
		// At is when to send it, from the start of the run.
		At      time.Duration
		Number  int
		Team    *scenario.Team
		Service *scenario.Service
		Kind    *scenario.Kind
		// Inside tells that the team's quota has room for it: a token
		// bucket of the quota's rate and burst that is filled at the start
		// and serves each inside request admits it.
		Inside bool
	}

	// Schedule yields the arrivals of a case in the order of their times.
	// Those of each team and service are a Poisson process, whatever
	// becomes of the requests.
	Schedule struct {
		streams streams
		number  int
	}

	// stream is the arrivals of one team at one service.
	stream struct {
		next    time.Duration
		team    *scenario.Team
		service *scenario.Service
		demand  scenario.Demand
		phases  []scenario.Phase
		rand    *rand.Rand
		weight  int
		bucket  bucket
	}

	// bucket is the token bucket of a quota.
	bucket struct {
		tokens float64
		at     time.Duration
	}

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
				st.weight += k.Weight
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

// Next returns the next arrival, and false after the last.
func (s *Schedule) Next() (Arrival, bool) {
	if len(s.streams) == 0 {
		return Arrival{}, false
	}
	st := s.streams[0]
	a := Arrival{
		At: st.next, Number: s.number, Team: st.team, Service: st.service,
		Kind: st.kind(), Inside: st.inside(),
	}
	s.number++
	if st.advance() {
		heap.Fix(&s.streams, 0)
	} else {
		heap.Pop(&s.streams)
	}
	return a, true
}

// advance draws the time of the next arrival. It reports whether that is
// within the run.
func (s *stream) advance() bool {
	// need is the expected number of arrivals until the next one. It is
	// used up phase by phase at the phase's rate.
	need := s.rand.ExpFloat64()
	start := time.Duration(0)
	for _, p := range s.phases {
		end := start + p.Length
		from := max(start, s.next)
		start = end
		rate := p.Rate(s.team.Name, s.demand)
		if from >= end || rate <= 0 {
			continue
		}
		if room := rate * (end - from).Seconds(); room < need {
			need -= room
			continue
		}
		s.next = from + time.Duration(need/rate*float64(time.Second))
		return true
	}
	return false
}

// kind draws a kind by weight.
func (s *stream) kind() *scenario.Kind {
	n := s.rand.IntN(s.weight)
	for i := range s.service.Kinds {
		k := &s.service.Kinds[i]
		if n -= k.Weight; n < 0 {
			return k
		}
	}
	panic("arrival: weights do not add up")
}

// inside takes a token for the arrival if there is one.
func (s *stream) inside() bool {
	if s.demand.Quota == 0 {
		return true
	}
	b := &s.bucket
	b.tokens += s.demand.Quota * (s.next - b.at).Seconds()
	b.tokens = min(b.tokens, max(1, float64(s.demand.Burst)))
	b.at = s.next
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Quota returns the demand that the arrival belongs to.
func (a Arrival) Quota() scenario.Demand { return a.Team.Demand[a.Service.Name] }

// Who returns the names of the arrival's team and service.
func (a Arrival) Who() (sassafrastray.TeamName, sassafrastray.ServiceName) {
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

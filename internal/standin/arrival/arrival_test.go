package arrival_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
	"sassafrastray/internal/standin/arrival"
	"sassafrastray/internal/standin/execlog"
	"sassafrastray/internal/standin/scenario"
)

// arrivals returns all arrivals of a case.
func arrivals(c *scenario.Case) []arrival.Arrival {
	var found []arrival.Arrival
	s := arrival.New(c)
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		found = append(found, a)
	}
	return found
}

// drawCase draws a case of two teams and two services.
func drawCase(t *rapid.T) *scenario.Case {
	c := &scenario.Case{Seed: rapid.Uint64().Draw(t, "seed")}
	for i := range 2 {
		s := scenario.Service{Name: sassafrastray.ServiceName(fmt.Sprint("service-", i))}
		s.Kinds = []scenario.Kind{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}
		c.Services = append(c.Services, s)
	}
	for i := range 2 {
		team := scenario.Team{
			Name:   sassafrastray.TeamName(fmt.Sprint("team-", i)),
			Demand: map[sassafrastray.ServiceName]scenario.Demand{},
		}
		for _, s := range c.Services {
			team.Demand[s.Name] = scenario.Demand{
				Rate:  rapid.Float64Range(0, 30).Draw(t, "rate"),
				Quota: rapid.Float64Range(0.5, 30).Draw(t, "quota"),
				Burst: rapid.IntRange(1, 20).Draw(t, "burst"),
			}
		}
		c.Teams = append(c.Teams, team)
	}
	for range rapid.IntRange(1, 3).Draw(t, "phases") {
		c.Phases = append(c.Phases, scenario.Phase{
			Length: time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second,
			Factor: rapid.SampledFrom([]float64{0.5, 1, 5}).Draw(t, "factor"),
			Teams:  map[sassafrastray.TeamName]float64{"team-0": rapid.SampledFrom([]float64{0, 1, 8}).Draw(t, "greedy")},
		})
	}
	return c
}

// TestSchedule checks that a schedule is in order, within the run and the same
// each time, and that exactly the requests that the quota allows are marked as
// within it: together they conform to the quota, and any other one would exceed it.
func TestSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCase(t)
		first, second := arrivals(c), arrivals(c)
		if len(first) != len(second) {
			t.Fatalf("%d arrivals, then %d", len(first), len(second))
		}
		var last time.Duration
		inQuota := map[string]*execlog.Log{}
		for i, a := range first {
			if a != second[i] || a.Number != i {
				t.Fatalf("arrival %d: %+v, then %+v", i, a, second[i])
			}
			if a.At < last || a.At >= c.Length() {
				t.Fatalf("arrival %d at %s after %s in a run of %s", i, a.At, last, c.Length())
			}
			last = a.At
			checkInQuota(t, inQuota, a)
		}
	})
}

// checkInQuota adds the arrival to those within its quota and checks that they
// conform to the quota with the independent calculation of the execution log.
func checkInQuota(t *rapid.T, inQuota map[string]*execlog.Log, a arrival.Arrival) {
	const rounding = 1e-6
	team, service := a.Names()
	k := string(team) + string(service)
	if inQuota[k] == nil {
		inQuota[k] = execlog.New()
	}
	q := a.Demand()
	e := execlog.Entry{Team: team, Service: service, Start: time.Unix(0, 0).Add(a.At)}
	trial := execlog.New()
	for _, old := range inQuota[k].Entries() {
		trial.Start(old)
	}
	trial.Start(e)
	needed := trial.NeededBurst(service, team, q.Quota)
	if a.InQuota {
		inQuota[k].Start(e)
	}
	if a.InQuota && needed > float64(q.Burst)+rounding {
		t.Fatalf("%s at %s: marked as within the quota, but needs a burst of %g of %d", team, a.At, needed, q.Burst)
	}
	if !a.InQuota && needed < float64(q.Burst)-rounding {
		t.Fatalf("%s at %s: marked as above the quota, but needs a burst of %g of %d", team, a.At, needed, q.Burst)
	}
}

// TestRate checks that the number of arrivals in each phase matches the
// rates and factors within six standard deviations.
func TestRate(t *testing.T) {
	c := &scenario.Case{
		Services: []scenario.Service{{Name: "stock", Kinds: []scenario.Kind{{Name: "query", Weight: 1}}}},
		Teams: []scenario.Team{
			{Name: "depot", Demand: map[sassafrastray.ServiceName]scenario.Demand{"stock": {Rate: 50}}},
			{Name: "coop", Demand: map[sassafrastray.ServiceName]scenario.Demand{"stock": {Rate: 5}}},
		},
		Phases: []scenario.Phase{
			{Length: 100 * time.Second, Factor: 1},
			{Length: 100 * time.Second, Factor: 5},
			{Length: 100 * time.Second, Factor: 1, Teams: map[sassafrastray.TeamName]float64{"coop": 8, "depot": 0}},
		},
	}
	got := map[string]float64{}
	for _, a := range arrivals(c) {
		got[fmt.Sprint(a.Team.Name, int(a.At/(100*time.Second)))]++
	}
	for k, want := range map[string]float64{
		"depot0": 5000, "depot1": 25000, "depot2": 0, "coop0": 500, "coop1": 2500, "coop2": 4000,
	} {
		if math.Abs(got[k]-want) > 6*math.Sqrt(want) {
			t.Errorf("%s: %g arrivals, want about %g", k, got[k], want)
		}
	}
}

// TestShortPhases checks that no arrivals are lost if phases are shorter than the
// time between arrivals.
func TestShortPhases(t *testing.T) {
	const want = 500
	c := &scenario.Case{
		Services: []scenario.Service{{Name: "stock", Kinds: []scenario.Kind{{Name: "query", Weight: 1}}}},
		Teams: []scenario.Team{
			{Name: "coop", Demand: map[sassafrastray.ServiceName]scenario.Demand{"stock": {Rate: 5}}},
		},
	}
	for range 1000 {
		c.Phases = append(c.Phases, scenario.Phase{Length: 100 * time.Millisecond, Factor: 1})
	}
	if got := float64(len(arrivals(c))); math.Abs(got-want) > 6*math.Sqrt(want) {
		t.Errorf("%g arrivals, want about %d", got, want)
	}
}

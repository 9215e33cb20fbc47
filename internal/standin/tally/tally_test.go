package tally_test

import (
	"testing"
	"time"

	"sassafrastray/internal/standin/arrival"
	"sassafrastray/internal/standin/outcome"
	"sassafrastray/internal/standin/scenario"
	"sassafrastray/internal/standin/tally"
)

// TestQuota checks that a team above its quota counts as served if it gets as
// many requests as the quota allows, whichever they are, and that surplus
// requests of one team do not hide those refused to another.
func TestQuota(t *testing.T) {
	service := &scenario.Service{Name: "stock"}
	kind := &scenario.Kind{Name: "query"}
	recorder := tally.New(time.Minute)
	add := func(team *scenario.Team, n int, inQuota bool, class outcome.Class) {
		for range n {
			a := arrival.Arrival{Team: team, Service: service, Kind: kind, InQuota: inQuota}
			recorder.Add(a, outcome.Outcome{Class: class, Status: 429}, time.Millisecond)
		}
	}
	greedy, small := &scenario.Team{Name: "greedy"}, &scenario.Team{Name: "small"}
	// The greedy team gets 12 requests with a quota of 10; 8 of them count as
	// above the quota.
	add(greedy, 4, true, outcome.OK)
	add(greedy, 6, true, outcome.Refused)
	add(greedy, 8, false, outcome.OK)
	add(greedy, 2, false, outcome.Refused)
	// Of 5 requests of the small team, all within its quota, 3 are refused and
	// 1 fails.
	add(small, 1, true, outcome.OK)
	add(small, 3, true, outcome.Refused)
	add(small, 1, true, outcome.Failed)
	rows := append(recorder.Teams(), recorder.Total(), recorder.Services()[0])
	for i, want := range []struct {
		served, excess int
		share          float64
	}{{10, 0, 1}, {1, 3, 0.2}, {11, 3, 11.0 / 15}, {11, 3, 11.0 / 15}} {
		if r := rows[i]; r.Served != want.served || r.ExcessRefusals != want.excess || r.ServedShare() != want.share {
			t.Errorf("%s: served %d, excess refusals %d, share %g, want %+v", r.Team, r.Served, r.ExcessRefusals, r.ServedShare(), want)
		}
	}
}

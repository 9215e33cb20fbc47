package tally_test

import (
	"testing"
	"time"

	"sassafrastray/internal/standin/arrival"
	"sassafrastray/internal/standin/outcome"
	"sassafrastray/internal/standin/scenario"
	"sassafrastray/internal/standin/tally"
)

// TestQuota holds that a team above its quota is owed as many requests as the
// quota allows, whichever they are, and that what one team gets too much does
// not hide what another lacks.
func TestQuota(t *testing.T) {
	service := &scenario.Service{Name: "stock"}
	kind := &scenario.Kind{Name: "query"}
	book := tally.New(time.Minute)
	add := func(team *scenario.Team, n int, inside bool, class outcome.Class) {
		for range n {
			a := arrival.Arrival{Team: team, Service: service, Kind: kind, InQuota: inside}
			book.Add(a, outcome.Outcome{Class: class, Status: 429}, time.Millisecond)
		}
	}
	greedy, small := &scenario.Team{Name: "greedy"}, &scenario.Team{Name: "small"}
	// The greedy team gets 2 more than its quota of 10, mostly others.
	add(greedy, 4, true, outcome.OK)
	add(greedy, 6, true, outcome.Refused)
	add(greedy, 8, false, outcome.OK)
	add(greedy, 2, false, outcome.Refused)
	// The small team is denied 3 of 5, and 1 fails.
	add(small, 1, true, outcome.OK)
	add(small, 3, true, outcome.Refused)
	add(small, 1, true, outcome.Failed)
	rows := append(book.Teams(), book.Total(), book.Services()[0])
	for i, want := range []struct {
		served, denied int
		share          float64
	}{{10, 0, 1}, {1, 3, 0.2}, {11, 3, 11.0 / 15}, {11, 3, 11.0 / 15}} {
		if r := rows[i]; r.Served != want.served || r.Denied != want.denied || r.Share() != want.share {
			t.Errorf("%s: served %d, denied %d, share %g, want %+v", r.Team, r.Served, r.Denied, r.Share(), want)
		}
	}
}

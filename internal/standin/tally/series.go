package tally

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrastray"
	"sassafrastray/internal/standin/outcome"
)

const (
	// maxSteps is about how many points a series has.
	maxSteps = 120
	// seriesDigits is the precision of the latencies in a series.
	seriesDigits = 2
)

type (
	// Series is how a team fared over time. Requests count at their
	// intended time of sending.
	Series struct {
		Team   sassafrastray.TeamName `json:"team"`
		Step   time.Duration          `json:"step"`
		Points []Point                `json:"points"`
	}

	// Point is one step of a series.
	Point struct {
		Sent    int           `json:"sent"`
		OK      int           `json:"ok"`
		Refused int           `json:"refused"`
		P50     time.Duration `json:"p50"`
		P99     time.Duration `json:"p99"`
	}

	moment struct {
		Point
		ok *hdrhistogram.Histogram
	}
)

// Series returns the series of all teams.
func (b *Book) Series() []Series {
	var all []Series
	for _, team := range slices.Sorted(maps.Keys(b.series)) {
		s := Series{Team: team, Step: b.step}
		for _, m := range b.series[team] {
			p := m.Point
			l := latency(m.ok)
			p.P50, p.P99 = l.P50, l.P99
			s.Points = append(s.Points, p)
		}
		all = append(all, s)
	}
	return all
}

// at returns the step of a team's series that a time of the run belongs to.
func (b *Book) at(team sassafrastray.TeamName, at time.Duration) *moment {
	s := b.series[team]
	n := int(at / b.step)
	for len(s) <= n {
		s = append(s, &moment{ok: histogram(seriesDigits)})
	}
	b.series[team] = s
	return s[n]
}

func (m *moment) add(o outcome.Outcome, latency time.Duration) {
	m.Sent++
	switch o.Class {
	case outcome.OK:
		m.OK++
		record(m.ok, latency)
	case outcome.Refused:
		m.Refused++
	}
}

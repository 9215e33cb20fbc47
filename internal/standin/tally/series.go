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
	// targetPoints is the approximate number of points in a series. Runs of less
	// than two minutes have fewer, as a step takes at least a second.
	targetPoints = 120
	// seriesDigits is the number of significant digits of latencies in a series.
	seriesDigits = 2
)

type (
	// Series holds the outcomes of one team over time. Requests count at
	// their scheduled time of sending.
	Series struct {
		Team   sassafrastray.TeamName `json:"team"`
		Step   time.Duration          `json:"step"`
		Points []Point                `json:"points"`
	}

	// Point holds the outcomes in one step of a series. The latencies are those
	// of requests with outcome OK.
	Point struct {
		Sent    int           `json:"sent"`
		OK      int           `json:"ok"`
		Refused int           `json:"refused"`
		P50     time.Duration `json:"p50"`
		P99     time.Duration `json:"p99"`
	}

	// interval accumulates the outcomes of one point.
	interval struct {
		Point
		okLatency *hdrhistogram.Histogram
	}
)

// Series returns one series for each team, sorted by team.
func (r *Recorder) Series() []Series {
	var all []Series
	for _, team := range slices.Sorted(maps.Keys(r.series)) {
		s := Series{Team: team, Step: r.step}
		for _, iv := range r.series[team] {
			p := iv.Point
			l := distribution(iv.okLatency)
			p.P50, p.P99 = l.P50, l.P99
			s.Points = append(s.Points, p)
		}
		all = append(all, s)
	}
	return all
}

// intervalAt returns the interval of a team's series that contains the given time
// since the start of the run. It adds missing intervals.
func (r *Recorder) intervalAt(team sassafrastray.TeamName, at time.Duration) *interval {
	s := r.series[team]
	n := int(at / r.step)
	for len(s) <= n {
		s = append(s, &interval{okLatency: newHistogram(seriesDigits)})
	}
	r.series[team] = s
	return s[n]
}

func (iv *interval) add(o outcome.Outcome, latency time.Duration) {
	iv.Sent++
	switch o.Class {
	case outcome.OK:
		iv.OK++
		recordLatency(iv.okLatency, latency)
	case outcome.Refused:
		iv.Refused++
	}
}

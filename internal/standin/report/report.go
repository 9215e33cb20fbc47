// Package report prints, encodes and compares the results of load generator
// runs.
package report

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/standin/audit"
	"sassafrastray/internal/standin/load"
	"sassafrastray/internal/standin/scenario"
	"sassafrastray/internal/standin/tally"
)

// The paths by which requests reach backend servers.
const (
	ThroughVMs Path = "vms"    // through the entry VMs
	Direct     Path = "direct" // from callers to backend servers, bypassing the system
)

type (
	// Path is how requests reach backend servers.
	Path string

	// Report holds the results of one run.
	Report struct {
		Case     string        `json:"case"`
		Path     Path          `json:"path"`
		Seed     uint64        `json:"seed"`
		Length   time.Duration `json:"length"`
		Lag      load.Lag      `json:"lag"`
		Lookups  Lookups       `json:"lookups"`
		Total    tally.Row     `json:"total"`
		Teams    []tally.Row   `json:"teams"`
		Services []tally.Row   `json:"services"`
		Kinds    []tally.Row   `json:"kinds"`
		// Rows has one row for each team and service.
		Rows []tally.Row `json:"rows"`
		// Fairness starts with the entry for all services together, followed
		// by one for each service.
		Fairness []Fairness     `json:"fairness"`
		Series   []tally.Series `json:"series"`
		// Details counts the unsuccessful requests other than refusals, by class
		// and explanation.
		Details map[string]int `json:"details"`
		// Audit is nil if backend servers were not asked what they executed.
		Audit *audit.Findings `json:"audit,omitempty"`
	}

	// Lookups counts look-ups by callers. Each VM tried counts as one.
	Lookups struct {
		Done   int64 `json:"done"`
		Failed int64 `json:"failed"`
	}

	// Fairness compares the worst-served team of a service with the median
	// over its teams. The latency of a team over all services depends on
	// the share of its requests that go to slow services.
	Fairness struct {
		Service sassafrastray.ServiceName `json:"service,omitempty"`
		// Share is the number of successful requests, capped at the number
		// within quota, divided by the number within quota.
		Share Comparison[float64]       `json:"share"`
		P99   Comparison[time.Duration] `json:"p99"`
	}

	// Comparison holds the worst value of a figure over all teams, the team
	// that has it, and the median over all teams.
	Comparison[T float64 | time.Duration] struct {
		Team   sassafrastray.TeamName `json:"team"`
		Worst  T                      `json:"worst"`
		Median T                      `json:"median"`
	}
)

// New returns the report of a finished run, without Lookups and Audit, which
// the caller sets.
func New(c *scenario.Case, path Path, results *tally.Recorder, lag load.Lag) *Report {
	r := &Report{
		Case: c.Name, Path: path, Seed: c.Seed, Length: c.Length(), Lag: lag,
		Total: results.Total(), Teams: results.Teams(), Services: results.Services(), Kinds: results.Kinds(), Rows: results.Rows(),
		Series: results.Series(), Details: results.Details(),
	}
	r.Fairness = append(r.Fairness, newFairness("", r.Teams))
	for _, s := range r.Services {
		rows := slices.DeleteFunc(slices.Clone(r.Rows), func(t tally.Row) bool { return t.Service != s.Service })
		r.Fairness = append(r.Fairness, newFairness(s.Service, rows))
	}
	return r
}

// JSON returns the report as JSON.
func (r *Report) JSON() []byte {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		panic("report cannot be encoded: " + err.Error())
	}
	return append(b, '\n')
}

// Parse decodes a report that was encoded by JSON.
func Parse(text []byte) (*Report, error) {
	r := &Report{}
	err := json.Unmarshal(text, r)
	return r, errors.Wrap(err, "parse report")
}

// newFairness compares the rows of the teams at one service, or at all services
// if service is empty.
func newFairness(service sassafrastray.ServiceName, teams []tally.Row) Fairness {
	if len(teams) == 0 {
		return Fairness{Service: service, Share: Comparison[float64]{Worst: 1, Median: 1}}
	}
	negatedP99 := func(t tally.Row) time.Duration { return -t.Latency.P99 }
	p99 := lowestAndMedian(teams, negatedP99)
	p99.Worst, p99.Median = -p99.Worst, -p99.Median
	return Fairness{service, lowestAndMedian(teams, tally.Row.ServedShare), p99}
}

// lowestAndMedian returns the lowest value, with its team, and the median. The
// rows must not be empty.
func lowestAndMedian[T float64 | time.Duration](rows []tally.Row, value func(tally.Row) T) Comparison[T] {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, func(a, b tally.Row) int { return cmp.Compare(value(a), value(b)) })
	n := len(rows)
	return Comparison[T]{rows[0].Team, value(rows[0]), (value(rows[(n-1)/2]) + value(rows[n/2])) / 2}
}

// Package report says what came of a run of the load generator.
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

// Ways in which requests reach backend servers.
const (
	Through Path = "vms"    // through entry VMs
	Direct  Path = "direct" // without the system
)

type (
	// Path is the way in which requests reach backend servers.
	Path string

	// Report is one run.
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
		// Rows are by team and service.
		Rows []tally.Row `json:"rows"`
		// Fairness is over all services first, then by service.
		Fairness []Fairness     `json:"fairness"`
		Series   []tally.Series `json:"series"`
		// Details counts what went wrong, but for refusals, by explanation.
		Details map[string]int `json:"details"`
		// Audit is missing if no backend server was asked.
		Audit *audit.Findings `json:"audit,omitempty"`
	}

	// Lookups counts look-ups at single VMs.
	Lookups struct {
		Done   int64 `json:"done"`
		Failed int64 `json:"failed"`
	}

	// Fairness compares the worst-served team of a service with the median
	// one. Latencies over all services depend on how much a team uses the
	// slow ones.
	Fairness struct {
		Service sassafrastray.ServiceName `json:"service,omitempty"`
		// Share is how many requests went well of those that the quota had
		// room for.
		Share Gap[float64]       `json:"share"`
		P99   Gap[time.Duration] `json:"p99"`
	}

	// Gap is a figure of the team that it is worst for, and its median over
	// all teams.
	Gap[T float64 | time.Duration] struct {
		Team   sassafrastray.TeamName `json:"team"`
		Worst  T                      `json:"worst"`
		Median T                      `json:"median"`
	}
)

// New returns the report of a run that has ended. The caller adds the
// look-ups and the audit.
func New(c *scenario.Case, path Path, rec *tally.Recorder, lag load.Lag) *Report {
	r := &Report{
		Case: c.Name, Path: path, Seed: c.Seed, Length: c.Length(), Lag: lag,
		Total: rec.Total(), Teams: rec.Teams(), Services: rec.Services(), Kinds: rec.Kinds(), Rows: rec.Rows(),
		Series: rec.Series(), Details: rec.Details(),
	}
	r.Fairness = append(r.Fairness, compare("", r.Teams))
	for _, s := range r.Services {
		rows := slices.DeleteFunc(slices.Clone(r.Rows), func(t tally.Row) bool { return t.Service != s.Service })
		r.Fairness = append(r.Fairness, compare(s.Service, rows))
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

// Parse reads a report from JSON.
func Parse(text []byte) (*Report, error) {
	r := &Report{}
	err := json.Unmarshal(text, r)
	return r, errors.Wrap(err, "report")
}

// compare finds the worst-served team at a service.
func compare(service sassafrastray.ServiceName, teams []tally.Row) Fairness {
	if len(teams) == 0 {
		return Fairness{Service: service, Share: Gap[float64]{Worst: 1, Median: 1}}
	}
	slow := func(t tally.Row) time.Duration { return -t.Latency.P99 }
	p99 := least(teams, slow)
	p99.Worst, p99.Median = -p99.Worst, -p99.Median
	return Fairness{service, least(teams, tally.Row.ServedShare), p99}
}

// least finds the team whose figure is the least.
func least[T float64 | time.Duration](rows []tally.Row, of func(tally.Row) T) Gap[T] {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, func(a, b tally.Row) int { return cmp.Compare(of(a), of(b)) })
	n := len(rows)
	return Gap[T]{rows[0].Team, of(rows[0]), (of(rows[(n-1)/2]) + of(rows[n/2])) / 2}
}

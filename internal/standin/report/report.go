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
		// Audit is missing if no backend server was asked.
		Audit *audit.Verdict `json:"audit,omitempty"`
	}

	// Lookups counts look-ups at single VMs.
	Lookups struct {
		Done   int64 `json:"done"`
		Failed int64 `json:"failed"`
	}

	// Fairness compares the worst-served team with the median one. Shares
	// are those of the requests inside the quota that went well. Latencies
	// over all services depend on how much a team uses the slow ones.
	Fairness struct {
		Service     sassafrastray.ServiceName `json:"service,omitempty"`
		Worst       sassafrastray.TeamName    `json:"worst"`
		WorstShare  float64                   `json:"worstShare"`
		MedianShare float64                   `json:"medianShare"`
		Slowest     sassafrastray.TeamName    `json:"slowest"`
		SlowestP99  time.Duration             `json:"slowestP99"`
		MedianP99   time.Duration             `json:"medianP99"`
	}
)

// New returns the report of a run that has ended. The caller adds the
// look-ups and the audit.
func New(c *scenario.Case, path Path, b *tally.Book, lag load.Lag) *Report {
	r := &Report{
		Case: c.Name, Path: path, Seed: c.Seed, Length: c.Length(), Lag: lag,
		Total: b.Total(), Teams: b.Teams(), Services: b.Services(), Kinds: b.Kinds(), Rows: b.Rows(),
		Series: b.Series(),
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
	f := Fairness{Service: service, WorstShare: 1, MedianShare: 1}
	if len(teams) == 0 {
		return f
	}
	teams = slices.Clone(teams)
	slices.SortStableFunc(teams, func(a, b tally.Row) int { return cmp.Compare(a.Share(), b.Share()) })
	f.Worst, f.WorstShare = teams[0].Team, teams[0].Share()
	f.MedianShare = middle(teams, tally.Row.Share)
	slices.SortStableFunc(teams, func(a, b tally.Row) int { return cmp.Compare(b.Latency.P99, a.Latency.P99) })
	f.Slowest, f.SlowestP99 = teams[0].Team, teams[0].Latency.P99
	f.MedianP99 = middle(teams, func(t tally.Row) time.Duration { return t.Latency.P99 })
	return f
}

// middle returns the median of a figure over sorted rows.
func middle[T float64 | time.Duration](rows []tally.Row, of func(tally.Row) T) T {
	n := len(rows)
	return (of(rows[(n-1)/2]) + of(rows[n/2])) / 2
}

package report

import (
	"bytes"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/standin/tally"
)

// EnoughRuns is how many runs a spread has to cover before its figures mean
// something.
const EnoughRuns = 5

// figure is one number of a report.
type figure struct {
	name string
	of   func(*Report) float64
}

// Spread returns a table of the median and the range of the main figures over
// several runs of one case. It declines runs of different cases.
func Spread(runs []*Report) (string, error) {
	if err := alike(runs); err != nil {
		return "", err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "case %s, path %s, %s, %d runs\n", runs[0].Case, runs[0].Path, runs[0].Length, len(runs))
	if len(runs) < EnoughRuns {
		fmt.Fprintf(&b, "fewer than %d runs: take these figures as trials\n", EnoughRuns)
	}
	w := tabwriter.NewWriter(&b, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "figure\tmedian\tleast\tgreatest\t")
	for _, f := range figures(runs[0]) {
		least, median, greatest := f.over(runs)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", f.name, number(median), number(least), number(greatest))
	}
	w.Flush()
	return b.String(), nil
}

// Compare returns a table of the medians of runs beside those of others, such
// as runs without the system.
func Compare(runs, others []*Report) (string, error) {
	if err := errors.CombineErrors(alike(runs), alike(others)); err != nil {
		return "", err
	}
	a, b := runs[0], others[0]
	if a.Case != b.Case || a.Length != b.Length || len(a.Rows) != len(b.Rows) {
		return "", errors.Newf("cases differ: %s %s and %s %s", a.Case, a.Length, b.Case, b.Length)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "case %s, %s, medians of %d runs %s and %d runs %s\n",
		a.Case, a.Length, len(runs), a.Path, len(others), b.Path)
	if min(len(runs), len(others)) < EnoughRuns {
		fmt.Fprintf(&text, "fewer than %d runs: take these figures as trials\n", EnoughRuns)
	}
	w := tabwriter.NewWriter(&text, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "figure\t%s\t%s\tdifference\t\n", a.Path, b.Path)
	for _, f := range figures(a) {
		_, x, _ := f.over(runs)
		_, y, _ := f.over(others)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", f.name, number(x), number(y), number(x-y))
	}
	w.Flush()
	return text.String(), nil
}

// alike declines runs that are not of one case.
func alike(runs []*Report) error {
	if len(runs) == 0 {
		return errors.New("no runs")
	}
	first := runs[0]
	for _, r := range runs {
		if r.Case != first.Case || r.Path != first.Path || r.Length != first.Length || len(r.Rows) != len(first.Rows) {
			return errors.Newf("runs differ: %s %s %s and %s %s %s",
				first.Case, first.Path, first.Length, r.Case, r.Path, r.Length)
		}
	}
	return nil
}

// over returns the range and the median of the figure.
func (f figure) over(runs []*Report) (least, median, greatest float64) {
	var values []float64
	for _, r := range runs {
		values = append(values, f.of(r))
	}
	slices.Sort(values)
	n := len(values)
	return values[0], (values[(n-1)/2] + values[n/2]) / 2, values[n-1]
}

// figures lists what a spread shows.
func figures(r *Report) []figure {
	f := []figure{
		{"generator behind p99 ms", func(r *Report) float64 { return float(r.Lag.P99) }},
		{"not sent", func(r *Report) float64 { return float64(r.Lag.Overloads) }},
		{"worst share", func(r *Report) float64 { return r.Fairness[0].Share.Worst }},
		{"median share", func(r *Report) float64 { return r.Fairness[0].Share.Median }},
		{"refused inside quota", func(r *Report) float64 { return float64(r.Total.ExcessRefusals) }},
		{"refused", func(r *Report) float64 { return float64(sum(r.Total.Refused)) }},
		{"failed", func(r *Report) float64 { return float64(sum(r.Total.Failed)) }},
		{"wrong", func(r *Report) float64 { return float64(r.Total.Wrong) }},
		{"broken", func(r *Report) float64 { return float64(r.Total.Broken) }},
		{"late", func(r *Report) float64 { return float64(r.Total.Late) }},
		{"unreached", func(r *Report) float64 { return float64(r.Total.Unreached) }},
	}
	f = append(f, latencies("all", func(r *Report) tally.Row { return r.Total })...)
	for i, k := range r.Kinds {
		name := string(k.Service) + " " + k.Kind
		f = append(f, latencies(name, func(r *Report) tally.Row { return row(r.Kinds, i) })...)
	}
	for i, t := range r.Teams {
		f = append(f, latencies(string(t.Team), func(r *Report) tally.Row { return row(r.Teams, i) })...)
		f = append(f, figure{string(t.Team) + " share", func(r *Report) float64 { return row(r.Teams, i).ServedShare() }})
	}
	for i, fair := range r.Fairness[1:] {
		f = append(f, figure{string(fair.Service) + " slowest team p99 ms", func(r *Report) float64 {
			return float(r.Fairness[i+1].P99.Worst)
		}})
	}
	return append(f, audits()...)
}

func latencies(name string, of func(*Report) tally.Row) []figure {
	return []figure{
		{name + " p50 ms", func(r *Report) float64 { return float(of(r).Latency.P50) }},
		{name + " p99 ms", func(r *Report) float64 { return float(of(r).Latency.P99) }},
		{name + " p99.9 ms", func(r *Report) float64 { return float(of(r).Latency.P999) }},
	}
}

// audits are the counts that have to be 0. A run without an audit counts as 0
// there, and as not audited.
func audits() []figure {
	count := func(of func(*Report) int) func(*Report) float64 {
		return func(r *Report) float64 {
			if r.Audit == nil {
				return 0
			}
			return float64(of(r))
		}
	}
	return []figure{
		{"not audited", unaudited},
		{"executed twice", count(func(r *Report) int { return r.Audit.RepeatedNonIdempotent })},
		{"not run but executed", count(func(r *Report) int { return r.Audit.FalseNotRun })},
		{"run but not executed", count(func(r *Report) int { return r.Audit.FalseRan })},
		{"with a key", count(func(r *Report) int { return r.Audit.LeakedKeys })},
		{"for another team", count(func(r *Report) int { return r.Audit.WrongTeam })},
	}
}

func unaudited(r *Report) float64 {
	if r.Audit == nil {
		return 1
	}
	return 0
}

func row(rows []tally.Row, i int) tally.Row {
	if i < len(rows) {
		return rows[i]
	}
	return tally.Row{}
}

func float(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// number writes counts without and other figures with decimals.
func number(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprint(int64(v))
	}
	return fmt.Sprintf("%.4g", v)
}

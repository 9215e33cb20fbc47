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

// MinRuns is the minimum number of runs for meaningful figures. Tables of fewer
// runs are marked as trials.
const MinRuns = 5

// metric is a named figure of a report.
type metric struct {
	name  string
	value func(*Report) float64
}

// Summarize returns a table with the median, minimum and maximum of each metric
// over several runs of one case. Runs of different cases are an error.
func Summarize(runs []*Report) (string, error) {
	if err := checkSameCase(runs); err != nil {
		return "", err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "case %s, path %s, %s, %d runs\n", runs[0].Case, runs[0].Path, runs[0].Length, len(runs))
	if len(runs) < MinRuns {
		fmt.Fprintf(&b, "fewer than %d runs: take these figures as trials\n", MinRuns)
	}
	w := tabwriter.NewWriter(&b, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "figure\tmedian\tleast\tgreatest\t")
	for _, m := range metrics(runs[0]) {
		least, median, greatest := m.stats(runs)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", m.name, formatNumber(median), formatNumber(least), formatNumber(greatest))
	}
	w.Flush()
	return b.String(), nil
}

// Compare returns a table with the medians of two sets of runs of one case and
// their differences. The sets may use different paths.
func Compare(runs, others []*Report) (string, error) {
	if err := errors.CombineErrors(checkSameCase(runs), checkSameCase(others)); err != nil {
		return "", err
	}
	a, b := runs[0], others[0]
	if a.Case != b.Case || a.Length != b.Length || len(a.Rows) != len(b.Rows) {
		return "", errors.Newf("runs differ in case, length or rows: %s %s and %s %s", a.Case, a.Length, b.Case, b.Length)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "case %s, %s, medians of %d runs %s and %d runs %s\n",
		a.Case, a.Length, len(runs), a.Path, len(others), b.Path)
	if min(len(runs), len(others)) < MinRuns {
		fmt.Fprintf(&text, "fewer than %d runs: take these figures as trials\n", MinRuns)
	}
	w := tabwriter.NewWriter(&text, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "figure\t%s\t%s\tdifference\t\n", a.Path, b.Path)
	for _, m := range metrics(a) {
		_, x, _ := m.stats(runs)
		_, y, _ := m.stats(others)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", m.name, formatNumber(x), formatNumber(y), formatNumber(x-y))
	}
	w.Flush()
	return text.String(), nil
}

// checkSameCase returns an error if there are no runs, or if they differ in case,
// path, length or number of rows.
func checkSameCase(runs []*Report) error {
	if len(runs) == 0 {
		return errors.New("no runs")
	}
	first := runs[0]
	for _, r := range runs {
		if r.Case != first.Case || r.Path != first.Path || r.Length != first.Length || len(r.Rows) != len(first.Rows) {
			return errors.Newf("runs differ in case, path, length or rows: %s %s %s and %s %s %s",
				first.Case, first.Path, first.Length, r.Case, r.Path, r.Length)
		}
	}
	return nil
}

// stats returns the minimum, median and maximum of the metric over the runs.
func (m metric) stats(runs []*Report) (least, median, greatest float64) {
	var values []float64
	for _, r := range runs {
		values = append(values, m.value(r))
	}
	slices.Sort(values)
	n := len(values)
	return values[0], (values[(n-1)/2] + values[n/2]) / 2, values[n-1]
}

// metrics returns the metrics of a table. The report determines the kinds, teams
// and services to include.
func metrics(r *Report) []metric {
	list := []metric{
		{"generator behind p99 ms", func(r *Report) float64 { return milliseconds(r.Lag.P99) }},
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
	list = append(list, latencyMetrics("all", func(r *Report) tally.Row { return r.Total })...)
	for i, k := range r.Kinds {
		name := string(k.Service) + " " + k.Kind
		list = append(list, latencyMetrics(name, func(r *Report) tally.Row { return rowAt(r.Kinds, i) })...)
	}
	for i, t := range r.Teams {
		list = append(list, latencyMetrics(string(t.Team), func(r *Report) tally.Row { return rowAt(r.Teams, i) })...)
		list = append(list, metric{string(t.Team) + " share", func(r *Report) float64 { return rowAt(r.Teams, i).ServedShare() }})
	}
	for i, fair := range r.Fairness[1:] {
		list = append(list, metric{string(fair.Service) + " slowest team p99 ms", func(r *Report) float64 {
			return milliseconds(r.Fairness[i+1].P99.Worst)
		}})
	}
	return append(list, auditMetrics()...)
}

// latencyMetrics returns the latency percentiles of a row.
func latencyMetrics(name string, row func(*Report) tally.Row) []metric {
	return []metric{
		{name + " p50 ms", func(r *Report) float64 { return milliseconds(row(r).Latency.P50) }},
		{name + " p99 ms", func(r *Report) float64 { return milliseconds(row(r).Latency.P99) }},
		{name + " p99.9 ms", func(r *Report) float64 { return milliseconds(row(r).Latency.P999) }},
	}
}

// auditMetrics returns the audit counts that must be 0. A run without an audit
// has 0 in each of them and 1 in "not audited".
func auditMetrics() []metric {
	auditCount := func(value func(*Report) int) func(*Report) float64 {
		return func(r *Report) float64 {
			if r.Audit == nil {
				return 0
			}
			return float64(value(r))
		}
	}
	return []metric{
		{"not audited", notAudited},
		{"executed twice", auditCount(func(r *Report) int { return r.Audit.RepeatedNonIdempotent })},
		{"not run but executed", auditCount(func(r *Report) int { return r.Audit.FalseNotRun })},
		{"run but not executed", auditCount(func(r *Report) int { return r.Audit.FalseRan })},
		{"with a key", auditCount(func(r *Report) int { return r.Audit.LeakedKeys })},
		{"for another team", auditCount(func(r *Report) int { return r.Audit.WrongTeam })},
	}
}

func notAudited(r *Report) float64 {
	if r.Audit == nil {
		return 1
	}
	return 0
}

// rowAt returns the row at the index, or an empty one if there is none.
func rowAt(rows []tally.Row, i int) tally.Row {
	if i < len(rows) {
		return rows[i]
	}
	return tally.Row{}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// formatNumber formats integral values without decimals and others with four
// significant digits.
func formatNumber(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprint(int64(v))
	}
	return fmt.Sprintf("%.4g", v)
}

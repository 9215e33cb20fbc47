package report

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"sassafrastray/internal/standin/tally"
)

const (
	// columns are the column titles of the tables of rows, after the title of
	// the first column.
	columns = "\tsent\tok\trefused\tin quota\tshare\tfailed\twrong\tbroken\tlate\tunreached\tp50\tp99\tp99.9\tmax\t"
	// padding is the number of spaces between columns.
	padding = 2
)

// Text returns the report as plain-text tables. Latencies are in milliseconds
// from the scheduled send time, for successful requests only. The column
// "in quota" counts the refusals beyond those that the quota requires, and
// "share" is the number of successful requests, capped at the number within
// quota, divided by the number within quota.
func (r *Report) Text() string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "case %s, path %s, seed %d, %s, %d requests, %.1f a second\n",
		r.Case, r.Path, r.Seed, r.Length, r.Total.Sent, float64(r.Total.Sent)/r.Length.Seconds())
	fmt.Fprintf(&b, "generator behind its schedule: p99 %s ms, max %s ms; not sent for want of workers: %d\n",
		ms(r.Lag.P99), ms(r.Lag.Max), r.Lag.Overloads)
	fmt.Fprintf(&b, "look-ups: %d, failed %d; connections refused: %d\n\n", r.Lookups.Done, r.Lookups.Failed, r.Total.Redials)
	w := tabwriter.NewWriter(&b, 0, 0, padding, ' ', tabwriter.AlignRight)
	writeTable(w, "team", append(slices.Clone(r.Teams), r.Total), func(t tally.Row) string { return string(t.Team) })
	writeTable(w, "service", r.Services, func(t tally.Row) string { return string(t.Service) })
	writeTable(w, "kind", r.Kinds, func(t tally.Row) string { return string(t.Service) + " " + t.Kind })
	writeTable(w, "team and service", r.Rows, func(t tally.Row) string { return string(t.Team) + " " + string(t.Service) })
	w.Flush()
	r.writeReasons(&b)
	r.writeFairness(&b)
	r.writeAudit(&b)
	return b.String()
}

// writeTable writes a table with one line per row. A row without a name holds
// the totals and is labeled "all".
func writeTable(w io.Writer, title string, rows []tally.Row, name func(tally.Row) string) {
	fmt.Fprintf(w, "%s%s\n", title, columns)
	for _, t := range rows {
		n := cmp.Or(name(t), "all")
		l := t.Latency
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.4f\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n",
			n, t.Sent, t.OK, sum(t.Refused), t.ExcessRefusals, t.ServedShare(), sum(t.Failed), t.Wrong, t.Broken, t.Late, t.Unreached,
			ms(l.P50), ms(l.P99), ms(l.P999), ms(l.Max))
	}
	fmt.Fprintln(w)
}

// writeReasons writes the counts of refusals and failures by reason, followed by
// all unsuccessful requests but refusals by class and explanation.
func (r *Report) writeReasons(w io.Writer) {
	writeCounts(w, "refused", r.Total.Refused)
	writeCounts(w, "failed", r.Total.Failed)
	for _, detail := range slices.Sorted(maps.Keys(r.Details)) {
		fmt.Fprintf(w, "  %d times %s\n", r.Details[detail], detail)
	}
	fmt.Fprintf(w, "time to refusal: p50 %s ms, p99 %s ms\n", ms(r.Total.RefusalLatency.P50), ms(r.Total.RefusalLatency.P99))
}

// writeFairness writes a table that compares the worst-served team with the
// median over all teams, for each service.
func (r *Report) writeFairness(out io.Writer) {
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "service\tworst-served team\tits share\tmedian share\tslowest team\tits p99\tmedian p99\t")
	for _, f := range r.Fairness {
		fmt.Fprintf(w, "%s\t%s\t%.4f\t%.4f\t%s\t%s\t%s\t\n", cmp.Or(string(f.Service), "all"),
			f.Share.Team, f.Share.Worst, f.Share.Median, f.P99.Team, ms(f.P99.Worst), ms(f.P99.Median))
	}
	w.Flush()
}

// writeAudit writes the counts of the audit, the quotas that were exceeded and
// examples of violations.
func (r *Report) writeAudit(w io.Writer) {
	f := r.Audit
	if f == nil {
		fmt.Fprintln(w, "backend servers were not asked what they executed")
		return
	}
	fmt.Fprintf(w, "\nbackend servers executed %d requests\n", f.Executions)
	fmt.Fprintf(w, "executed twice: %d not idempotent, %d idempotent\n", f.RepeatedNonIdempotent, f.RepeatedIdempotent)
	fmt.Fprintf(w, "answered \"not run\" but executed: %d\n", f.FalseNotRun)
	fmt.Fprintf(w, "answered as run but not executed: %d\n", f.FalseRan)
	fmt.Fprintf(w, "unknown to the caller: %d, of which executed: %d\n", f.Unknown, f.UnknownRan)
	fmt.Fprintf(w, "with a key: %d; for another team: %d\n", f.LeakedKeys, f.WrongTeam)
	for _, q := range f.Quotas {
		if q.NeededBurst > float64(q.Burst) {
			fmt.Fprintf(w, "quota of %s at %s: rate %g, burst %d; needed %.2f\n", q.Team, q.Service, q.Rate, q.Burst, q.NeededBurst)
		}
	}
	for _, s := range f.Samples {
		fmt.Fprintf(w, "  %s\n", s)
	}
}

// writeCounts writes the counts on one line, sorted by reason.
func writeCounts(w io.Writer, title string, counts map[string]int) {
	fmt.Fprintf(w, "%s:", title)
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, " %s %d", reason, counts[reason])
	}
	fmt.Fprintln(w)
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// ms formats the duration in milliseconds with one decimal.
func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

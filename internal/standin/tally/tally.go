// Package tally counts the outcomes of the requests of a run and records their
// latencies.
package tally

import (
	"cmp"
	"regexp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrastray"
	"sassafrastray/internal/standin/arrival"
	"sassafrastray/internal/standin/outcome"
)

const (
	// maxLatency is the greatest latency that the histograms can record; longer
	// ones count as maxLatency.
	maxLatency = 10 * time.Minute
	// latencyDigits is the number of significant digits of latencies in rows.
	latencyDigits = 3
)

type (
	// Counts holds the outcomes and latencies of a group of requests.
	Counts struct {
		Sent int `json:"sent"`
		// InQuota counts the requests within the quota of their team.
		InQuota int `json:"inside"`
		OK      int `json:"ok"`
		// Served counts the requests with outcome OK, for each team and
		// service at most InQuota; in a row of one kind, for all teams
		// together. ExcessRefusals counts the refusals beyond the number of
		// requests above the quota. Both compare numbers only, since the
		// requests served to a team above its quota need not be those that
		// count as within it.
		Served         int `json:"served"`
		ExcessRefusals int `json:"denied"`
		// Refused and Failed count by outcome.Outcome.Label.
		Refused   map[string]int `json:"refused"`
		Failed    map[string]int `json:"failed"`
		Wrong     int            `json:"wrong"`
		Broken    int            `json:"broken"`
		Late      int            `json:"late"`
		Unreached int            `json:"unreached"`
		Redials   int            `json:"redials"`
		// Latency covers the requests with outcome OK, RefusalLatency the
		// refused ones. Both are measured from the scheduled time of
		// sending.
		Latency        Latency `json:"latency"`
		RefusalLatency Latency `json:"refusal"`
	}

	// Latency summarizes the distribution of latencies.
	Latency struct {
		P50  time.Duration `json:"p50"`
		P99  time.Duration `json:"p99"`
		P999 time.Duration `json:"p999"`
		Max  time.Duration `json:"max"`
	}

	// Row holds the counts of a team, service and kind of request. An empty
	// name stands for all of them.
	Row struct {
		Team    sassafrastray.TeamName    `json:"team,omitempty"`
		Service sassafrastray.ServiceName `json:"service,omitempty"`
		Kind    string                    `json:"kind,omitempty"`
		Counts
	}

	// Recorder collects the outcomes of a run. It is not safe for concurrent
	// use.
	Recorder struct {
		totals  map[rowKey]*totals
		step    time.Duration
		series  map[sassafrastray.TeamName][]*interval
		details map[string]int
	}

	// rowKey identifies a row. As in a Row, an empty name stands for all.
	rowKey struct {
		team    sassafrastray.TeamName
		service sassafrastray.ServiceName
		kind    string
	}

	// totals accumulates the outcomes of one row.
	totals struct {
		Counts
		okLatency, refusedLatency *hdrhistogram.Histogram
	}
)

// numberPattern matches the numbers that Details replaces, so that errors that
// differ only in an address count together.
var numberPattern = regexp.MustCompile(`[0-9]+`)

// New returns an empty recorder for a run of the given length.
func New(length time.Duration) *Recorder {
	return &Recorder{
		totals:  map[rowKey]*totals{},
		step:    max(time.Second, (length / targetPoints).Round(time.Second)),
		series:  map[sassafrastray.TeamName][]*interval{},
		details: map[string]int{},
	}
}

// Add counts the outcome of a request. The latency is measured from the
// scheduled time of sending.
func (r *Recorder) Add(a arrival.Arrival, o outcome.Outcome, latency time.Duration) {
	team, service := a.Names()
	for _, k := range []rowKey{
		{team, service, ""},
		{team, "", ""},
		{"", service, ""},
		{"", service, a.Kind.Name},
		{"", "", ""},
	} {
		t := r.totals[k]
		if t == nil {
			t = newTotals()
			r.totals[k] = t
		}
		t.add(a, o, latency)
	}
	r.intervalAt(team, a.At).add(o, latency)
	if o.Class != outcome.OK && o.Class != outcome.Refused {
		r.details[string(o.Class)+": "+numberPattern.ReplaceAllString(o.Detail, "#")]++
	}
}

// Details counts the outcomes that are neither OK nor refusals by class and
// detail. Numbers in a detail are replaced by #.
func (r *Recorder) Details() map[string]int { return r.details }

// Rows returns one row for each team and service. Like those of the methods
// below, the rows are sorted by team, service and kind.
func (r *Recorder) Rows() []Row {
	return r.rows(func(k rowKey) bool { return k.team != "" && k.service != "" })
}

// Teams returns one row for each team.
func (r *Recorder) Teams() []Row {
	return r.rows(func(k rowKey) bool { return k.team != "" && k.service == "" })
}

// Services returns one row for each service.
func (r *Recorder) Services() []Row {
	return r.rows(func(k rowKey) bool { return k.team == "" && k.service != "" && k.kind == "" })
}

// Kinds returns one row for each service and kind of request.
func (r *Recorder) Kinds() []Row {
	return r.rows(func(k rowKey) bool { return k.kind != "" })
}

// Total returns one row for all requests.
func (r *Recorder) Total() Row {
	if t := r.totals[rowKey{}]; t != nil {
		return Row{Counts: r.counts(rowKey{}, t)}
	}
	return Row{}
}

// rows returns the rows whose keys are wanted, sorted.
func (r *Recorder) rows(want func(rowKey) bool) []Row {
	var rows []Row
	for k, t := range r.totals {
		if want(k) {
			rows = append(rows, Row{k.team, k.service, k.kind, r.counts(k, t)})
		}
	}
	slices.SortFunc(rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.Team, y.Team), cmp.Compare(x.Service, y.Service), cmp.Compare(x.Kind, y.Kind))
	})
	return rows
}

func newTotals() *totals {
	t := &totals{okLatency: newHistogram(latencyDigits), refusedLatency: newHistogram(latencyDigits)}
	t.Refused, t.Failed = map[string]int{}, map[string]int{}
	return t
}

func (t *totals) add(a arrival.Arrival, o outcome.Outcome, latency time.Duration) {
	t.Sent++
	t.Redials += o.Redials
	if a.InQuota {
		t.InQuota++
	}
	switch o.Class {
	case outcome.OK:
		t.OK++
		recordLatency(t.okLatency, latency)
	case outcome.Refused:
		t.Refused[o.Label()]++
		recordLatency(t.refusedLatency, latency)
	case outcome.Failed:
		t.Failed[o.Label()]++
	case outcome.Wrong:
		t.Wrong++
	case outcome.Broken:
		t.Broken++
	case outcome.Late:
		t.Late++
	case outcome.Unreached:
		t.Unreached++
	default:
		panic("tally: unknown class " + string(o.Class))
	}
}

// counts returns the counts of a row. It adds up Served and ExcessRefusals over
// the pairs of team and service that the row covers, so that surplus requests
// served to one team do not hide those refused to another. A row of one kind has
// them for all teams together, since the totals of a kind are not kept by team.
func (r *Recorder) counts(k rowKey, t *totals) Counts {
	c := t.Counts
	c.Latency, c.RefusalLatency = distribution(t.okLatency), distribution(t.refusedLatency)
	if k.kind != "" {
		c.Served, c.ExcessRefusals = t.quotaCounts()
		return c
	}
	for partKey, part := range r.totals {
		if partKey.team == "" || partKey.service == "" || (k.team != "" && k.team != partKey.team) ||
			(k.service != "" && k.service != partKey.service) {
			continue
		}
		served, excess := part.quotaCounts()
		c.Served += served
		c.ExcessRefusals += excess
	}
	return c
}

// quotaCounts returns Served and ExcessRefusals of one team and service, or of
// one kind.
func (t *totals) quotaCounts() (served, excess int) {
	refused := 0
	for _, n := range t.Refused {
		refused += n
	}
	return min(t.OK, t.InQuota), max(0, refused-(t.Sent-t.InQuota))
}

// ServedShare returns Served as a share of InQuota, or 1 if there are no requests
// within the quota.
func (c Counts) ServedShare() float64 {
	if c.InQuota == 0 {
		return 1
	}
	return float64(c.Served) / float64(c.InQuota)
}

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

// recordLatency records a latency, limited to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d, time.Microsecond), maxLatency).Microseconds()
	if err := h.RecordValue(us); err != nil {
		panic("tally: " + err.Error())
	}
}

// distribution returns the main percentiles of a histogram of microseconds.
func distribution(h *hdrhistogram.Histogram) Latency {
	percentile := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Latency{percentile(50), percentile(99), percentile(99.9), time.Duration(h.Max()) * time.Microsecond}
}

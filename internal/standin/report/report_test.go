package report_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"sassafrastray"
	"sassafrastray/internal/standin/arrival"
	"sassafrastray/internal/standin/audit"
	"sassafrastray/internal/standin/chart"
	"sassafrastray/internal/standin/load"
	"sassafrastray/internal/standin/outcome"
	"sassafrastray/internal/standin/report"
	"sassafrastray/internal/standin/scenario"
	"sassafrastray/internal/standin/tally"
)

// sampleReport returns the report of a run whose outcomes and latencies are a
// function of the requests' numbers. Latencies increase with slower.
func sampleReport(t *testing.T, slower time.Duration) *report.Report {
	b, err := os.ReadFile("testdata/case.yaml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := scenario.Parse("case.yaml", b)
	if err != nil {
		t.Fatal(err)
	}
	recorder := tally.New(c.Length())
	s := arrival.New(c)
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		latency := 10*time.Millisecond + time.Duration(a.Number%37)*(time.Millisecond+slower)
		recorder.Add(a, outcomeOf(a), latency)
	}
	r := report.New(c, report.ThroughVMs, recorder, load.Lag{P99: time.Millisecond, Max: 3 * time.Millisecond})
	r.Lookups = report.Lookups{Done: 12, Failed: 1}
	return r
}

// outcomeOf returns a fixed outcome for the request's number, so that every class
// of outcome occurs.
func outcomeOf(a arrival.Arrival) outcome.Outcome {
	switch {
	case !a.InQuota:
		return outcome.Outcome{Class: outcome.Refused, Status: 429, Reason: sassafrastray.ReasonQuota}
	case a.Number%50 == 7:
		return outcome.Outcome{Class: outcome.Refused, Status: 503, Reason: sassafrastray.ReasonBusy}
	case a.Number%90 == 8:
		return outcome.Outcome{Class: outcome.Failed, Status: 500}
	case a.Number%200 == 9:
		return outcome.Outcome{Class: outcome.Late}
	case a.Number%300 == 10:
		return outcome.Outcome{Class: outcome.Broken, Redials: 1, Detail: fmt.Sprintf("read 127.0.0.1:%d: EOF", 40000+a.Number)}
	case a.Number == 11:
		return outcome.Outcome{Class: outcome.Wrong}
	case a.Number == 12:
		return outcome.Outcome{Class: outcome.Unreached, Redials: 2}
	default:
		return outcome.Outcome{Class: outcome.OK, Status: 200}
	}
}

func TestText(t *testing.T) {
	r := sampleReport(t, 0)
	goldie.New(t).Assert(t, "text", []byte(r.Text()))
	r.Audit = &audit.Findings{
		Executions: 800, RepeatedNonIdempotent: 1, Unknown: 5, UnknownRan: 2,
		Quotas: []audit.Quota{
			{Team: "coop", Service: "stock", Rate: 10, Burst: 5, NeededBurst: 4},
			{Team: "depot", Service: "orders", Rate: 20, Burst: 5, NeededBurst: 7.25},
		},
		Samples: []string{"sample-1 ran 2 times"},
	}
	_, text, _ := strings.Cut(r.Text(), "\nbackend servers")
	goldie.New(t).Assert(t, "audit", []byte("backend servers"+text))
}

// TestSummarize summarizes and compares reports that were encoded and decoded as
// JSON, as the report command does.
func TestSummarize(t *testing.T) {
	var runs []*report.Report
	for i := range report.MinRuns {
		r, err := report.Parse(sampleReport(t, time.Duration(i)*100*time.Microsecond).JSON())
		if err != nil {
			t.Fatal(err)
		}
		runs = append(runs, r)
	}
	text, err := report.Summarize(runs)
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "summary", []byte(text))
	tooFew, err := report.Summarize(runs[:2])
	if err != nil || !strings.Contains(tooFew, "fewer than 5 runs") {
		t.Errorf("summary of two runs: %v\n%s", err, tooFew)
	}
	other := sampleReport(t, 0)
	other.Path = report.Direct
	text, err = report.Compare(runs, []*report.Report{other})
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "compare", []byte(text))
	runs[1].Case = "other"
	if _, err := report.Summarize(runs); err == nil {
		t.Error("runs of two cases were summarized")
	}
}

func TestChart(t *testing.T) {
	for _, name := range []string{"run.svg", "run.png"} {
		file := filepath.Join(t.TempDir(), name)
		if err := chart.Write(sampleReport(t, 0), file); err != nil {
			t.Fatal(err)
		}
		if st, err := os.Stat(file); err != nil || st.Size() == 0 {
			t.Error("chart missing or empty:", err)
		}
	}
	empty := report.New(&scenario.Case{}, report.Direct, tally.New(time.Second), load.Lag{})
	if err := chart.Write(empty, filepath.Join(t.TempDir(), "empty.svg")); err != nil {
		t.Error(err)
	}
	if err := chart.Write(empty, filepath.Join(t.TempDir(), "run.pdf")); err == nil {
		t.Error("file type .pdf accepted")
	}
}

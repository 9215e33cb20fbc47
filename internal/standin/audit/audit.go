// Package audit compares the outcomes that callers saw with what backend servers
// executed.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"sassafrastray"
	"sassafrastray/internal/standin/arrival"
	"sassafrastray/internal/standin/execlog"
	"sassafrastray/internal/standin/outcome"
)

// maxSamples is the maximum number of samples in the findings.
const maxSamples = 10

type (
	// Auditor collects the outcomes of a run's requests for the comparison.
	// It is not safe for concurrent use.
	Auditor struct {
		// orderPrefix begins the order IDs of the run.
		orderPrefix string
		// records is indexed by the number of the request.
		records []record
	}

	// record is what is known of one request.
	record struct {
		arrival arrival.Arrival
		// known is false if no outcome was added for the number.
		known   bool
		outcome outcome.Class
		result  sassafrastray.Result
	}

	// Findings is the result of the comparison. All counts other than
	// Executions, RepeatedIdempotent, Unknown and UnknownRan must be 0.
	Findings struct {
		Executions int `json:"executions"`
		// RepeatedNonIdempotent counts the non-idempotent requests that were
		// executed more than once, RepeatedIdempotent the idempotent ones.
		RepeatedNonIdempotent int `json:"twice"`
		RepeatedIdempotent    int `json:"repeated"`
		// FalseNotRun counts the requests that were executed although the
		// response says that they were not.
		FalseNotRun int `json:"untrue"`
		// FalseRan counts the requests that no server executed although the
		// response says that they were executed.
		FalseRan int `json:"missing"`
		// LeakedKeys counts the executions whose request still contained a
		// key, without those on open routes.
		LeakedKeys int `json:"keys"`
		// WrongTeam counts the executions on behalf of another team than the
		// caller's, without those on open routes.
		WrongTeam int `json:"teams"`
		// Unknown counts the requests whose outcome does not tell whether
		// they were executed, UnknownRan those of them that were.
		Unknown    int      `json:"unknown"`
		UnknownRan int      `json:"ran"`
		Quotas     []Quota  `json:"quotas"`
		Samples    []string `json:"samples"`
	}

	// Quota compares a team's executions at a service with its quota.
	Quota struct {
		Team    sassafrastray.TeamName    `json:"team"`
		Service sassafrastray.ServiceName `json:"service"`
		Rate    float64                   `json:"rate"`
		Burst   int                       `json:"burst"`
		// NeededBurst is the smallest burst with which a token bucket of
		// the rate would have admitted the executions. Variation in the
		// delay between admission and execution increases it.
		NeededBurst float64 `json:"needed"`
	}
)

// New returns an auditor for a run whose order IDs begin with prefix.
func New(prefix string) *Auditor { return &Auditor{orderPrefix: prefix + "-"} }

// OrderID returns the order ID of the request with the given number.
func (au *Auditor) OrderID(number int) string { return au.orderPrefix + strconv.Itoa(number) }

// Add records the outcome of a request.
func (au *Auditor) Add(a arrival.Arrival, o outcome.Outcome) {
	for len(au.records) <= a.Number {
		au.records = append(au.records, record{})
	}
	au.records[a.Number] = record{a, true, o.Class, o.Result}
}

// Audit compares the outcomes with the executions of all backend servers. It
// ignores the executions of other runs, and sorts the entries by start.
func (au *Auditor) Audit(entries []execlog.Entry) Findings {
	slices.SortStableFunc(entries, func(a, b execlog.Entry) int { return a.Start.Compare(b.Start) })
	var f Findings
	executions := make([]int, len(au.records))
	log := execlog.New()
	for _, e := range entries {
		n, ok := au.requestNumber(e.OrderID)
		if !ok {
			continue
		}
		log.Start(e)
		executions[n]++
		f.checkExecution(au.records[n], e)
	}
	for n, count := range executions {
		if rec := au.records[n]; rec.known {
			f.checkRequest(rec, count, au.OrderID(n))
		}
	}
	f.compareQuotas(au.records, log)
	return f
}

// Violated reports whether any count that must be 0 is not.
func (f Findings) Violated() bool {
	return f.RepeatedNonIdempotent+f.FalseNotRun+f.FalseRan+f.LeakedKeys+f.WrongTeam > 0
}

// requestNumber returns the number of the request with the order ID. It returns
// false for requests of other runs and those without an outcome.
func (au *Auditor) requestNumber(order string) (int, bool) {
	text, ok := strings.CutPrefix(order, au.orderPrefix)
	n, err := strconv.Atoi(text)
	return n, ok && err == nil && n >= 0 && n < len(au.records) && au.records[n].known
}

// checkExecution checks one execution of a request for keys and its team. On open
// routes, callers need no key and have no team.
func (f *Findings) checkExecution(rec record, e execlog.Entry) {
	f.Executions++
	if rec.arrival.Kind.Open {
		return
	}
	if e.HasKey {
		f.LeakedKeys++
		f.addSample("%s carried a key to %s %s", e.OrderID, e.Server, e.Path)
	}
	if team := rec.arrival.Team.Name; e.Team != team {
		f.WrongTeam++
		f.addSample("%s of %s ran for %q", e.OrderID, team, e.Team)
	}
}

// checkRequest compares the outcome of a request with the number of its
// executions.
func (f *Findings) checkRequest(rec record, executions int, order string) {
	reportedRan := rec.result == sassafrastray.ResultRan || (rec.result == "" && rec.outcome == outcome.OK)
	if executions > 1 {
		if rec.arrival.Kind.Idempotent {
			f.RepeatedIdempotent++
		} else {
			f.RepeatedNonIdempotent++
			f.addSample("%s ran %d times", order, executions)
		}
	}
	switch {
	case reportedRan && executions == 0:
		f.FalseRan++
		f.addSample("%s did not run", order)
	case rec.result == sassafrastray.ResultNotRun && executions > 0:
		f.FalseNotRun++
		f.addSample("%s ran in spite of its answer", order)
	case !reportedRan && rec.result != sassafrastray.ResultNotRun:
		f.Unknown++
		if executions > 0 {
			f.UnknownRan++
		}
	}
}

// compareQuotas adds the comparison for each team and service with a quota, sorted
// by them.
func (f *Findings) compareQuotas(records []record, log *execlog.Log) {
	type pair struct {
		team    sassafrastray.TeamName
		service sassafrastray.ServiceName
	}
	seen := map[pair]bool{}
	for _, rec := range records {
		if !rec.known {
			continue
		}
		team, service := rec.arrival.Names()
		q := rec.arrival.Demand()
		if q.Quota == 0 || seen[pair{team, service}] {
			continue
		}
		seen[pair{team, service}] = true
		f.Quotas = append(f.Quotas, Quota{team, service, q.Quota, q.Burst, log.NeededBurst(service, team, q.Quota)})
	}
	slices.SortFunc(f.Quotas, func(a, b Quota) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service))
	})
}

func (f *Findings) addSample(text string, args ...any) {
	if len(f.Samples) < maxSamples {
		f.Samples = append(f.Samples, fmt.Sprintf(text, args...))
	}
}

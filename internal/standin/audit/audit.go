// Package audit compares what callers were told with what backend servers
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

// maxSamples bounds the examples in a verdict.
const maxSamples = 10

type (
	// Claims are what callers were told, by the number of the request.
	// Callers lock them.
	Claims struct {
		// prefix begins the order ids of the run.
		prefix string
		claims []claim
	}

	claim struct {
		arrival arrival.Arrival
		known   bool
		outcome outcome.Class
		result  sassafrastray.Result
	}

	// Verdict is the comparison. All counts but Executions, Repeated,
	// Unknown and UnknownRan have to be 0.
	Verdict struct {
		Executions int `json:"executions"`
		// Twice counts the requests that are not idempotent and were
		// executed more than once; Repeated the idempotent ones.
		Twice    int `json:"twice"`
		Repeated int `json:"repeated"`
		// NotRun counts the requests that were executed although the answer
		// says that they were not.
		NotRun int `json:"untrue"`
		// Missing counts the requests that no server executed although the
		// answer says so.
		Missing int `json:"missing"`
		// Keys counts the executions that carried a key on a route that is
		// not open.
		Keys int `json:"keys"`
		// Teams counts the executions for another team than the caller's.
		Teams int `json:"teams"`
		// Unknown counts the requests whose callers do not know whether
		// they ran, and UnknownRan those among them that did.
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
		// Needed is the smallest burst with which the rate would have
		// allowed the executions. Delays that differ between admission and
		// execution raise it.
		Needed float64 `json:"needed"`
	}
)

// New returns no claims for a run whose order ids begin with prefix.
func New(prefix string) *Claims { return &Claims{prefix: prefix + "-"} }

// Order returns the order id of a request.
func (c *Claims) Order(number int) string { return c.prefix + strconv.Itoa(number) }

// Add notes what the caller of a request was told.
func (c *Claims) Add(a arrival.Arrival, o outcome.Outcome) {
	for len(c.claims) <= a.Number {
		c.claims = append(c.claims, claim{})
	}
	c.claims[a.Number] = claim{a, true, o.Class, o.Result}
}

// Audit compares the claims with the executions of all backend servers. It
// passes over the executions of other runs.
func (c *Claims) Audit(entries []execlog.Entry) Verdict {
	slices.SortStableFunc(entries, func(a, b execlog.Entry) int { return a.Start.Compare(b.Start) })
	var v Verdict
	times := make([]int, len(c.claims))
	own := execlog.New()
	for _, e := range entries {
		n, ok := c.number(e.OrderID)
		if !ok {
			continue
		}
		own.Start(e)
		times[n]++
		v.execution(c.claims[n], e)
	}
	for n, times := range times {
		if cl := c.claims[n]; cl.known {
			v.request(cl, times, c.Order(n))
		}
	}
	v.quotas(c.claims, own)
	return v
}

// Broken tells whether anything happened that must not.
func (v Verdict) Broken() bool {
	return v.Twice+v.NotRun+v.Missing+v.Keys+v.Teams > 0
}

// number returns the number of the request with the order id.
func (c *Claims) number(order string) (int, bool) {
	text, ok := strings.CutPrefix(order, c.prefix)
	n, err := strconv.Atoi(text)
	return n, ok && err == nil && n >= 0 && n < len(c.claims) && c.claims[n].known
}

func (v *Verdict) execution(c claim, e execlog.Entry) {
	v.Executions++
	if c.arrival.Kind.Open {
		return
	}
	if e.HasKey {
		v.Keys++
		v.sample("%s carried a key to %s %s", e.OrderID, e.Server, e.Path)
	}
	if team := c.arrival.Team.Name; e.Team != team {
		v.Teams++
		v.sample("%s of %s ran for %q", e.OrderID, team, e.Team)
	}
}

func (v *Verdict) request(c claim, times int, order string) {
	ran := c.result == sassafrastray.ResultRan || (c.result == "" && c.outcome == outcome.OK)
	if times > 1 {
		if c.arrival.Kind.Idempotent {
			v.Repeated++
		} else {
			v.Twice++
			v.sample("%s ran %d times", order, times)
		}
	}
	switch {
	case ran && times == 0:
		v.Missing++
		v.sample("%s did not run", order)
	case c.result == sassafrastray.ResultNotRun && times > 0:
		v.NotRun++
		v.sample("%s ran in spite of its answer", order)
	case !ran && c.result != sassafrastray.ResultNotRun:
		v.Unknown++
		if times > 0 {
			v.UnknownRan++
		}
	}
}

func (v *Verdict) quotas(claims []claim, own *execlog.Log) {
	type pair struct {
		team    sassafrastray.TeamName
		service sassafrastray.ServiceName
	}
	seen := map[pair]bool{}
	for _, c := range claims {
		if !c.known {
			continue
		}
		team, service := c.arrival.Names()
		q := c.arrival.Demand()
		if q.Quota == 0 || seen[pair{team, service}] {
			continue
		}
		seen[pair{team, service}] = true
		v.Quotas = append(v.Quotas, Quota{team, service, q.Quota, q.Burst, own.NeededBurst(service, team, q.Quota)})
	}
	slices.SortFunc(v.Quotas, func(a, b Quota) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service))
	})
}

func (v *Verdict) sample(text string, args ...any) {
	if len(v.Samples) < maxSamples {
		v.Samples = append(v.Samples, fmt.Sprintf(text, args...))
	}
}

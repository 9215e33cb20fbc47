package choice_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sassafrastray/internal/traffic/choice"
)

// The model simulates arrivals, slots and service times of one service.
const (
	modelVMs            = 11
	modelDomains        = 6
	modelServers        = 20
	modelSlots          = 4
	modelMean           = 100 * time.Millisecond
	modelTimeout        = 2 * time.Second
	modelWarmup         = 4 * time.Second
	modelReportInterval = 500 * time.Millisecond
	modelBytes          = 20_000
)

// modelWeights are the teams' weights and, relative to each other, their rates.
var modelWeights = []int{9, 9, 2, 2, 2, 2, 2, 2}

type (
	event struct {
		at  time.Time
		seq int
		do  func()
	}
	events []event

	modelRequest struct {
		id, team, entry int
		arrived         time.Time
		work            time.Duration
		tries           int
		choice          choice.Choice
		target          choice.Target
		step            int
		waits           [2]time.Duration
		maxWait         time.Duration
		reportedWait    time.Duration // wait that the scheduler reported
		queued          time.Time
		server, ownerVM int
	}

	modelServer struct {
		domain, running int
	}

	// scenario is a load on the model. load is relative to the capacity. The
	// entry VMs of the first region get skew times the traffic of the others.
	// The rate of greedyTeam, -1 for none, is multiplied by greedyFactor.
	scenario struct {
		name         string
		regions      int
		skew, load   float64
		greedyTeam   int
		greedyFactor float64
	}

	// policy decides where a request goes and is called when it ends.
	policy interface {
		arrive(r *modelRequest)
		ended(r *modelRequest)
	}

	model struct {
		regions int
		span    time.Duration // measured, after the warm-up
		rng     *rand.Rand
		now     time.Time
		start   time.Time
		queue   events
		seq     int
		servers []modelServer
		policy  policy
		result  result
	}

	result struct {
		span     time.Duration
		latency  [][]time.Duration // by team
		offered  []int
		sheds    int
		busy     float64 // seconds, summed over all slots
		lastBusy time.Time
		running  int
		waits    []time.Duration // in the queue, each less the reported wait
	}
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules an event.
func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now.Add(d), m.seq, do})
}

// every runs an event at once and then at a fixed interval.
func (m *model) every(d time.Duration, do func()) {
	do()
	m.after(d, func() { m.every(d, do) })
}

func (m *model) region(domain int) int { return domain * m.regions / modelDomains }

// delay is the time between failure domains, one way.
func (m *model) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case m.region(a) == m.region(b):
		return time.Millisecond
	}
	return 55 * time.Millisecond
}

func (m *model) warmedUp() bool { return m.now.Sub(m.start) >= modelWarmup }

// account adds the slot time used until now and changes the number of running
// requests.
func (m *model) account(change int) {
	if m.warmedUp() {
		m.result.busy += float64(m.result.running) * m.now.Sub(m.result.lastBusy).Seconds()
	}
	m.result.lastBusy = m.now
	m.result.running += change
}

// run starts a request at its server, which sheds it if no slot is free.
func (m *model) run(r *modelRequest, done func(ok bool)) {
	s := &m.servers[r.server]
	if s.running >= modelSlots {
		if m.warmedUp() {
			m.result.sheds++
		}
		done(false)
		return
	}
	s.running++
	m.account(1)
	m.after(r.work, func() {
		s.running--
		m.account(-1)
		done(true)
	})
}

// answered records an answer that reached the entry VM, if it is in time.
func (m *model) answered(r *modelRequest) {
	if m.warmedUp() && m.now.Sub(r.arrived) <= modelTimeout {
		m.result.latency[r.team] = append(m.result.latency[r.team], m.now.Sub(r.arrived))
	}
	m.policy.ended(r)
}

// simulate runs a policy through a scenario and measures the span after the
// warm-up.
func (c scenario) simulate(span time.Duration, build func(*model) policy) result {
	m := &model{regions: c.regions, rng: rand.New(rand.NewPCG(7, 11)), now: time.Unix(1e9, 0), span: span}
	m.result.span = span
	m.start = m.now
	for i := range modelServers {
		m.servers = append(m.servers, modelServer{domain: i % modelDomains})
	}
	m.result.latency = make([][]time.Duration, len(modelWeights))
	m.result.offered = slices.Repeat([]int{0}, len(modelWeights))
	m.policy = build(m)
	capacity := modelServers * modelSlots / modelMean.Seconds()
	id := 0
	for team, w := range modelWeights {
		rate := capacity * c.load * float64(w) / 30
		if team == c.greedyTeam {
			rate *= c.greedyFactor
		}
		var next func()
		next = func() {
			id++
			r := &modelRequest{id: id, team: team, entry: m.entry(c.skew), arrived: m.now, work: time.Duration(m.rng.ExpFloat64() * float64(modelMean))}
			if m.warmedUp() {
				m.result.offered[team]++
			}
			m.policy.arrive(r)
			m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		m.after(0, next)
	}
	for m.now.Sub(m.start) < modelWarmup+span {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
	m.account(0)
	return m.result
}

// entry draws the entry VM of a request.
func (m *model) entry(skew float64) int {
	for {
		vm := m.rng.IntN(modelVMs)
		if m.region(vm%modelDomains) == 0 || m.rng.Float64() < 1/skew {
			return vm
		}
	}
}

// quantile returns the q-quantile of the latencies.
func quantile(ls []time.Duration, q float64) time.Duration {
	if len(ls) == 0 {
		return 0
	}
	ls = slices.Sorted(slices.Values(ls))
	return ls[min(len(ls)-1, int(q*float64(len(ls))))]
}

// utilization returns the fraction of all slot time that was in use.
func (r result) utilization() float64 {
	return r.busy / r.span.Seconds() / (modelServers * modelSlots)
}

// teams returns the 99th percentiles of the worst-served and the median team,
// except for the given team.
func (r result) teams(except int) (worst, median time.Duration) {
	var p99 []time.Duration
	for team, ls := range r.latency {
		if team != except {
			p99 = append(p99, quantile(ls, 0.99))
		}
	}
	slices.Sort(p99)
	return p99[len(p99)-1], (p99[len(p99)/2] + p99[(len(p99)-1)/2]) / 2
}

// served returns the fraction of requests that were answered, except for those of
// the given team.
func (r result) served(except int) float64 {
	answered, offered := 0, 0
	for team := range r.latency {
		if team != except {
			answered += len(r.latency[team])
			offered += r.offered[team]
		}
	}
	return float64(answered) / float64(offered)
}

var scenarios = []scenario{
	{"load 0.7", 1, 1, 0.7, -1, 1},
	{"load 0.9", 1, 1, 0.9, -1, 1},
	{"load 1.3", 1, 1, 1.3, -1, 1},
	{"small team at 8x", 1, 1, 0.7, 7, 8},
	{"large team at 8x", 1, 1, 0.7, 0, 8},
	{"3 regions, skewed", 3, 3, 0.7, -1, 1},
}

func newIdeal(m *model) policy { return &ideal{m: m} }

// check fails the test if the owner policy's result is worse than required.
// reference is the result of the ideal policy.
func (c scenario) check(t testing.TB, got, reference result) {
	if c.load > 1 && got.utilization() < 0.9*reference.utilization() {
		t.Errorf("%s: %.3f of the slots were in use, want 0.9 of the ideal policy's %.3f", c.name, got.utilization(), reference.utilization())
	}
	if worst, median := got.teams(c.greedyTeam); worst > 2*median {
		t.Errorf("%s: the 99th percentile is %v for the worst-served team and %v for the median team", c.name, worst, median)
	}
	if c.greedyTeam >= 0 && got.served(c.greedyTeam) < 0.99 {
		t.Errorf("%s: %.4f of the other teams' requests were answered, want 0.99", c.name, got.served(c.greedyTeam))
	}
	if got.sheds > 0 {
		t.Errorf("%s: backend servers shed %d requests though each has a single owner", c.name, got.sheds)
	}
}

func TestModel(t *testing.T) {
	for _, c := range scenarios {
		c.check(t, c.simulate(5*time.Second, newOwnerPolicy(variant{})), c.simulate(5*time.Second, newIdeal))
	}
}

// BenchmarkModel prints a table that compares the policies, with latencies in
// milliseconds. The 99th percentiles of the worst and the median team and the
// fraction of served requests leave out the greedy team.
func BenchmarkModel(b *testing.B) {
	policies := []struct {
		name  string
		build func(*model) policy
	}{
		{"random", newDirect(variant{})},
		{"two choices", newDirect(variant{twoChoices: true})},
		{"two, endless", newDirect(variant{twoChoices: true, unlimitedRetries: true})},
		{"owner, plain", newOwnerPolicy(variant{singleOffer: true})},
		{"owner", newOwnerPolicy(variant{})},
		{"ideal", newIdeal},
	}
	const columns = "| %-17s | %-13s | %6v | %6v | %6v | %6v | %6v | %6v | %6v | %6v |\n"
	var table strings.Builder
	fmt.Fprintf(&table, columns, "scenario", "policy", "p50", "p99", "p99.9", "slots", "sheds", "worst", "median", "served")
	for _, c := range scenarios {
		results := map[string]result{}
		for _, p := range policies {
			if strings.Contains(p.name, "endless") && c.load*c.greedyFactor >= 1 {
				continue // overload would cause millions of retries
			}
			r := c.simulate(time.Minute, p.build)
			results[p.name] = r
			all := slices.Concat(r.latency...)
			worst, median := r.teams(c.greedyTeam)
			fmt.Fprintf(&table, columns, c.name, p.name, quantile(all, 0.5).Milliseconds(), quantile(all, 0.99).Milliseconds(),
				quantile(all, 0.999).Milliseconds(), percent(r.utilization()), r.sheds, worst.Milliseconds(), median.Milliseconds(),
				percent(r.served(c.greedyTeam)))
		}
		c.check(b, results["owner"], results["ideal"])
		ws := results["owner"].waits
		fmt.Fprintf(&table, "  wait less what was told, ms: p10 %d, p50 %d, p90 %d, of %d\n", quantile(ws, 0.1).Milliseconds(),
			quantile(ws, 0.5).Milliseconds(), quantile(ws, 0.9).Milliseconds(), len(ws))
	}
	fmt.Println(table.String())
}

func percent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }

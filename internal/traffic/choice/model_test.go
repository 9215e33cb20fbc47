package choice_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/choice"
	"sassafrastray/internal/traffic/keeper"
	"sassafrastray/internal/traffic/retry"
)

// The model is arrivals, slots and service times, at the sizes of one service:
// 11 VMs, 6 failure domains, 20 backend servers of 4 slots, 8 teams.
const (
	modelVMs     = 11
	modelDomains = 6
	modelServers = 20
	modelSlots   = 4
	modelMean    = 100 * time.Millisecond
	modelTimeout = 2 * time.Second
	modelWarm    = 4 * time.Second
	modelBeat    = 500 * time.Millisecond
	modelBytes   = 20_000
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
		id, team, entry  int
		arrived          time.Time
		work             time.Duration
		tries            int
		choice           choice.Choice
		target           choice.Target
		step             int
		waits            [2]time.Duration
		patience         time.Duration
		told             time.Duration // wait that the keeper told
		queued           time.Time
		server, keeperVM int
	}

	modelServer struct {
		domain, running int
	}

	// scenario is a load on the model. The entry VMs of the first region get
	// skew times the traffic of the others; the rate of the greedy team, if
	// there is one, is multiplied.
	scenario struct {
		name       string
		regions    int
		skew, load float64
		greedy     int
		times      float64
	}

	// trait varies a policy.
	trait struct {
		two     bool // the better of two by lagging load, else one at random
		endless bool // retries until the timeout, else within the budget
		plain   bool // queue at the first VM, whatever the wait
	}

	// policy decides where a request goes and hears when it ends.
	policy interface {
		arrive(r *modelRequest)
		ended(r *modelRequest)
	}

	model struct {
		regions int
		span    time.Duration // measured, after warming up
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
		busy     float64 // slot seconds
		lastBusy time.Time
		running  int
		waits    []time.Duration // in the queue, each less what was told
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

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now.Add(d), m.seq, do})
}

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

func (m *model) warm() bool { return m.now.Sub(m.start) >= modelWarm }

// account adds up the slots in use until now.
func (m *model) account(change int) {
	if m.warm() {
		m.result.busy += float64(m.result.running) * m.now.Sub(m.result.lastBusy).Seconds()
	}
	m.result.lastBusy = m.now
	m.result.running += change
}

// run lets a server work on a request, or shed it.
func (m *model) run(r *modelRequest, done func(ok bool)) {
	s := &m.servers[r.server]
	if s.running >= modelSlots {
		if m.warm() {
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

// answered records an answer that reached the entry VM.
func (m *model) answered(r *modelRequest) {
	if m.warm() && m.now.Sub(r.arrived) <= modelTimeout {
		m.result.latency[r.team] = append(m.result.latency[r.team], m.now.Sub(r.arrived))
	}
	m.policy.ended(r)
}

// simulate runs a policy through a scenario and measures for a span.
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
		if team == c.greedy {
			rate *= c.times
		}
		var next func()
		next = func() {
			id++
			r := &modelRequest{id: id, team: team, entry: m.entry(c.skew), arrived: m.now, work: time.Duration(m.rng.ExpFloat64() * float64(modelMean))}
			if m.warm() {
				m.result.offered[team]++
			}
			m.policy.arrive(r)
			m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		m.after(0, next)
	}
	for m.now.Sub(m.start) < modelWarm+span {
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

// direct is a policy whose VMs send to servers by themselves and try again
// until the timeout when they are shed.
type direct struct {
	m       *model
	trait   trait
	seen    [][]int
	since   [][]int
	retries []*retry.Policy
}

func newDirect(t trait) func(*model) policy {
	return func(m *model) policy {
		d := &direct{m: m, trait: t}
		for vm := range modelVMs {
			d.retries = append(d.retries, retry.New(m.rng, retry.Defaults()))
			d.seen = append(d.seen, make([]int, modelServers))
			d.since = append(d.since, make([]int, modelServers))
			m.after(modelBeat*time.Duration(vm)/modelVMs, func() {
				m.every(modelBeat, func() {
					for i := range m.servers {
						d.seen[vm][i], d.since[vm][i] = m.servers[i].running, 0
					}
				})
			})
		}
		return d
	}
}

func (d *direct) arrive(r *modelRequest) {
	d.retries[r.entry].Request("stock")
	d.send(r)
}

// again returns the pause before the next try, if there is one.
func (d *direct) again(r *modelRequest) (time.Duration, bool) {
	if d.trait.endless {
		return 5*time.Millisecond + time.Duration(d.m.rng.Int64N(int64(10*time.Millisecond))), d.m.now.Sub(r.arrived) < modelTimeout
	}
	next := d.retries[r.entry].Next(retry.Attempt{
		Service: "stock", Number: r.tries, Result: sassafrastray.NotRun, Reason: sassafrastray.ReasonShed,
		Deadline: r.arrived.Add(modelTimeout), Expected: modelMean,
	}, d.m.now)
	return next.Pause, next.Retry
}

func (d *direct) send(r *modelRequest) {
	m := d.m
	r.tries++
	r.server = m.rng.IntN(modelServers)
	if other := m.rng.IntN(modelServers); d.trait.two &&
		d.seen[r.entry][other]+d.since[r.entry][other] < d.seen[r.entry][r.server]+d.since[r.entry][r.server] {
		r.server = other
	}
	d.since[r.entry][r.server]++
	way := m.delay(r.entry%modelDomains, m.servers[r.server].domain)
	m.after(way, func() {
		m.run(r, func(ok bool) {
			m.after(way, func() {
				if ok {
					m.answered(r)
				} else if pause, ok := d.again(r); ok {
					m.after(pause, func() { d.send(r) })
				}
			})
		})
	})
}

func (d *direct) ended(*modelRequest) {}

// ideal is one queue before all slots.
type ideal struct {
	m     *model
	queue []*modelRequest
}

func (p *ideal) arrive(r *modelRequest) {
	p.queue = append(p.queue, r)
	p.next()
}

func (p *ideal) next() {
	for len(p.queue) > 0 && p.m.now.Sub(p.queue[0].arrived) >= modelTimeout {
		p.queue = p.queue[1:]
	}
	i := slices.IndexFunc(p.m.servers, func(s modelServer) bool { return s.running < modelSlots })
	if i < 0 || len(p.queue) == 0 {
		return
	}
	r := p.queue[0]
	p.queue = p.queue[1:]
	r.server = i
	p.m.run(r, func(bool) { p.m.answered(r) })
}

func (p *ideal) ended(*modelRequest) { p.next() }

// kept is the policy of this package and of keeper.
type kept struct {
	m         *model
	trait     trait
	config    *sassafrastray.Config
	members   []keeper.Member
	keepers   []*keeper.Keeper
	loads     [][]keeper.Load
	at        []time.Time
	snapshots []*choice.Snapshot
	retries   []*retry.Policy
	waiting   map[uint64]*modelRequest
}

func newKept(t trait) func(*model) policy {
	return func(m *model) policy {
		p := &kept{m: m, trait: t, waiting: map[uint64]*modelRequest{}}
		p.run()
		return p
	}
}

func (p *kept) run() {
	m := p.m
	p.configure()
	for vm := range modelVMs {
		k := keeper.New(p.members[vm].VM, m.rng, keeper.Defaults())
		k.Configure(p.config, m.now)
		k.View(p.members, m.now)
		p.keepers = append(p.keepers, k)
		p.retries = append(p.retries, retry.New(m.rng, retry.Defaults()))
	}
	p.loads, p.at = make([][]keeper.Load, modelVMs), make([]time.Time, modelVMs)
	p.snapshots = make([]*choice.Snapshot, modelVMs)
	for vm, k := range p.keepers {
		m.every(10*time.Millisecond, func() {
			starts, drops := k.Tick(m.now)
			p.start(starts)
			for _, d := range drops {
				p.refused(p.waiting[d.ID], 0)
			}
		})
		m.after(modelBeat*time.Duration(vm)/modelVMs, func() {
			m.every(modelBeat, func() { p.loads[vm], p.at[vm] = k.Load(), m.now })
		})
		m.every(100*time.Millisecond, func() { p.snapshots[vm] = choice.New(p.input(vm), p.snapshots[vm], m.now) })
	}
}

func (p *kept) configure() {
	cfg := &sassafrastray.Config{Services: []sassafrastray.Service{{Name: "stock"}}}
	s := &cfg.Services[0]
	for r := range p.m.regions {
		cfg.Fleet.Regions = append(cfg.Fleet.Regions, sassafrastray.Region{Name: name[sassafrastray.RegionName]("r", r)})
		s.Regions = append(s.Regions, name[sassafrastray.RegionName]("r", r))
	}
	for d := range modelDomains {
		cfg.Fleet.Domains = append(cfg.Fleet.Domains, sassafrastray.FailureDomain{
			Name: name[sassafrastray.DomainName]("d", d), Region: name[sassafrastray.RegionName]("r", p.m.region(d)),
		})
	}
	for i, b := range p.m.servers {
		s.Backends = append(s.Backends, sassafrastray.BackendServer{
			Name: name[sassafrastray.BackendName]("b", i), Domain: name[sassafrastray.DomainName]("d", b.domain),
			Slots: modelSlots, Version: "v1",
		})
	}
	p.config = cfg
	for vm := range modelVMs {
		d := cfg.Fleet.Domains[vm%modelDomains]
		p.members = append(p.members, keeper.Member{VM: name[sassafrastray.VMName]("vm", vm), Domain: d.Name, Region: d.Region})
	}
}

func name[T ~string](prefix string, i int) T { return T(fmt.Sprintf("%s%02d", prefix, i)) }

func number(prefix, s string) int {
	var i int
	_, _ = fmt.Sscanf(strings.TrimPrefix(s, prefix), "%d", &i)
	return i
}

func (p *kept) input(vm int) choice.Input {
	in := choice.Input{Self: p.members[vm], Config: p.config}
	for i, m := range p.members {
		peer := choice.Peer{Member: m, At: p.at[i], Loads: p.loads[i]}
		if i == vm {
			peer.At, peer.Loads = p.m.now, p.keepers[i].Load()
		}
		in.Peers = append(in.Peers, peer)
	}
	for _, r := range p.config.Fleet.Regions {
		in.Ways = append(in.Ways, choice.Way{To: r.Name, Delay: 55 * time.Millisecond, Headroom: 3_000_000, At: p.m.now})
	}
	return in
}

func (p *kept) arrive(r *modelRequest) {
	p.retries[r.entry].Request("stock")
	p.send(r)
}

func (p *kept) send(r *modelRequest) {
	c, ok := p.snapshots[r.entry].Pick(choice.Request{
		Service: "stock", Version: "v1", Team: teamName(r), Bytes: modelBytes,
	}, p.m.now, p.m.rng)
	if !ok {
		return
	}
	if p.trait.plain {
		c.Second = choice.Target{}
	}
	r.choice, r.step = c, 0
	p.next(r)
}

// next makes the next offer of the request's choice.
func (p *kept) next(r *modelRequest) {
	o, ok := r.choice.Offer(r.step, r.waits)
	if !ok {
		return
	}
	r.target, r.patience = o.Target, o.Patience
	r.target.Sent()
	r.keeperVM = number("vm", string(r.target.VM))
	p.m.after(p.way(r), func() { p.offer(r) })
}

func teamName(r *modelRequest) sassafrastray.TeamName {
	return name[sassafrastray.TeamName]("t", r.team)
}

func (p *kept) way(r *modelRequest) time.Duration {
	return p.m.delay(r.entry%modelDomains, r.keeperVM%modelDomains)
}

func (p *kept) offer(r *modelRequest) {
	o := p.keepers[r.keeperVM].Offer(keeper.Request{
		ID: uint64(r.id), Service: "stock", Version: "v1", Team: teamName(r), Patience: r.patience,
		Weight: modelWeights[r.team], Deadline: r.arrived.Add(modelTimeout - p.way(r)),
	}, p.m.now)
	p.waiting[uint64(r.id)] = r
	switch o.Kind {
	case keeper.Dispatch:
		p.dispatch(r, o.Backend)
	case keeper.Refused:
		p.refused(r, o.Wait)
	case keeper.Queued:
		r.told, r.queued = o.Wait, p.m.now
	}
}

func (p *kept) start(starts []keeper.Start) {
	for _, s := range slices.Clone(starts) {
		r := p.waiting[s.ID]
		if p.m.warm() {
			p.m.result.waits = append(p.m.result.waits, p.m.now.Sub(r.queued)-r.told)
		}
		p.dispatch(r, s.Backend)
	}
}

func (p *kept) dispatch(r *modelRequest, b sassafrastray.BackendName) {
	k := p.keepers[r.keeperVM]
	r.server = number("b", string(b))
	p.m.run(r, func(ok bool) {
		if !ok {
			p.start(k.Done(uint64(r.id), keeper.End{Kind: keeper.Shed}, p.m.now))
			p.refused(r, 0)
			return
		}
		p.start(k.Done(uint64(r.id), keeper.End{Kind: keeper.OK}, p.m.now))
		p.m.after(p.way(r), func() { p.m.answered(r) })
	})
}

// refused takes a request that did not run back to its entry VM, which makes
// the next offer of the choice.
func (p *kept) refused(r *modelRequest, wait time.Duration) {
	delete(p.waiting, uint64(r.id))
	p.m.after(p.way(r), func() {
		r.target.Done()
		if r.step < len(r.waits) {
			r.waits[r.step] = wait
		}
		r.step++
		p.next(r)
	})
}

func (p *kept) ended(r *modelRequest) {
	delete(p.waiting, uint64(r.id))
	r.target.Done()
}

// quantile returns the q-quantile of the latencies.
func quantile(ls []time.Duration, q float64) time.Duration {
	if len(ls) == 0 {
		return 0
	}
	ls = slices.Sorted(slices.Values(ls))
	return ls[min(len(ls)-1, int(q*float64(len(ls))))]
}

// slots is the part of all slots that was in use.
func (r result) slots() float64 {
	return r.busy / r.span.Seconds() / (modelServers * modelSlots)
}

// teams returns the 99th percentiles of the worst-served team and of the
// median team, without one.
func (r result) teams(but int) (worst, median time.Duration) {
	var p99 []time.Duration
	for team, ls := range r.latency {
		if team != but {
			p99 = append(p99, quantile(ls, 0.99))
		}
	}
	slices.Sort(p99)
	return p99[len(p99)-1], (p99[len(p99)/2] + p99[(len(p99)-1)/2]) / 2
}

// served is the part of the requests of all teams but one that were answered.
func (r result) served(but int) float64 {
	answered, offered := 0, 0
	for team := range r.latency {
		if team != but {
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

// check compares the keeper's result with what the system must reach.
func (c scenario) check(t testing.TB, k, best result) {
	if c.load > 1 && k.slots() < 0.9*best.slots() {
		t.Errorf("%s: %.3f of the slots in use, the ideal has %.3f", c.name, k.slots(), best.slots())
	}
	if worst, median := k.teams(c.greedy); worst > 2*median {
		t.Errorf("%s: the worst-served team has %v, the median team %v", c.name, worst, median)
	}
	if c.greedy >= 0 && k.served(c.greedy) < 0.99 {
		t.Errorf("%s: the other teams got %.4f of their requests", c.name, k.served(c.greedy))
	}
	if k.sheds > 0 {
		t.Errorf("%s: backend servers shed %d requests of single keepers", c.name, k.sheds)
	}
}

func TestModel(t *testing.T) {
	for _, c := range scenarios {
		c.check(t, c.simulate(5*time.Second, newKept(trait{})), c.simulate(5*time.Second, newIdeal))
	}
}

// BenchmarkModel compares the policies, latencies in milliseconds. The worst
// and the median team's 99th percentiles, and the part of requests that were
// served, leave out the greedy team.
func BenchmarkModel(b *testing.B) {
	policies := []struct {
		name  string
		build func(*model) policy
	}{
		{"random", newDirect(trait{})},
		{"two choices", newDirect(trait{two: true})},
		{"two, endless", newDirect(trait{two: true, endless: true})},
		{"keeper, plain", newKept(trait{plain: true})},
		{"keeper", newKept(trait{})},
		{"ideal", newIdeal},
	}
	const columns = "| %-17s | %-13s | %6v | %6v | %6v | %6v | %6v | %6v | %6v | %6v |\n"
	var table strings.Builder
	fmt.Fprintf(&table, columns, "scenario", "policy", "p50", "p99", "p99.9", "slots", "sheds", "worst", "median", "served")
	for _, c := range scenarios {
		results := map[string]result{}
		for _, p := range policies {
			if strings.Contains(p.name, "endless") && c.load*c.times >= 1 {
				continue // millions of tries
			}
			r := c.simulate(time.Minute, p.build)
			results[p.name] = r
			all := slices.Concat(r.latency...)
			worst, median := r.teams(c.greedy)
			fmt.Fprintf(&table, columns, c.name, p.name, quantile(all, 0.5).Milliseconds(), quantile(all, 0.99).Milliseconds(),
				quantile(all, 0.999).Milliseconds(), percent(r.slots()), r.sheds, worst.Milliseconds(), median.Milliseconds(),
				percent(r.served(c.greedy)))
		}
		c.check(b, results["keeper"], results["ideal"])
		ws := results["keeper"].waits
		fmt.Fprintf(&table, "  wait less what was told, ms: p10 %d, p50 %d, p90 %d, of %d\n", quantile(ws, 0.1).Milliseconds(),
			quantile(ws, 0.5).Milliseconds(), quantile(ws, 0.9).Milliseconds(), len(ws))
	}
	fmt.Println(table.String())
}

func percent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }

package choice_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/choice"
	"sassafrastray/internal/traffic/retry"
	"sassafrastray/internal/traffic/scheduler"
)

// variant selects a variant of a policy.
type variant struct {
	twoChoices       bool // the less loaded of two by seen and sentSince, else one at random
	unlimitedRetries bool // retries until the timeout, else within the budget
	singleOffer      bool // queue at the first VM, however long the wait is
}

// direct is a policy whose VMs send to servers without a scheduler and retry
// requests that are shed. seen and sentSince hold, by entry VM and server, the
// running requests at the latest report and the number of requests sent since.
type direct struct {
	m         *model
	variant   variant
	seen      [][]int
	sentSince [][]int
	retries   []*retry.Policy
}

func newDirect(v variant) func(*model) policy {
	return func(m *model) policy {
		d := &direct{m: m, variant: v}
		for vm := range modelVMs {
			d.retries = append(d.retries, retry.New(m.rng, retry.Defaults()))
			d.seen = append(d.seen, make([]int, modelServers))
			d.sentSince = append(d.sentSince, make([]int, modelServers))
			m.after(modelReportInterval*time.Duration(vm)/modelVMs, func() {
				m.every(modelReportInterval, func() {
					for i := range m.servers {
						d.seen[vm][i], d.sentSince[vm][i] = m.servers[i].running, 0
					}
				})
			})
		}
		return d
	}
}

func (d *direct) arrive(r *modelRequest) {
	d.retries[r.entry].CountRequest("stock")
	d.send(r)
}

// retryPause returns the pause before the next try, and whether there is one.
func (d *direct) retryPause(r *modelRequest) (time.Duration, bool) {
	if d.variant.unlimitedRetries {
		return 5*time.Millisecond + time.Duration(d.m.rng.Int64N(int64(10*time.Millisecond))), d.m.now.Sub(r.arrived) < modelTimeout
	}
	next := d.retries[r.entry].Next(retry.Attempt{
		Service: "stock", Number: r.tries, Result: sassafrastray.ResultNotRun, Reason: sassafrastray.ReasonShed,
		Deadline: r.arrived.Add(modelTimeout), Expected: modelMean,
	}, d.m.now)
	return next.Backoff, next.Retry
}

func (d *direct) send(r *modelRequest) {
	m := d.m
	r.tries++
	r.server = m.rng.IntN(modelServers)
	if other := m.rng.IntN(modelServers); d.variant.twoChoices &&
		d.seen[r.entry][other]+d.sentSince[r.entry][other] < d.seen[r.entry][r.server]+d.sentSince[r.entry][r.server] {
		r.server = other
	}
	d.sentSince[r.entry][r.server]++
	delay := m.delay(r.entry%modelDomains, m.servers[r.server].domain)
	m.after(delay, func() {
		m.run(r, func(ok bool) {
			m.after(delay, func() {
				if ok {
					m.answered(r)
				} else if pause, ok := d.retryPause(r); ok {
					m.after(pause, func() { d.send(r) })
				}
			})
		})
	})
}

func (d *direct) ended(*modelRequest) {}

// ideal is a policy with one queue in front of all slots and no delays.
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

// ownerPolicy is the policy of the packages choice and scheduler: the VM that owns a
// backend server schedules its requests.
type ownerPolicy struct {
	m          *model
	variant    variant
	config     *sassafrastray.Config
	members    []scheduler.Member
	schedulers []*scheduler.Scheduler
	loads      [][]scheduler.Load
	reportedAt []time.Time
	snapshots  []*choice.Snapshot
	retries    []*retry.Policy
	waiting    map[uint64]*modelRequest
}

func newOwnerPolicy(v variant) func(*model) policy {
	return func(m *model) policy {
		p := &ownerPolicy{m: m, variant: v, waiting: map[uint64]*modelRequest{}}
		p.run()
		return p
	}
}

func (p *ownerPolicy) run() {
	m := p.m
	p.configure()
	for vm := range modelVMs {
		k := scheduler.New(p.members[vm].VM, m.rng, scheduler.DefaultOptions())
		k.Configure(p.config, m.now)
		k.SetMembers(p.members, m.now)
		p.schedulers = append(p.schedulers, k)
		p.retries = append(p.retries, retry.New(m.rng, retry.Defaults()))
	}
	p.loads, p.reportedAt = make([][]scheduler.Load, modelVMs), make([]time.Time, modelVMs)
	p.snapshots = make([]*choice.Snapshot, modelVMs)
	for vm, k := range p.schedulers {
		m.every(10*time.Millisecond, func() {
			starts, drops := k.Tick(m.now)
			p.start(starts)
			for _, d := range drops {
				p.refused(p.waiting[d.ID], choice.Never)
			}
		})
		m.after(modelReportInterval*time.Duration(vm)/modelVMs, func() {
			m.every(modelReportInterval, func() { p.loads[vm], p.reportedAt[vm] = k.Load(), m.now })
		})
		m.every(100*time.Millisecond, func() { p.snapshots[vm] = choice.New(p.input(vm), p.snapshots[vm], m.now) })
	}
}

func (p *ownerPolicy) configure() {
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
		p.members = append(p.members, scheduler.Member{VM: name[sassafrastray.VMName]("vm", vm), Domain: d.Name, Region: d.Region})
	}
}

func name[T ~string](prefix string, i int) T { return T(fmt.Sprintf("%s%02d", prefix, i)) }

func number(prefix, s string) int {
	var i int
	_, _ = fmt.Sscanf(strings.TrimPrefix(s, prefix), "%d", &i)
	return i
}

func (p *ownerPolicy) input(vm int) choice.Input {
	in := choice.Input{Self: p.members[vm], Config: p.config}
	for i, m := range p.members {
		peer := choice.Peer{Member: m, At: p.reportedAt[i], Loads: p.loads[i]}
		if i == vm {
			peer.At, peer.Loads = p.m.now, p.schedulers[i].Load()
		}
		in.Peers = append(in.Peers, peer)
	}
	for _, r := range p.config.Fleet.Regions {
		in.Links = append(in.Links, choice.Link{To: r.Name, Delay: 55 * time.Millisecond, Headroom: 3_000_000, At: p.m.now})
	}
	return in
}

func (p *ownerPolicy) arrive(r *modelRequest) {
	p.retries[r.entry].CountRequest("stock")
	p.send(r)
}

func (p *ownerPolicy) send(r *modelRequest) {
	c, ok := p.snapshots[r.entry].Pick(choice.Request{
		Service: "stock", Version: "v1", Team: teamName(r), Bytes: modelBytes,
	}, p.m.now, p.m.rng)
	if !ok {
		return
	}
	if p.variant.singleOffer {
		c.Second = choice.Target{}
	}
	r.choice, r.step = c, 0
	p.next(r)
}

// next makes the next offer of the request's choice.
func (p *ownerPolicy) next(r *modelRequest) {
	o, ok := r.choice.Offer(r.step, r.waits)
	if !ok {
		return
	}
	r.target, r.maxWait = o.Target, o.MaxWait
	r.target.Sent()
	r.ownerVM = number("vm", string(r.target.VM))
	p.m.after(p.delay(r), func() { p.offer(r) })
}

func teamName(r *modelRequest) sassafrastray.TeamName {
	return name[sassafrastray.TeamName]("t", r.team)
}

func (p *ownerPolicy) delay(r *modelRequest) time.Duration {
	return p.m.delay(r.entry%modelDomains, r.ownerVM%modelDomains)
}

func (p *ownerPolicy) offer(r *modelRequest) {
	o := p.schedulers[r.ownerVM].Offer(scheduler.Request{
		ID: uint64(r.id), Service: "stock", Version: "v1", Team: teamName(r), MaxWait: r.maxWait,
		Weight: modelWeights[r.team], Deadline: r.arrived.Add(modelTimeout - p.delay(r)),
	}, p.m.now)
	p.waiting[uint64(r.id)] = r
	switch o.Kind {
	case scheduler.Dispatched:
		p.dispatch(r, o.Backend)
	case scheduler.Refused:
		p.refused(r, o.Wait)
	case scheduler.Queued:
		r.reportedWait, r.queued = o.Wait, p.m.now
	}
}

func (p *ownerPolicy) start(starts []scheduler.Start) {
	for _, s := range slices.Clone(starts) {
		r := p.waiting[s.ID]
		if p.m.warmedUp() {
			p.m.result.waits = append(p.m.result.waits, p.m.now.Sub(r.queued)-r.reportedWait)
		}
		p.dispatch(r, s.Backend)
	}
}

func (p *ownerPolicy) dispatch(r *modelRequest, b sassafrastray.BackendName) {
	k := p.schedulers[r.ownerVM]
	r.server = number("b", string(b))
	p.m.run(r, func(ok bool) {
		if !ok {
			p.start(k.Done(uint64(r.id), scheduler.End{Kind: scheduler.Shed}, p.m.now))
			p.refused(r, choice.Never)
			return
		}
		p.start(k.Done(uint64(r.id), scheduler.End{Kind: scheduler.OK}, p.m.now))
		p.m.after(p.delay(r), func() { p.m.answered(r) })
	})
}

// refused returns a request that did not run to its entry VM, which makes the
// next offer of the choice.
func (p *ownerPolicy) refused(r *modelRequest, wait time.Duration) {
	delete(p.waiting, uint64(r.id))
	p.m.after(p.delay(r), func() {
		r.target.Done()
		if r.step < len(r.waits) {
			r.waits[r.step] = wait
		}
		r.step++
		p.next(r)
	})
}

func (p *ownerPolicy) ended(r *modelRequest) {
	delete(p.waiting, uint64(r.id))
	r.target.Done()
}

// Package vm runs one entry VM. A single control goroutine owns the VM's view
// of the fleet, its configuration, its place and the moves; traffic reads an
// immutable snapshot that the control goroutine replaces. Everything that
// waits for the network runs in a bounded pool of goroutines and comes back
// to the control goroutine as a task.
package vm

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/prometheus/client_golang/prometheus"

	"sassafrastray"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/limit/bandwidth"
	"sassafrastray/internal/limit/place"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/operator/settings"
	"sassafrastray/internal/rollout/evidence"
	"sassafrastray/internal/rollout/move"
	"sassafrastray/internal/traffic/choice"
	"sassafrastray/internal/traffic/disconnect"
	"sassafrastray/internal/traffic/entry"
	"sassafrastray/internal/traffic/lookup"
	"sassafrastray/internal/traffic/retry"
	"sassafrastray/internal/traffic/scheduler"
	"sassafrastray/internal/traffic/upstream"
)

const (
	tickEvery  = 100 * time.Millisecond
	queueEvery = 10 * time.Millisecond
	beatEvery  = 500 * time.Millisecond
	listEvery  = 2 * time.Second
	probeEvery = time.Second
	sweepEvery = 10 * time.Second

	// evidenceEvery is the time between two digests of evidence. A digest
	// holds several windows of 2 s, so one may be lost.
	evidenceEvery = time.Second

	// quotaEvery is the time between two rounds of the quotas while requests
	// wait for tokens.
	quotaEvery = 25 * time.Millisecond

	// shortFor is how long quotas go round more often after a request waited.
	shortFor = 5 * time.Second

	// lendEvery is the least time between two rounds of quota messages that
	// waiting requests bring about.
	lendEvery = 10 * time.Millisecond

	// callTimeout bounds a call to another VM, storeTimeout one to the store.
	callTimeout  = time.Second
	storeTimeout = 3 * time.Second

	// readyAfter is when a VM that got no place serves callers all the same,
	// with what other VMs lend it.
	readyAfter = 20 * time.Second

	// workers bounds the calls to other VMs, the store and backend servers
	// that run at once.
	workers = 256

	// taskQueue bounds the tasks that wait for the control goroutine.
	taskQueue = 1024
)

type (
	// task is a step that runs on the control goroutine.
	task func(now time.Time)

	// Platform is what a VM needs of the platform.
	Platform interface {
		sassafrastray.Store
		sassafrastray.VMList
	}

	// VM is one entry VM.
	VM struct {
		set      *settings.Settings
		self     sassafrastray.VM
		inc      sassafrastray.Incarnation
		began    time.Time
		clock    sassafrastray.Clock
		log      *slog.Logger
		platform Platform
		registry *prometheus.Registry
		metrics  *metrics

		pool    *upstream.Pool
		probes  *upstream.Pool
		client  *peer.Client
		faults  *peer.Faults
		handler *entry.Handler
		gate    *entry.SlotQueue
		hangups *disconnect.Watcher
		picks   atomic.Pointer[choice.Snapshot]
		pacer   *bandwidth.Pacer
		quotas  *book
		samples *ledger
		work    *ants.Pool
		tasks   chan task
		ctx     context.Context
		stop    context.CancelFunc
		loops   sync.WaitGroup

		// The control goroutine owns what follows.
		rng      *rand.Rand
		state    sassafrastray.VMState
		members  *member.Table
		place    *place.Machine
		mover    *move.Mover
		conf     configuration
		sequence uint64
		beats    map[sassafrastray.VMName]*peer.Heartbeat
		due      map[string]time.Time
		pulling  bool
		// shortUntil is until when quotas go round more often, because
		// requests waited for tokens a moment ago.
		shortUntil time.Time
		// summaries are those of all failure domains, for VMs that ask.
		summaries map[sassafrastray.DomainName]peer.Summary
		// news is how many extra rounds of heartbeats are to come, and bads
		// how many marks on bad versions the last heartbeat carried.
		news, bads int
		// answers are the look-ups' answers for the configuration answersOf
		// and the VMs named.
		answers   *lookup.Snapshot
		answersOf *sassafrastray.Config
		named     []lookup.Member
		// leaders are the VMs that may lead moves, as last told to the mover.
		leaders []sassafrastray.VMName
		probing map[sassafrastray.BackendName]bool
	}
)

// New returns a VM that does nothing before Run.
func New(set *settings.Settings, platform Platform, clock sassafrastray.Clock, log *slog.Logger) (*VM, error) {
	now := clock.Now()
	inc := sassafrastray.Incarnation(now.UnixNano())
	self := sassafrastray.VM{Name: set.Name, Domain: set.Domain, Callers: set.Callers, Inner: set.Inner, State: sassafrastray.Live}
	work, err := ants.NewPool(workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "vm: worker pool")
	}
	v := &VM{
		set: set, self: self, inc: inc, began: now, clock: clock, log: log, platform: platform,
		registry: prometheus.NewRegistry(),
		work:     work, tasks: make(chan task, taskQueue),
		state:     sassafrastray.Live,
		rng:       seeded(inc, 0),
		beats:     make(map[sassafrastray.VMName]*peer.Heartbeat),
		due:       make(map[string]time.Time),
		summaries: make(map[sassafrastray.DomainName]peer.Summary),
		probing:   make(map[sassafrastray.BackendName]bool),
	}
	v.ctx, v.stop = context.WithCancel(context.Background())
	v.metrics = newMetrics(v.registry)
	v.members = member.New(self, member.Defaults(), seeded(inc, 6))
	v.place = place.New(self.Name, inc, self.Domain, seeded(inc, 1), place.DefaultOptions())
	v.mover = move.New(self.Name, inc, seeded(inc, 2), move.Options{})
	v.quotas = &book{clock: clock, short: make(chan struct{}, 1), waiting: make(map[string][]chan struct{}), book: quota.New(self.Name, inc, seeded(inc, 3), quota.DefaultOptions())}
	v.samples = &ledger{clock: clock, ledger: evidence.New(self.Name, inc, evidence.Options{})}
	v.gate = entry.NewSlotQueue(clock, scheduler.New(self.Name, seeded(inc, 4), scheduler.DefaultOptions()))
	v.build()
	return v, nil
}

// build makes the parts that carry traffic.
func (v *VM) build() {
	opt := upstream.Options{DialTimeout: callTimeout, IdleTimeout: 30 * time.Second, MaxIdlePerAddress: 256}
	v.pool = upstream.New(v.clock, opt)
	v.probes = upstream.New(v.clock, opt)
	if v.set.Faults.Allowed {
		v.faults = peer.NewFaults()
	}
	v.hangups = disconnect.New()
	v.pacer = bandwidth.New(v.quotas, v.clock, pause)
	v.client = peer.New(v.self, peer.NewToken([]byte(v.set.Secret)), v.pool, v.clock, v.faults)
	v.handler = entry.New(entry.Deps{
		Self: v.self, Clock: v.clock, Log: v.log, Pool: v.pool, Peers: v.client, Faults: v.faults,
		Slots: v.gate, Quotas: v.quotas, Samples: v.samples, Hangups: v.hangups, Pacer: v.pacer,
		Metrics: entry.NewMetrics(v.registry), Retries: entry.NewRetries(retry.New(seeded(v.inc, 5), retry.Defaults())),
		LogDecisions: v.set.Log.Decisions, Unreachable: v.unreachable,
	}, v.inc)
}

// seeded returns a random source that differs between incarnations and parts.
func seeded(inc sassafrastray.Incarnation, part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(inc), part))
}

// post hands a task to the control goroutine. It reports false if the VM is
// stopping.
func (v *VM) post(t task) bool {
	select {
	case v.tasks <- t:
		return true
	case <-v.ctx.Done():
		return false
	}
}

// spawn runs f in the worker pool. A full pool means that much is stuck
// already; then f does not run, and the next round tries again.
func (v *VM) spawn(f func()) bool {
	if err := v.work.Submit(f); err != nil {
		v.metrics.overflow.Inc()
		return false
	}
	return true
}

// control runs tasks and ticks until the VM stops.
func (v *VM) control() {
	defer v.loops.Done()
	t, q := time.NewTicker(tickEvery), time.NewTicker(queueEvery)
	defer t.Stop()
	defer q.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case f := <-v.tasks:
			f(v.clock.Now())
		case <-v.quotas.short:
			// Requests wait for quota: the next tick may be too late for
			// them. The pause bounds the cost when many wait.
			now := v.clock.Now()
			v.shortUntil = now.Add(shortFor)
			if v.every("lend", lendEvery, now) {
				v.lend(now)
			}
		case <-q.C:
			// Without requests nothing can wait or be late.
			if v.handler.Active() == 0 {
				continue
			}
			v.tickQueues()
			if now := v.clock.Now(); now.Before(v.shortUntil) && v.every("quota", quotaEvery, now) {
				v.lend(now)
			}
		case <-t.C:
			v.tick(v.clock.Now())
		}
	}
}

// every reports whether the period has passed since it last did so for name.
// The first time comes after a random part of the period, so that VMs which
// started together spread out.
func (v *VM) every(name string, period time.Duration, now time.Time) bool {
	due, ok := v.due[name]
	if !ok {
		v.due[name] = now.Add(time.Duration(v.rng.Int64N(int64(period))))
		return false
	}
	if now.Before(due) {
		return false
	}
	v.due[name] = now.Add(period)
	return true
}

// ready reports whether callers may be sent to this VM: it has a configuration,
// and quota to admit requests with.
func (v *VM) ready(now time.Time) bool {
	if v.conf.current == nil {
		return false
	}
	active := false
	v.quotas.do(func(b *quota.Limiter, _ time.Time) { active = b.Active() })
	return active || now.Sub(v.began) > readyAfter
}

// tickQueues moves the keeper's time on.
func (v *VM) tickQueues() {
	v.gate.Do(func(k *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) { return k.Tick(now) })
}

// tick does what time brings.
func (v *VM) tick(now time.Time) {
	v.tickQueues()
	if v.readsList(now) {
		v.readList()
	}
	v.round(now)
	if v.every("probe", probeEvery, now) {
		v.probe(now)
	}
	if v.every("sweep", sweepEvery, now) {
		v.pool.Sweep()
		v.probes.Sweep()
	}
	v.stepPlace(place.Tick{}, now)
	v.lend(now)
	v.judge(now)
	v.stepMoves(move.Tick{}, now)
	if !v.members.Sparse() || v.every("publish", publishSparse, now) {
		v.publish(now)
	}
}

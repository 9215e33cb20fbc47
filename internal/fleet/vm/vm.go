// Package vm runs one entry VM. A single control goroutine owns the VM's view
// of the fleet, its configuration, its place and the moves. Requests read an
// immutable snapshot that the control goroutine replaces. Calls that block on
// the network run in a bounded worker pool and post their results to the
// control goroutine as tasks.
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
	"sassafrastray/internal/fleet/connection"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/limit/bandwidth"
	"sassafrastray/internal/limit/place"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/operator/crash"
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
	tickInterval      = 100 * time.Millisecond
	queueInterval     = 10 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	listInterval      = 2 * time.Second
	probeInterval     = time.Second
	sweepInterval     = 10 * time.Second

	// evidenceInterval is the time between two digests of evidence. A digest
	// holds several windows of 2 s, so one may be lost.
	evidenceInterval = time.Second

	// shortageInterval is the time between two ticks of the quotas while
	// requests wait for tokens.
	shortageInterval = 25 * time.Millisecond

	// shortageWindow is how long the quotas tick at shortageInterval after a
	// request had to wait.
	shortageWindow = 5 * time.Second

	// minShortageInterval is the least time between two ticks of the quotas
	// that waiting requests trigger.
	minShortageInterval = 10 * time.Millisecond

	// callTimeout bounds a call to another VM, storeTimeout one to the store.
	callTimeout  = time.Second
	storeTimeout = 3 * time.Second

	// readyAfter is the time since its start after which a VM without a place
	// serves callers anyway, with the quota that other VMs lend it.
	readyAfter = 20 * time.Second

	// maxWorkers bounds the concurrent calls to other VMs, the store and
	// backend servers.
	maxWorkers = 256

	// taskQueueSize bounds the tasks that wait for the control goroutine.
	taskQueueSize = 1024
)

type (
	// task is a step that runs on the control goroutine.
	task func(now time.Time)

	// Platform is the part of the platform that a VM uses.
	Platform interface {
		sassafrastray.Store
		sassafrastray.VMList
	}

	// VM is one entry VM: its listeners, its data path and its control
	// goroutine.
	VM struct {
		settings  *settings.Settings
		self      sassafrastray.VM
		inc       sassafrastray.Incarnation
		startedAt time.Time
		clock     sassafrastray.Clock
		log       *slog.Logger
		platform  Platform
		registry  *prometheus.Registry
		metrics   *metrics

		pool        *upstream.Pool
		connections *connection.Budget
		probes      *upstream.Pool
		client      *peer.Client
		faults      *peer.Faults
		handler     *entry.Handler
		slots       *entry.SlotQueue
		disconnects *disconnect.Watcher
		lastChoice  atomic.Pointer[choice.Snapshot]
		pacer       *bandwidth.Pacer
		quotas      *sharedLimiter
		samples     *sharedLedger
		workers     *ants.Pool
		tasks       chan task
		ctx         context.Context
		stop        context.CancelFunc
		loops       sync.WaitGroup

		// The control goroutine owns what follows.
		rng        *rand.Rand
		state      sassafrastray.VMState
		members    *member.Table
		place      *place.StateMachine
		mover      *move.Mover
		conf       configuration
		sequence   uint64
		heartbeats map[sassafrastray.VMName]*peer.Heartbeat
		nextDue    map[string]time.Time
		pulling    bool
		// shortageUntil is the end of the time in which the quotas tick more
		// often, because a request had to wait for tokens.
		shortageUntil time.Time
		// summaries holds the latest summary of each failure domain, to relay
		// it to other VMs.
		summaries map[sassafrastray.DomainName]peer.Summary
		// extraRoundsLeft is the number of extra heartbeat rounds still to
		// send, badReports the number of reports on bad versions in the last
		// heartbeat.
		extraRoundsLeft, badReports int
		// lookupSnapshot holds the answers to look-ups for lookupConfig and
		// lookupMembers.
		lookupSnapshot *lookup.Snapshot
		lookupConfig   *sassafrastray.Config
		lookupMembers  []lookup.Member
		// leaderCandidates are the VMs that may lead moves, as last passed to
		// the mover.
		leaderCandidates []sassafrastray.VMName
		probing          map[sassafrastray.BackendName]bool
	}
)

// New returns a VM that is idle until Run is called. It returns an error if the
// worker pool can't be created.
func New(set *settings.Settings, platform Platform, clock sassafrastray.Clock, log *slog.Logger) (*VM, error) {
	now := clock.Now()
	inc := sassafrastray.Incarnation(now.UnixNano())
	self := sassafrastray.VM{Name: set.Name, Domain: set.Domain, CallerAddress: set.Callers, PeerAddress: set.Inner, State: sassafrastray.VMLive}
	workers, err := ants.NewPool(maxWorkers, ants.WithNonblocking(true), ants.WithPanicHandler(func(r any) { crash.Report(log, "call", r) }))
	if err != nil {
		return nil, errors.Wrap(err, "vm: worker pool")
	}
	v := &VM{
		settings: set, self: self, inc: inc, startedAt: now, clock: clock, log: log, platform: platform,
		registry: prometheus.NewRegistry(),
		workers:  workers, tasks: make(chan task, taskQueueSize),
		state:      sassafrastray.VMLive,
		rng:        seeded(inc, 0),
		heartbeats: make(map[sassafrastray.VMName]*peer.Heartbeat),
		nextDue:    make(map[string]time.Time),
		summaries:  make(map[sassafrastray.DomainName]peer.Summary),
		probing:    make(map[sassafrastray.BackendName]bool),
	}
	v.ctx, v.stop = context.WithCancel(context.Background())
	v.metrics = newMetrics(v.registry)
	v.members = member.New(self, member.DefaultOptions(), seeded(inc, 6))
	v.place = place.New(self.Name, inc, self.Domain, seeded(inc, 1), place.DefaultOptions())
	v.mover = move.New(self.Name, inc, seeded(inc, 2), move.Options{})
	v.quotas = &sharedLimiter{clock: clock, shortage: make(chan struct{}, 1), waiting: make(map[string][]chan struct{}), limiter: quota.New(self.Name, inc, seeded(inc, 3), quota.DefaultOptions())}
	v.samples = &sharedLedger{clock: clock, ledger: evidence.New(self.Name, inc, evidence.Options{})}
	v.slots = entry.NewSlotQueue(clock, scheduler.New(self.Name, seeded(inc, 4), scheduler.DefaultOptions()))
	v.buildDataPath()
	return v, nil
}

// buildDataPath creates the components that handle requests.
func (v *VM) buildDataPath() {
	v.connections = connection.New(0, v.clock, v.log, v.registry)
	v.connections.Group(connection.Callers).Limit(v.settings.Limits.Connections)
	opt := upstream.Options{DialTimeout: callTimeout, IdleTimeout: 30 * time.Second, MaxIdlePerAddress: 256, Descriptors: v.connections}
	v.pool = upstream.New(v.clock, opt)
	v.probes = upstream.New(v.clock, opt)
	if v.settings.Faults.Allowed {
		v.faults = peer.NewFaults()
	}
	v.disconnects = disconnect.New()
	v.pacer = bandwidth.New(v.quotas, v.clock, sleep)
	v.client = peer.New(v.self, peer.NewToken([]byte(v.settings.Secret)), v.pool, v.clock, v.faults)
	v.handler = entry.New(entry.Deps{
		Self: v.self, Clock: v.clock, Log: v.log, Pool: v.pool, Peers: v.client, Faults: v.faults,
		Slots: v.slots, Quotas: v.quotas, Samples: v.samples, Disconnects: v.disconnects, Pacer: v.pacer,
		Metrics: entry.NewMetrics(v.registry), Retries: entry.NewRetries(retry.New(seeded(v.inc, 5), retry.Defaults())),
		LogDecisions: v.settings.Log.Decisions, Unreachable: v.unreachable,
	}, v.inc)
}

// seeded returns a random source that differs between incarnations and between
// components, which are told apart by part.
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

// spawn runs f in the worker pool. If the pool is full, many calls are stuck
// already: f does not run, spawn returns false, and the next round tries again.
func (v *VM) spawn(f func()) bool {
	if err := v.workers.Submit(f); err != nil {
		v.metrics.overflow.Inc()
		return false
	}
	return true
}

// run runs one step on the control goroutine. A step that fails unexpectedly ends
// alone.
func (v *VM) run(f task) {
	defer crash.Contain(v.log, "control")
	f(v.clock.Now())
}

// control runs tasks and ticks until the VM stops.
func (v *VM) control() {
	defer v.loops.Done()
	t, q := time.NewTicker(tickInterval), time.NewTicker(queueInterval)
	defer t.Stop()
	defer q.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case f := <-v.tasks:
			v.run(f)
		case <-v.quotas.shortage:
			// Requests wait for quota, and the next tick may be too late for
			// them. minShortageInterval bounds the cost when many wait.
			now := v.clock.Now()
			v.shortageUntil = now.Add(shortageWindow)
			if v.isDue("lend", minShortageInterval, now) {
				v.tickQuotas(now)
			}
		case <-q.C:
			// Without requests in flight, none can wait in a queue or exceed
			// its timeout.
			if v.handler.Active() == 0 {
				continue
			}
			v.tickQueues()
			if now := v.clock.Now(); now.Before(v.shortageUntil) && v.isDue("quota", shortageInterval, now) {
				v.tickQuotas(now)
			}
		case <-t.C:
			v.run(v.tick)
		}
	}
}

// isDue reports whether the period has passed since it last returned true for
// name. The first time is after a random part of the period, so that VMs that
// started together don't all act at the same times.
func (v *VM) isDue(name string, period time.Duration, now time.Time) bool {
	due, ok := v.nextDue[name]
	if !ok {
		v.nextDue[name] = now.Add(time.Duration(v.rng.Int64N(int64(period))))
		return false
	}
	if now.Before(due) {
		return false
	}
	v.nextDue[name] = now.Add(period)
	return true
}

// ready reports whether callers may be sent to this VM: it has a configuration,
// and quota to admit requests with.
func (v *VM) ready(now time.Time) bool {
	if v.conf.current == nil {
		return false
	}
	active := false
	v.quotas.do(func(l *quota.Limiter, _ time.Time) { active = l.Active() })
	return active || now.Sub(v.startedAt) > readyAfter
}

// tickQueues advances the scheduler's time.
func (v *VM) tickQueues() {
	v.slots.Do(func(s *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) { return s.Tick(now) })
}

// tick runs the periodic work that is due.
func (v *VM) tick(now time.Time) {
	v.tickQueues()
	if v.listDue(now) {
		v.readList()
	}
	v.sendRound(now)
	if v.isDue("probe", probeInterval, now) {
		v.probe(now)
	}
	if v.isDue("sweep", sweepInterval, now) {
		v.pool.Sweep()
		v.probes.Sweep()
	}
	v.stepPlace(place.Tick{}, now)
	v.tickQuotas(now)
	v.judgeMoves(now)
	v.stepMoves(move.Tick{}, now)
	if !v.members.Sparse() || v.isDue("publish", sparsePublishInterval, now) {
		v.publish(now)
	}
}

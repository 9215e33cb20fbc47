// Package edge runs one entry VM on a platform that keeps the configuration,
// the backend servers and the rollouts in its store. The VM answers callers and
// sends their requests straight to backend servers; it speaks to the other VMs
// in heartbeats only, and never waits for them to serve a request.
//
// A single control goroutine owns the copy of the store, the view of the fleet
// and the rollouts. Traffic reads immutable snapshots, and uses placement,
// quotas and retries behind short locks.
package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/directory"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/fleet/mirror"
	"sassafrastray/internal/fleet/neighbor"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/disconnect"
	"sassafrastray/internal/traffic/entry"
	"sassafrastray/internal/traffic/ingress"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/retry"
	"sassafrastray/internal/traffic/route"
	"sassafrastray/internal/traffic/split"
	"sassafrastray/internal/traffic/upstream"
)

const (
	tickEvery = 200 * time.Millisecond
	beatEvery = time.Second
	// shortEvery is the least time between two heartbeats that go out because
	// a team was refused whose demand the others don't know yet.
	shortEvery = 250 * time.Millisecond

	// quietTime is how long after a heartbeat from another VM none is sent to
	// it. It is so much less than beatEvery that two VMs whose rounds begin at
	// different times speak once in it.
	quietTime = 700 * time.Millisecond

	listEvery  = 10 * time.Second
	sweepEvery = 5 * time.Second

	// stoodStill is the time between two ticks from which the VM takes itself
	// to have been suspended.
	stoodStill = 2 * time.Second

	// dialTimeout bounds the opening of a connection. It leaves time for one
	// lost packet's repetition between regions.
	dialTimeout = 400 * time.Millisecond

	// idleTime is how long an unused connection to a backend server or a VM
	// is kept, and maxIdle how many to one address.
	idleTime = 8 * time.Second
	maxIdle  = 16

	// provedTime is how long an unused connection may carry a request that
	// must not run twice. Opening another costs two round trips between
	// regions.
	provedTime = 5 * time.Second

	// strays is how many answers to other requests are dropped before the
	// one that belongs to the request.
	strays = 2

	// beatTimeout bounds one heartbeat, copyTimeout the copy of the store.
	beatTimeout = 800 * time.Millisecond
	copyTimeout = 2 * time.Second

	// workers bounds the calls to other VMs and the store that run at once.
	workers = 128

	// taskQueue bounds the tasks that wait for the control goroutine.
	taskQueue = 512

	// vmsEach is how many VMs a failure domain is taken to have before they
	// are known.
	vmsEach = 2

	// retryPart is the part of the fleet's bound on retries that is used, as
	// the VMs don't count each other's.
	retryPart = 0.75

	// retryPause is the mean pause before a second try.
	retryPause = 5 * time.Millisecond

	// mostTries bounds the tries of a request that reach no backend server.
	mostTries = 6
)

type (
	// task is a step that runs on the control goroutine.
	task func(now time.Time)

	// Options are what the VM's settings say, and how the platform's callers
	// ask for VMs.
	Options struct {
		VM     sassafrastray.VM
		Region sassafrastray.RegionName
		// Regions has the region of each failure domain.
		Regions map[sassafrastray.DomainName]sassafrastray.RegionName
		// Ready, Lookups and Metrics are addresses to listen on.
		Ready, Lookups, Metrics netip.AddrPort
		Seeds                   []netip.AddrPort
		Bounds                  sassafrastray.Bounds
		Dialect                 sassafrastray.Dialect

		LookupPath, ReadyPath string
		// Question reads a caller's look-up, Answer writes the addresses.
		Question func(*fasthttp.Args) (host string, region sassafrastray.RegionName)
		Answer   func(addresses []netip.AddrPort, ttl time.Duration) ([]byte, error)
	}

	// VM is one entry VM.
	VM struct {
		opt   Options
		clock sassafrastray.Clock
		// times is the clock of traffic, which needs no suspended time.
		times sassafrastray.Clock
		log   *slog.Logger
		feed  sassafrastray.Feed

		registry *prometheus.Registry
		metrics  *metrics
		pool     *upstream.Pool
		inner    *upstream.Pool
		client   *neighbor.Client
		handler  *ingress.Handler
		hangups  *disconnect.Watcher
		places   *places
		quotas   *quotas
		rollouts *rollouts
		retries  *retries
		splits   *split.Splitter
		work     *ants.Pool
		tasks    chan task
		ctx      context.Context
		stop     context.CancelFunc
		loops    sync.WaitGroup
		// waits has the function that ends the watch of each topic.
		waits sync.Map
		// named is what the directory names.
		named atomic.Pointer[naming]
		ready atomic.Bool
		// leading tells that this VM leads, for the watches.
		leading atomic.Bool
		// watching tells that this VM watches the store itself, and resume has
		// the signal to each watch to begin anew.
		watching atomic.Bool
		resume   map[sassafrastray.Topic]chan struct{}

		// The control goroutine owns what follows.
		self     sassafrastray.VM
		inc      sassafrastray.Incarnation
		sequence uint64
		mirror   *mirror.Mirror
		// snapshot is the configuration that traffic has yet to get.
		snapshot *ingress.Snapshot
		members  *member.Table
		known    *known
		beats    map[sassafrastray.VMName]*neighbor.Beat
		regions  *regions
		// silent are the VMs that were heard of and then were not.
		silent  map[sassafrastray.VMName]bool
		servers roster
		// idle tells that callers are not sent to this VM.
		idle    bool
		due     map[string]time.Time
		ticked  time.Time
		copying bool
		// behind is since when another VM has known more of the store.
		behind   time.Time
		writing  map[sassafrastray.ServiceName]time.Time
		distance map[sassafrastray.RegionName]time.Duration
	}

	// naming is what look-ups read.
	naming struct {
		vms   []directory.VM
		hosts *route.Hosts
	}
)

// New returns a VM that does nothing before Run. Clock goes on while the
// machine is suspended.
func New(opt Options, feed sassafrastray.Feed, clock, times sassafrastray.Clock, log *slog.Logger) (*VM, error) {
	work, err := ants.NewPool(workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "worker pool")
	}
	now := clock.Now()
	v := &VM{
		opt: opt, clock: clock, times: times, log: log, feed: feed, work: work,
		registry: prometheus.NewRegistry(), tasks: make(chan task, taskQueue),
		self: opt.VM, inc: sassafrastray.Incarnation(now.UnixNano()), mirror: mirror.New(),
		beats: make(map[sassafrastray.VMName]*neighbor.Beat), due: make(map[string]time.Time), ticked: now,
		writing:  make(map[sassafrastray.ServiceName]time.Time),
		distance: make(map[sassafrastray.RegionName]time.Duration), silent: make(map[sassafrastray.VMName]bool),
		regions: newRegions(),
	}
	v.watching.Store(true)
	v.resume = make(map[sassafrastray.Topic]chan struct{}, len(mirror.Followed))
	for _, t := range mirror.Followed {
		v.resume[t] = make(chan struct{}, 1)
	}
	v.ctx, v.stop = context.WithCancel(context.Background())
	v.metrics = newMetrics(v.registry)
	v.known = newKnown()
	v.members = member.New(opt.VM, memberOptions(opt.Regions), v.random())
	v.build()
	return v, nil
}

// memberOptions are the bounds of membership: a VM that is silent for two
// heartbeats and a little is not named.
func memberOptions(regions map[sassafrastray.DomainName]sassafrastray.RegionName) member.Options {
	o := member.Defaults()
	o.Suspect, o.Dead = 2300*time.Millisecond, 5*time.Second
	o.Regions, o.Partners, o.Avoid, o.Quiet = regions, partners, avoidTime, quietTime
	return o
}

func (v *VM) random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// build makes the parts that carry traffic.
func (v *VM) build() {
	v.pool = upstream.New(v.times, upstream.Options{
		DialTimeout: dialTimeout, IdleTimeout: idleTime, MaxIdlePerAddress: maxIdle, IDHeader: v.opt.Dialect.ID, FreshFor: provedTime, MaxStrays: strays, AllowUnframed: true,
	})
	v.inner = upstream.New(v.times, upstream.Options{DialTimeout: dialTimeout, IdleTimeout: idleTime, MaxIdlePerAddress: maxIdle})
	v.client = neighbor.New(v.inner, v.times)
	v.hangups = disconnect.New()
	v.splits = split.New()
	v.places = &places{clock: v.clock, table: placement.New(placement.Options{
		Self: v.self.Name, Region: v.opt.Region, Regions: v.opt.Regions, Bounds: v.opt.Bounds,
	}, v.random())}
	v.quotas = &quotas{clock: v.clock, book: ratelimit.New(ratelimit.Options{
		FleetSize: vmsEach * len(v.opt.Regions), Window: v.opt.Bounds.QuotaWindow, Overshoot: v.opt.Bounds.QuotaOver, OvershootRequests: v.opt.Bounds.QuotaReserve,
	})}
	v.rollouts = &rollouts{clock: v.clock, desk: rollout.New(v.opt.Bounds.Exposure)}
	v.retries = &retries{clock: v.times, policy: retry.New(v.random(), v.retryOptions())}
	v.handler = ingress.New(ingress.Deps{
		Clock: v.times, Log: v.log, Dialect: v.opt.Dialect, Region: v.opt.Region, Pool: v.pool,
		Placement: v.places, Quotas: v.quotas, Rollouts: v.rollouts, Splits: v.splits, Hangups: v.hangups,
		Retries: v.retries,
		Metrics: entry.NewMetrics(v.registry),
	})
}

// retryOptions are the VM's part of the fleet's bound on retries.
func (v *VM) retryOptions() retry.Options {
	return retry.Options{
		Ratio: retryPart * v.opt.Bounds.RetryRatio, Reserve: v.retryReserve(0), MaxAttempts: mostTries, Pause: retryPause,
	}
}

// retryReserve divides the fleet's reserve of retries among the VMs. All VMs of
// a large fleet together may have a few more than that in their first second.
func (v *VM) retryReserve(others int) float64 {
	fleet := max(1, vmsEach*len(v.opt.Regions), others+1)
	return max(1, retryPart*float64(v.opt.Bounds.RetryReserve)/float64(fleet))
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

// every reports whether the period has passed since it last did so for name.
func (v *VM) every(name string, period time.Duration, now time.Time) bool {
	if now.Before(v.due[name]) {
		return false
	}
	v.due[name] = now.Add(period)
	return true
}

// control runs tasks and ticks until the VM stops.
func (v *VM) control() {
	defer v.loops.Done()
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case f := <-v.tasks:
			f(v.clock.Now())
		case <-t.C:
			v.tick(v.clock.Now())
		}
	}
}

// tick does what time brings.
func (v *VM) tick(now time.Time) {
	if pause := now.Sub(v.ticked); pause > stoodStill {
		v.log.Warn(message.StoodStill, "pause", pause)
		v.quotas.suspended()
	}
	v.ticked = now
	v.changed(v.mirror.Tick(now), now)
	v.noteServers(v.places.tick())
	v.leadRollouts(now)
	if v.every("beat", beatEvery, now) {
		v.beatAll(now)
	} else if v.quotas.short() && v.every("short", shortEvery, now) {
		v.beatTo(v.members.Urgent(), now)
	}
	if v.watching.Load() && v.every("list", listEvery, now) {
		v.readVMs()
	}
	if v.every("sweep", sweepEvery, now) {
		v.pool.Sweep()
		v.inner.Sweep()
	}
	v.watchStore(now)
	v.noteSilence(now)
	v.name(now)
}

// noteServers writes what placement found out about backend servers.
func (v *VM) noteServers(events []placement.Event) {
	for _, e := range events {
		if e.LeftOut > 0 {
			v.log.Warn(message.ServerLeftOut, "backend", e.Server, "service", e.Service, "end", e.End, "for", e.LeftOut)
		} else {
			v.log.Info(message.ServerUsed, "backend", e.Server, "service", e.Service)
		}
	}
}

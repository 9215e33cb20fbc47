// Package edge runs one entry VM on a platform that keeps the configuration, the
// backend servers and the rollouts in its store. The VM answers callers and forwards
// their requests directly to backend servers. It talks to the other VMs in
// heartbeats and store updates only, and never waits for them to serve a request.
//
// A single control goroutine owns the replica of the store, the view of the fleet
// and the rollouts. Request handlers read immutable snapshots, and use placement,
// quotas and retries under locks that are held briefly.
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
	"sassafrastray/internal/fleet/connection"
	"sassafrastray/internal/fleet/directory"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/fleet/replica"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/operator/crash"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/disconnect"
	"sassafrastray/internal/traffic/entry"
	"sassafrastray/internal/traffic/ingress"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/quarantine"
	"sassafrastray/internal/traffic/retry"
	"sassafrastray/internal/traffic/route"
	"sassafrastray/internal/traffic/split"
	"sassafrastray/internal/traffic/upstream"
)

const (
	tickInterval      = 200 * time.Millisecond
	heartbeatInterval = time.Second
	// urgentInterval is the minimum interval between two heartbeats that are sent
	// early because a team was refused whose demand the other VMs don't know yet.
	urgentInterval = 250 * time.Millisecond

	// heartbeatQuiet is how long after receiving a heartbeat from another VM none is
	// sent to it. It is so much shorter than heartbeatInterval that two VMs whose
	// rounds begin at different times exchange one heartbeat per round.
	heartbeatQuiet = 700 * time.Millisecond

	vmListInterval = 10 * time.Second
	vmListRetry    = time.Second
	sweepInterval  = 5 * time.Second

	// dialTimeout leaves time to retransmit one lost packet between regions.
	dialTimeout = 400 * time.Millisecond

	// maxInnerDials bounds the connections to other VMs that are opened at the same time. A
	// round of heartbeats to a hundred VMs that opens all of them at once on a small VM
	// opens none within dialTimeout, and so does the next round.
	maxInnerDials = 8

	// idleConnTimeout is how long an unused connection to a backend server or a VM
	// is kept if that does not state how long it keeps it, and maxIdleConns the maximum
	// number of them per address.
	idleConnTimeout = 8 * time.Second
	maxIdleConns    = 16

	// freshConnAge is how long such a connection may carry a request that must
	// not run twice. Opening another connection costs two round trips between
	// regions.
	freshConnAge = 5 * time.Second

	// maxStrays is the maximum number of answers to other requests that are dropped
	// before the answer that belongs to the request.
	maxStrays = 2

	// heartbeatTimeout bounds one heartbeat, copyTimeout one copy of the store.
	heartbeatTimeout = 800 * time.Millisecond
	copyTimeout      = 2 * time.Second

	// maxWorkers bounds the concurrent calls to other VMs and the store.
	maxWorkers = 128

	// taskQueueSize bounds the tasks that wait for the control goroutine.
	taskQueueSize = 512

	// assumedVMsPerDomain is the number of VMs that each failure domain is assumed
	// to have before they are known.
	assumedVMsPerDomain = 2

	// retryFraction is the fraction of the fleet's retry limit that is used. It
	// leaves a margin, since the VMs don't count each other's retries.
	retryFraction = 0.75

	// retryPause is the mean pause before a second attempt.
	retryPause = 5 * time.Millisecond

	// maxAttempts bounds the attempts of a request that reach no backend server.
	maxAttempts = 6
)

type (
	// task is a step that runs on the control goroutine.
	task func(now time.Time)

	// Options holds the VM's settings and the format of the platform's look-ups.
	Options struct {
		VM     sassafrastray.VM
		Region sassafrastray.RegionName
		// Regions maps each failure domain to its region.
		Regions map[sassafrastray.DomainName]sassafrastray.RegionName
		// Ready, Lookups and Metrics are the addresses of these listeners.
		Ready, Lookups, Metrics netip.AddrPort
		Seeds                   []netip.AddrPort
		// Memory is the VM's memory in bytes, and LinkBytesPerSecond the capacity
		// of its network link. Zero means unknown.
		Memory int64
		// Descriptors is how many descriptors the process may have. Zero stands for
		// the limit of the process.
		Descriptors        int
		LinkBytesPerSecond float64
		Bounds             sassafrastray.Bounds
		Dialect            sassafrastray.Dialect
		// ReportInterval is how often backend servers report to the store. Zero means
		// unknown.
		ReportInterval time.Duration
		// Usage turns the reports of the teams' usage on, together with the window of
		// Bounds.
		Usage *UsageOptions

		LookupPath, ReadyPath string
		// ParseLookup reads a caller's look-up, EncodeAddresses encodes the answer
		// to it.
		ParseLookup     func(*fasthttp.Args) (host string, region sassafrastray.RegionName)
		EncodeAddresses func(addresses []netip.AddrPort, ttl time.Duration) ([]byte, error)
	}

	// VM is one entry VM.
	VM struct {
		opt   Options
		clock sassafrastray.Clock
		// trafficClock is the clock of request handling, which need not count
		// suspended time.
		trafficClock sassafrastray.Clock
		log          *slog.Logger
		store        sassafrastray.MetadataStore

		registry    *prometheus.Registry
		metrics     *metrics
		pool        *upstream.Pool
		innerPool   *upstream.Pool
		relayPool   *upstream.Pool
		connections *connection.Budget
		partition   *lockedPartition
		client      *gossip.Client
		handler     *ingress.Handler
		disconnects *disconnect.Watcher
		placement   *lockedPlacement
		quotas      *lockedLimiter
		rollouts    *lockedRollouts
		quarantine  *lockedQuarantine
		retries     *lockedRetries
		splits      *split.Splitter
		workers     *ants.Pool
		tasks       chan task
		pauses      *pauseGuard
		ctx         context.Context
		stop        context.CancelFunc
		loops       sync.WaitGroup
		// watches maps each topic to its latest watch of the store.
		watches sync.Map
		// lookupView is the view of the fleet from which look-ups are answered.
		lookupView atomic.Pointer[lookupView]
		ready      atomic.Bool
		// confirmation tells when the configuration was last known to be the latest one.
		confirmation confirmation
		// usage is nil if usage is not reported.
		usage *usageReports
		// leading reports to the watch goroutines whether this VM is the leader.
		leading atomic.Bool
		// checking reports to them whether this VM checks the store for its region.
		checking atomic.Bool
		// watching reports whether this VM watches the store itself.
		watching atomic.Bool
		// era is the latest era of the store that an answer of it or another VM named.
		era atomic.Int64
		// wake signals the follower of a topic to call the store at once.
		wake map[sassafrastray.Topic]chan struct{}

		// The control goroutine owns the fields below.
		self        sassafrastray.VM
		incarnation sassafrastray.Incarnation
		sequence    uint64
		replica     *replica.Replica
		// pendingSnapshot is the configuration that is not in use by request
		// handlers yet.
		pendingSnapshot *ingress.Snapshot
		members         *member.Table
		silence         *silenceTracker
		heartbeats      map[sassafrastray.VMName]*gossip.Heartbeat
		regions         *regionSummaries
		// silent holds the VMs that are suspect after they were heard from.
		silent   map[sassafrastray.VMName]bool
		backends backendSet
		// idle reports whether look-ups leave this VM out.
		idle    bool
		nextDue map[string]time.Time
		// handledPauses is the number of pauses after which the state was renewed.
		handledPauses uint64
		copying       bool
		// copyFailedAt is when the copy of a VM was last requested without success.
		copyFailedAt map[sassafrastray.VMName]time.Time
		// storeFailedAt is when the latest call to the store for a topic failed.
		storeFailedAt time.Time
		// owners tells which of the known VMs own a part of quotas.
		owners map[sassafrastray.VMName]bool
		// currency tells whether another VM has a later configuration.
		currency currency
		// unconfirmed is set while the configuration was not confirmed for too long.
		unconfirmed bool
		// recall says what this VM asks other VMs about.
		recall recall
		// behindSince is when another VM was first found to have later changes of
		// the store.
		behindSince time.Time
		// digest is a hash of the digestKnown VMs that were known at digestAt.
		digest      uint64
		digestKnown int
		digestAt    time.Time
		rng         *rand.Rand
		// runs exchanges with the VMs of the region what backend servers answered.
		runs       *runSharing
		lastWrite  map[sassafrastray.ServiceName]time.Time
		roundTrips map[sassafrastray.RegionName]time.Duration
	}

	// lookupView is what look-ups read.
	lookupView struct {
		vms   []directory.VM
		hosts *route.Hosts
		// large is set if the fleet is large.
		large bool
	}
)

// New returns a VM that does nothing until Run is called. Clock must keep running
// while the machine is suspended, trafficClock need not.
func New(opt Options, store sassafrastray.MetadataStore, clock, trafficClock sassafrastray.Clock, log *slog.Logger) (*VM, error) {
	workers, err := ants.NewPool(maxWorkers, ants.WithNonblocking(true), ants.WithPanicHandler(func(r any) { crash.Report(log, "call", r) }))
	if err != nil {
		return nil, errors.Wrap(err, "worker pool")
	}
	now := clock.Now()
	v := &VM{
		opt: opt, clock: clock, trafficClock: trafficClock, log: log, store: store, workers: workers,
		registry: prometheus.NewRegistry(), tasks: make(chan task, taskQueueSize),
		self: opt.VM, incarnation: sassafrastray.Incarnation(now.UnixNano()), replica: replica.New(replica.Options{ReportInterval: opt.ReportInterval, MaxDrain: opt.Bounds.MaxDrain}),
		heartbeats: make(map[sassafrastray.VMName]*gossip.Heartbeat), nextDue: make(map[string]time.Time), pauses: newPauseGuard(clock),
		lastWrite:  make(map[sassafrastray.ServiceName]time.Time),
		roundTrips: make(map[sassafrastray.RegionName]time.Duration), silent: make(map[sassafrastray.VMName]bool),
		regions: newRegionSummaries(), recall: recall{needed: true}, copyFailedAt: make(map[sassafrastray.VMName]time.Time),
	}
	v.confirmation.clock = clock
	v.watching.Store(true)
	v.replica.SetWatching(true)
	v.wake = make(map[sassafrastray.Topic]chan struct{}, len(replica.Topics))
	for _, t := range replica.Topics {
		v.wake[t] = make(chan struct{}, 1)
	}
	v.ctx, v.stop = context.WithCancel(context.Background())
	v.metrics = newMetrics(v.registry)
	v.silence = newSilenceTracker()
	v.rng = v.newRand()
	v.members = member.New(opt.VM, memberOptions(opt.Regions), v.newRand())
	v.usage = v.newUsage(now)
	v.buildTraffic()
	return v, nil
}

// memberOptions returns the membership options. A VM that is silent for slightly
// more than two heartbeats is left out of look-ups.
func memberOptions(regions map[sassafrastray.DomainName]sassafrastray.RegionName) member.Options {
	o := member.DefaultOptions()
	o.SuspectAfter, o.DeadAfter = 2300*time.Millisecond, 5*time.Second
	o.Regions, o.PartnersPerRegion, o.AvoidFor, o.QuietPeriod = regions, partnersPerRegion, partnerAvoidTime, heartbeatQuiet
	return o
}

func (v *VM) newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// buildTraffic creates the components that handle requests.
func (v *VM) buildTraffic() {
	v.partition = v.newPartition()
	v.connections = connection.New(v.opt.Descriptors, v.trafficClock, v.log, v.registry)
	v.pool = upstream.New(v.trafficClock, upstream.Options{
		DialTimeout: dialTimeout, IdleTimeout: idleConnTimeout, MaxIdlePerAddress: maxIdleConns, IDHeader: v.opt.Dialect.ID, FreshFor: freshConnAge, MaxDiscarded: maxStrays, AllowUnframed: true,
		Dialed: v.partition.dialed, Descriptors: v.connections,
	})
	v.relayPool = upstream.New(v.trafficClock, upstream.Options{
		DialTimeout: dialTimeout, IdleTimeout: idleConnTimeout, MaxIdlePerAddress: maxIdleConns, IDHeader: v.opt.Dialect.ID, FreshFor: freshConnAge, Descriptors: v.connections,
	})
	v.innerPool = upstream.New(v.trafficClock, upstream.Options{DialTimeout: dialTimeout, IdleTimeout: idleConnTimeout, MaxIdlePerAddress: maxIdleConns, MaxDials: maxInnerDials})
	v.client = gossip.New(v.innerPool, v.trafficClock)
	v.disconnects = disconnect.New()
	v.splits = split.New()
	v.placement = &lockedPlacement{clock: v.clock, table: placement.New(placement.Options{
		Self: v.self.Name, Domain: v.self.Domain, Region: v.opt.Region, Regions: v.opt.Regions, Bounds: v.opt.Bounds,
	}, v.newRand())}
	v.runs = newRunSharing(v.placement)
	v.quotas = &lockedLimiter{clock: v.clock, limiter: ratelimit.New(ratelimit.Options{
		Self: v.self.Name, Region: v.opt.Region,
		FleetSize: assumedVMsPerDomain * len(v.opt.Regions), Window: v.opt.Bounds.QuotaWindow, Overshoot: v.opt.Bounds.QuotaOvershoot, OvershootRequests: v.opt.Bounds.QuotaOvershootRequests,
	}), ask: func(to netip.AddrPort, team sassafrastray.TeamName) (gossip.Token, error) {
		return v.client.Token(to, team, ratelimit.GrantTime)
	}}
	v.rollouts = &lockedRollouts{clock: v.clock, tracker: rollout.New(v.opt.Bounds.MaxExposure)}
	v.quarantine = &lockedQuarantine{clock: v.clock, table: quarantine.New(v.self.Name)}
	v.retries = &lockedRetries{clock: v.trafficClock, policy: retry.New(v.newRand(), v.retryOptions())}
	deps := ingress.Deps{
		Clock: v.trafficClock, Log: v.log, Dialect: v.opt.Dialect, Region: v.opt.Region, Pool: v.pool, Relays: v.relayPool, Partition: v.partition, Cores: v.self.Cores,
		Placement: v.placement, Quotas: v.quotas, Rollouts: v.rollouts, Quarantine: v.quarantine, Splits: v.splits, Disconnects: v.disconnects,
		Retries:   v.retries,
		Metrics:   entry.NewMetrics(v.registry),
		Pauses:    v.pauses,
		ConfigAge: v.confirmation.age, MaxConfigAge: v.opt.Bounds.MaxApply,
		Memory: v.opt.Memory, LinkBytesPerSecond: v.opt.LinkBytesPerSecond,
	}
	if v.usage != nil {
		deps.Usage = v.usage.counts
	}
	v.handler = ingress.New(deps)
}

// retryOptions returns the VM's part of the fleet's retry limits.
func (v *VM) retryOptions() retry.Options {
	return retry.Options{
		Ratio: retryFraction * v.opt.Bounds.RetryRatio, Reserve: v.retryReserve(0), MaxAttempts: maxAttempts, Backoff: retryPause,
	}
}

// retryReserve divides the fleet's retry reserve among the VMs. In their first
// second, until they know each other, the VMs of a large fleet together may exceed
// it by a few retries.
func (v *VM) retryReserve(others int) float64 {
	fleet := max(1, assumedVMsPerDomain*len(v.opt.Regions), others+1)
	return max(1, retryFraction*float64(v.opt.Bounds.RetryReserve)/float64(fleet))
}

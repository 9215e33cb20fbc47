package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/duty"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/limit/usage"
)

const (
	// maxSettle is how long after a window's end it is decided, and settleShare the part
	// of a shorter lateness.
	maxSettle   = 6 * time.Second
	settleShare = 0.6

	// usageInterval is the time between two messages with the VM's counts, and
	// usageAfterWindow how long after a window's end one is sent in addition.
	usageInterval    = time.Second
	usageAfterWindow = 500 * time.Millisecond

	// usageWarmUp is how long a VM that started does not rely on its estimate of the
	// fleet's time: by then it has heard of the other VMs.
	usageWarmUp = 3 * time.Second

	// contactLifetime is how long a VM is remembered to which no counts are sent any more,
	// or from which none come.
	contactLifetime = 10 * time.Second

	// directReporters is the greatest number of VMs that all send their counts to the
	// holder. In larger fleets collectorsPerRegion VMs of each region collect them.
	directReporters     = 128
	collectorsPerRegion = 2

	// contactTimeout is how long a VM that is asked may leave counts unanswered, as long
	// as a silent VM takes to become suspect.
	contactTimeout = 2300 * time.Millisecond

	// leavingGrace is how long a holder that leaves may take to release the duty.
	leavingGrace = time.Second

	// minorityWait is how long the holder has to be silent until a VM that hears of less
	// than half of the regions takes it for gone: more likely, this VM is cut off.
	minorityWait = 30 * time.Second
)

type (
	// UsageOptions turn the reports of the teams' usage on.
	UsageOptions struct {
		Store        sassafrastray.DutyStore
		Reporter     sassafrastray.UsageReporter
		MaxPerSecond float64
		// Wall returns the time of the machine's wall clock, which may step.
		Wall func() time.Time
	}

	// lockedUsage counts runs at the fleet time of the VM.
	lockedUsage struct {
		clock sassafrastray.Clock
		// offset is the difference between the fleet time and the clock.
		offset  atomic.Int64
		mu      sync.Mutex
		counter *usage.Counter
	}

	// usageReports is what a VM has for the reports of usage. The control goroutine owns
	// it, except for the counts.
	usageReports struct {
		opt         UsageOptions
		window      time.Duration
		counts      *lockedUsage
		clock       *usage.Clock
		ledger      *usage.Ledger
		machine     *duty.Machine
		incarnation sassafrastray.Incarnation
		startedAt   time.Time
		sequence    uint64
		// ended is the latest window after whose end the counts were sent.
		ended int64
		// contacts has the VMs that the counts are sent to.
		contacts map[sassafrastray.VMName]*usageContact
		// heard is when each VM's counts last came.
		heard map[sassafrastray.VMName]time.Time
		// hearing has the VMs whose heartbeats come, as of hearingAt.
		hearing   map[sassafrastray.VMName]bool
		hearingAt time.Time
		// silentSince is when each holder was first found silent, and leavingSince when
		// one was found leaving.
		silentSince, leavingSince map[sassafrastray.VMName]time.Time
		metrics                   *usageMetrics
	}

	// usageContact tells how a VM answers to counts.
	usageContact struct {
		since, asked, answered time.Time
		busy                   bool
	}
)

// now returns the fleet time.
func (u *lockedUsage) now() time.Time {
	return u.clock.Now().Add(time.Duration(u.offset.Load()))
}

// Begin records that a request of a team is sent to a server, where it will begin to run
// after delay.
func (u *lockedUsage) Begin(team sassafrastray.TeamName, delay time.Duration) usage.Run {
	at := u.now().Add(delay)
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counter.Begin(team, at)
}

// End records that a request began to run age ago, or that it did not run.
func (u *lockedUsage) End(r usage.Run, age time.Duration, ran bool) {
	at := u.now().Add(-age)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.End(r, at, ran)
}

// settle records that the windows up to the given one may be decided.
func (u *lockedUsage) settle(window int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Settle(window)
}

// newUsage returns the state for the reports of usage, or nil if they are off.
func (v *VM) newUsage(now time.Time) *usageReports {
	o, b := v.opt.Usage, v.opt.Bounds
	if o == nil || b.UsageWindow <= 0 {
		return nil
	}
	u := &usageReports{
		opt: *o, window: b.UsageWindow, clock: usage.NewClock(), ledger: usage.NewLedger(b.UsageWindow),
		machine: duty.New(duty.Options{
			Self: v.self.Name, Window: b.UsageWindow, Lateness: b.UsageLateness, Settle: settle(b.UsageLateness), Lease: b.Lease, MaxPerSecond: o.MaxPerSecond,
		}),
		incarnation: v.incarnation, startedAt: now, contacts: make(map[sassafrastray.VMName]*usageContact), heard: make(map[sassafrastray.VMName]time.Time),
		silentSince: make(map[sassafrastray.VMName]time.Time), leavingSince: make(map[sassafrastray.VMName]time.Time),
		metrics: newUsageMetrics(v.registry),
	}
	if u.opt.Wall == nil {
		u.opt.Wall = func() time.Time { return time.Now().Round(0) }
	}
	u.counts = &lockedUsage{clock: v.clock, counter: usage.NewCounter(b.UsageWindow, u.opt.Wall())}
	u.updateClock(now)
	return u
}

// settle returns how long after a window's end it is decided.
func settle(lateness time.Duration) time.Duration {
	return min(maxSettle, time.Duration(settleShare*float64(lateness)))
}

// updateClock updates the estimate of the fleet's time. Until the VM has heard of others,
// it also moves the time of its start.
func (u *usageReports) updateClock(now time.Time) {
	u.clock.SetOwn(u.opt.Wall().Sub(u.counts.clock.Now()))
	offset := u.clock.Offset(now)
	u.counts.offset.Store(int64(offset))
	u.metrics.offset.Set((u.clock.Own() - offset).Seconds())
	if now.Sub(u.startedAt) < usageWarmUp {
		u.counts.mu.Lock()
		u.counts.counter.SetStarted(u.startedAt.Add(offset))
		u.counts.mu.Unlock()
	}
}

// stamp adds to a heartbeat what the reports of usage need.
func (u *usageReports) stamp(h *gossip.Heartbeat, now time.Time) {
	if u == nil {
		return
	}
	claim := u.machine.Claim(now)
	h.Wall, h.Claim = u.opt.Wall().UnixMilli(), &claim
}

// hear takes over what a heartbeat says of usage. Trip is the shortest round trip to the
// sender's region: the clock corrects further delays, which only make the sender's time
// seem earlier.
func (u *usageReports) hear(h *gossip.Heartbeat, trip time.Duration, now time.Time) {
	if u == nil {
		return
	}
	received := h.Received
	if received.IsZero() {
		received = now
	}
	if h.Wall > 0 {
		u.clock.SetPeer(h.VM.Name, time.UnixMilli(h.Wall).Add(trip/2).Sub(received), received)
	}
	if h.Claim != nil {
		u.machine.Hear(h.VM.Name, *h.Claim, now)
	}
}

// Usage processes the counts of another VM.
func (v *VM) Usage(m *usage.Message) *duty.Claim {
	if v.usage == nil {
		return nil
	}
	return ask(v, func(now time.Time) *duty.Claim {
		v.usage.ledger.Receive(m, v.usage.counts.now())
		v.usage.heard[m.VM] = now
		v.usage.metrics.received.Inc()
		claim := v.usage.machine.Claim(now)
		return &claim
	})
}

// tickUsage sends the counts that are due and advances the duty.
func (v *VM) tickUsage(now time.Time) {
	u := v.usage
	if u == nil {
		return
	}
	u.updateClock(now)
	fleet := u.counts.now()
	// Counts take up to usageInterval to the holder.
	u.counts.settle(usage.WindowAt(fleet.Add(usageInterval-settle(v.opt.Bounds.UsageLateness)), u.window) - 1)
	ended := usage.WindowAt(fleet.Add(-usageAfterWindow), u.window) - 1
	if due := v.isDue("usage", usageInterval, now); due || ended > u.ended {
		u.ended = max(u.ended, ended)
		v.sendUsage(now)
	}
	v.advanceDuty(now)
}

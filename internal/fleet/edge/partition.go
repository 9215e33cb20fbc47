package edge

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/traffic/partition"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/relay"
)

// reachServers is how many servers a VM tries to reach to find out whether the failure of
// one is its own.
const reachServers = 2

// lockedPartition lets request handlers and the control goroutine share the detection of a
// partition and the choice of helpers.
type lockedPartition struct {
	clock sassafrastray.Clock
	// probe starts a probe, which ends with endProbe. It must not block.
	probe func()
	// sample returns the addresses of up to n servers other than the one at except, and
	// dial reports whether a connection to a server opens.
	sample func(n int, except netip.AddrPort) []netip.AddrPort
	dial   func(to netip.AddrPort) bool

	partitioned atomic.Bool
	mu          sync.Mutex
	detector    *partition.Detector
	helpers     *relay.Table
}

// Partitioned reports whether the VM is partitioned from all backend servers.
func (p *lockedPartition) Partitioned() bool { return p.partitioned.Load() }

// Helper chooses a VM that serves a request instead of this one.
func (p *lockedPartition) Helper(regions [2][]sassafrastray.RegionName, exclude []sassafrastray.VMName) (sassafrastray.VM, bool) {
	if !p.Partitioned() {
		return sassafrastray.VM{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.helpers.Pick(regions, exclude)
}

// Release records that a request at a helper has ended.
func (p *lockedPartition) Release(name sassafrastray.VMName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.helpers.Done(name)
}

// Begin records that a request waits for an answer of a server.
func (p *lockedPartition) Begin(expected time.Duration) (id uint64) {
	p.do(func(d *partition.Detector, now time.Time) { id = d.Begin(expected, now) })
	return id
}

// End records that a request does not wait any more.
func (p *lockedPartition) End(id uint64, answered bool) {
	p.do(func(d *partition.Detector, now time.Time) { d.End(id, answered, now) })
}

// HeardSince reports whether any server answered, or was reached, after a time.
func (p *lockedPartition) HeardSince(t time.Time) (heard bool) {
	p.do(func(d *partition.Detector, _ time.Time) { heard = d.HeardSince(t) })
	return heard
}

// Reaches reports whether the VM can open connections to other servers than the one at an
// address.
func (p *lockedPartition) Reaches(other netip.AddrPort) bool {
	began := p.clock.Now()
	servers := p.sample(reachServers, other)
	if len(servers) == 0 {
		return true
	}
	for _, to := range servers {
		if p.dial(to) {
			return true
		}
		opened := false
		p.do(func(d *partition.Detector, _ time.Time) { opened = d.OpenedSince(began) })
		if opened {
			return true
		}
	}
	return false
}

// dialed records whether a connection to a server opened, and starts a probe if that
// raises a suspicion.
func (p *lockedPartition) dialed(to netip.AddrPort, from time.Time, err error) {
	due := false
	p.do(func(d *partition.Detector, now time.Time) {
		d.Dialed(to, err == nil, from, now)
		due = err != nil && d.StartProbe(now)
	})
	if due {
		p.probe()
	}
}

// tick starts a probe if one is due.
func (p *lockedPartition) tick() {
	due := false
	p.do(func(d *partition.Detector, now time.Time) { due = d.StartProbe(now) })
	if due {
		p.probe()
	}
}

// endProbe records the result of a probe.
func (p *lockedPartition) endProbe(tried, reached int) (e partition.Event, changed bool) {
	p.do(func(d *partition.Detector, now time.Time) {
		e, changed = d.EndProbe(tried, reached, now)
		p.partitioned.Store(d.Partitioned())
	})
	return e, changed
}

func (p *lockedPartition) setHelpers(helpers []relay.Helper) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.helpers.Update(helpers)
}

func (p *lockedPartition) do(f func(d *partition.Detector, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.detector, p.clock.Now())
}

// newPartition returns the detection of a partition of the VM's backend servers.
func (v *VM) newPartition() *lockedPartition {
	return &lockedPartition{
		clock: v.trafficClock, detector: partition.New(), helpers: relay.NewTable(), probe: v.startProbe,
		sample: func(n int, except netip.AddrPort) (addresses []netip.AddrPort) {
			v.placement.do(func(t *placement.Table, _ time.Time) { addresses = t.Sample(n, except) })
			return addresses
		},
		dial: func(to netip.AddrPort) bool { return !v.pool.Refuses(to, v.trafficClock.Now().Add(dialTimeout)) },
	}
}

// startProbe tries to reach servers of several failure domains, and applies the result.
func (v *VM) startProbe() {
	if !v.spawn(v.probeServers) {
		v.partition.endProbe(0, 0)
	}
}

func (v *VM) probeServers() {
	servers := v.partition.sample(partition.ProbeServers, netip.AddrPort{})
	var reached atomic.Int64
	var wg sync.WaitGroup
	for _, to := range servers {
		wg.Go(func() {
			if v.partition.dial(to) {
				reached.Add(1)
			}
		})
	}
	wg.Wait()
	e, changed := v.partition.endProbe(len(servers), int(reached.Load()))
	if changed {
		v.post(func(now time.Time) { v.applyPartition(e, now) })
	}
}

// applyPartition tells the other VMs that a partition began or ended. What failures during
// a partition said about the servers is forgotten at its end.
func (v *VM) applyPartition(e partition.Event, now time.Time) {
	if e.Partitioned {
		v.log.Warn(message.PartitionBegun, "tried", e.Tried, "reached", e.Reached)
		v.metrics.partitioned.Set(1)
	} else {
		v.log.Info(message.PartitionEnded, "tried", e.Tried, "reached", e.Reached, "lasted", e.Lasted)
		v.metrics.partitioned.Set(0)
		v.placement.do(func(t *placement.Table, now time.Time) { t.ForgetFailures(now) })
	}
	v.updateLookups(now)
	v.sendHeartbeatsTo(v.members.UrgentTargets(), now)
}

// updateHelpers updates the VMs that can serve this VM's requests while it is partitioned.
// Each VM has them in an order of its own, so that the requests of several are spread.
func (v *VM) updateHelpers(now time.Time) {
	if !v.partition.Partitioned() {
		return
	}
	type ranked struct {
		relay.Helper
		rank uint64
	}
	var list []ranked
	for _, m := range v.members.View(now) {
		h := v.heartbeats[m.VM.Name]
		if h == nil || !h.Ready || h.Partitioned || m.Suspect || m.VM.State != sassafrastray.VMLive {
			continue
		}
		r := ranked{relay.Helper{VM: m.VM, Region: v.opt.Regions[m.VM.Domain]}, xxhash.Sum64String(string(v.self.Name + " " + m.VM.Name))}
		if r.Region != v.opt.Region {
			r.Distance = max(1, v.roundTrips[r.Region])
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	helpers := make([]relay.Helper, len(list))
	for i := range list {
		helpers[i] = list[i].Helper
	}
	v.partition.setHelpers(helpers)
}

package edge

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/rollout/rollout"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// newFleet returns VMs in six failure domains of three regions, each VMs per domain.
func newFleet(each int) (vms []sassafrastray.VM, regions map[sassafrastray.DomainName]sassafrastray.RegionName) {
	regions = make(map[sassafrastray.DomainName]sassafrastray.RegionName)
	for r := range 3 {
		for d := range 2 {
			domain := sassafrastray.DomainName(fmt.Sprintf("r%d-%d", r, d))
			regions[domain] = sassafrastray.RegionName(fmt.Sprint("r", r))
			for i := range each {
				vms = append(vms, sassafrastray.VM{
					Name: sassafrastray.VMName(fmt.Sprintf("vm-%s-%02d", domain, i)), Domain: domain, State: sassafrastray.VMLive,
					PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(r), byte(d), byte(i + 1)}), 80),
				})
			}
		}
	}
	return vms, regions
}

// newFleetVM returns a VM that knows no other and runs no goroutines.
func newFleetVM(t testing.TB, vm sassafrastray.VM, clock sassafrastray.Clock) *VM {
	t.Helper()
	_, regions := newFleet(1)
	v, err := New(Options{
		VM: vm, Region: regions[vm.Domain], Regions: regions,
		Bounds: sassafrastray.Bounds{QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1, QuotaOvershootRequests: 20, MaxExposure: 0.1},
	}, nil, clock, clock, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// newFleetVMs returns VMs that know each other but run no goroutines, and their
// clock.
func newFleetVMs(t *testing.T, each int) (map[sassafrastray.VMName]*VM, *manualClock) {
	t.Helper()
	list, _ := newFleet(each)
	clock := &manualClock{time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	out := make(map[sassafrastray.VMName]*VM)
	for _, vm := range list {
		v := newFleetVM(t, vm, clock)
		v.learnVMs(list, clock.now)
		out[vm.Name] = v
	}
	return out, clock
}

// exchangeHeartbeats lets each VM exchange heartbeats with the VMs that it would
// send to, except where cut returns true, and returns their number.
func exchangeHeartbeats(vms map[sassafrastray.VMName]*VM, cut func(a, b *VM) bool, now time.Time) (messages int) {
	return observeHeartbeats(vms, cut, now, func(*gossip.Heartbeat) {})
}

// observeHeartbeats is exchangeHeartbeats and calls see with each message.
func observeHeartbeats(vms map[sassafrastray.VMName]*VM, cut func(a, b *VM) bool, now time.Time, see func(*gossip.Heartbeat)) (messages int) {
	for _, v := range vms {
		messages += sendRound(v, vms, cut, now, see)
	}
	return messages
}

// sendRound lets one VM exchange heartbeats with the VMs that it would send to.
func sendRound(v *VM, vms map[sassafrastray.VMName]*VM, cut func(a, b *VM) bool, now time.Time, see func(*gossip.Heartbeat)) (messages int) {
	return sendTo(v, v.members.Tick(now), vms, cut, now, see)
}

// sendTo lets one VM exchange heartbeats with others.
func sendTo(v *VM, to []sassafrastray.VM, vms map[sassafrastray.VMName]*VM, cut func(a, b *VM) bool, now time.Time, see func(*gossip.Heartbeat)) (messages int) {
	for _, to := range to {
		o := vms[to.Name]
		if o == nil || cut(v, o) {
			v.members.MarkUnanswered(to.Name, now)
			continue
		}
		messages++
		request := v.addressed(v.newHeartbeat(now), to, v.heartbeats[to.Name], now)
		see(&request)
		o.receive(&request, now)
		answer := o.addressed(o.newHeartbeat(now), v.self, &request, now)
		see(&answer)
		answer.Asked = now
		v.receive(&answer, now)
	}
	return messages
}

func notCut(*VM, *VM) bool { return false }

// admitRequests requests admission at each VM ten times within a second.
func admitRequests(vms map[sassafrastray.VMName]*VM, clock *manualClock) {
	for range 10 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		for _, v := range vms {
			v.quotas.Take("t")
		}
	}
}

// TestMessagesOfALargeFleet checks that every VM of a small fleet sends heartbeats
// to all others, and that in a large one the heartbeats between regions grow only
// linearly with the number of VMs.
func TestMessagesOfALargeFleet(t *testing.T) {
	for _, c := range []struct{ each, remote int }{{2, 8}, {10, 2 * partnersPerRegion}, {20, 2 * partnersPerRegion}} {
		vms, clock := newFleetVMs(t, c.each)
		for name, v := range vms {
			own, remote := 0, 0
			for _, to := range v.members.Tick(clock.now) {
				if v.regionOf(to) == v.opt.Region {
					own++
				} else {
					remote++
				}
			}
			if own != 2*c.each-1 || remote != c.remote {
				t.Fatalf("%d VMs each: %s sends to %d of its region and %d others, want %d and %d", c.each, name, own, remote, 2*c.each-1, c.remote)
			}
		}
	}
}

// TestUnresponsivePartners checks that a VM chooses other partners in a region when
// its partners there do not answer.
func TestUnresponsivePartners(t *testing.T) {
	vms, clock := newFleetVMs(t, 10)
	v := vms["vm-r0-0-00"]
	gone := map[sassafrastray.VMName]bool{}
	for range 3 {
		for _, to := range v.members.Tick(clock.now) {
			if v.regionOf(to) == "r1" {
				if gone[to.Name] {
					t.Errorf("%s was chosen again although it did not answer", to.Name)
				}
				gone[to.Name] = true
				v.members.MarkUnanswered(to.Name, clock.now)
			}
		}
		clock.now = clock.now.Add(time.Second)
	}
	if len(gone) != 3*partnersPerRegion {
		t.Errorf("%d partners tried, want %d", len(gone), 3*partnersPerRegion)
	}
}

// TestRegionSummaries checks that figures reach every VM of a large fleet through
// the regions' summaries. All VMs admit requests while a new version fails at one of
// them: the shares of a rate must add up to the whole, and all VMs must revert the
// version.
func TestRegionSummaries(t *testing.T) {
	vms, clock := newFleetVMs(t, 10)
	team := []sassafrastray.Team{{Name: "t", Rate: 600, Burst: 60}}
	order := map[sassafrastray.ServiceName]sassafrastray.Entry{"s": {Name: "s", Revision: 1, Rollout: &sassafrastray.Rollout{
		Service: "s", To: "v2", State: sassafrastray.RolloutRunning, Share: 80, MaxDuration: time.Minute,
	}}}
	for _, v := range vms {
		v.quotas.do(func(limiter *ratelimit.Limiter, now time.Time) { limiter.Configure(team, now) })
		v.rollouts.do(func(tracker *rollout.Tracker, now time.Time) { tracker.Update(order, now) })
	}
	faulty := vms["vm-r2-1-05"]
	for range 12 {
		faulty.rollouts.Observe("s", "r", "v2", rollout.Failed)
		for _, v := range vms {
			v.rollouts.Observe("s", "r", "v1", rollout.OK)
		}
	}
	for range 12 {
		admitRequests(vms, clock)
		exchangeHeartbeats(vms, notCut, clock.now)
	}
	shares := 0.0
	for name, v := range vms {
		shares += v.quotas.Take("t").Share
		reverted := false
		v.rollouts.do(func(tracker *rollout.Tracker, now time.Time) {
			for _, s := range tracker.Tick(now) {
				reverted = reverted || s.Rollout.State == sassafrastray.RolloutReverted
			}
		})
		if !reverted {
			t.Errorf("%s does not revert the version", name)
		}
	}
	if shares < 0.9 || shares > 1.1 {
		t.Errorf("the shares of the rate add up to %.2f", shares)
	}
}

// TestRegionCutOff checks that a region that is cut off uses no more than its share
// of a rate, and that the other regions leave it that share.
func TestRegionCutOff(t *testing.T) {
	vms, clock := newFleetVMs(t, 10)
	team := []sassafrastray.Team{{Name: "t", Rate: 600, Burst: 60}}
	for _, v := range vms {
		v.quotas.do(func(limiter *ratelimit.Limiter, now time.Time) { limiter.Configure(team, now) })
	}
	cut := func(a, b *VM) bool { return (a.opt.Region == "r1") != (b.opt.Region == "r1") }
	for s := range 20 {
		admitRequests(vms, clock)
		if s < 8 {
			exchangeHeartbeats(vms, notCut, clock.now)
		} else {
			exchangeHeartbeats(vms, cut, clock.now)
		}
	}
	shares := map[bool]float64{}
	for _, v := range vms {
		shares[v.opt.Region == "r1"] += v.quotas.Take("t").Share
	}
	if all := shares[true] + shares[false]; shares[true] < 0.2 || shares[false] < 0.5 || all > 1.05 {
		t.Errorf("shares: cut off %.2f, others %.2f", shares[true], shares[false])
	}
}

// TestSummaryOfMoreVMsWins checks that the summary of a VM that is cut off from its
// own region does not replace a fresh one of the whole region.
func TestSummaryOfMoreVMsWins(t *testing.T) {
	vms, clock := newFleetVMs(t, 10)
	v := vms["vm-r0-0-00"]
	v.updateRegion(&gossip.Summary{Region: "r1", Report: ratelimit.Report{VMs: 20}}, clock.now)
	v.updateRegion(&gossip.Summary{Region: "r1", Report: ratelimit.Report{VMs: 1}}, clock.now.Add(time.Second))
	if n := v.regions.vmCounts["r1"]; n != 20 {
		t.Errorf("the summary covers %d VMs, want 20", n)
	}
	v.updateRegion(&gossip.Summary{Region: "r1", Report: ratelimit.Report{VMs: 1}}, clock.now.Add(3*time.Second))
	if n := v.regions.vmCounts["r1"]; n != 1 {
		t.Errorf("the old summary of %d VMs is still used", n)
	}
}

// TestWatchers checks which VMs watch the store: all VMs of a small fleet, and in a
// large one the leader and two of each failure domain. Another VM takes over when a
// watcher fails to reach the store, or dies.
func TestWatchers(t *testing.T) {
	for _, each := range []int{2, 10} {
		vms, clock := newFleetVMs(t, each)
		settle := func() (list []sassafrastray.VMName) {
			for range 8 {
				exchangeHeartbeats(vms, notCut, clock.now)
				clock.now = clock.now.Add(time.Second)
			}
			exchangeHeartbeats(vms, notCut, clock.now)
			for name, v := range vms {
				v.leading.Store(v.isLeader(clock.now))
				v.updateWatching(clock.now)
				if v.watching.Load() {
					list = append(list, name)
				}
			}
			slices.Sort(list)
			return list
		}
		list := settle()
		domains := map[sassafrastray.DomainName]int{}
		for _, name := range list {
			if !vms[name].leading.Load() {
				domains[vms[name].self.Domain]++
			}
		}
		if each == 2 {
			if len(list) != 12 {
				t.Errorf("%d VMs of a small fleet watch, want 12", len(list))
			}
			continue
		}
		if len(list) < 12 || len(list) > 13 || len(domains) != 6 {
			t.Errorf("watchers %v", list)
		}
		failed, died := vms[list[2]], list[5]
		failed.replica.RecordFailure(sassafrastray.TopicConfig, clock.now, clock.now)
		delete(vms, died)
		next := settle()
		if len(next) < len(list) || !slices.Contains(next, failed.self.Name) {
			t.Errorf("watchers %v, before %v; %s does not reach the store, %s died", next, list, failed.self.Name, died)
		}
	}
}

// TestListsAfterAStart lets a large fleet start whose VMs know only a part of the
// others, as when they read the store's list while the others register. All must know
// all after a few rounds, and a VM must not send the whole list to every other one
// meanwhile.
func TestListsAfterAStart(t *testing.T) {
	const each, rounds = 20, 8
	list, _ := newFleet(each)
	vms, clock := newFleetVMs(t, 0)
	for i := range list {
		v := newFleetVM(t, list[i], clock)
		for j := range list {
			if (i*31+j*17)%10 < 6 {
				v.learnVMs(list[j:j+1], clock.now)
			}
		}
		vms[list[i].Name] = v
	}
	sent, lists := 0, 0
	for range rounds {
		observeHeartbeats(vms, notCut, clock.now, func(h *gossip.Heartbeat) {
			sent++
			if len(h.Fleet) > 0 {
				lists++
			}
		})
		clock.now = clock.now.Add(time.Second)
	}
	for name, v := range vms {
		if n := len(v.knownVMs()); n != len(list) {
			t.Errorf("%s knows %d of %d VMs after %d rounds", name, n, len(list), rounds)
		}
	}
	// The views agree after two rounds; until then one message in messagesPerList has
	// a list.
	if most := 2 * sent / rounds / messagesPerList; lists > most {
		t.Errorf("%d of %d messages had a list, want at most %d", lists, sent, most)
	}
}

// BenchmarkAddressed measures a heartbeat to one VM of a fleet of 294.
func BenchmarkAddressed(b *testing.B) {
	list, _ := newFleet(49)
	clock := &manualClock{time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	v := newFleetVM(b, list[0], clock)
	v.learnVMs(list, clock.now)
	h := v.newHeartbeat(clock.now)
	for b.Loop() {
		v.addressed(h, list[1], nil, clock.now)
	}
}

// BenchmarkControlSecond measures what one VM of a fleet of 294 with 190 teams does in a
// second for the others: a heartbeat and an answer with each VM of its region, of which
// a third serves callers, as they are on the wire, and the ticks.
func BenchmarkControlSecond(b *testing.B) {
	list, _ := newFleet(49)
	clock := &manualClock{time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	v := newFleetVM(b, list[0], clock)
	v.workers.Release()
	v.learnVMs(list, clock.now)
	teams := make([]sassafrastray.Team, 190)
	uses := make(ratelimit.TeamUsage)
	for i := range teams {
		teams[i] = sassafrastray.Team{Name: sassafrastray.TeamName(fmt.Sprintf("team-%03d", i)), Rate: 50, Burst: 20}
		uses[teams[i].Name] = ratelimit.Usage{Demand: float64(i) / 10}
	}
	v.quotas.do(func(l *ratelimit.Limiter, now time.Time) { l.Configure(teams, now) })
	var region []*gossip.Heartbeat
	for i, vm := range list[1:98] {
		h := &gossip.Heartbeat{VM: vm, Incarnation: 1, Ready: true, Config: 1, StoreReachable: true, Latest: v.replica.Latest()}
		h.Digest, h.Known = v.fleetDigest(clock.now)
		if h.Idle = i%3 > 0; !h.Idle {
			h.Uses = uses
		}
		region = append(region, h)
	}
	b.ReportAllocs()
	for b.Loop() {
		for i, h := range region {
			h.Sequence++
			body, err := json.Marshal(h)
			if err != nil {
				b.Fatal(err)
			}
			var got gossip.Heartbeat
			if err := json.Unmarshal(body, &got); err != nil {
				b.Fatal(err)
			}
			v.receive(&got, clock.now)
			if _, err := json.Marshal(v.addressed(v.newHeartbeat(clock.now), h.VM, h, clock.now)); err != nil {
				b.Fatal(err)
			}
			if i%20 == 0 {
				clock.now = clock.now.Add(tickInterval)
				v.tick(clock.now)
			}
		}
	}
}

// TestSummaryTellsWhetherARegionKnowsAVM guards against a VM that owns a part of quotas
// before all VMs of the other regions count it: the summary of a region has the digest of
// the known VMs only if all of its VMs know the same ones.
func TestSummaryTellsWhetherARegionKnowsAVM(t *testing.T) {
	vms, clock := newFleetVMs(t, 10)
	exchange := func(cut func(a, b *VM) bool) {
		for range 3 {
			clock.now = clock.now.Add(time.Second)
			exchangeHeartbeats(vms, cut, clock.now)
		}
	}
	digest := func() uint64 {
		v := vms["vm-r1-0-00"]
		return v.regionSummary(*v.newHeartbeat(clock.now), clock.now).Digest
	}
	exchange(notCut)
	before, _ := vms["vm-r1-0-00"].fleetDigest(clock.now)
	if digest() != before {
		t.Error("no digest though all VMs of the region know the same ones")
	}
	joined := sassafrastray.VM{Name: "vm-new", Domain: "r0-0", State: sassafrastray.VMLive, PeerAddress: netip.MustParseAddrPort("10.0.0.200:80")}
	deaf := vms["vm-r1-0-05"]
	for _, v := range vms {
		if v != deaf {
			v.learnVMs([]sassafrastray.VM{joined}, clock.now)
		}
	}
	clock.now = clock.now.Add(time.Second)
	after, _ := vms["vm-r1-0-00"].fleetDigest(clock.now)
	if got := digest(); got != 0 || after == before {
		t.Errorf("digest %x, though one VM of the region does not know the VM that joined", got)
	}
	exchange(notCut)
	if digest() != after {
		t.Error("no digest after all VMs of the region learned of the VM that joined")
	}
}

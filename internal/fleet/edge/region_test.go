package edge

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/neighbor"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/rollout/rollout"
)

// still is a clock that the test moves.
type still struct{ now time.Time }

func (s *still) Now() time.Time { return s.now }

// fleetOf returns VMs in six failure domains of three regions, each with so many.
func fleetOf(each int) (vms []sassafrastray.VM, regions map[sassafrastray.DomainName]sassafrastray.RegionName) {
	regions = make(map[sassafrastray.DomainName]sassafrastray.RegionName)
	for r := range 3 {
		for d := range 2 {
			domain := sassafrastray.DomainName(fmt.Sprintf("r%d-%d", r, d))
			regions[domain] = sassafrastray.RegionName(fmt.Sprint("r", r))
			for i := range each {
				vms = append(vms, sassafrastray.VM{
					Name: sassafrastray.VMName(fmt.Sprintf("vm-%s-%02d", domain, i)), Domain: domain, State: sassafrastray.Live,
					Inner: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(r), byte(d), byte(i + 1)}), 80),
				})
			}
		}
	}
	return vms, regions
}

// fleetVMs returns the VMs as processes that do nothing but know each other, and
// their clock.
func fleetVMs(t *testing.T, each int) (map[sassafrastray.VMName]*VM, *still) {
	t.Helper()
	list, regions := fleetOf(each)
	clock := &still{time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	out := make(map[sassafrastray.VMName]*VM)
	for _, vm := range list {
		v, err := New(Options{
			VM: vm, Region: regions[vm.Domain], Regions: regions,
			Bounds: sassafrastray.Bounds{QuotaWindow: 5 * time.Second, QuotaOver: 0.1, QuotaReserve: 20, Exposure: 0.1},
		}, nil, clock, clock, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		v.learn(list, clock.now)
		out[vm.Name] = v
	}
	return out, clock
}

// round lets each VM speak to those that it would, except for those cut off.
func round(vms map[sassafrastray.VMName]*VM, cut func(a, b *VM) bool, now time.Time) (messages int) {
	for _, v := range vms {
		for _, to := range v.members.Tick(now) {
			o := vms[to.Name]
			if o == nil || cut(v, o) {
				v.members.Unanswered(to.Name, now)
				continue
			}
			messages++
			there, back := v.address(*v.beat(now), to, now), o.address(*o.beat(now), v.self, now)
			o.hear(&there, now)
			v.hear(&back, now)
		}
	}
	return messages
}

func whole(*VM, *VM) bool { return false }

// ask lets callers ask each VM for ten requests during a second.
func ask(vms map[sassafrastray.VMName]*VM, clock *still) {
	for range 10 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		for _, v := range vms {
			v.quotas.Take("t")
		}
	}
}

// TestMessagesOfALargeFleet checks that VMs of a small fleet all speak to each
// other, and that in a large one the messages between regions grow with the
// number of VMs only.
func TestMessagesOfALargeFleet(t *testing.T) {
	for _, c := range []struct{ each, away int }{{2, 8}, {10, 2 * partners}, {20, 2 * partners}} {
		vms, clock := fleetVMs(t, c.each)
		for name, v := range vms {
			own, away := 0, 0
			for _, to := range v.members.Tick(clock.now) {
				if v.regionOf(to) == v.opt.Region {
					own++
				} else {
					away++
				}
			}
			if own != 2*c.each-1 || away != c.away {
				t.Fatalf("%d VMs each: %s speaks to %d of its region and %d others, want %d and %d", c.each, name, own, away, 2*c.each-1, c.away)
			}
		}
	}
}

// TestPartnersThatAreGone checks that a VM whose partners of a region do not
// answer finds others there.
func TestPartnersThatAreGone(t *testing.T) {
	vms, clock := fleetVMs(t, 10)
	v := vms["vm-r0-0-00"]
	gone := map[sassafrastray.VMName]bool{}
	for range 3 {
		for _, to := range v.members.Tick(clock.now) {
			if v.regionOf(to) == "r1" {
				if gone[to.Name] {
					t.Errorf("%s is spoken to again although it did not answer", to.Name)
				}
				gone[to.Name] = true
				v.members.Unanswered(to.Name, clock.now)
			}
		}
		clock.now = clock.now.Add(time.Second)
	}
	if len(gone) != 3*partners {
		t.Errorf("%d partners tried, want %d", len(gone), 3*partners)
	}
}

// TestSumsOfRegions lets each VM of a large fleet admit requests and see faults
// of a new version, and checks that each VM knows all of both after two rounds:
// the parts of a rate add up to the whole, and all VMs call the version bad.
func TestSumsOfRegions(t *testing.T) {
	vms, clock := fleetVMs(t, 10)
	team := []sassafrastray.Team{{Name: "t", Rate: 600, Burst: 60}}
	order := map[sassafrastray.ServiceName]sassafrastray.Entry{"s": {Name: "s", Revision: 1, Rollout: &sassafrastray.Rollout{
		Service: "s", To: "v2", State: sassafrastray.RolloutRunning, Share: 80, Within: time.Minute,
	}}}
	for _, v := range vms {
		v.quotas.do(func(b *ratelimit.Limiter, now time.Time) { b.Configure(team, now) })
		v.rollouts.do(func(d *rollout.Tracker, now time.Time) { d.Update(order, now) })
	}
	faulty := vms["vm-r2-1-05"]
	for range 12 {
		faulty.rollouts.Observe("s", "r", "v2", rollout.Failed)
		for _, v := range vms {
			v.rollouts.Observe("s", "r", "v1", rollout.OK)
		}
	}
	for range 12 {
		ask(vms, clock)
		round(vms, whole, clock.now)
	}
	shares := 0.0
	for name, v := range vms {
		shares += v.quotas.Take("t").Share
		judged := false
		v.rollouts.do(func(d *rollout.Tracker, now time.Time) {
			for _, s := range d.Tick(now) {
				judged = judged || s.Rollout.State == sassafrastray.RolloutReverted
			}
		})
		if !judged {
			t.Errorf("%s does not call the version bad", name)
		}
	}
	if shares < 0.9 || shares > 1.1 {
		t.Errorf("the parts of the rate add up to %.2f", shares)
	}
}

// TestRegionCutOff checks that a region which is cut off keeps to its part of a
// rate, and that the others leave it that part.
func TestRegionCutOff(t *testing.T) {
	vms, clock := fleetVMs(t, 10)
	team := []sassafrastray.Team{{Name: "t", Rate: 600, Burst: 60}}
	for _, v := range vms {
		v.quotas.do(func(b *ratelimit.Limiter, now time.Time) { b.Configure(team, now) })
	}
	cut := func(a, b *VM) bool { return (a.opt.Region == "r1") != (b.opt.Region == "r1") }
	for s := range 20 {
		ask(vms, clock)
		if s < 8 {
			round(vms, whole, clock.now)
		} else {
			round(vms, cut, clock.now)
		}
	}
	shares := map[bool]float64{}
	for _, v := range vms {
		shares[v.opt.Region == "r1"] += v.quotas.Take("t").Share
	}
	if all := shares[true] + shares[false]; shares[true] < 0.2 || shares[false] < 0.5 || all > 1.05 {
		t.Errorf("parts: cut off %.2f, others %.2f", shares[true], shares[false])
	}
}

// TestBetterSumWins checks that the sum of a VM which is cut off from its own
// region does not take the place of a fresh one of the whole region.
func TestBetterSumWins(t *testing.T) {
	vms, clock := fleetVMs(t, 10)
	v := vms["vm-r0-0-00"]
	v.hearRegion(&neighbor.Summary{Region: "r1", Report: ratelimit.Report{VMs: 20}}, clock.now)
	v.hearRegion(&neighbor.Summary{Region: "r1", Report: ratelimit.Report{VMs: 1}}, clock.now.Add(time.Second))
	if n := v.regions.vms["r1"]; n != 20 {
		t.Errorf("the sum rests on %d VMs, want 20", n)
	}
	v.hearRegion(&neighbor.Summary{Region: "r1", Report: ratelimit.Report{VMs: 1}}, clock.now.Add(3*time.Second))
	if n := v.regions.vms["r1"]; n != 1 {
		t.Errorf("the old sum of %d VMs is still used", n)
	}
}

// TestWatchers checks who watches the store: all VMs of a small fleet, and of a
// large one two of each failure domain and the one that leads; another one when
// a watcher does not reach the store, or dies.
func TestWatchers(t *testing.T) {
	for _, each := range []int{2, 10} {
		vms, clock := fleetVMs(t, each)
		settle := func() (list []sassafrastray.VMName) {
			for range 8 {
				round(vms, whole, clock.now)
				clock.now = clock.now.Add(time.Second)
			}
			round(vms, whole, clock.now)
			for name, v := range vms {
				v.leading.Store(v.leads(clock.now))
				v.watch(clock.now)
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
		failed.mirror.Failed(sassafrastray.TopicConfig, clock.now)
		delete(vms, died)
		next := settle()
		if len(next) < len(list) || !slices.Contains(next, failed.self.Name) {
			t.Errorf("watchers %v, before %v; %s does not reach the store, %s died", next, list, failed.self.Name, died)
		}
	}
}

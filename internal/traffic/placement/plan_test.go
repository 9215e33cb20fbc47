package placement

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"sassafrastray"
)

// planned returns a VM of the region north with ten servers, beside 45 each of the regions
// south and west, and the plan that it makes with the given demand.
func planned(own demand, others map[sassafrastray.RegionName]ShareReport) (t *Table, share float64, ok bool) {
	t = newTable("north", 1)
	t.Update(slices.Concat(servers("n-1", 10, 3), servers("s-1", 45, 3), servers("w-1", 45, 3)), nil, start)
	t.SetShared(true)
	svc := t.services["s"]
	svc.firstRequest = start.Add(-time.Minute)
	svc.count.demand, svc.count.span = own, 1/tickInterval.Seconds()
	for region, r := range others {
		r.Service = "s"
		t.ReceiveRegion(region, []ShareReport{r}, start)
	}
	share, ok = svc.plan(t, start)
	return t, share, ok
}

// TestPlan guards against a region that keeps more requests than others by slots, although it
// refuses them, and against one that leaves no room for teams that may go nowhere else.
func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name        string
		own         demand
		south, west ShareReport
		silent      bool
		share       float64
	}{
		{name: "even by slots", own: demand{free: 100}, south: ShareReport{Free: 4500}, west: ShareReport{Free: 4500}},
		{name: "little more", own: demand{free: 104}, south: ShareReport{Free: 4500}, west: ShareReport{Free: 4500}},
		{name: "more than its servers", own: demand{free: 300}, south: ShareReport{Free: 3000}, west: ShareReport{Free: 4000}, share: 1 - 1.05*100/300},
		{
			name: "a team of others is bound to it", own: demand{free: 300}, share: 1 - (1.05*100-50)/300,
			south: ShareReport{Free: 3000, Bound: map[sassafrastray.RegionName]int{"north": 500}}, west: ShareReport{Free: 3500},
		},
		{
			name: "its own team is bound elsewhere", own: demand{free: 100, bound: map[sassafrastray.RegionName]float64{"south": 200}},
			south: ShareReport{Free: 2000}, west: ShareReport{Free: 5000},
		},
		{name: "a region is silent", own: demand{free: 300}, south: ShareReport{Free: 3000}, silent: true},
		{name: "no requests", south: ShareReport{Free: 4500}, west: ShareReport{Free: 4500}, silent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			others := map[sassafrastray.RegionName]ShareReport{"south": c.south}
			if c.west.Free > 0 {
				others["west"] = c.west
			}
			if c.own.bound == nil {
				c.own.bound = map[sassafrastray.RegionName]float64{}
			}
			_, share, ok := planned(c.own, others)
			if ok == c.silent || math.Abs(share-c.share) > 1e-6 {
				t.Fatalf("share %.3f, %v, want %.3f", share, ok, c.share)
			}
		})
	}
}

// TestSilentRegionEndsPlan guards against a plan by figures of a region that is not heard of any
// more.
func TestSilentRegionEndsPlan(t *testing.T) {
	table, _, ok := planned(demand{free: 300, bound: map[sassafrastray.RegionName]float64{}}, map[sassafrastray.RegionName]ShareReport{"south": {Free: 3000}, "west": {Free: 3000}})
	if !ok {
		t.Fatal("no plan")
	}
	table.ReceiveRegion("west", []ShareReport{{Service: "s", Free: 3000}}, start.Add(shareTime))
	if _, ok := table.services["s"].plan(table, start.Add(shareTime+1)); ok {
		t.Error("the plan goes by old figures")
	}
}

// TestRestartedVMJoinsShare guards against a VM that starts anew beside the others of its region
// and sends its requests elsewhere than these.
func TestRestartedVMJoinsShare(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports map[sassafrastray.VMName]ShareReport
		want    float64
	}{
		{"alone", nil, 0.682},
		{"beside others", map[sassafrastray.VMName]ShareReport{"a": {Share: 200, Free: 300}, "b": {Share: 300, Free: 100}, "idle": {Share: 900}}, 0.225},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, _, _ := planned(newDemand(), nil)
			for name, r := range c.reports {
				r.Service = "s"
				table.ReceiveShares(name, []ShareReport{r}, start)
			}
			table.Pick(request("x"), start.Add(time.Second))
			if got := table.services["s"].remoteShare; math.Abs(got-c.want) > 1e-3 {
				t.Errorf("share %.3f, want %.3f", got, c.want)
			}
		})
	}
}

// TestShareReports checks that a report tells what was counted, refused requests and those bound
// to a region included, and that invalid reports change nothing.
func TestShareReports(t *testing.T) {
	from, _, _ := planned(newDemand(), nil)
	from.services["s"].count = demandCount{demand: newDemand()}
	bound := request("x")
	bound.Regions[0] = []sassafrastray.RegionName{"west"}
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		r := request("")
		if i%5 == 0 {
			r = bound
		}
		r.TimeLeft = time.Duration(i%2) * time.Minute
		from.Pick(r, now)
		if i%20 == 19 {
			from.Tick(now)
		}
	}
	reports := from.ShareReports(start)
	if len(reports) != 1 || math.Abs(float64(reports[0].Free)-800) > 80 || math.Abs(float64(reports[0].Bound["west"])-200) > 40 {
		t.Fatalf("reports %+v, want 80 a second and 20 bound to west", reports)
	}
	to, _, _ := planned(newDemand(), nil)
	for _, invalid := range []ShareReport{
		{Service: "other", Free: 10},
		{Service: "s", Share: 1001, Free: 10},
		{Service: "s", Share: -1, Free: 10},
		{Service: "s", Load: -1, Free: 10},
		{Service: "s", Free: -10},
	} {
		to.ReceiveShares("vm", []ShareReport{invalid}, start)
		to.ReceiveRegion("west", []ShareReport{invalid}, start)
	}
	to.ReceiveShares("vm", []ShareReport{{Service: "s", Free: 10, Bound: map[sassafrastray.RegionName]int{"west": 5, "south": -1, "nowhere": 7}}}, start)
	svc := to.services["s"]
	want := map[sassafrastray.RegionName]float64{"west": 0.5}
	if len(svc.peers) != 1 || len(svc.others) != 0 || !maps.Equal(svc.peers["vm"].demand.bound, want) {
		t.Errorf("peers %+v, others %+v", svc.peers, svc.others)
	}
}

// TestShareFollowsLoad guards against a region that takes its requests back by the plan, which
// counts requests, while its servers have more load than others: requests that are bound to them
// then wait or fail although the others could go elsewhere.
func TestShareFollowsLoad(t *testing.T) {
	for _, c := range []struct {
		name string
		// plan is the planned share. bound is the load of the region's servers by requests
		// that may not leave, and free that by the others if none of them leaves.
		plan, bound, free float64
		// south and west are the loads of the other regions.
		south, west float64
		want        float64
	}{
		{name: "as planned", plan: 0.3, free: 0.8, south: 0.6, west: 0.6, want: 0.3},
		{name: "free requests cause more load than planned", plan: 0.3, free: 3, south: 0.6, west: 0.6, want: 1 - 1.3*0.6/3},
		{name: "bound requests cause more load than planned", plan: 0.3, bound: 0.6, free: 1, south: 0.4, west: 0.4, want: maxRemoteShare},
		{name: "the others have as much load", plan: 0.3, free: 2, south: 1.2, west: 1.1, want: 0.3},
		{name: "one of the others has room", plan: 0, free: 2, south: 1.2, west: 0.2, want: 1 - 1.3*0.7/2},
		{name: "idle beside idle regions", plan: 0.3, free: 0.3, south: 0.1, west: 0.1, want: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			load := func(l float64) ShareReport { return ShareReport{Free: 10, Load: int(math.Round(l / shareUnit))} }
			table, _, ok := planned(demand{free: 100}, map[sassafrastray.RegionName]ShareReport{"south": load(c.south), "west": load(c.west)})
			if !ok {
				t.Fatal("no plan")
			}
			svc := table.services["s"]
			svc.planned, svc.remoteShare = true, c.plan
			for range 300 {
				svc.nearLoad = c.bound + c.free*(1-svc.remoteShare)
				svc.follow(table, c.plan, start)
			}
			if math.Abs(svc.remoteShare-c.want) > 0.02 {
				t.Errorf("share %.3f, want %.3f", svc.remoteShare, c.want)
			}
		})
	}
}

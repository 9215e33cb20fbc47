package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

var (
	start   = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	regions = map[sassafrastray.DomainName]sassafrastray.RegionName{
		"n-1": "north", "n-2": "north", "s-1": "south", "s-2": "south", "w-1": "west", "w-2": "west",
	}
)

// newTable returns the table of a VM in the given region.
func newTable(region sassafrastray.RegionName, seed uint64) *Table {
	return New(Options{
		Self: "vm", Region: region, Regions: regions,
		Bounds: sassafrastray.Bounds{MaxRegionShift: 0.15, ColdFactor: 1.5, ColdReserve: 5},
	}, rand.New(rand.NewPCG(seed, 0)))
}

// servers returns count servers of the service in the given failure domain.
func servers(domain sassafrastray.DomainName, count, slots int) []sassafrastray.BackendServer {
	var out []sassafrastray.BackendServer
	for i := range count {
		out = append(out, sassafrastray.BackendServer{
			Name: sassafrastray.BackendName(fmt.Sprintf("%s-%d", domain, i)), Domain: domain,
			Service: "s", Slots: slots, Version: "v1", Incarnation: 1,
		})
	}
	return out
}

func request(object string) Request {
	return Request{Service: "s", Object: object, Sticky: true, Objective: 400 * time.Millisecond, TimeLeft: time.Second, Priority: 1}
}

// TestSameServerForAnObject checks that VMs which do not know each other choose
// the same server for an object, and that the removal of a server moves only
// the objects that it had.
func TestSameServerForAnObject(t *testing.T) {
	all := append(servers("n-1", 5, 4), servers("n-2", 5, 4)...)
	a, b := newTable("north", 1), newTable("north", 2)
	a.Update(all, nil, start)
	b.Update(all, nil, start)
	first := map[string]sassafrastray.BackendName{}
	for i := range 200 {
		object := fmt.Sprint(i)
		ca, oka := a.Pick(request(object), start)
		cb, okb := b.Pick(request(object), start)
		if !oka || !okb || ca.Server.Name != cb.Server.Name {
			t.Fatalf("object %s: %v and %v", object, ca.Server.Name, cb.Server.Name)
		}
		first[object] = ca.Server.Name
		a.Done(ca, OK, time.Millisecond, nil, start)
		b.Done(cb, OK, time.Millisecond, nil, start)
	}
	b.Update(all[1:], nil, start)
	for object, name := range first {
		c, ok := b.Pick(request(object), start)
		if !ok || name != all[0].Name && c.Server.Name != name {
			t.Errorf("object %s moved from %s to %s", object, name, c.Server.Name)
		}
		b.Done(c, OK, time.Millisecond, nil, start)
	}
}

// TestPickRespectsConstraints applies random events to a table and checks that
// no choice is a server that is leaving, evacuated, blocked, or of a wrong
// version or region.
func TestPickRespectsConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		table := newTable("north", rapid.Uint64().Draw(t, "seed"))
		all := slices.Concat(servers("n-1", 2, 3), servers("n-2", 2, 3), servers("s-1", 2, 3), servers("w-1", 1, 3))
		evacuated := map[sassafrastray.DomainName]bool{}
		var open []Choice
		inflight := map[sassafrastray.BackendName]int{}
		refused := map[sassafrastray.BackendName]time.Time{}
		table.Update(all, evacuated, now)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
				table.Tick(now)
			},
			"leave": func(t *rapid.T) {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "i")
				all[i].Leaving = !all[i].Leaving
				table.Update(all, evacuated, now)
			},
			"evacuate": func(t *rapid.T) {
				d := rapid.SampledFrom([]sassafrastray.DomainName{"n-1", "n-2", "s-1"}).Draw(t, "domain")
				evacuated[d] = !evacuated[d]
				table.Update(all, evacuated, now)
			},
			"version": func(t *rapid.T) {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "i")
				all[i].Version = rapid.SampledFrom([]sassafrastray.VersionName{"v1", "v2"}).Draw(t, "version")
				all[i].Incarnation++
				delete(refused, all[i].Name)
				table.Update(all, evacuated, now)
			},
			"pick": func(t *rapid.T) {
				r := request(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "object")))
				if rapid.Bool().Draw(t, "only south") {
					r.Regions[0] = []sassafrastray.RegionName{"south"}
				}
				if rapid.Bool().Draw(t, "only v2") {
					r.Only = "v2"
				} else {
					r.Except = "v2"
				}
				c, ok := table.Pick(r, now)
				if !ok {
					if c.RetryAfter <= 0 {
						t.Fatalf("refused without a time to retry after: %+v", c)
					}
					return
				}
				i := slices.IndexFunc(all, func(b sassafrastray.BackendServer) bool { return b.Name == c.Server.Name })
				b := all[i]
				switch {
				case b.Leaving || evacuated[b.Domain]:
					t.Fatalf("%s is leaving or evacuated", b.Name)
				case r.Only != "" && b.Version != r.Only || r.Only == "" && b.Version == r.Except:
					t.Fatalf("%s has version %s, request %+v", b.Name, b.Version, r)
				case len(r.Regions[0]) > 0 && regions[b.Domain] != "south":
					t.Fatalf("%s is not in region south", b.Name)
				case now.Before(refused[b.Name]):
					t.Fatalf("%s is blocked since it refused a connection", b.Name)
				}
				open = append(open, c)
				inflight[b.Name]++
			},
			"done": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "i")
				c := open[i]
				open = slices.Delete(open, i, i+1)
				e := rapid.SampledFrom([]End{OK, Failed, Timeout, Refused, Shed, Cancelled}).Draw(t, "end")
				table.Done(c, e, 100*time.Millisecond, nil, now)
				inflight[c.Server.Name]--
				if e == Refused && table.servers[c.Server.Name] == c.server {
					refused[c.Server.Name] = now.Add(minBlock)
				}
			},
			"": func(t *rapid.T) {
				for _, s := range table.servers {
					if s.inflight < 0 {
						t.Fatalf("%s has %d requests", s.Name, s.inflight)
					}
				}
			},
		})
	})
}

// TestRefusesWhatWaitsTooLong checks that a request is refused once its wait
// would be longer than its priority allows, and that more urgent requests wait
// longer.
func TestRefusesWhatWaitsTooLong(t *testing.T) {
	accepted := func(priority int) int {
		table := newTable("north", 1)
		table.Update(servers("n-1", 1, 2), nil, start)
		for n := 0; ; n++ {
			r := request("x")
			r.Priority = priority
			if c, ok := table.Pick(r, start); !ok {
				if c.Reason != Busy || c.RetryAfter < minRetryAfter || c.RetryAfter > 2*maxRetryAfter {
					t.Errorf("priority %d: refused with %+v", priority, c)
				}
				return n
			}
		}
	}
	urgent, normal, low := accepted(0), accepted(1), accepted(2)
	if urgent <= normal || normal <= low || low < 2 {
		t.Errorf("accepted %d of priority 0, %d of priority 1, %d of priority 2", urgent, normal, low)
	}
}

// TestColdServerOverAllVMs checks that the VMs of a fleet together stay within
// the bound on a cold server in any second, and that the server gets requests.
func TestColdServerOverAllVMs(t *testing.T) {
	for _, fleet := range []int{1, 8, 11, 40} {
		var tables []*Table
		cold := servers("n-1", 1, 3)
		cold[0].ColdRemaining = 5 * time.Second
		for i := range fleet {
			table := newTable("north", uint64(i))
			table.opt.Self = sassafrastray.VMName(fmt.Sprint("vm-", i))
			var others []sassafrastray.VM
			for j := range fleet {
				if j != i {
					others = append(others, sassafrastray.VM{Name: sassafrastray.VMName(fmt.Sprint("vm-", j))})
				}
			}
			table.SetFleet(others)
			table.Configure([]sassafrastray.Service{{Name: "s", ColdPeriod: 3 * time.Second, ColdRate: 3.8}})
			table.Update(cold, nil, start)
			tables = append(tables, table)
		}
		bound := 3.8*1.5 + 5
		var sent []time.Time
		for ms := range 4900 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, table := range tables {
				if c, ok := table.Pick(request("x"), now); ok {
					sent = append(sent, now)
					table.Done(c, OK, time.Millisecond, nil, now)
				}
			}
		}
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					n++
				}
			}
			if float64(n) > bound {
				t.Fatalf("fleet of %d: %d requests in a second, bound %.1f", fleet, n, bound)
			}
		}
		if len(sent) == 0 {
			t.Errorf("fleet of %d: a cold server got no requests in 5 s", fleet)
		}
	}
}

// TestRestartUnderTheSameName checks that a restarted server is assumed to know
// no object, and to be cold.
func TestRestartUnderTheSameName(t *testing.T) {
	table := newTable("north", 1)
	table.Configure([]sassafrastray.Service{{Name: "s", ColdPeriod: 3 * time.Second, ColdRate: 3.8}})
	list := servers("n-1", 1, 3)
	table.Update(list, nil, start)
	c, _ := table.Pick(request("x"), start)
	table.Done(c, OK, time.Millisecond, nil, start)
	now := start.Add(10 * time.Second)
	list[0].Incarnation = 2
	table.Update(list, nil, now)
	s := table.servers[list[0].Name]
	if len(s.known) != 0 || !s.isCold(now.Add(2*time.Second)) || s.isCold(now.Add(4*time.Second)) {
		t.Errorf("known %v, cold until %v", s.known, s.coldUntil.Sub(now))
	}
	// A request that began before the restart must not affect the new incarnation.
	table.Done(c, Refused, 0, nil, now)
	if s.inflight != 0 || !s.blockedUntil.IsZero() {
		t.Errorf("the new incarnation has %d requests and is blocked until %v", s.inflight, s.blockedUntil)
	}
}

// TestTakenBackAfterRefusal checks that a server that refused a connection gets one
// request after its block, and further ones only after it answered.
func TestTakenBackAfterRefusal(t *testing.T) {
	table := newTable("north", 1)
	table.Update(servers("n-1", 1, 3), nil, start)
	c, _ := table.Pick(request("x"), start)
	table.Done(c, Refused, 0, nil, start)
	if _, ok := table.Pick(request("x"), start.Add(minBlock/2)); ok {
		t.Fatal("chosen while blocked")
	}
	now := start.Add(minBlock)
	c, ok := table.Pick(request("x"), now)
	if !ok {
		t.Fatal("not chosen after its block")
	}
	if _, again := table.Pick(request("x"), now); again {
		t.Fatal("chosen again before the first request after the block ended")
	}
	table.Done(c, OK, time.Millisecond, nil, now)
	if _, ok := table.Pick(request("x"), now); !ok {
		t.Error("not chosen after it answered")
	}
}

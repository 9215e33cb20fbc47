package keeper

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// outage is a load of one service on 20 backend servers, some of which die and
// come back. It counts what each receives.
type outage struct {
	t      *rapid.T
	k      *Keeper
	now    time.Time
	dead   map[sassafrastray.BackendName]bool
	flying map[uint64]Start
	until  map[uint64]time.Time
	got    map[sassafrastray.BackendName]int
	id     uint64
	failed int
}

// run offers two requests in ten milliseconds for a time.
func (o *outage) run(d time.Duration) {
	o.got, o.failed = map[sassafrastray.BackendName]int{}, 0
	for end := o.now.Add(d); o.now.Before(end); o.now = o.now.Add(10 * time.Millisecond) {
		for id, at := range o.until {
			if !o.now.Before(at) {
				o.finish(id)
			}
		}
		for range 2 {
			o.id++
			out := o.k.Offer(Request{ID: o.id, Service: "s0", Version: "v1", Idempotent: o.id%8 == 0, Deadline: o.now.Add(time.Second)}, o.now)
			if out.Kind == Dispatch {
				o.start(Start{ID: o.id, Backend: out.Backend})
			}
		}
		starts, _ := o.k.Tick(o.now)
		for _, s := range starts {
			o.start(s)
		}
	}
}

func (o *outage) start(s Start) {
	o.got[s.Backend]++
	o.flying[s.ID] = s
	o.until[s.ID] = o.now.Add(20 * time.Millisecond)
	if o.dead[s.Backend] {
		o.until[s.ID] = o.now
	}
}

func (o *outage) finish(id uint64) {
	s := o.flying[id]
	delete(o.flying, id)
	delete(o.until, id)
	end := End{Kind: OK}
	if o.dead[s.Backend] {
		end.Kind = NotSent
		o.failed++
	}
	for _, s := range o.k.Done(id, end, o.now) {
		o.start(s)
	}
}

// A dead backend server is out within a second and receives single probes. If
// most are dead, those that live still get the rest. One that comes back
// begins with one slot and has all of its slots within 15 seconds.
func TestOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		o := &outage{
			t: t, k: benchKeeper(1, now), now: now.Add(time.Minute), dead: map[sassafrastray.BackendName]bool{},
			flying: map[uint64]Start{}, until: map[uint64]time.Time{},
		}
		o.run(time.Second)
		n := rapid.IntRange(1, 19).Draw(t, "dead")
		for i := range n {
			o.dead[sassafrastray.BackendName(fmt.Sprint("s0b", i))] = true
		}
		o.run(time.Second)
		o.run(time.Second)
		// A probe a quarter of a second, or one in 100 ms when most are dead.
		bound := 4
		if 2*n > 20 {
			bound = 10
		}
		for name := range o.dead {
			if o.got[name] > bound {
				t.Fatalf("%s is dead and got %d requests in a second", name, o.got[name])
			}
		}
		if o.failed > n*bound {
			t.Fatalf("%d requests failed in a second at %d dead backend servers", o.failed, n)
		}
		clear(o.dead)
		o.run(time.Second)
		o.run(14 * time.Second)
		for i := range 20 {
			name := sassafrastray.BackendName(fmt.Sprint("s0b", i))
			if b := o.k.backends[name]; b.down || b.limit != b.slots || o.got[name] < 14 {
				t.Fatalf("%s is back, has a limit of %d and got %d requests", name, b.limit, o.got[name])
			}
		}
	})
}

// Views that differ in one VM give all other VMs the same backend servers, and
// VMs of other failure domains keep one only if its own has none.
func TestOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var live []Member
		for i := range rapid.IntRange(1, 12).Draw(t, "vms") {
			domain := rapid.IntRange(0, 3).Draw(t, "domain")
			live = append(live, Member{
				VM: sassafrastray.VMName(fmt.Sprint("vm", i)), Domain: sassafrastray.DomainName(fmt.Sprint("d", domain)),
				Region: sassafrastray.RegionName(fmt.Sprint("r", domain/2)),
			})
		}
		gone := live[rapid.IntRange(0, len(live)-1).Draw(t, "gone")]
		var rest []Member
		domains := map[sassafrastray.DomainName]int{}
		regions := map[sassafrastray.RegionName]int{}
		where := map[sassafrastray.VMName]Member{}
		for _, m := range live {
			where[m.VM] = m
			domains[m.Domain]++
			regions[m.Region]++
			if m != gone {
				rest = append(rest, m)
			}
		}
		for i := range 20 {
			name := sassafrastray.BackendName(fmt.Sprint("b", i))
			before, ok := Of(name, "d0", "r0", live)
			after, _ := Of(name, "d0", "r0", rest)
			if ok != (regions["r0"] > 0) {
				t.Fatalf("%d VMs in the region, but a keeper is %t", regions["r0"], ok)
			}
			if ok && domains["d0"] > 0 && where[before].Domain != "d0" {
				t.Fatalf("%s keeps a backend server of d0", before)
			}
			if before != gone.VM && after != before {
				t.Fatalf("%s moves from %s to %s when %s goes", name, before, after, gone.VM)
			}
		}
	})
}

// VMs of another failure domain wait before they take over, and an earlier
// keeper's slots become free one after the other, or when it says so.
func TestFallback(t *testing.T) {
	now := time.Unix(1e9, 0)
	k := single(4, now)
	k.Tick(now.Add(time.Minute))
	now = now.Add(time.Minute)
	self := Member{VM: "vm0", Domain: "n2", Region: "north"}
	k.View([]Member{self, {VM: "vm1", Domain: "n1", Region: "north"}}, now)
	k.View([]Member{self}, now)
	offer := func(id uint64) Kind {
		k.Tick(now)
		return k.Offer(Request{ID: id, Service: "stock", Version: "v1", Deadline: now.Add(time.Minute)}, now).Kind
	}
	now = now.Add(2900 * time.Millisecond)
	if got := offer(1); got != Refused {
		t.Errorf("before the fallback: %v", got)
	}
	now = now.Add(100 * time.Millisecond)
	if got := offer(2); got != Queued {
		t.Errorf("at the fallback: %v", got)
	}
	k.Heard([]Holding{{Backend: "b0", Used: 2}}, now.Add(time.Millisecond))
	now = now.Add(2 * time.Millisecond)
	if starts, _ := k.Tick(now); len(starts) != 1 || offer(3) != Dispatch || offer(4) != Queued {
		t.Errorf("with two slots held: %v", starts)
	}
}

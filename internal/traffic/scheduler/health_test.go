package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// outage simulates the load of one service on 20 backend servers, some of which
// are dead for a time, and counts the requests that each receives.
type outage struct {
	t        *rapid.T
	sched    *Scheduler
	now      time.Time
	dead     map[sassafrastray.BackendName]bool
	inFlight map[uint64]Start
	endsAt   map[uint64]time.Time
	received map[sassafrastray.BackendName]int
	id       uint64
	failed   int
}

// run offers two requests every ten milliseconds for the duration d.
func (o *outage) run(d time.Duration) {
	o.received, o.failed = map[sassafrastray.BackendName]int{}, 0
	for end := o.now.Add(d); o.now.Before(end); o.now = o.now.Add(10 * time.Millisecond) {
		for id, at := range o.endsAt {
			if !o.now.Before(at) {
				o.finish(id)
			}
		}
		for range 2 {
			o.id++
			out := o.sched.Offer(Request{ID: o.id, Service: "s0", Version: "v1", Idempotent: o.id%8 == 0, Deadline: o.now.Add(time.Second)}, o.now)
			if out.Kind == Dispatched {
				o.start(Start{ID: o.id, Backend: out.Backend})
			}
		}
		starts, _ := o.sched.Tick(o.now)
		for _, s := range starts {
			o.start(s)
		}
	}
}

func (o *outage) start(s Start) {
	o.received[s.Backend]++
	o.inFlight[s.ID] = s
	o.endsAt[s.ID] = o.now.Add(20 * time.Millisecond)
	if o.dead[s.Backend] {
		o.endsAt[s.ID] = o.now
	}
}

func (o *outage) finish(id uint64) {
	s := o.inFlight[id]
	delete(o.inFlight, id)
	delete(o.endsAt, id)
	end := End{Kind: OK}
	if o.dead[s.Backend] {
		end.Kind = NotSent
		o.failed++
	}
	for _, s := range o.sched.Done(id, end, o.now) {
		o.start(s)
	}
}

// A dead backend server is marked as down within a second and then receives single
// probes only. If most are dead, the live ones still serve the remaining requests.
// One that is alive again starts with one slot and has all of its slots within 15
// seconds.
func TestOutageAndRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		o := &outage{
			t: t, sched: benchScheduler(1, now), now: now.Add(time.Minute), dead: map[sassafrastray.BackendName]bool{},
			inFlight: map[uint64]Start{}, endsAt: map[uint64]time.Time{},
		}
		o.run(time.Second)
		n := rapid.IntRange(1, 19).Draw(t, "dead")
		for i := range n {
			o.dead[sassafrastray.BackendName(fmt.Sprint("s0b", i))] = true
		}
		o.run(time.Second)
		o.run(time.Second)
		// A probe every 250 ms, or a request every 100 ms if most are dead.
		bound := 4
		if 2*n > 20 {
			bound = 10
		}
		for name := range o.dead {
			if o.received[name] > bound {
				t.Fatalf("%s is dead and received %d requests in a second", name, o.received[name])
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
			if b := o.sched.backends[name]; b.down || b.limit != b.slots || o.received[name] < 14 {
				t.Fatalf("%s is alive again, has a limit of %d and received %d requests", name, b.limit, o.received[name])
			}
		}
	})
}

// When one VM leaves the view, the backend servers of all other VMs keep their
// owner. VMs of other failure domains own a backend server only if its own failure
// domain has no live VM.
func TestOwner(t *testing.T) {
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
			before, ok := Owner(name, "d0", "r0", live)
			after, _ := Owner(name, "d0", "r0", rest)
			if ok != (regions["r0"] > 0) {
				t.Fatalf("%d VMs in the region, but Owner returned %t", regions["r0"], ok)
			}
			if ok && domains["d0"] > 0 && where[before].Domain != "d0" {
				t.Fatalf("%s owns a backend server of d0", before)
			}
			if before != gone.VM && after != before {
				t.Fatalf("%s moves from %s to %s when %s leaves", name, before, after, gone.VM)
			}
		}
	})
}

// VMs of another failure domain take over only after FallbackDelay. The slots of
// the previous owner become free one after the other, or when its holdings arrive.
func TestFallback(t *testing.T) {
	now := time.Unix(1e9, 0)
	sched := newSingleBackend(4, now)
	sched.Tick(now.Add(time.Minute))
	now = now.Add(time.Minute)
	self := Member{VM: "vm0", Domain: "n2", Region: "north"}
	sched.SetMembers([]Member{self, {VM: "vm1", Domain: "n1", Region: "north"}}, now)
	sched.SetMembers([]Member{self}, now)
	offer := func(id uint64) OutcomeKind {
		sched.Tick(now)
		return sched.Offer(Request{ID: id, Service: "stock", Version: "v1", Deadline: now.Add(time.Minute)}, now).Kind
	}
	now = now.Add(2900 * time.Millisecond)
	if got := offer(1); got != Refused {
		t.Errorf("before the fallback: %v", got)
	}
	now = now.Add(100 * time.Millisecond)
	if got := offer(2); got != Queued {
		t.Errorf("at the fallback: %v", got)
	}
	sched.ApplyHoldings([]Holding{{Backend: "b0", Used: 2}}, now.Add(time.Millisecond))
	now = now.Add(2 * time.Millisecond)
	if starts, _ := sched.Tick(now); len(starts) != 1 || offer(3) != Dispatched || offer(4) != Queued {
		t.Errorf("with two slots held: %v", starts)
	}
}

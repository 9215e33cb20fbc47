package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// actions returns the random actions of the mode by name. The two most common ones
// are listed twice, so that they are drawn more often.
func (w *world) actions() map[string]func(*rapid.T) {
	finish := func(kind EndKind) func(*rapid.T) {
		return func(*rapid.T) {
			if c := w.randomCall("running"); c != nil {
				w.end(c, kind)
			}
		}
	}
	as := map[string]func(*rapid.T){
		"burst":   func(*rapid.T) { w.burst() },
		"burst2":  func(*rapid.T) { w.burst() },
		"finish":  finish(OK),
		"finish2": finish(OK),
		"report": func(*rapid.T) {
			for _, s := range w.servers {
				w.report(s)
			}
		},
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.SampledFrom([]int{1, 10, 60, 250}).Draw(t, "ms")) * time.Millisecond)
		},
		"giveUp": func(*rapid.T) {
			if c := w.randomCall("queued"); c != nil {
				c.state = "cancelled"
				w.start(c.vm.sched.Cancel(c.ID, w.now))
			}
		},
		"late": func(t *rapid.T) {
			// Time passes without a tick, then a slot becomes free.
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 200}).Draw(t, "ms")) * time.Millisecond)
			if c := w.randomCall("running"); c != nil {
				w.end(c, OK)
			}
		},
	}
	if w.mode == noFaults {
		return as
	}
	as["views"] = func(*rapid.T) { w.changeViews() }
	as["takeover"] = func(*rapid.T) { w.takeover() }
	as["cancel"] = finish(Cancelled)
	if w.mode == sharedViews {
		return as
	}
	as["fail"] = finish(Failed)
	as["timeout"] = finish(Timeout)
	as["die"] = func(t *rapid.T) {
		s := rapid.SampledFrom(w.servers).Draw(t, "dies")
		s.dead = !s.dead
	}
	as["drain"] = func(t *rapid.T) {
		s := rapid.SampledFrom(w.servers).Draw(t, "drains")
		s.draining, s.acceptsDraining = true, w.drawBool("accepts")
	}
	as["restart"] = func(t *rapid.T) {
		s := rapid.SampledFrom(w.servers).Draw(t, "restarts")
		s.draining, s.knownDraining = false, map[sassafrastray.VMName]bool{}
	}
	as["peerDrain"] = func(t *rapid.T) {
		v, o := rapid.SampledFrom(w.vms).Draw(t, "from"), rapid.SampledFrom(w.vms).Draw(t, "to")
		for _, name := range v.sched.ReportedDraining(w.now) {
			o.sched.MarkDraining(name, w.now)
			s := w.server(name)
			s.knownDraining[o.VM] = s.draining && o.knows(name)
		}
	}
	as["config"] = func(*rapid.T) { w.reconfigure() }
	return as
}

// reconfigure applies a configuration to one VM that differs in its slots, marks a
// backend server as leaving, or lacks one.
func (w *world) reconfigure() {
	v := rapid.SampledFrom(w.vms).Draw(w.t, "configured")
	cfg := *w.config
	cfg.Fleet.Regions = slices.Clone(cfg.Fleet.Regions)
	cfg.Fleet.Regions[0].Slots = rapid.SampledFrom([]int{0, 4, 7}).Draw(w.t, "region")
	cfg.Services = slices.Clone(cfg.Services)
	s := &cfg.Services[rapid.IntRange(0, 1).Draw(w.t, "service")]
	s.Backends = slices.Clone(s.Backends)
	i := rapid.IntRange(0, len(s.Backends)-1).Draw(w.t, "backend")
	switch rapid.IntRange(0, 2).Draw(w.t, "change") {
	case 0:
		s.Backends[i].Leaving = true
	case 1:
		w.server(s.Backends[i].Name).knownDraining[v.VM] = false
		s.Backends = slices.Delete(s.Backends, i, i+1)
	}
	v.config = &cfg
	v.sched.Configure(&cfg, w.now)
}

// checkIdle fails if a request waits although it could use a free slot.
func (w *world) checkIdle() {
	if w.config.Fleet.Regions[0].Slots > 0 {
		return
	}
	for _, c := range w.calls {
		if c.state != "queued" {
			continue
		}
		for _, b := range w.config.Service(c.Service).Backends {
			owner, _ := Owner(b.Name, b.Domain, "north", c.vm.view)
			idle := w.inFlight(c.vm, w.server(b.Name)) < b.Slots
			if owner == c.vm.VM && idle && !slices.Contains(c.Exclude, b.Name) {
				w.t.Fatalf("request %d waits while %s has a free slot", c.ID, b.Name)
			}
		}
	}
}

// settle lets all requests end and checks that none is left.
func (w *world) settle() {
	for _, s := range w.servers {
		s.dead = false
	}
	for range 100 {
		for _, c := range slices.Clone(w.calls) {
			if c.state == "running" {
				w.end(c, OK)
			}
		}
		w.advance(50 * time.Millisecond)
	}
	w.require(len(w.calls) == 0, "%d requests never ended", len(w.calls))
	w.require(w.ended == len(w.byID), "%d of %d requests ended", w.ended, len(w.byID))
	for _, v := range w.vms {
		w.require(len(v.sched.inFlight)+len(v.sched.queued) == 0, "%s still tracks requests that have ended", v.VM)
	}
}

func TestScheduler(t *testing.T) {
	for _, mode := range []string{noFaults, sharedViews, allFaults} {
		t.Run(mode, func(t *testing.T) {
			sheds := 0
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(t, mode)
				as := w.actions()
				if mode == noFaults {
					as[""] = func(*rapid.T) {
						w.advance(time.Millisecond)
						w.checkIdle()
					}
				}
				t.Repeat(as)
				w.settle()
				sheds += w.sheds
			})
			if mode == allFaults && sheds == 0 {
				t.Error("no backend server ever shed a request, so two owners at once were never tested")
			}
		})
	}
}

// Between teams that always have waiting requests, the numbers of starts divided by
// the weights differ by no more than start-time fair queueing allows, in every
// interval.
func TestWeightedFairQueueing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		sched := newSingleBackend(rapid.IntRange(1, 4).Draw(t, "slots"), now)
		now = now.Add(5 * time.Second)
		sched.Tick(now)
		teams := []sassafrastray.TeamName{"a", "b", "c"}
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), 3, 3).Draw(t, "weights")
		id, owner, inFlight := uint64(0), map[uint64]int{}, []uint64{}
		offer := func(i int) {
			id++
			o := sched.Offer(Request{
				ID: id, Service: "stock", Version: "v1", Team: teams[i], Weight: weights[i],
				Deadline: now.Add(time.Hour),
			}, now)
			owner[id] = i
			if o.Kind == Dispatched {
				inFlight = append(inFlight, id)
			}
		}
		for i := range teams {
			for range rapid.IntRange(8, 24).Draw(t, "backlog") {
				offer(i)
			}
		}
		from, skip := make([]int, 3), rapid.IntRange(0, 30).Draw(t, "skip")
		count := make([]int, 3)
		for n := range skip + rapid.IntRange(1, 150).Draw(t, "starts") {
			if n == skip {
				copy(from, count)
			}
			now = now.Add(time.Millisecond)
			at := rapid.IntRange(0, len(inFlight)-1).Draw(t, "done")
			starts := slices.Clone(sched.Done(inFlight[at], End{Kind: OK}, now))
			inFlight = slices.Delete(inFlight, at, at+1)
			for _, s := range starts {
				inFlight = append(inFlight, s.ID)
				count[owner[s.ID]]++
				offer(owner[s.ID])
			}
		}
		for i := range teams {
			for j := range i {
				a := float64(count[i]-from[i]) / float64(weights[i])
				b := float64(count[j]-from[j]) / float64(weights[j])
				bound := 1/float64(weights[i]) + 1/float64(weights[j]) + 1e-9
				if a-b > bound || b-a > bound {
					t.Fatalf("weights %v got %v starts after %v", weights, count, from)
				}
			}
		}
	})
}

// newSingleBackend returns a scheduler that owns one backend server, which it has
// just taken over: its slots become free during the handover.
func newSingleBackend(slots int, now time.Time) *Scheduler {
	cfg := &sassafrastray.Config{
		Fleet: sassafrastray.Fleet{Domains: []sassafrastray.FailureDomain{{Name: "n1", Region: "north"}}},
		Services: []sassafrastray.Service{{Name: "stock", Backends: []sassafrastray.BackendServer{
			{Name: "b0", Domain: "n1", Slots: slots, Version: "v1"},
		}}},
	}
	sched := New("vm0", rand.New(rand.NewPCG(1, 2)), DefaultOptions())
	sched.Configure(cfg, now)
	sched.SetMembers([]Member{{VM: "vm0", Domain: "n1", Region: "north"}}, now)
	return sched
}

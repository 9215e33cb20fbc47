package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// Modes of a world.
const (
	noFaults    = "calm"  // nothing fails; no request waits while it could use a free slot
	sharedViews = "agree" // views change for all VMs at once; bounds hold for the sum over all VMs
	allFaults   = "wild"  // views differ between VMs, and faults occur everywhere
)

type (
	// server is a simulated backend server, which counts its requests itself.
	server struct {
		name            sassafrastray.BackendName
		slots, running  int
		dead, draining  bool
		freeAt          []time.Time                   // when the slots of cancelled requests become free
		knownDraining   map[sassafrastray.VMName]bool // VMs that know that it is draining
		stale           Report                        // an earlier report that is delivered late
		acceptsDraining bool
	}

	// call is a request with its actual state.
	call struct {
		Request
		vm      *vm
		state   string // queued, running, or how it ended
		server  *server
		started time.Time
		ran     int
	}

	vm struct {
		Member
		sched  *Scheduler
		view   []Member
		config *sassafrastray.Config
	}

	// world is the test oracle: it holds the actual state of all VMs and backend
	// servers and checks each decision against it.
	world struct {
		t       *rapid.T
		mode    string
		now     time.Time
		config  *sassafrastray.Config
		vms     []*vm
		servers []*server
		calls   []*call
		byID    map[uint64]*call
		sheds   int
		ended   int
	}
)

func newWorld(t *rapid.T, mode string) *world {
	w := &world{t: t, mode: mode, now: time.Unix(1e9, 0), byID: map[uint64]*call{}}
	cfg := &sassafrastray.Config{Fleet: sassafrastray.Fleet{
		Regions: []sassafrastray.Region{{Name: "north", Slots: rapid.SampledFrom([]int{0, 0, 4, 7}).Draw(t, "region")}},
		Domains: []sassafrastray.FailureDomain{{Name: "n1", Region: "north"}, {Name: "n2", Region: "north"}},
	}}
	for i, s := range []sassafrastray.ServiceName{"stock", "photo"} {
		svc := sassafrastray.Service{Name: s}
		for j := range 4 {
			b := sassafrastray.BackendServer{
				Name: sassafrastray.BackendName(fmt.Sprint(s, j)), Version: "v1",
				Domain: cfg.Fleet.Domains[j%2].Name, Slots: 1 + (i+j)%4,
			}
			svc.Backends = append(svc.Backends, b)
			w.servers = append(w.servers, &server{
				name: b.Name, slots: b.Slots, knownDraining: map[sassafrastray.VMName]bool{},
			})
		}
		cfg.Services = append(cfg.Services, svc)
	}
	w.config = cfg
	var all []Member
	for i := range 3 {
		all = append(all, Member{VM: sassafrastray.VMName(fmt.Sprint("vm", i)), Domain: cfg.Fleet.Domains[i%2].Name, Region: "north"})
	}
	for i, m := range all {
		opt := DefaultOptions()
		opt.MaxTeamQueue, opt.MaxTotalQueue = 4, 8
		v := &vm{Member: m, sched: New(m.VM, rand.New(rand.NewPCG(1, uint64(i))), opt), view: all, config: cfg}
		v.sched.Configure(cfg, w.now)
		v.sched.SetMembers(all, w.now)
		w.vms = append(w.vms, v)
	}
	for range 80 {
		w.advance(50 * time.Millisecond)
	}
	return w
}

// knows reports whether the configuration of the VM contains the server. A VM
// forgets the state of a server that is removed from its configuration.
func (v *vm) knows(name sassafrastray.BackendName) bool {
	return slices.ContainsFunc(v.config.Services, func(s sassafrastray.Service) bool {
		return slices.ContainsFunc(s.Backends, func(b sassafrastray.BackendServer) bool { return b.Name == name })
	})
}

func (w *world) server(name sassafrastray.BackendName) *server {
	return w.servers[slices.IndexFunc(w.servers, func(s *server) bool { return s.name == name })]
}

// inFlight counts the running calls of v at s. A nil VM or server stands for all of
// them.
func (w *world) inFlight(v *vm, s *server) int {
	n := 0
	for _, c := range w.calls {
		if c.state == "running" && (v == nil || c.vm == v) && (s == nil || c.server == s) {
			n++
		}
	}
	return n
}

// advance moves the clock and ticks every scheduler.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, s := range w.servers {
		s.freeAt = slices.DeleteFunc(s.freeAt, func(t time.Time) bool {
			if w.now.Before(t) {
				return false
			}
			s.running--
			return true
		})
	}
	if w.mode != allFaults {
		for _, c := range slices.Clone(w.calls) {
			if c.state == "running" && w.now.Sub(c.started) >= 300*time.Millisecond {
				w.end(c, OK)
			}
		}
	}
	for _, v := range w.vms {
		starts, drops := v.sched.Tick(w.now)
		for _, d := range slices.Clone(drops) {
			c := w.byID[d.ID]
			w.require(c.state == "queued", "request %d dropped while %s", d.ID, c.state)
			w.require(d.Reason != sassafrastray.ReasonDeadline || !w.now.Before(c.Deadline), "dropped before its deadline")
			c.state = "dropped"
		}
		w.start(starts)
	}
	w.calls = slices.DeleteFunc(w.calls, func(c *call) bool {
		if c.state == "queued" || c.state == "running" {
			return false
		}
		w.ended++
		return true
	})
}

func (w *world) require(ok bool, format string, args ...any) {
	if !ok {
		w.t.Fatalf(format, args...)
	}
}

func (w *world) start(starts []Start) {
	// All are checked before the first one runs: its answer may report that the
	// server is draining, which can't affect decisions made before.
	for _, s := range starts {
		w.requireNotDraining(w.byID[s.ID].vm, s.Backend)
	}
	for _, s := range slices.Clone(starts) {
		c := w.byID[s.ID]
		w.require(c.state == "queued", "request %d started while %s", s.ID, c.state)
		w.run(c, s.Backend)
	}
}

// requireNotDraining fails if the VM has been told that the server is draining.
func (w *world) requireNotDraining(v *vm, name sassafrastray.BackendName) {
	w.require(!w.server(name).knownDraining[v.VM], "%s sends to %s, which it knows to be draining", v.VM, name)
}

// run delivers a dispatched request to its server and checks the decision.
func (w *world) run(c *call, name sassafrastray.BackendName) {
	s := w.server(name)
	w.require(w.now.Before(c.Deadline), "request %d started after its deadline", c.ID)
	w.require(!slices.Contains(c.Exclude, name), "request %d started at an excluded server", c.ID)
	listed := slices.ContainsFunc(c.vm.config.Service(c.Service).Backends, func(b sassafrastray.BackendServer) bool {
		return b.Name == name && !b.Leaving
	})
	w.require(listed, "%s sends to %s, which is leaving or not configured", c.vm.VM, name)
	c.state, c.server, c.started = "running", s, w.now
	c.ran++
	w.require(c.ran == 1, "request %d ran twice", c.ID)
	w.require(w.inFlight(c.vm, s) <= s.slots, "%s has %d in flight at %s", c.vm.VM, w.inFlight(c.vm, s), name)
	if bound := c.vm.config.Fleet.Regions[0].Slots; bound > 0 {
		w.require(w.inFlight(c.vm, nil) <= bound, "%s is above the region's slots", c.vm.VM)
		w.require(w.mode == allFaults || w.inFlight(nil, nil) <= bound, "all VMs are above the region's slots")
	}
	if w.mode != allFaults {
		w.require(w.inFlight(nil, s) <= s.slots, "all VMs have %d in flight at %s", w.inFlight(nil, s), name)
	}
	switch {
	case s.dead:
		w.end(c, NotSent)
	case s.draining && !s.acceptsDraining, s.running >= s.slots:
		w.sheds++
		w.require(w.mode == allFaults, "%s shed", name)
		w.end(c, Shed)
	default:
		s.running++
	}
}

// end reports the end of a running call to its scheduler.
func (w *world) end(c *call, kind EndKind) {
	s := c.server
	switch kind {
	case OK, Failed:
		s.running--
	case Cancelled, Timeout:
		s.freeAt = append(s.freeAt, w.now.Add(50*time.Millisecond))
	case Shed, NotSent:
	}
	c.state = "ended"
	drain := s.draining && (kind == OK || kind == Shed)
	s.knownDraining[c.vm.VM] = s.knownDraining[c.vm.VM] || drain && c.vm.knows(s.name)
	w.start(c.vm.sched.Done(c.ID, End{Kind: kind, Drain: drain}, w.now))
}

// burst offers several requests for one service to one VM.
func (w *world) burst() {
	v := rapid.SampledFrom(w.vms).Draw(w.t, "vm")
	s := rapid.SampledFrom([]sassafrastray.ServiceName{"stock", "photo"}).Draw(w.t, "service")
	for range rapid.IntRange(1, 8).Draw(w.t, "burst") {
		w.offer(v, s)
	}
}

func (w *world) offer(v *vm, s sassafrastray.ServiceName) {
	c := &call{vm: v, Request: Request{
		ID: uint64(len(w.byID) + 1), Version: "v1", Service: s,
		Team:       rapid.SampledFrom([]sassafrastray.TeamName{"", "nan", "isan"}).Draw(w.t, "team"),
		Weight:     rapid.IntRange(0, 3).Draw(w.t, "weight"),
		Idempotent: w.drawBool("idempotent"),
		Deadline:   w.now.Add(time.Duration(rapid.IntRange(-1, 2000).Draw(w.t, "timeout")) * time.Millisecond),
	}}
	if rapid.IntRange(0, 3).Draw(w.t, "excludes") == 0 {
		servers := w.config.Service(s).Backends
		c.Exclude = []sassafrastray.BackendName{rapid.SampledFrom(servers).Draw(w.t, "excluded").Name}
	}
	w.byID[c.ID] = c
	w.calls = append(w.calls, c)
	o := v.sched.Offer(c.Request, w.now)
	switch o.Kind {
	case Dispatched:
		w.requireNotDraining(v, o.Backend)
		w.run(c, o.Backend)
	case Queued:
		c.state = "queued"
	case Refused:
		c.state = "refused"
	}
}

// randomCall returns a random call in the given state, or nil.
func (w *world) randomCall(state string) *call {
	var cs []*call
	for _, c := range w.calls {
		if c.state == state {
			cs = append(cs, c)
		}
	}
	if len(cs) == 0 {
		return nil
	}
	return rapid.SampledFrom(cs).Draw(w.t, state)
}

// report delivers a report of one server to all VMs. Numbers may be missing and
// reports late in every mode; they are wrong only in the mode allFaults.
func (w *world) report(s *server) {
	r := Report{At: w.now, State: Ready, InFlight: Known(s.running), Slots: Known(s.slots)}
	if s.draining {
		r.State = Draining
	}
	switch rapid.IntRange(0, 3).Draw(w.t, "fault") {
	case 0:
		r.InFlight, r.Slots = OptionalInt{}, OptionalInt{}
	case 1:
		s.stale, r = r, s.stale
	case 2:
		if w.mode == allFaults {
			r.InFlight = Known(rapid.IntRange(0, 9).Draw(w.t, "wrong value"))
			r.Slots = Known(rapid.IntRange(0, 9).Draw(w.t, "wrong value"))
		}
	}
	for _, v := range w.vms {
		s.knownDraining[v.VM] = s.knownDraining[v.VM] || r.State == Draining && s.draining && v.knows(s.name)
		v.sched.HandleReport(s.name, r, w.now)
	}
}

func (w *world) drawBool(label string) bool { return rapid.Bool().Draw(w.t, label) }

// changeViews gives one VM, or all of them in the mode sharedViews, another view.
func (w *world) changeViews() {
	var live []Member
	for _, v := range w.vms {
		if w.drawBool("live") {
			live = append(live, v.Member)
		}
	}
	if len(live) == 0 || w.drawBool("whole") {
		live = w.allMembers()
	}
	w.setView(live)
	w.exchangeHoldings()
}

// setView sets the view of one VM, or of all of them in the mode sharedViews.
func (w *world) setView(live []Member) {
	one := rapid.SampledFrom(w.vms).Draw(w.t, "viewer")
	for _, v := range w.vms {
		if w.mode == sharedViews || v == one {
			v.sched.SetMembers(live, w.now)
		}
	}
}

func (w *world) allMembers() []Member {
	var all []Member
	for _, v := range w.vms {
		all = append(all, v.Member)
	}
	return all
}

// takeover removes a busy VM from the views while another busy VM, which has
// received reports, takes over its backend servers.
func (w *world) takeover() {
	w.setView(w.allMembers())
	for range 50 {
		w.advance(50 * time.Millisecond)
	}
	s := rapid.SampledFrom([]sassafrastray.ServiceName{"stock", "photo"}).Draw(w.t, "service")
	from := rapid.SampledFrom(w.vms).Draw(w.t, "from")
	for range 6 {
		w.offer(from, s)
	}
	w.setView(slices.DeleteFunc(w.allMembers(), func(m Member) bool { return m.VM == from.VM }))
	w.advance(time.Millisecond)
	w.exchangeHoldings()
	for _, s := range w.servers {
		w.report(s)
	}
	for _, v := range w.vms {
		for range 6 {
			w.offer(v, s)
		}
	}
}

// exchangeHoldings delivers the holdings of some VMs to others.
func (w *world) exchangeHoldings() {
	for _, v := range w.vms {
		for _, o := range w.vms {
			if hs := v.sched.Holdings(w.now); o != v && w.drawBool("delivered") {
				o.sched.ApplyHoldings(hs, w.now)
			}
		}
	}
}

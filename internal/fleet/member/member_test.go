package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// machine is a small fleet under faults, with the values seen so far that the
// checks compare with.
type machine struct {
	*world
	opt      Options
	delayed  []message
	isolated map[sassafrastray.DomainName]bool
	// leaving has the incarnations that have begun to leave.
	leaving map[sassafrastray.Incarnation]bool
	// incs has, by the viewer's incarnation and the VM, the greatest
	// incarnation in the view; seenLeaving the incarnation that was seen
	// leaving; numbers, by failure domain, the greatest number of a summary;
	// and configs the viewer's greatest configuration.
	incs        map[sassafrastray.Incarnation]map[sassafrastray.VMName]sassafrastray.Incarnation
	seenLeaving map[sassafrastray.Incarnation]map[sassafrastray.VMName]sassafrastray.Incarnation
	numbers     map[sassafrastray.Incarnation]map[sassafrastray.DomainName]uint64
	configs     map[sassafrastray.Incarnation]int64
}

// TestConvergenceUnderFaults runs tables under loss, delay, repetition,
// restarts, pauses, cuts and lagging lists. No view may go back to an earlier
// state, and once the faults have ended all views must be right within
// viewBound.
func TestConvergenceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := DefaultOptions()
		opt.MaxDirect = rapid.SampledFrom([]int{2, 24}).Draw(t, "direct")
		m := newMachine(opt, rapid.IntRange(2, 4).Draw(t, "domains"), rapid.IntRange(1, 4).Draw(t, "each"), rapid.Uint64().Draw(t, "seed"))
		t.Repeat(map[string]func(*rapid.T){
			"time":    func(t *rapid.T) { m.run(rapid.IntRange(1, 20).Draw(t, "ticks"), t) },
			"lose":    func(t *rapid.T) { m.lose(t) },
			"delay":   func(t *rapid.T) { m.delay(t) },
			"repeat":  func(t *rapid.T) { m.repeat(t) },
			"restart": func(t *rapid.T) { m.restart(m.anyNode(t)) },
			"kill":    func(t *rapid.T) { m.nodes[m.anyNode(t)].up = false },
			"pause":   func(t *rapid.T) { n := m.nodes[m.anyNode(t)]; n.paused = !n.paused },
			"leave":   func(t *rapid.T) { m.leave(m.nodes[m.anyNode(t)]) },
			"retire":  func(t *rapid.T) { n := m.nodes[m.anyNode(t)]; n.listedLeaving = !n.listedLeaving },
			"cut":     func(t *rapid.T) { d := m.nodes[m.anyNode(t)].vm.Domain; m.isolated[d] = !m.isolated[d] },
			"list":    func(t *rapid.T) { i := m.anyNode(t); m.readList(i) },
			"publish": func(t *rapid.T) { m.publish(m.nodes[m.anyNode(t)]) },
			"":        func(t *rapid.T) { m.check(t) },
		})
		m.checkConvergence(t)
	})
}

func newMachine(opt Options, domains, each int, seed uint64) *machine {
	m := &machine{
		world: newWorld(domains, each, opt, seed), opt: opt,
		isolated:    make(map[sassafrastray.DomainName]bool),
		leaving:     make(map[sassafrastray.Incarnation]bool),
		incs:        make(map[sassafrastray.Incarnation]map[sassafrastray.VMName]sassafrastray.Incarnation),
		seenLeaving: make(map[sassafrastray.Incarnation]map[sassafrastray.VMName]sassafrastray.Incarnation),
		numbers:     make(map[sassafrastray.Incarnation]map[sassafrastray.DomainName]uint64),
		configs:     make(map[sassafrastray.Incarnation]int64),
	}
	for i, n := range m.nodes {
		n.inc += sassafrastray.Incarnation(i)
	}
	m.cut = func(a, b *node) bool {
		return a.vm.Domain != b.vm.Domain && (m.isolated[a.vm.Domain] || m.isolated[b.vm.Domain])
	}
	return m
}

func (m *machine) anyNode(t *rapid.T) int { return rapid.IntRange(0, len(m.nodes)-1).Draw(t, "vm") }

func (m *machine) run(ticks int, t *rapid.T) {
	for range ticks {
		m.step()
		m.check(t)
	}
}

// lose drops about half of the messages in flight.
func (m *machine) lose(t *rapid.T) { m.inFlight = half(m.inFlight, t) }

// delay keeps the messages in flight for a later delivery. About half of them
// are delivered now too.
func (m *machine) delay(t *rapid.T) {
	m.delayed = append(m.delayed, m.inFlight...)
	m.inFlight = half(m.inFlight, t)
}

// repeat delivers about half of the delayed messages.
func (m *machine) repeat(t *rapid.T) { m.inFlight = append(m.inFlight, half(m.delayed, t)...) }

func half(ms []message, t *rapid.T) []message {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "which"), 1))
	var out []message
	for _, msg := range ms {
		if rng.IntN(2) == 0 {
			out = append(out, msg)
		}
	}
	return out
}

func (m *machine) restart(i int) {
	m.now = m.now.Add(time.Microsecond)
	m.nodes[i].paused, m.nodes[i].config, m.nodes[i].extraRoundsLeft = false, 0, 0
	m.start(i, m.opt)
}

func (m *machine) leave(n *node) {
	if n.up {
		n.vm.State = sassafrastray.VMLeaving
		m.leaving[n.inc] = true
	}
}

func (m *machine) publish(n *node) {
	highest := int64(0)
	for _, o := range m.nodes {
		highest = max(highest, o.config)
	}
	if n.up {
		n.config, n.extraRoundsLeft = highest+1, extraRounds
	}
}

// check fails if a view has gone back: to an earlier incarnation, from leaving
// to live, or to a lower number of a domain or of a configuration.
func (m *machine) check(t *rapid.T) {
	for _, n := range m.nodes {
		if n.paused || !n.up {
			continue
		}
		if m.incs[n.inc] == nil {
			m.incs[n.inc] = make(map[sassafrastray.VMName]sassafrastray.Incarnation)
			m.seenLeaving[n.inc] = make(map[sassafrastray.VMName]sassafrastray.Incarnation)
			m.numbers[n.inc] = make(map[sassafrastray.DomainName]uint64)
		}
		if n.config < m.configs[n.inc] {
			t.Fatalf("%s: configuration %d after %d", n.vm.Name, n.config, m.configs[n.inc])
		}
		m.configs[n.inc] = n.config
		for _, v := range n.View(m.now) {
			m.checkMember(t, n, v)
		}
		for _, k := range n.SummaryVersions(m.now) {
			if k.Number < m.numbers[n.inc][k.Domain] {
				t.Fatalf("%s: domain %s at %d after %d", n.vm.Name, k.Domain, k.Number, m.numbers[n.inc][k.Domain])
			}
			m.numbers[n.inc][k.Domain] = k.Number
		}
	}
}

func (m *machine) checkMember(t *rapid.T, n *node, v Member) {
	if v.Incarnation < m.incs[n.inc][v.VM.Name] {
		t.Fatalf("%s: %s at incarnation %d after %d", n.vm.Name, v.VM.Name, v.Incarnation, m.incs[n.inc][v.VM.Name])
	}
	m.incs[n.inc][v.VM.Name] = v.Incarnation
	if n.entries[v.VM.Name].listedLeaving {
		return
	}
	if v.VM.State == sassafrastray.VMLeaving && m.leaving[v.Incarnation] {
		m.seenLeaving[n.inc][v.VM.Name] = v.Incarnation
	} else if m.seenLeaving[n.inc][v.VM.Name] == v.Incarnation {
		t.Fatalf("%s: %s is live after it was leaving", n.vm.Name, v.VM.Name)
	}
}

// checkConvergence ends all faults and fails if any view is wrong after
// viewBound. No configuration needs to have spread before the faults end.
func (m *machine) checkConvergence(t *rapid.T) {
	m.isolated, m.delayed = make(map[sassafrastray.DomainName]bool), nil
	highest := int64(0)
	for _, n := range m.nodes {
		n.paused, n.listedLeaving = false, false
		if n.up {
			highest = max(highest, n.config)
		}
	}
	for i := range m.nodes {
		m.readList(i)
	}
	for range viewBound / tick {
		m.step()
	}
	m.check(t)
	if fault := m.firstWrongView(); fault != "" {
		t.Fatalf("after %v without faults: %s", viewBound, fault)
	}
	if !m.configured(highest)() {
		t.Fatalf("after %v without faults some VM lacks configuration %d", viewBound, highest)
	}
}

// TestRelayedAge checks that the age of a relayed heartbeat counts.
func TestRelayedAge(t *testing.T) {
	w := newWorld(1, 3, Options{MaxDirect: 2, SparseSuspectAfter: time.Second, SparseDeadAfter: 3 * time.Second}, 1)
	n := w.nodes[0]
	n.ApplyRelayed(w.nodes[1].heartbeat(), 2*time.Second, w.now)
	if v := n.View(w.now); len(v) != 1 || !v[0].Suspect || v[0].Age != 2*time.Second {
		t.Errorf("%+v", v)
	}
	if v := n.View(w.now.Add(2 * time.Second)); len(v) != 0 {
		t.Errorf("%+v", v)
	}
}

// TestPausedWriter checks that a delegate with a view from before a long pause
// writes no summary.
func TestPausedWriter(t *testing.T) {
	w := newWorld(3, 3, Options{MaxDirect: 2, Delegates: 2, Fanout: 4, SparseSuspectAfter: 8 * time.Second, SparseDeadAfter: 10 * time.Second, StallTimeout: time.Second}, 1)
	w.until(w.settled)
	for _, n := range w.nodes {
		if !n.IsSummaryWriter(w.now) {
			continue
		}
		w.now = w.now.Add(time.Minute)
		n.Tick(w.now)
		if n.IsSummaryWriter(w.now) {
			t.Errorf("%s writes a summary from before its pause", n.vm.Name)
		}
		w.until(w.settled)
		for range 100 {
			w.step()
		}
	}
	if fault := w.firstWrongView(); fault != "" {
		t.Error(fault)
	}
}

// TestLateSummary checks that a summary that arrives after a newer one is
// ignored.
func TestLateSummary(t *testing.T) {
	w := newWorld(2, 2, Options{MaxDirect: 2, SparseSuspectAfter: time.Second, SparseDeadAfter: 3 * time.Second}, 1)
	n, a, b := w.nodes[0], w.nodes[1], w.nodes[3]
	first, second := SummaryVersion{Domain: "d-01", Number: 1, Hash: 5}, SummaryVersion{Domain: "d-01", Number: 2, Hash: 4}
	if !n.ApplySummary(second, []Heartbeat{b.heartbeat()}, w.now) || n.ApplySummary(first, []Heartbeat{a.heartbeat()}, w.now) || n.RefreshSummary(first, w.now) {
		t.Error("a late summary was applied")
	}
	if v := n.View(w.now); len(v) != 1 || v[0].VM.Name != b.vm.Name {
		t.Errorf("%+v", v)
	}
	if versions := n.SummaryVersions(w.now); len(versions) != 1 || versions[0] != second {
		t.Errorf("%+v", versions)
	}
}

// TestMemberMissingFromSummary checks that a VM of another domain is not in the
// view if its domain's summary does not name it, even after a direct heartbeat.
func TestMemberMissingFromSummary(t *testing.T) {
	w := newWorld(2, 2, Options{MaxDirect: 2, SparseSuspectAfter: time.Second, SparseDeadAfter: 3 * time.Second}, 1)
	n, a, b := w.nodes[0], w.nodes[1], w.nodes[3]
	n.ApplySummary(SummaryVersion{Domain: "d-01", Number: 1, Hash: 1}, []Heartbeat{b.heartbeat()}, w.now)
	n.ApplyHeartbeat(a.heartbeat(), w.now)
	if v := n.View(w.now); len(v) != 1 || v[0].VM.Name != b.vm.Name {
		t.Errorf("%+v", v)
	}
}

// TestStaleSummaryVersion checks that a version relayed long after its domain
// was lost keeps its age, so that the domain does not stay in view.
func TestStaleSummaryVersion(t *testing.T) {
	opt := Options{MaxDirect: 2, SparseSuspectAfter: 8 * time.Second, SparseDeadAfter: 10 * time.Second}
	w := newWorld(4, 1, opt, 1)
	n, far, lost := w.nodes[3], w.nodes[0], w.nodes[1]
	heartbeats := []Heartbeat{lost.heartbeat()}
	far.ApplySummary(SummaryVersion{Domain: "d-01", Number: 1, Hash: 1}, heartbeats, w.now)
	w.now = w.now.Add(9 * time.Second)
	versions, _ := far.NewerSummaries(n.SummaryVersions(w.now), w.now)
	n.ApplySummary(versions[0], heartbeats, w.now)
	w.now = w.now.Add(2 * time.Second)
	if v := n.View(w.now); len(v) != 0 {
		t.Errorf("%s is in view 11 s after its last heartbeat", v[0].VM.Name)
	}
}

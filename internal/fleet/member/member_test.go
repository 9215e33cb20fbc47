package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// machine is a small sparse fleet under faults, with what was ever true of it.
type machine struct {
	*world
	opt   Options
	pool  []message
	parts map[sassafrastray.DomainName]bool
	// left has the incarnations that began to leave.
	left map[sassafrastray.Incarnation]bool
	// incs and configs have, by viewer's incarnation and VM, the greatest
	// incarnation that its view held; numbers that of each domain's mark.
	incs    map[sassafrastray.Incarnation]map[sassafrastray.VMName]sassafrastray.Incarnation
	gone    map[sassafrastray.Incarnation]map[sassafrastray.VMName]sassafrastray.Incarnation
	numbers map[sassafrastray.Incarnation]map[sassafrastray.DomainName]uint64
	configs map[sassafrastray.Incarnation]int64
}

// TestTables runs tables under loss, delay, repetition, restarts, pauses, cuts
// and lagging lists. No view ever goes back, and once faults end all are right
// within the bound.
func TestTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := Defaults()
		opt.Direct = rapid.SampledFrom([]int{2, 24}).Draw(t, "direct")
		m := newMachine(opt, rapid.IntRange(2, 4).Draw(t, "domains"), rapid.IntRange(1, 4).Draw(t, "each"), rapid.Uint64().Draw(t, "seed"))
		t.Repeat(map[string]func(*rapid.T){
			"time":    func(t *rapid.T) { m.run(rapid.IntRange(1, 20).Draw(t, "ticks"), t) },
			"lose":    func(t *rapid.T) { m.drop(t) },
			"delay":   func(t *rapid.T) { m.hold(t) },
			"repeat":  func(t *rapid.T) { m.again(t) },
			"restart": func(t *rapid.T) { m.restart(m.any(t)) },
			"kill":    func(t *rapid.T) { m.nodes[m.any(t)].up = false },
			"pause":   func(t *rapid.T) { n := m.nodes[m.any(t)]; n.paused = !n.paused },
			"leave":   func(t *rapid.T) { m.leave(m.nodes[m.any(t)]) },
			"retire":  func(t *rapid.T) { n := m.nodes[m.any(t)]; n.retired = !n.retired },
			"cut":     func(t *rapid.T) { d := m.nodes[m.any(t)].vm.Domain; m.parts[d] = !m.parts[d] },
			"list":    func(t *rapid.T) { i := m.any(t); m.list(i) },
			"publish": func(t *rapid.T) { m.publish(m.nodes[m.any(t)]) },
			"":        func(t *rapid.T) { m.check(t) },
		})
		m.calm(t)
	})
}

func newMachine(opt Options, domains, each int, seed uint64) *machine {
	m := &machine{
		world: newWorld(domains, each, opt, seed), opt: opt,
		parts:   make(map[sassafrastray.DomainName]bool),
		left:    make(map[sassafrastray.Incarnation]bool),
		incs:    make(map[sassafrastray.Incarnation]map[sassafrastray.VMName]sassafrastray.Incarnation),
		gone:    make(map[sassafrastray.Incarnation]map[sassafrastray.VMName]sassafrastray.Incarnation),
		numbers: make(map[sassafrastray.Incarnation]map[sassafrastray.DomainName]uint64),
		configs: make(map[sassafrastray.Incarnation]int64),
	}
	for i, n := range m.nodes {
		n.inc += sassafrastray.Incarnation(i)
	}
	m.cut = func(a, b *node) bool {
		return a.vm.Domain != b.vm.Domain && (m.parts[a.vm.Domain] || m.parts[b.vm.Domain])
	}
	return m
}

func (m *machine) any(t *rapid.T) int { return rapid.IntRange(0, len(m.nodes)-1).Draw(t, "vm") }

func (m *machine) run(ticks int, t *rapid.T) {
	for range ticks {
		m.step()
		m.check(t)
	}
}

// drop loses about half of the messages under way.
func (m *machine) drop(t *rapid.T) { m.flying = half(m.flying, t) }

// hold keeps the messages under way for later. About half of them arrive now
// too.
func (m *machine) hold(t *rapid.T) {
	m.pool = append(m.pool, m.flying...)
	m.flying = half(m.flying, t)
}

// again lets about half of the messages arrive that were held.
func (m *machine) again(t *rapid.T) { m.flying = append(m.flying, half(m.pool, t)...) }

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
	m.nodes[i].paused, m.nodes[i].config, m.nodes[i].news = false, 0, 0
	m.start(i, m.opt)
}

func (m *machine) leave(n *node) {
	if n.up {
		n.vm.State = sassafrastray.VMLeaving
		m.left[n.inc] = true
	}
}

func (m *machine) publish(n *node) {
	highest := int64(0)
	for _, o := range m.nodes {
		highest = max(highest, o.config)
	}
	if n.up {
		n.config, n.news = highest+1, extraRounds
	}
}

// check fails if a view went back: to an earlier incarnation, from leaving to
// live, to a lower number of a domain or of a configuration.
func (m *machine) check(t *rapid.T) {
	for _, n := range m.nodes {
		if n.paused || !n.up {
			continue
		}
		if m.incs[n.inc] == nil {
			m.incs[n.inc] = make(map[sassafrastray.VMName]sassafrastray.Incarnation)
			m.gone[n.inc] = make(map[sassafrastray.VMName]sassafrastray.Incarnation)
			m.numbers[n.inc] = make(map[sassafrastray.DomainName]uint64)
		}
		if n.config < m.configs[n.inc] {
			t.Fatalf("%s: configuration %d after %d", n.vm.Name, n.config, m.configs[n.inc])
		}
		m.configs[n.inc] = n.config
		for _, v := range n.View(m.now) {
			m.checkMember(t, n, v)
		}
		for _, k := range n.Marks(m.now) {
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
	if n.entries[v.VM.Name].retired {
		return
	}
	if v.VM.State == sassafrastray.VMLeaving && m.left[v.Incarnation] {
		m.gone[n.inc][v.VM.Name] = v.Incarnation
	} else if m.gone[n.inc][v.VM.Name] == v.Incarnation {
		t.Fatalf("%s: %s is live after it was leaving", n.vm.Name, v.VM.Name)
	}
}

// calm ends all faults and fails if any view is wrong after the bounds. News
// may not have arrived anywhere before the faults ended.
func (m *machine) calm(t *rapid.T) {
	m.parts, m.pool = make(map[sassafrastray.DomainName]bool), nil
	highest := int64(0)
	for _, n := range m.nodes {
		n.paused, n.retired = false, false
		if n.up {
			highest = max(highest, n.config)
		}
	}
	for i := range m.nodes {
		m.list(i)
	}
	for range viewBound / tick {
		m.step()
	}
	m.check(t)
	if fault := m.unsettled(); fault != "" {
		t.Fatalf("after %v without faults: %s", viewBound, fault)
	}
	if !m.configured(highest)() {
		t.Fatalf("after %v without faults some VM lacks configuration %d", viewBound, highest)
	}
}

// TestRelayedAge has a heartbeat that was old when it was passed on.
func TestRelayedAge(t *testing.T) {
	w := newWorld(1, 3, Options{Direct: 2, SparseSuspect: time.Second, SparseDead: 3 * time.Second}, 1)
	n := w.nodes[0]
	n.Relayed(w.nodes[1].beat(), 2*time.Second, w.now)
	if v := n.View(w.now); len(v) != 1 || !v[0].Suspect || v[0].Age != 2*time.Second {
		t.Errorf("%+v", v)
	}
	if v := n.View(w.now.Add(2 * time.Second)); len(v) != 0 {
		t.Errorf("%+v", v)
	}
}

// TestPausedWriter has a delegate that wakes up with a view from long ago.
func TestPausedWriter(t *testing.T) {
	w := newWorld(3, 3, Options{Direct: 2, Delegates: 2, Fanout: 4, SparseSuspect: 8 * time.Second, SparseDead: 10 * time.Second, Stall: time.Second}, 1)
	w.until(w.settled)
	for _, n := range w.nodes {
		if !n.Writes(w.now) {
			continue
		}
		w.now = w.now.Add(time.Minute)
		n.Tick(w.now)
		if n.Writes(w.now) {
			t.Errorf("%s writes a summary from before its pause", n.vm.Name)
		}
		w.until(w.settled)
		for range 100 {
			w.step()
		}
	}
	if fault := w.unsettled(); fault != "" {
		t.Error(fault)
	}
}

// TestLateSummary has a summary that arrives after a newer one.
func TestLateSummary(t *testing.T) {
	w := newWorld(2, 2, Options{Direct: 2, SparseSuspect: time.Second, SparseDead: 3 * time.Second}, 1)
	n, a, b := w.nodes[0], w.nodes[1], w.nodes[3]
	first, second := Mark{Domain: "d-01", Number: 1, Sum: 5}, Mark{Domain: "d-01", Number: 2, Sum: 4}
	if !n.Learn(second, []Beat{b.beat()}, w.now) || n.Learn(first, []Beat{a.beat()}, w.now) || n.Refresh(first, w.now) {
		t.Error("a late summary is news")
	}
	if v := n.View(w.now); len(v) != 1 || v[0].VM.Name != b.vm.Name {
		t.Errorf("%+v", v)
	}
	if marks := n.Marks(w.now); len(marks) != 1 || marks[0] != second {
		t.Errorf("%+v", marks)
	}
}

// TestPassing has a VM of another domain that is heard directly, though its
// domain's summary names others.
func TestPassing(t *testing.T) {
	w := newWorld(2, 2, Options{Direct: 2, SparseSuspect: time.Second, SparseDead: 3 * time.Second}, 1)
	n, a, b := w.nodes[0], w.nodes[1], w.nodes[3]
	n.Learn(Mark{Domain: "d-01", Number: 1, Sum: 1}, []Beat{b.beat()}, w.now)
	n.Hear(a.beat(), w.now)
	if v := n.View(w.now); len(v) != 1 || v[0].VM.Name != b.vm.Name {
		t.Errorf("%+v", v)
	}
}

// TestStaleMark has a mark that is passed on long after its domain was lost.
func TestStaleMark(t *testing.T) {
	opt := Options{Direct: 2, SparseSuspect: 8 * time.Second, SparseDead: 10 * time.Second}
	w := newWorld(4, 1, opt, 1)
	n, far, lost := w.nodes[3], w.nodes[0], w.nodes[1]
	beats := []Beat{lost.beat()}
	far.Learn(Mark{Domain: "d-01", Number: 1, Sum: 1}, beats, w.now)
	w.now = w.now.Add(9 * time.Second)
	marks, _ := far.Newer(n.Marks(w.now), w.now)
	n.Learn(marks[0], beats, w.now)
	w.now = w.now.Add(2 * time.Second)
	if v := n.View(w.now); len(v) != 0 {
		t.Errorf("%s is in view 11 s after its last sign of life", v[0].VM.Name)
	}
}

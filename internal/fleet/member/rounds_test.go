package member

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"sassafrastray"
)

// fleets are the sizes at which times are measured.
var fleets = []struct{ domains, perDomain int }{{6, 2}, {10, 10}, {25, 16}, {74, 19}}

const (
	// newsBound is within what time news reaches every reachable VM.
	newsBound = 5 * time.Second
	// viewBound is within what time views are right after a change.
	viewBound = 20 * time.Second
)

// TestRounds counts the ticks until news and changes have spread in fleets of
// today's size and of the size above which they are sparse.
func TestRounds(t *testing.T) {
	for _, f := range fleets[:2] {
		w := newWorld(f.domains, f.perDomain, Defaults(), 7)
		m := w.measure()
		t.Logf("%d VMs in %d failure domains: %+v", len(w.nodes), f.domains, m)
		if m.configured > newsBound || m.settled > viewBound || m.lost > viewBound || m.back > viewBound || m.faults != "" {
			t.Errorf("%d VMs: %+v", len(w.nodes), m)
		}
	}
}

// BenchmarkRounds measures the same up to full size.
func BenchmarkRounds(b *testing.B) {
	for _, f := range fleets {
		b.Run(fmt.Sprintf("%d", f.domains*f.perDomain), func(b *testing.B) {
			seed := uint64(0)
			for b.Loop() {
				seed++
				m := newWorld(f.domains, f.perDomain, Defaults(), seed).measure()
				b.ReportMetric(m.configured.Seconds(), "config-s")
				b.ReportMetric(m.settled.Seconds(), "settled-s")
				b.ReportMetric(m.lost.Seconds(), "lost-s")
				b.ReportMetric(m.back.Seconds(), "back-s")
				b.ReportMetric(m.age.Seconds(), "age-s")
				b.Logf("%+v in 10 s", m.quiet)
				if m.faults != "" {
					b.Log(m.faults)
				}
			}
		})
	}
}

// spread is how long things take in a world.
type spread struct {
	// settled is from the start of all VMs, configured from one VM's having
	// a configuration to all VMs' having it, lost from the loss of a failure
	// domain until no view has it, and back from its return until all have.
	settled, configured, lost, back time.Duration
	// age is the greatest age in any view long after anything happened, and faults
	// the first fault of a view in that time.
	age    time.Duration
	faults string
	// quiet is what the messages of that time carried, 10 s of it.
	quiet carried
}

func (w *world) measure() spread {
	m := spread{settled: w.until(w.settled)}
	for i := range 200 {
		w.step()
		if i < 100 {
			w.sent = carried{}
			continue
		}
		m.faults = cmp.Or(m.faults, w.unsettled())
		for _, n := range w.nodes {
			for _, o := range n.View(w.now) {
				m.age = max(m.age, o.Age)
			}
		}
	}
	m.quiet = w.sent
	w.nodes[0].config, w.nodes[0].news = 1, extraRounds
	m.configured = w.until(w.configured(1))
	for _, n := range w.nodes {
		n.up = n.vm.Domain != "d-01"
	}
	m.lost = w.until(w.settled)
	for i, n := range w.nodes {
		if !n.up {
			w.start(i, n.opt)
		}
	}
	m.back = w.until(w.settled)
	return m
}

// until steps until the condition holds and returns the time that it took, a
// minute at most.
func (w *world) until(done func() bool) time.Duration {
	from := w.now
	for w.now.Sub(from) < time.Minute && !done() {
		w.step()
	}
	return w.now.Sub(from)
}

func (w *world) configured(number int64) func() bool {
	return func() bool {
		for _, n := range w.nodes {
			if n.up && n.config < number {
				return false
			}
		}
		return true
	}
}

// settled reports whether every view holds what it has to.
func (w *world) settled() bool { return w.unsettled() == "" }

// unsettled names the first fault of a view: a live VM of the own failure
// domain, or a whole other domain, that is missing, or a dead VM that is there.
func (w *world) unsettled() string {
	alive := make(map[sassafrastray.DomainName]bool)
	for _, n := range w.nodes {
		alive[n.vm.Domain] = alive[n.vm.Domain] || n.up && n.vm.State == sassafrastray.VMLive
	}
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		if fault := w.fault(n, alive); fault != "" {
			return string(n.vm.Name) + " " + fault
		}
	}
	return ""
}

func (w *world) fault(n *node, alive map[sassafrastray.DomainName]bool) string {
	domains := make(map[sassafrastray.DomainName]bool)
	names := make(map[sassafrastray.VMName]bool)
	for _, m := range n.View(w.now) {
		o := w.nodes[w.index[m.VM.Name]]
		if !o.up || m.Incarnation != o.inc {
			return "sees " + string(m.VM.Name) + ", which is dead"
		}
		if m.VM.State != o.vm.State {
			return "sees " + string(m.VM.Name) + " in another state"
		}
		if !m.Suspect && m.VM.State == sassafrastray.VMLive {
			domains[m.VM.Domain], names[m.VM.Name] = true, true
		}
	}
	for _, o := range w.nodes {
		if o == n || !o.up || o.vm.State != sassafrastray.VMLive {
			continue
		}
		if near := o.vm.Domain == n.vm.Domain || !n.Sparse(); near && !names[o.vm.Name] {
			return "lacks " + string(o.vm.Name)
		}
	}
	for d, a := range alive {
		if a && d != n.vm.Domain && !domains[d] {
			return "lacks failure domain " + string(d)
		}
	}
	return ""
}

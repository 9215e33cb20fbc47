package member

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"sassafrastray"
)

// fleets are the fleet sizes of TestRounds and BenchmarkRounds.
var fleets = []struct{ domains, perDomain int }{{6, 2}, {10, 10}, {25, 16}, {74, 19}}

const (
	// configBound is the time within which a new configuration reaches every
	// reachable VM.
	configBound = 5 * time.Second
	// viewBound is the time within which all views are right after a change.
	viewBound = 20 * time.Second
)

// TestRounds measures how long changes take to spread, in a fleet that is not
// sparse and in one that is.
func TestRounds(t *testing.T) {
	for _, f := range fleets[:2] {
		w := newWorld(f.domains, f.perDomain, DefaultOptions(), 7)
		m := w.measure()
		t.Logf("%d VMs in %d failure domains: %+v", len(w.nodes), f.domains, m)
		if m.configured > configBound || m.settled > viewBound || m.lost > viewBound || m.back > viewBound || m.wrongView != "" {
			t.Errorf("%d VMs: %+v", len(w.nodes), m)
		}
	}
}

// BenchmarkRounds measures the same in fleets of up to 1,406 VMs.
func BenchmarkRounds(b *testing.B) {
	for _, f := range fleets {
		b.Run(fmt.Sprintf("%d", f.domains*f.perDomain), func(b *testing.B) {
			seed := uint64(0)
			for b.Loop() {
				seed++
				m := newWorld(f.domains, f.perDomain, DefaultOptions(), seed).measure()
				b.ReportMetric(m.configured.Seconds(), "config-s")
				b.ReportMetric(m.settled.Seconds(), "settled-s")
				b.ReportMetric(m.lost.Seconds(), "lost-s")
				b.ReportMetric(m.back.Seconds(), "back-s")
				b.ReportMetric(m.age.Seconds(), "age-s")
				b.Logf("%+v in 10 s", m.quiet)
				if m.wrongView != "" {
					b.Log(m.wrongView)
				}
			}
		})
	}
}

// spread holds the times that changes take to spread in a world.
type spread struct {
	// settled is the time from the start of all VMs until all views are right,
	// configured from the configuration of one VM until all VMs have it, lost
	// from the loss of a failure domain until no view has it, and back from its
	// return until all have it.
	settled, configured, lost, back time.Duration
	// age is the greatest age in any view long after the last change, and
	// wrongView the first wrong view in that time.
	age       time.Duration
	wrongView string
	// quiet counts the messages of 10 s of that time.
	quiet messageCounts
}

func (w *world) measure() spread {
	m := spread{settled: w.until(w.settled)}
	for i := range 200 {
		w.step()
		if i < 100 {
			w.sent = messageCounts{}
			continue
		}
		m.wrongView = cmp.Or(m.wrongView, w.firstWrongView())
		for _, n := range w.nodes {
			for _, o := range n.View(w.now) {
				m.age = max(m.age, o.Age)
			}
		}
	}
	m.quiet = w.sent
	w.nodes[0].config, w.nodes[0].extraRoundsLeft = 1, extraRounds
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

// until steps until the condition holds, for a minute at most, and returns the
// time that it took.
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

// settled reports whether every view is right.
func (w *world) settled() bool { return w.firstWrongView() == "" }

// firstWrongView describes the first view that is wrong: it lacks a live VM of the
// own failure domain (of any domain if the fleet is not sparse) or another domain
// with live VMs, or it has a dead VM or a wrong state of a VM. It returns "" if all
// views are right.
func (w *world) firstWrongView() string {
	alive := make(map[sassafrastray.DomainName]bool)
	for _, n := range w.nodes {
		alive[n.vm.Domain] = alive[n.vm.Domain] || n.up && n.vm.State == sassafrastray.VMLive
	}
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		if wrong := w.wrongView(n, alive); wrong != "" {
			return string(n.vm.Name) + " " + wrong
		}
	}
	return ""
}

// wrongView describes what is wrong with the view of n, or returns "".
func (w *world) wrongView(n *node, alive map[sassafrastray.DomainName]bool) string {
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

package vm

import (
	"fmt"
	"testing"

	"sassafrastray"
)

// TestSparse runs more VMs than speak with each other directly. Each must
// learn of all failure domains, and of a configuration that reaches the store
// while only one of them can read it.
func TestSparse(t *testing.T) {
	var domains []sassafrastray.DomainName
	for i := range 26 {
		domains = append(domains, sassafrastray.DomainName(fmt.Sprintf("d%02d", i)))
	}
	w := newWorld(t, domains, 1)
	w.wait("every VM sees all others", func() bool {
		for _, v := range w.running {
			s, ok := v.report()
			if !ok {
				return false
			}
			live := 0
			for _, f := range s.VMs {
				if f.State == string(sassafrastray.VMLive) {
					live++
				}
			}
			if live != len(domains) {
				return false
			}
		}
		return true
	})
	w.platform.cutOff(domains[1:])
	w.publish()
	w.wait("every VM has the configuration", func() bool {
		for _, v := range w.running {
			if s, ok := v.report(); !ok || s.Config != w.config.Number {
				return false
			}
		}
		return true
	})
}

// TestMates has a VM that learns of its failure domain from one other.
func TestMates(t *testing.T) {
	v := sparseVM(t, 10, 10, 2)
	now := v.clock.Now()
	if n := len(v.members.View(now)); n != 9+9*4 {
		t.Errorf("%d VMs in view", n)
	}
	ask := lacking(v, 4, 3, 2)
	r := v.tells(ask, now)
	if len(r.Mates) != 4 || len(r.Marks) != 3 || len(r.Summaries) != 2 {
		t.Errorf("%d mates, %d marks, %d summaries", len(r.Mates), len(r.Marks), len(r.Summaries))
	}
	mate := fellowBeat(0, 3, 2, 101)
	mate.Heard, mate.VM.State = 500, sassafrastray.VMLeaving
	v.hearMate(&mate, now)
	far := fellowBeat(1, 3, 2, 101)
	v.hearMate(&far, now)
	for _, m := range v.members.View(now) {
		if m.VM.Name == mate.VM.Name && (m.VM.State != sassafrastray.VMLeaving || m.Age.Milliseconds() != 500) {
			t.Errorf("%+v", m)
		}
		if m.VM.Name == far.VM.Name && m.Sequence == 101 {
			t.Errorf("a VM of another failure domain taken for one of the own: %+v", m)
		}
	}
}

package vm

import (
	"fmt"
	"testing"

	"sassafrastray"
)

// TestSparseFleet runs more VMs than send heartbeats to each other directly.
// Each must learn of all failure domains, and of a configuration that is stored
// while only one VM can read the store.
func TestSparseFleet(t *testing.T) {
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

// TestRelayedHeartbeats checks what a VM relays of its failure domain, and that
// it accepts relayed heartbeats of its own failure domain only.
func TestRelayedHeartbeats(t *testing.T) {
	v := newSparseVM(t, 10, 10, 2)
	now := v.clock.Now()
	if n := len(v.members.View(now)); n != 9+9*4 {
		t.Errorf("%d VMs in view", n)
	}
	request := staleRequest(v, 4, 3, 2)
	r := v.relayAnswer(request, now)
	if len(r.Heartbeats) != 4 || len(r.SummaryVersions) != 3 || len(r.Summaries) != 2 {
		t.Errorf("%d heartbeats, %d versions, %d summaries", len(r.Heartbeats), len(r.SummaryVersions), len(r.Summaries))
	}
	relayed := testHeartbeat(0, 3, 2, 101)
	relayed.RelayAge, relayed.VM.State = 500, sassafrastray.VMLeaving
	v.applyRelayed(&relayed, now)
	far := testHeartbeat(1, 3, 2, 101)
	v.applyRelayed(&far, now)
	for _, m := range v.members.View(now) {
		if m.VM.Name == relayed.VM.Name && (m.VM.State != sassafrastray.VMLeaving || m.Age.Milliseconds() != 500) {
			t.Errorf("%+v", m)
		}
		if m.VM.Name == far.VM.Name && m.Sequence == 101 {
			t.Errorf("a VM of another failure domain applied as one of the own: %+v", m)
		}
	}
}

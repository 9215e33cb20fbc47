package edge

import (
	"math"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/traffic/placement"
)

// TestRegionsHearShares guards against VMs that decide on the share of other regions alone: in a
// large fleet each one has to hear of the requests of all VMs of its region, and of each other
// region together, within two rounds of heartbeats.
func TestRegionsHearShares(t *testing.T) {
	vms, clock := newFleetVMs(t, 10)
	services := []sassafrastray.Service{{Name: "orders"}}
	for _, v := range vms {
		v.placement.do(func(table *placement.Table, now time.Time) {
			table.Configure(services)
			table.Update([]sassafrastray.BackendServer{{Name: "s", Domain: v.self.Domain, Service: "orders", Slots: 1, Version: "v"}}, nil, now)
		})
	}
	exchangeHeartbeats(vms, notCut, clock.now)
	for second := range 4 {
		for ms := 0; ms < 1000; ms += 200 {
			for _, v := range vms {
				v.placement.do(func(table *placement.Table, now time.Time) {
					for range 10 {
						c, _ := table.Pick(placement.Request{Service: "orders", TimeLeft: time.Minute}, now)
						table.Done(c, placement.Cancelled, 0, nil, now)
					}
					table.Tick(now)
				})
			}
			clock.now = clock.now.Add(200 * time.Millisecond)
		}
		observeHeartbeats(vms, notCut, clock.now, func(h *gossip.Heartbeat) {
			if len(h.Shares) > 0 && h.Summary != nil {
				t.Fatal("the shares of one VM in a heartbeat to another region")
			}
			if second < 3 || h.Summary == nil {
				return
			}
			if len(h.Summary.Shares) != 1 || math.Abs(float64(h.Summary.Shares[0].Free)/10-20*50) > 100 {
				t.Fatalf("summary %+v, want 50 requests a second at each of 20 VMs", h.Summary.Shares)
			}
		})
	}
}

// TestNoSharesInASmallFleet guards against figures that VMs of a small fleet do not use.
func TestNoSharesInASmallFleet(t *testing.T) {
	vms, clock := newFleetVMs(t, 1)
	for range 2 {
		observeHeartbeats(vms, notCut, clock.now, func(h *gossip.Heartbeat) {
			if h.Shares != nil || h.Summary != nil {
				t.Fatalf("shares %+v, summary %+v", h.Shares, h.Summary)
			}
		})
		clock.now = clock.now.Add(time.Second)
	}
}

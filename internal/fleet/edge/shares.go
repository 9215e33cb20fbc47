package edge

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/traffic/placement"
)

// addShares adds the VM's shares of other regions to a message to a VM of its region.
func (v *VM) addShares(m *gossip.Heartbeat, to sassafrastray.VM) {
	if v.sharesRuns(to) {
		v.placement.do(func(t *placement.Table, now time.Time) { m.Shares = t.ShareReports(now) })
	}
}

// receiveShares processes the shares of another VM of the region.
func (v *VM) receiveShares(h *gossip.Heartbeat) {
	if v.sharesRuns(h.VM) {
		v.placement.do(func(t *placement.Table, now time.Time) { t.ReceiveShares(h.VM.Name, h.Shares, now) })
	}
}

package relay

import (
	"slices"
	"time"

	"sassafrastray"
)

type (
	// Helper is a VM that can take relayed requests.
	Helper struct {
		VM     sassafrastray.VM
		Region sassafrastray.RegionName
		// Distance is the round trip to its region.
		Distance time.Duration
	}

	// Table chooses the helper for each request. It is not safe for concurrent use.
	Table struct {
		helpers []Helper
		// active is the number of this VM's requests at each helper.
		active map[sassafrastray.VMName]int
	}
)

// NewTable returns a Table without helpers.
func NewTable() *Table { return &Table{active: make(map[sassafrastray.VMName]int)} }

// Update replaces the helpers.
func (t *Table) Update(helpers []Helper) { t.helpers = helpers }

// Pick chooses, among the helpers of the nearest region that all rules allow, the one with
// the fewest active requests for its capacity. An empty rule allows every region. The
// caller must call Done when the request has ended.
func (t *Table) Pick(regions [2][]sassafrastray.RegionName, exclude []sassafrastray.VMName) (sassafrastray.VM, bool) {
	var best *Helper
	for i := range t.helpers {
		h := &t.helpers[i]
		if slices.Contains(exclude, h.VM.Name) || !sassafrastray.InRegions(regions, h.Region) {
			continue
		}
		if best == nil || h.Distance < best.Distance || h.Distance == best.Distance && t.load(h) < t.load(best) {
			best = h
		}
	}
	if best == nil {
		return sassafrastray.VM{}, false
	}
	t.active[best.VM.Name]++
	return best.VM, true
}

// Done records that a request at a helper has ended.
func (t *Table) Done(name sassafrastray.VMName) {
	if t.active[name]--; t.active[name] <= 0 {
		delete(t.active, name)
	}
}

// load returns the active requests at a helper, with another one, for its capacity.
func (t *Table) load(h *Helper) float64 {
	n := float64(t.active[h.VM.Name] + 1)
	if h.VM.Cores > 0 {
		return n / h.VM.Cores
	}
	return n
}

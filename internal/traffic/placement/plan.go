package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// demandTicks is the number of ticks after which a request counts for a third.
	demandTicks = 5

	// minDemand is the number of requests a second below which a VM has no say in its region.
	minDemand = 0.5

	// evenMargin is the factor by which a region's demand per slot may exceed the mean of all
	// regions. Regions with the same demand would otherwise exchange objects, which other
	// servers then have to learn.
	evenMargin = 1.05

	// shareTime is how long a report counts. Each pair of VMs of a region, and each VM and
	// two of each other region, exchange heartbeats once a second.
	shareTime = 2500 * time.Millisecond

	// shareGain is the fraction of the difference from the region's share by which a VM's
	// own share changes in each tick.
	shareGain = 0.05

	// shareUnit and demandUnit are the units of the figures in a ShareReport.
	shareUnit  = 0.001
	demandUnit = 0.1

	// maxShareReports bounds the services in a report.
	maxShareReports = 32
)

type (
	// ShareReport is what a VM tells others of a service. Share is the share of objects that
	// it sends to other regions, and Load the requests per slot of its region's servers,
	// both in thousandths. Free are the requests a second that may go to any region, and
	// Bound those whose rules leave no choice, by the region that they go to, in tenths:
	// its own to VMs of its region, those of all its VMs to other regions. Both include the refused ones, since admission holds the load of
	// full servers near its target, so that the load does not tell how much more is asked
	// of them.
	ShareReport struct {
		Service sassafrastray.ServiceName        `json:"service"`
		Share   int                              `json:"share,omitempty"`
		Load    int                              `json:"load,omitempty"`
		Free    int                              `json:"free,omitempty"`
		Bound   map[sassafrastray.RegionName]int `json:"bound,omitempty"`
	}

	// demand holds requests for a service a second, as a ShareReport does.
	demand struct {
		free  float64
		bound map[sassafrastray.RegionName]float64
	}

	// demandCount counts the requests of a VM. They count for less in each tick, and span is
	// what a request in each tick would amount to, so that the rate is right from the first
	// ticks on.
	demandCount struct {
		demand
		span float64
	}

	// regionState is a ShareReport in its units, received at a time.
	regionState struct {
		share, load float64
		demand      demand
		at          time.Time
	}
)

func newDemand() demand { return demand{bound: make(map[sassafrastray.RegionName]float64)} }

func (d *demand) add(o *demand) {
	d.free += o.free
	for r, n := range o.bound {
		d.bound[r] += n
	}
}

func (d *demand) scale(factor float64) {
	d.free *= factor
	for r := range d.bound {
		d.bound[r] *= factor
	}
}

// tick lets earlier requests count for less.
func (c *demandCount) tick() {
	factor := math.Exp(-1.0 / demandTicks)
	c.free *= factor
	for r, n := range c.bound {
		c.bound[r] = n * factor
	}
	if c.free > 0 || len(c.bound) > 0 {
		c.span = (c.span + 1) * factor
	}
}

// perSecond returns the requests a second. It has none before the first tick.
func (c *demandCount) perSecond() demand {
	out, unit := newDemand(), c.span*tickInterval.Seconds()
	if c.span == 0 {
		return out
	}
	out.free = c.free / unit
	for r, n := range c.bound {
		out.bound[r] = n / unit
	}
	return out
}

// countDemand counts a request for which a server of the region is the best.
func (s *service) countDemand(r *Request, reason Reason, region sassafrastray.RegionName) {
	switch {
	case len(r.Exclude) > 0:
	case reason == Home, s.isBound(r):
		s.count.bound[region]++
	default:
		s.count.free++
	}
}

// isBound reports whether the servers of one region only may take the request.
func (s *service) isBound(r *Request) bool {
	n := 0
	for _, region := range s.regions {
		if len(s.servers[region]) > 0 && sassafrastray.InRegions(r.Regions, region) {
			n++
		}
	}
	return n == 1 && len(s.regions) > 1
}

// regionDemand returns the demand of the VM's region, as all its VMs report it. A VM alone has
// too few requests to tell. While the first requests arrive, the VMs that callers use and that
// have not reported any yet are assumed to have as many as the others.
func (s *service) regionDemand(t *Table, now time.Time) demand {
	out, vms := s.count.perSecond(), 1
	for _, p := range s.peers {
		if now.Sub(p.at) <= shareTime {
			out.add(&p.demand)
			vms++
		}
	}
	if known := t.regionPeers + 1; vms < known && now.Sub(s.firstRequest) <= shareTime {
		out.scale(float64(known) / float64(vms))
	}
	return out
}

// peerShare returns the mean share of the other VMs of the region, weighted by their requests,
// or false if none has reported.
func (s *service) peerShare(now time.Time) (float64, bool) {
	weight, sum := 0.0, 0.0
	for _, p := range s.peers {
		if now.Sub(p.at) <= shareTime {
			weight, sum = weight+p.demand.free, sum+p.demand.free*p.share
		}
	}
	return sum / max(weight, minDemand), weight >= minDemand
}

// plan returns the share of objects that this region should send away, from the demand of all
// regions: what the demand for its servers has beyond evenMargin times the mean of all regions
// by slots. It returns false if a region with servers has not reported.
func (s *service) plan(t *Table, now time.Time) (share float64, ok bool) {
	all, slots := s.regionDemand(t, now), 0
	free := all.free
	for _, region := range s.regions {
		n := s.slots(region)
		slots += n
		if region == t.opt.Region {
			continue
		}
		other := s.others[region]
		switch {
		case now.Sub(other.at) <= shareTime:
			all.add(&other.demand)
		case n > 0:
			return 0, false
		}
	}
	ownSlots := s.slots(t.opt.Region)
	if ownSlots == 0 || ownSlots == slots || free < minDemand {
		return 0, false
	}
	total, demand := all.free, free+all.bound[t.opt.Region]
	for _, n := range all.bound {
		total += n
	}
	excess := demand - evenMargin*total*float64(ownSlots)/float64(slots)
	return min(1, max(0, excess/free)), true
}

// othersLoad returns the requests per slot of the servers of the other regions, as their VMs report it.
func (s *service) othersLoad(t *Table) float64 {
	load, slots := 0.0, 0
	for _, region := range s.regions {
		if n := s.slots(region); region != t.opt.Region {
			load, slots = load+s.others[region].load*float64(n), slots+n
		}
	}
	return load / float64(max(1, slots))
}

// slots returns the slots of the service's servers in a region.
func (s *service) slots(region sassafrastray.RegionName) int {
	n := 0
	for _, v := range s.servers[region] {
		if !v.leaves() && !v.evacuated {
			n += v.Slots
		}
	}
	return n
}

// ShareReports returns what the other VMs of the region are told, for the services that this
// VM had requests for lately.
func (t *Table) ShareReports(now time.Time) []ShareReport {
	out := t.shareReports(func(s *service) demand { return s.count.perSecond() }, now)
	return slices.DeleteFunc(out, func(r ShareReport) bool { return r.Free == 0 && r.Bound == nil })
}

// RegionReports returns what VMs of other regions are told. A region without requests may have
// room for theirs.
func (t *Table) RegionReports(now time.Time) []ShareReport {
	return t.shareReports(func(s *service) demand { return s.regionDemand(t, now) }, now)
}

func (t *Table) shareReports(of func(*service) demand, now time.Time) []ShareReport {
	if !t.shared {
		return nil
	}
	in := func(n, unit float64) int { return int(math.Round(n / unit)) }
	var out []ShareReport
	for _, name := range slices.Sorted(maps.Keys(t.services))[:min(maxShareReports, len(t.services))] {
		s := t.services[name]
		d := of(s)
		r := ShareReport{
			Service: name, Share: in(s.remoteShare, shareUnit), Load: in(t.observedLoad(s, t.opt.Region, now), shareUnit), Free: in(d.free, demandUnit),
		}
		for region, n := range d.bound {
			if n < demandUnit {
				continue
			}
			if r.Bound == nil {
				r.Bound = make(map[sassafrastray.RegionName]int)
			}
			r.Bound[region] = in(n, demandUnit)
		}
		out = append(out, r)
	}
	return out
}

// ReceiveShares records what another VM of the region reported.
func (t *Table) ReceiveShares(from sassafrastray.VMName, reports []ShareReport, now time.Time) {
	t.receiveShares(reports, now, func(s *service, r regionState) {
		maps.DeleteFunc(s.peers, func(_ sassafrastray.VMName, p regionState) bool { return now.Sub(p.at) > shareTime })
		s.peers[from] = r
	})
	t.heard = t.heard || t.shared
}

// ReceiveRegion records what a VM of another region reported of that region.
func (t *Table) ReceiveRegion(region sassafrastray.RegionName, reports []ShareReport, now time.Time) {
	t.receiveShares(reports, now, func(s *service, r regionState) { s.others[region] = r })
}

// receiveShares passes the valid reports on. Others are ignored.
func (t *Table) receiveShares(reports []ShareReport, now time.Time, record func(*service, regionState)) {
	if !t.shared {
		return
	}
	for _, r := range reports[:min(len(reports), maxShareReports)] {
		s := t.services[r.Service]
		if s == nil || r.Share < 0 || float64(r.Share)*shareUnit > 1 || r.Load < 0 || r.Free < 0 {
			continue
		}
		d := newDemand()
		d.free = float64(r.Free) * demandUnit
		for region, n := range r.Bound {
			if s.servers[region] != nil && n > 0 {
				d.bound[region] = float64(n) * demandUnit
			}
		}
		record(s, regionState{share: float64(r.Share) * shareUnit, load: float64(r.Load) * shareUnit, demand: d, at: now})
	}
}

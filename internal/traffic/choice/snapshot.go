package choice

import (
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/scheduler"
)

type (
	// Peer is what is known of a VM: where it is, and its last figures with
	// the time when they were measured, zero if that is unknown.
	Peer struct {
		scheduler.Member
		Leaving bool
		Suspect bool
		At      time.Time
		Loads   []scheduler.Load
	}

	// Way is the link from the own region to another. Headroom is what this
	// VM may still send in bytes, zero if no figure is known.
	Way struct {
		To       sassafrastray.RegionName
		Delay    time.Duration
		Headroom int64
		At       time.Time
	}

	// Input is what a Snapshot is built from. Peers include the VM itself.
	Input struct {
		Self   scheduler.Member
		Peers  []Peer
		Ways   []Way
		Config *sassafrastray.Config
	}

	// Snapshot is an immutable view of the VMs to choose from. Only its
	// counters of sent requests change, atomically.
	Snapshot struct {
		tables map[key]*table
		routes map[sassafrastray.RegionName]*route
	}

	key struct {
		service sassafrastray.ServiceName
		version sassafrastray.VersionName
	}

	// table lists the candidates for one version of a service: those of the
	// own failure domain, then of the region, then all others. domain and
	// region are where the first two end.
	table struct {
		candidates     []candidate
		domain, region int
		way            time.Duration // to the nearest other region and back
		crossing       bool
	}
)

// New builds a snapshot. Counters go on from the previous one, which may be
// nil, for figures that have not changed.
func New(in Input, previous *Snapshot, now time.Time) *Snapshot {
	s := &Snapshot{
		tables: make(map[key]*table),
		routes: make(map[sassafrastray.RegionName]*route),
	}
	for _, w := range in.Ways {
		s.routes[w.To] = &route{delay: w.Delay, headroom: w.Headroom, at: w.At, sent: previous.bytes(w)}
	}
	for i := range in.Peers {
		if p := &in.Peers[i]; !p.Leaving && !p.Suspect {
			s.add(in, p, previous)
		}
	}
	for k, t := range s.tables {
		t.finish(in.Self, previous.crossing(k), now)
	}
	return s
}

// add enters the loads of one VM into the tables.
func (s *Snapshot) add(in Input, p *Peer, previous *Snapshot) {
	link := s.routes[p.Region]
	if p.Region == in.Self.Region {
		link = nil
	} else if link == nil {
		return
	}
	for i := range p.Loads {
		l := &p.Loads[i]
		svc := in.Config.Service(l.Service)
		if l.Slots <= 0 || svc == nil || !slices.Contains(svc.Regions, p.Region) {
			continue
		}
		s.enter(key{l.Service, l.Version}, candidate{
			vm: p.VM, domain: p.Domain, region: p.Region,
			near: p.Domain == in.Self.Domain, link: link, rivals: rivals(in, p.Region),
			slots: l.Slots, used: l.Used, queued: l.Queued,
			wait: l.Wait, teams: l.Teams, mean: l.Mean, at: p.At,
		}, previous)
	}
}

// enter adds a candidate, or adds its figures to the VM's earlier line, which
// is for another failure domain.
func (s *Snapshot) enter(k key, c candidate, previous *Snapshot) {
	t := s.tables[k]
	if t == nil {
		t = &table{}
		s.tables[k] = t
	}
	if n := len(t.candidates); n > 0 && t.candidates[n-1].vm == c.vm {
		last := &t.candidates[n-1]
		last.slots += c.slots
		last.used += c.used
		last.queued += c.queued
		return
	}
	c.sent = previous.counter(k, c)
	t.candidates = append(t.candidates, c)
}

// rivals is how many VMs outside the region may send to it.
func rivals(in Input, region sassafrastray.RegionName) int {
	n := 0
	for i := range in.Peers {
		if p := &in.Peers[i]; p.Region != region && !p.Leaving {
			n++
		}
	}
	return n
}

// finish orders the candidates and decides whether requests may cross links.
// Crossing begins when the wait is a quarter longer than the way, and goes on
// until it is shorter than the way.
func (t *table) finish(self scheduler.Member, crossing bool, now time.Time) {
	slices.SortStableFunc(t.candidates, func(a, b candidate) int { return a.tier() - b.tier() })
	for i := range t.candidates {
		c := &t.candidates[i]
		if c.near {
			t.domain = i + 1
		}
		if c.region == self.Region {
			t.region = i + 1
		} else if w := 2 * c.link.delay; t.way == 0 || w < t.way {
			t.way = w
		}
	}
	t.crossing = crossing
	t.crossing = t.crosses(now)
}

// crosses reports whether the wait of some team is reason to cross links. A
// team with no name stands for those that have nothing waiting.
func (t *table) crosses(now time.Time) bool {
	if t.region == 0 {
		return false
	}
	if t.tempted(t.least(0, t.region, "", now).cost("", now)) {
		return true
	}
	for i := range t.candidates[:t.region] {
		for _, w := range t.candidates[i].teams {
			if t.tempted(t.least(0, t.region, w.Team, now).cost(w.Team, now)) {
				return true
			}
		}
	}
	return false
}

// tempted reports whether a local cost is reason to look at other regions.
func (t *table) tempted(cost time.Duration) bool {
	if t.crossing {
		return cost > t.way
	}
	return cost > t.way+t.way/4
}

func (c *candidate) tier() int {
	switch {
	case c.near:
		return 0
	case c.link == nil:
		return 1
	}
	return 2
}

// counter returns the previous counter for the same figure, or a new one.
func (s *Snapshot) counter(k key, c candidate) *counter {
	if s != nil && s.tables[k] != nil {
		for i := range s.tables[k].candidates {
			if o := &s.tables[k].candidates[i]; o.vm == c.vm && o.at.Equal(c.at) {
				return o.sent
			}
		}
	}
	return &counter{}
}

// bytes returns the previous counter of a link for the same figure, or a new
// one.
func (s *Snapshot) bytes(w Way) *counter {
	if s != nil {
		if r := s.routes[w.To]; r != nil && r.at.Equal(w.At) {
			return r.sent
		}
	}
	return &counter{}
}

// crossing reports whether requests crossed links before.
func (s *Snapshot) crossing(k key) bool {
	return s != nil && s.tables[k] != nil && s.tables[k].crossing
}

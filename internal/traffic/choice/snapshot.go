package choice

import (
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/scheduler"
)

type (
	// Peer is a VM with its location and its latest load reports. At is when
	// the reports were measured, zero if that is unknown.
	Peer struct {
		scheduler.Member
		Leaving bool
		Suspect bool
		At      time.Time
		Loads   []scheduler.Load
	}

	// Link is the link from this VM's region to another. Headroom is how
	// many bytes this VM may still send, zero if that is unknown, and At is
	// when it was measured.
	Link struct {
		To       sassafrastray.RegionName
		Delay    time.Duration
		Headroom int64
		At       time.Time
	}

	// Input is what a Snapshot is built from. Peers include the VM itself.
	Input struct {
		Self   scheduler.Member
		Peers  []Peer
		Links  []Link
		Config *sassafrastray.Config
	}

	// Snapshot is an immutable view of the VMs to choose from, except for
	// its atomic counters of sent requests.
	Snapshot struct {
		tables map[key]*table
		links  map[sassafrastray.RegionName]*regionLink
	}

	key struct {
		service sassafrastray.ServiceName
		version sassafrastray.VersionName
	}

	// table lists the candidates for one version of a service: those of this
	// VM's failure domain, then of its region, then all others. domainEnd
	// and regionEnd are the indexes after the first two groups.
	table struct {
		candidates           []candidate
		domainEnd, regionEnd int
		roundTrip            time.Duration // to the nearest other region and back
		crossing             bool          // requests may go to other regions because of the local cost
	}
)

// New builds a snapshot. It takes over the counters of the previous one, which
// may be nil, for reports that have not changed.
func New(in Input, previous *Snapshot, now time.Time) *Snapshot {
	s := &Snapshot{
		tables: make(map[key]*table),
		links:  make(map[sassafrastray.RegionName]*regionLink),
	}
	for _, l := range in.Links {
		s.links[l.To] = &regionLink{delay: l.Delay, headroom: l.Headroom, reportedAt: l.At, sent: previous.linkCounter(l)}
	}
	for i := range in.Peers {
		if p := &in.Peers[i]; !p.Leaving && !p.Suspect {
			s.addPeer(in, p, previous)
		}
	}
	for k, t := range s.tables {
		t.finish(in.Self, previous.crossing(k), now)
	}
	return s
}

// addPeer adds the load reports of one VM to the tables.
func (s *Snapshot) addPeer(in Input, p *Peer, previous *Snapshot) {
	link := s.links[p.Region]
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
		s.addCandidate(key{l.Service, l.Version}, candidate{
			vm: p.VM, domain: p.Domain, region: p.Region,
			sameDomain: p.Domain == in.Self.Domain, link: link, remoteSenders: countRemoteSenders(in, p.Region),
			slots: l.Slots, used: l.Used, queued: l.Queued,
			wait: l.Wait, teams: l.Teams, mean: l.Mean, reportedAt: p.At,
		}, previous)
	}
}

// addCandidate adds a candidate. If the VM already has one, for backend servers of
// another failure domain, the load is added to that one.
func (s *Snapshot) addCandidate(k key, c candidate, previous *Snapshot) {
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

// countRemoteSenders returns how many VMs outside the region may send to it.
func countRemoteSenders(in Input, region sassafrastray.RegionName) int {
	n := 0
	for i := range in.Peers {
		if p := &in.Peers[i]; p.Region != region && !p.Leaving {
			n++
		}
	}
	return n
}

// finish sorts the candidates and decides whether requests may cross links to other
// regions although this VM's region has candidates. As hysteresis, crossing begins
// when the local cost is a quarter above the round trip to the nearest other region,
// and ends when it falls to the round trip.
func (t *table) finish(self scheduler.Member, crossing bool, now time.Time) {
	slices.SortStableFunc(t.candidates, func(a, b candidate) int { return a.tier() - b.tier() })
	for i := range t.candidates {
		c := &t.candidates[i]
		if c.sameDomain {
			t.domainEnd = i + 1
		}
		if c.region == self.Region {
			t.regionEnd = i + 1
		} else if rtt := 2 * c.link.delay; t.roundTrip == 0 || rtt < t.roundTrip {
			t.roundTrip = rtt
		}
	}
	t.crossing = crossing
	t.crossing = t.shouldCross(now)
}

// shouldCross reports whether the local cost for any team justifies crossing
// links. The empty team name stands for teams that have no request queued.
func (t *table) shouldCross(now time.Time) bool {
	if t.regionEnd == 0 {
		return false
	}
	if t.exceedsRoundTrip(t.cheapest(0, t.regionEnd, "", now).cost("", now)) {
		return true
	}
	for i := range t.candidates[:t.regionEnd] {
		for _, l := range t.candidates[i].teams {
			if t.exceedsRoundTrip(t.cheapest(0, t.regionEnd, l.Team, now).cost(l.Team, now)) {
				return true
			}
		}
	}
	return false
}

// exceedsRoundTrip reports whether a local cost is high enough to consider
// other regions.
func (t *table) exceedsRoundTrip(cost time.Duration) bool {
	if t.crossing {
		return cost > t.roundTrip
	}
	return cost > t.roundTrip+t.roundTrip/4
}

// tier returns 0 for a VM of this VM's failure domain, 1 for others of the region,
// and 2 for those of other regions.
func (c *candidate) tier() int {
	switch {
	case c.sameDomain:
		return 0
	case c.link == nil:
		return 1
	}
	return 2
}

// counter returns the previous counter if the candidate's report has not
// changed, or else a new one.
func (s *Snapshot) counter(k key, c candidate) *counter {
	if s != nil && s.tables[k] != nil {
		for i := range s.tables[k].candidates {
			if o := &s.tables[k].candidates[i]; o.vm == c.vm && o.reportedAt.Equal(c.reportedAt) {
				return o.sent
			}
		}
	}
	return &counter{}
}

// linkCounter returns the previous counter of the link if its headroom report
// has not changed, or else a new one.
func (s *Snapshot) linkCounter(l Link) *counter {
	if s != nil {
		if r := s.links[l.To]; r != nil && r.reportedAt.Equal(l.At) {
			return r.sent
		}
	}
	return &counter{}
}

// crossing reports whether requests could cross links in this snapshot.
func (s *Snapshot) crossing(k key) bool {
	return s != nil && s.tables[k] != nil && s.tables[k].crossing
}

package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sassafrastray"
)

// Reasons for which a server may not take a request.
const (
	OtherRegion  Exclusion = "region"    // the rules of the request do not allow its region
	OtherVersion Exclusion = "version"   // the request does not go to its version
	Departing    Exclusion = "leaving"   // its entry or its answers say that it leaves
	Evacuated    Exclusion = "evacuated" // its failure domain is evacuated
	PauseNamed   Exclusion = "paused"    // it wants no requests of this VM for a while
	Blocked      Exclusion = "blocked"   // requests failed there, or the one after that is under way
	LimitReached Exclusion = "limited"   // its limit allows no request of this VM now
	ColdServer   Exclusion = "cold"      // it has just started and had its requests
	Tried        Exclusion = "tried"     // an earlier try of the request went there
)

const (
	// maxOptions and maxExcludedNames bound what a Forecast lists.
	maxOptions       = 10
	maxExcludedNames = 4
)

type (
	// Exclusion says why a server may not take a request.
	Exclusion string

	// Forecast says what Pick would do with a request.
	Forecast struct {
		// Sent says that the request would be sent to Server. If it is refused, Server is
		// the best one that was considered, or empty, and Retry the time to come back.
		Sent   bool                      `json:"sent"`
		Server sassafrastray.BackendName `json:"server,omitempty"`
		Reason Reason                    `json:"reason"`
		Retry  time.Duration             `json:"retry,omitempty"`
		// Shared says that the VMs of the region share their reports of runs.
		Shared bool `json:"shared"`
		// Away is the share of the service's objects that go to other regions.
		Away float64 `json:"away"`
		// Levels describe the admission in each region, where reports are shared.
		Levels []RegionLevel `json:"levels,omitempty"`
		// Candidates is the number of servers that may take the request. Options are the
		// best of them by expected time, and the chosen one.
		Candidates int        `json:"candidates"`
		Options    []Option   `json:"options,omitempty"`
		Excluded   []Excluded `json:"excluded,omitempty"`
	}

	// RegionLevel is the admission of a service's requests at the servers of a region.
	RegionLevel struct {
		Region sassafrastray.RegionName `json:"region"`
		// Load is the number of requests per slot. Level is the share of the requests of
		// priority 1 that is admitted, or -1 if no request was decided on yet.
		Load  float64 `json:"load"`
		Level float64 `json:"level"`
	}

	// Option is a server that may take the request.
	Option struct {
		Server  sassafrastray.BackendName `json:"server"`
		Domain  sassafrastray.DomainName  `json:"domain"`
		Region  sassafrastray.RegionName  `json:"region"`
		Version sassafrastray.VersionName `json:"version"`
		Chosen  bool                      `json:"chosen,omitempty"`
		Load    float64                   `json:"load"`
		Slots   int                       `json:"slots"`
		Wait    time.Duration             `json:"wait"`
		Work    time.Duration             `json:"work"`
		// Expected is the time until the answer, with penalties.
		Expected time.Duration `json:"expected"`
		// Knows says whether the server is expected to know the request's object. It is
		// empty for a request without an object.
		Knows Knowledge `json:"knows,omitempty"`
		// Age is the age of the load report, or negative if there is none.
		Age time.Duration `json:"age"`
	}

	// Excluded are the servers that may not take the request for one reason, some of them
	// by name.
	Excluded struct {
		Reason Exclusion                   `json:"reason"`
		Count  int                         `json:"count"`
		Names  []sassafrastray.BackendName `json:"names"`
	}
)

// Forecast returns what Pick would do with the request, and from what. It runs Pick on a copy
// of the service's state, which draws from rng, and changes nothing in the table.
func (t *Table) Forecast(r Request, rng *rand.Rand, now time.Time) Forecast {
	c := t.copyService(r.Service, rng)
	out := Forecast{Shared: c.shared}
	svc := c.services[r.Service]
	if svc != nil {
		// Before the pick, which counts a request at the chosen server, and with other
		// draws than those of the pick.
		c.rng = rand.New(rand.NewPCG(0, 0))
		c.listServers(&out, svc, &r, now)
		c.rng = rng
	}
	choice, sent := c.Pick(r, now)
	out.Sent, out.Server, out.Reason, out.Retry = sent, choice.Server.Name, choice.Reason, choice.RetryAfter
	if svc == nil {
		return out
	}
	out.Away = svc.remoteShare
	out.limitOptions()
	if c.gate != nil {
		out.Levels = c.levels(svc, now)
	}
	return out
}

// copyService returns a table with a copy of one service's state, or of none if it is not
// known. The copy shares only what Pick does not write.
func (t *Table) copyService(name sassafrastray.ServiceName, rng *rand.Rand) *Table {
	out := New(t.opt, rng)
	out.distances, out.fleet, out.regionPeers, out.firstSeen, out.shared, out.heard = t.distances, t.fleet, t.regionPeers, t.firstSeen, t.shared, t.heard
	if t.gate != nil {
		out.gate = t.gate.Clone(rng)
	}
	svc := t.services[name]
	if svc == nil {
		return out
	}
	c := *svc
	c.count = demandCount{demand: newDemand()}
	c.servers = make(map[sassafrastray.RegionName][]*server, len(svc.servers))
	for region, list := range svc.servers {
		for _, s := range list {
			c.servers[region] = append(c.servers[region], s.clone(&c))
		}
	}
	out.services[name] = &c
	return out
}

func (s *server) clone(svc *service) *server {
	c := *s
	c.service = svc
	c.started, c.learning, c.borrowsObjects = slices.Clone(s.started), slices.Clone(s.learning), true
	if s.limit != nil {
		l := *s.limit
		c.limit = &l
	}
	return &c
}

// listServers adds all servers of the service, those that may take the request by expected
// time and the others by the reason why they may not.
func (t *Table) listServers(out *Forecast, svc *service, r *Request, now time.Time) {
	for _, region := range svc.regions {
		for _, s := range svc.servers[region] {
			if why := t.exclusion(svc, s, r, now); why != "" {
				out.exclude(why, s.Name)
			}
		}
	}
	object, away := uint64(0), false
	if r.Sticky && r.Object != "" {
		hash, position := t.object(*r)
		svc.initRemoteShare(t, now)
		object, away = hash, position < svc.remoteShare
	}
	local, remote := t.allowedServers(svc, r)
	t.listOptions(out, svc, local, t.nearDomain(svc, local, r), r, object, true, now)
	t.listOptions(out, svc, remote, "", r, object, away, now)
	slices.SortStableFunc(out.Options, func(a, b Option) int {
		return cmp.Or(cmp.Compare(a.Expected, b.Expected), strings.Compare(string(a.Server), string(b.Server)))
	})
	out.Candidates = len(out.Options)
}

func (t *Table) listOptions(
	out *Forecast, svc *service, list []*server, near sassafrastray.DomainName, r *Request, object uint64, assumeKnown bool, now time.Time,
) {
	first, second := preferred(svc, list, near, r, object)
	shared := t.shared && !r.Narrow
	known := make(map[*server]bool)
	if shared && object != 0 {
		found := t.findCandidates(svc, list, near, r, object, now)
		if len(found.holders) == 0 && found.learner != nil {
			known[found.learner] = true
		}
		for _, s := range found.holders {
			known[s] = true
		}
	}
	for _, s := range list {
		if t.exclusion(svc, s, r, now) != "" {
			continue
		}
		var c candidate
		if shared {
			c = t.expect(svc, s, object == 0 || known[s], now)
		} else {
			c = t.estimatePenalized(svc, s, object, assumeKnown && s == first, s == first || s == second, now)
		}
		o := Option{
			Server: s.Name, Domain: s.Domain, Region: s.region, Version: s.Version, Load: c.load, Slots: s.Slots,
			Wait: c.wait, Work: c.work, Expected: c.cost, Age: t.reportAge(s, now),
		}
		switch {
		case object == 0:
		case c.warm:
			o.Knows = KnownObject
		default:
			o.Knows = NewObject
		}
		out.Options = append(out.Options, o)
	}
}

// exclusion returns why the server may not take the request now, or "" if it may.
func (t *Table) exclusion(svc *service, s *server, r *Request, now time.Time) Exclusion {
	switch {
	case !sassafrastray.InRegions(r.Regions, s.region):
		return OtherRegion
	case !svc.allowsVersion(s, r):
		return OtherVersion
	case s.leaves():
		return Departing
	case s.evacuated:
		return Evacuated
	case slices.Contains(r.Exclude, s.Name):
		return Tried
	case s.isPaused(now):
		return PauseNamed
	case now.Before(s.blockedUntil) || s.trial:
		return Blocked
	case s.isLimited(now):
		return LimitReached
	case !t.mayTake(svc, s, r, now):
		return ColdServer
	}
	return ""
}

func (f *Forecast) exclude(why Exclusion, name sassafrastray.BackendName) {
	i := slices.IndexFunc(f.Excluded, func(e Excluded) bool { return e.Reason == why })
	if i < 0 {
		i = len(f.Excluded)
		f.Excluded = append(f.Excluded, Excluded{Reason: why})
	}
	e := &f.Excluded[i]
	e.Count++
	if len(e.Names) < maxExcludedNames {
		e.Names = append(e.Names, name)
	}
}

// limitOptions keeps the best options, and the chosen one in place of the last of them.
func (f *Forecast) limitOptions() {
	i := slices.IndexFunc(f.Options, func(o Option) bool { return o.Server == f.Server })
	if i >= 0 {
		f.Options[i].Chosen = f.Sent
	}
	if i >= maxOptions {
		f.Options[maxOptions-1] = f.Options[i]
	}
	f.Options = f.Options[:min(maxOptions, len(f.Options))]
}

// levels returns the admission in the regions of the service.
func (t *Table) levels(svc *service, now time.Time) []RegionLevel {
	var out []RegionLevel
	for _, region := range svc.regions {
		list := svc.servers[region]
		if len(list) == 0 {
			continue
		}
		l := RegionLevel{Region: region, Load: t.regionLoad(svc, region, now), Level: -1}
		if level, ok := t.gate.Level(svc.name, region); ok {
			l.Level = level
		}
		out = append(out, l)
	}
	return out
}

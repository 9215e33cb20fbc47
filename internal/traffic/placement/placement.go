// Package placement chooses the backend server for each request of one VM.
//
// A backend server works faster on an object that it handled recently, so all
// VMs prefer the same servers for an object: those with the highest rendezvous
// hash of object and server in each region. The choice among servers is by
// expected time: the round trip, the processing time of an object that the
// server knows or does not know, the wait behind the requests already there, and
// a penalty for recent failures. If the load exceeds the capacity of the VM's
// region, a share of the objects, which changes slowly, is assigned to other
// regions.
//
// The package does no I/O. Callers hold a lock around all calls.
package placement

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/admission"
)

const (
	// minFleetSize is the smallest number of VMs among which the rate of
	// requests to a cold server is divided, since not all VMs may be known
	// yet.
	minFleetSize = 12

	// coldFraction is the fraction of the allowed rate to a cold server that
	// is used. The rest allows for VMs that learn of each other late.
	coldFraction = 0.75

	// startupPeriod is the time after the first backend servers were seen
	// in which a new one counts as already running, and is cold only if it
	// reports so itself.
	startupPeriod = 3 * time.Second

	// coldAfterEvacuation is how long the servers of a failure domain count
	// as cold after its evacuation, since the cold time in their entries may
	// have been set before it.
	coldAfterEvacuation = 1500 * time.Millisecond

	// defaultDistance is the round trip to another region assumed before it
	// is measured.
	defaultDistance = 60 * time.Millisecond

	// maxEvents limits the number of unread events.
	maxEvents = 64
)

type (
	// Options describe the VM that a Table belongs to, and the fleet's
	// bounds.
	Options struct {
		Self   sassafrastray.VMName
		Domain sassafrastray.DomainName
		Region sassafrastray.RegionName
		// Regions maps each failure domain to its region.
		Regions map[sassafrastray.DomainName]sassafrastray.RegionName
		Bounds  sassafrastray.Bounds
	}

	// Table holds what one VM knows of the backend servers.
	Table struct {
		opt         Options
		rng         *rand.Rand
		services    map[sassafrastray.ServiceName]*service
		servers     map[sassafrastray.BackendName]*server
		distances   map[sassafrastray.RegionName]time.Duration
		fleet       []sassafrastray.VM
		regionPeers int
		firstSeen   time.Time
		events      []Event
		// limited holds the servers whose answers to this VM named or ended a limit
		// lately.
		limited map[*server]bool
		// gate admits requests where the VMs of the region share reports of runs. It is
		// nil elsewhere.
		gate *admission.Gate

		// shared means that the VMs of the region share their reports of runs. runs are
		// those that this VM saw, the oldest first, and byID holds the servers by their
		// identifiers in reports. heard is set once another VM of the region has reported,
		// and scratch is the memory of a choice.
		shared  bool
		heard   bool
		runs    []run
		byID    map[uint32]*server
		scratch []*server
	}

	// Event reports that a server was blocked because of how requests ended
	// there, that it is used again, or that its limit changed.
	Event struct {
		Server  sassafrastray.BackendName
		Service sassafrastray.ServiceName
		// End is how the latest request ended.
		End End
		// BlockedFor is how long the server gets no requests. Zero means
		// that it is used again.
		BlockedFor time.Duration
		// Limit is the limit, in requests per second, that the server named for the
		// first time or changed. LimitEnded is set if it names none any more.
		Limit      float64
		LimitEnded bool
		// Leaving is set if an answer of the server said first that it leaves, and
		// PausedFor is the time for which one says that it wants no requests.
		Leaving   bool
		PausedFor time.Duration
	}
)

// New returns a table without backend servers.
func New(opt Options, rng *rand.Rand) *Table {
	return &Table{
		opt: opt, rng: rng,
		services:  make(map[sassafrastray.ServiceName]*service),
		servers:   make(map[sassafrastray.BackendName]*server),
		distances: make(map[sassafrastray.RegionName]time.Duration),
		limited:   make(map[*server]bool),
		byID:      make(map[uint32]*server),
	}
}

// Configure sets the cold period and cold rate of the services.
func (t *Table) Configure(services []sassafrastray.Service) {
	for i := range services {
		s := t.service(services[i].Name)
		s.coldPeriod, s.coldRate = services[i].ColdPeriod, services[i].ColdRate
	}
}

// SetFleet sets the other VMs that share the bounds on cold servers and the limits that
// servers name.
func (t *Table) SetFleet(others []sassafrastray.VM) { t.fleet = others }

// SetRegionPeers sets how many other VMs of the region send requests to the
// same servers.
func (t *Table) SetRegionPeers(n int) { t.regionPeers = n }

// SetDistance sets the round trip to a region.
func (t *Table) SetDistance(r sassafrastray.RegionName, d time.Duration) { t.distances[r] = d }

func (t *Table) distance(r sassafrastray.RegionName) time.Duration {
	if r == t.opt.Region {
		return 0
	}
	if d, ok := t.distances[r]; ok {
		return d
	}
	return defaultDistance
}

// Update replaces the backend servers and the evacuated failure domains. The
// state of servers that continue to run is kept.
func (t *Table) Update(backends []sassafrastray.BackendServer, evacuated map[sassafrastray.DomainName]bool, now time.Time) {
	if t.firstSeen.IsZero() && len(backends) > 0 {
		t.firstSeen = now
	}
	present := make(map[sassafrastray.BackendName]bool, len(backends))
	for i := range backends {
		b := &backends[i]
		present[b.Name] = true
		t.update(b, evacuated[b.Domain], now)
	}
	for name, s := range t.servers {
		if !present[name] {
			delete(t.servers, name)
			s.service.remove(s)
		}
	}
	for _, s := range t.services {
		s.restoreBase()
	}
	t.indexServers()
}

func (t *Table) update(b *sassafrastray.BackendServer, evacuated bool, now time.Time) {
	old := t.servers[b.Name]
	if old != nil && old.Service == b.Service && old.Incarnation == b.Incarnation && old.Address == b.Address {
		if old.evacuated && !evacuated {
			old.coldUntil = later(old.coldUntil, now.Add(coldAfterEvacuation))
		}
		if b.ColdRemaining != old.ColdRemaining {
			old.coldUntil = now.Add(b.ColdRemaining)
		}
		old.BackendServer, old.evacuated = *b, evacuated
		return
	}
	if old != nil {
		old.service.remove(old)
	}
	svc := t.service(b.Service)
	s := newServer(b, svc, t.opt.Regions[b.Domain], evacuated)
	if old != nil {
		s.since = now
	}
	s.coldUntil = now.Add(b.ColdRemaining)
	if now.Sub(t.firstSeen) > startupPeriod {
		s.coldUntil = later(s.coldUntil, now.Add(svc.coldPeriod))
	}
	if now.Sub(t.firstSeen) <= startupPeriod {
		svc.base[b.Version] = true
	}
	t.servers[b.Name] = s
	svc.add(s)
}

func (t *Table) service(name sassafrastray.ServiceName) *service {
	s := t.services[name]
	if s == nil {
		s = newService(name)
		t.services[name] = s
	}
	return s
}

// SetBaseVersion makes version the only one that gets the service's requests
// that ask for no version.
func (t *Table) SetBaseVersion(name sassafrastray.ServiceName, version sassafrastray.VersionName) {
	t.service(name).base = map[sassafrastray.VersionName]bool{version: true}
}

// Tick adjusts the shares of other regions. It is called about five times a
// second.
func (t *Table) Tick(now time.Time) {
	for _, s := range t.services {
		s.tick(t, now)
	}
}

// ForgetFailures forgets how requests failed at the servers, because this VM could not
// reach any of them.
func (t *Table) ForgetFailures(now time.Time) {
	for _, s := range t.servers {
		s.forgetFailures(now)
	}
}

// Sample returns the addresses of up to n random servers other than the one at an address,
// of as many failure domains as possible, those of the VM's own region first.
func (t *Table) Sample(n int, except netip.AddrPort) []netip.AddrPort {
	byDomain := make(map[sassafrastray.DomainName][]*server)
	for _, name := range slices.Sorted(maps.Keys(t.servers)) {
		if s := t.servers[name]; !s.leaves() && !s.evacuated && s.Address != except {
			byDomain[s.Domain] = append(byDomain[s.Domain], s)
		}
	}
	domains := slices.Sorted(maps.Keys(byDomain))
	t.rng.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	slices.SortStableFunc(domains, func(a, b sassafrastray.DomainName) int {
		return cmp.Compare(t.distance(t.opt.Regions[a]), t.distance(t.opt.Regions[b]))
	})
	var out []netip.AddrPort
	for len(out) < n && len(byDomain) > 0 {
		for _, d := range domains {
			list := byDomain[d]
			if len(list) == 0 {
				delete(byDomain, d)
				continue
			}
			if len(out) < n {
				i := t.rng.IntN(len(list))
				out = append(out, list[i].Address)
				byDomain[d] = slices.Delete(list, i, i+1)
			}
		}
	}
	return out
}

// Events returns the events since the last call, the oldest first. Events
// beyond maxEvents are dropped.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

func (t *Table) recordEvent(e Event) {
	if len(t.events) < maxEvents {
		t.events = append(t.events, e)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

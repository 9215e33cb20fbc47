// Package placement chooses the backend server for each request of one VM.
//
// A backend server that handled an object lately works faster on it, so all
// VMs prefer the same servers for an object: those with the highest rendezvous
// hash of object and server in each region. From the preferred ones the choice
// is by expected time: the distance, the work on a warm or a cold object, the
// wait behind the requests that are there, and the server's recent failures.
// What the servers of a VM's region can't hold goes to other regions, object
// by object and in a share that changes slowly.
//
// Nothing here does I/O. Callers hold a lock around all calls.
package placement

import (
	"math/rand/v2"
	"time"

	"sassafrastray"
)

const (
	// fleetGuess is the number of VMs assumed before any other is known. It
	// divides what cold servers may get.
	fleetGuess = 12

	// coldPart is the part of the bound on cold servers that is used, so
	// that VMs which count each other late stay below it together.
	coldPart = 0.75

	// settle is how long after the first backend servers were seen a new one
	// counts as there from before, and is cold only if it says so.
	settle = 3 * time.Second

	// returned is how long the servers of a failure domain count as cold
	// after its evacuation, since their own entries may be older.
	returned = 1500 * time.Millisecond

	// usualDistance is the round trip to another region before it was
	// measured.
	usualDistance = 60 * time.Millisecond

	// mostEvents bounds the events that nobody has read.
	mostEvents = 64
)

type (
	// Options are what a Table knows of its VM's place.
	Options struct {
		Self   sassafrastray.VMName
		Region sassafrastray.RegionName
		// Regions has the region of each failure domain.
		Regions map[sassafrastray.DomainName]sassafrastray.RegionName
		Bounds  sassafrastray.Bounds
	}

	// Table holds what one VM knows of the backend servers.
	Table struct {
		opt       Options
		rng       *rand.Rand
		services  map[sassafrastray.ServiceName]*service
		servers   map[sassafrastray.BackendName]*server
		distances map[sassafrastray.RegionName]time.Duration
		fleet     []sassafrastray.VMName
		mates     int
		first     time.Time
		events    []Event
	}

	// Event tells that a server is left out for a time because of how requests
	// ended there, or that it is used as usual again.
	Event struct {
		Server  sassafrastray.BackendName
		Service sassafrastray.ServiceName
		// End is how the latest request ended.
		End End
		// LeftOut is for how long the server gets no request; zero means that
		// it is used again.
		LeftOut time.Duration
	}
)

// New returns a table without backend servers.
func New(opt Options, rng *rand.Rand) *Table {
	return &Table{
		opt: opt, rng: rng,
		services:  make(map[sassafrastray.ServiceName]*service),
		servers:   make(map[sassafrastray.BackendName]*server),
		distances: make(map[sassafrastray.RegionName]time.Duration),
	}
}

// Configure takes in what operators say of the services.
func (t *Table) Configure(services []sassafrastray.Service) {
	for i := range services {
		s := t.service(services[i].Name)
		s.cold, s.coldRate = services[i].Cold, services[i].ColdRate
	}
}

// Fleet tells which other VMs share the bounds on cold servers.
func (t *Table) Fleet(others []sassafrastray.VMName) { t.fleet = others }

// Mates tells how many other VMs of the region send requests to the same servers.
func (t *Table) Mates(n int) { t.mates = n }

// Distance tells the round trip to a region.
func (t *Table) Distance(r sassafrastray.RegionName, d time.Duration) { t.distances[r] = d }

func (t *Table) distance(r sassafrastray.RegionName) time.Duration {
	if r == t.opt.Region {
		return 0
	}
	if d, ok := t.distances[r]; ok {
		return d
	}
	return usualDistance
}

// Update replaces the backend servers and the evacuated failure domains. What
// is known of servers that go on running is kept.
func (t *Table) Update(backends []sassafrastray.BackendServer, evacuated map[sassafrastray.DomainName]bool, now time.Time) {
	if t.first.IsZero() && len(backends) > 0 {
		t.first = now
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
		s.rest()
	}
}

func (t *Table) update(b *sassafrastray.BackendServer, evacuated bool, now time.Time) {
	old := t.servers[b.Name]
	if old != nil && old.Service == b.Service && old.Born == b.Born && old.Address == b.Address {
		if old.evacuated && !evacuated {
			old.coldUntil = later(old.coldUntil, now.Add(returned))
		}
		if b.Cold != old.Cold {
			old.coldUntil = now.Add(b.Cold)
		}
		old.BackendServer, old.evacuated = *b, evacuated
		return
	}
	if old != nil {
		old.service.remove(old)
	}
	svc := t.service(b.Service)
	s := newServer(b, svc, t.opt.Regions[b.Domain], evacuated)
	s.coldUntil = now.Add(b.Cold)
	if now.Sub(t.first) > settle {
		s.coldUntil = later(s.coldUntil, now.Add(svc.cold))
	}
	if now.Sub(t.first) <= settle {
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

// Rebase makes version the only one that requests of the service go to when
// they ask for none.
func (t *Table) Rebase(name sassafrastray.ServiceName, version sassafrastray.VersionName) {
	t.service(name).base = map[sassafrastray.VersionName]bool{version: true}
}

// Tick moves the shares of other regions on. It is called about five times a
// second.
func (t *Table) Tick(now time.Time) {
	for _, s := range t.services {
		s.tick(t, now)
	}
}

// Events returns what happened to servers since the last call, the oldest
// first; what is beyond the bound is forgotten.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

func (t *Table) note(e Event) {
	if len(t.events) < mostEvents {
		t.events = append(t.events, e)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package config

import (
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/operator/document"
)

// Bounds and defaults of numbers in services' files. Request rates are per second,
// body limits in bytes.
const (
	maxRequestRate  = 1e6
	maxBurst        = 1 << 20
	maxWeight       = 1000
	maxBackendSlots = 1 << 12

	defaultBodyLimit = 1 << 20
	maxBodyLimit     = 1 << 40
	defaultTimeout   = 10 * time.Second
	maxTimeout       = time.Hour
	maxStale         = 24 * time.Hour
)

var methods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true,
	"PATCH": true, "DELETE": true, "OPTIONS": true,
}

// readService reads a service's file. base is the file's name without extension,
// which must be the service's name.
func (l *loader) readService(n document.Node, base string) {
	f := n.Fields("name", "hosts", "regions", "version", "teams", "routes", "backends", "move")
	s := sassafrastray.Service{
		Name:    sassafrastray.ServiceName(f.Required("name").Name()),
		Version: sassafrastray.VersionName(f.Required("version").Name()),
	}
	if s.Name != "" && string(s.Name) != base {
		f.Get("name").Problem("%q is not the name of the file, %q", s.Name, base)
	}
	if first, ok := l.services[s.Name]; ok {
		f.Get("name").Problem("service %q is in %s already", s.Name, first)
	} else if s.Name != "" {
		l.services[s.Name] = n.File()
	}
	s.Hosts = l.readHosts(l.requireItems(f.Required("hosts")), s.Name)
	s.Regions = l.readServiceRegions(l.requireItems(f.Required("regions")))
	s.Teams = l.readAllowances(f.Get("teams"))
	s.Routes = l.readRoutes(l.requireItems(f.Required("routes")))
	if len(s.Teams) == 0 && slices.ContainsFunc(s.Routes, func(r sassafrastray.Route) bool { return !r.Public }) {
		f.Get("teams").Warn("no team may call the service's routes that ask for a key")
	}
	l.readBackends(l.requireItems(f.Required("backends")), &s)
	if v := f.Get("move"); v.Exists() {
		s.Move = l.readMove(v)
	}
	l.checkVersions(f, &s)
	l.checkChange(n, &s)
	l.config.Services = append(l.config.Services, s)
}

func (l *loader) readHosts(n document.Node, service sassafrastray.ServiceName) []string {
	var out []string
	for _, item := range n.Items() {
		h := l.readHost(item)
		if h == "" {
			continue
		}
		if first, ok := l.hosts[h]; ok {
			item.Problem("host %q belongs to service %q already", h, first)
			continue
		}
		l.hosts[h] = service
		out = append(out, h)
	}
	return out
}

// requireItems reports an empty list, and returns the node.
func (*loader) requireItems(n document.Node) document.Node {
	if n.IsList() && len(n.Items()) == 0 {
		n.Problem("must hold at least one")
	}
	return n
}

func (l *loader) readServiceRegions(n document.Node) []sassafrastray.RegionName {
	var out []sassafrastray.RegionName
	seen := map[sassafrastray.RegionName]bool{}
	for _, item := range n.Items() {
		r := l.readRegion(item)
		if r == "" {
			continue
		}
		if seen[r] {
			item.Problem("region %q is given twice", r)
			continue
		}
		seen[r] = true
		out = append(out, r)
	}
	return out
}

func (l *loader) readAllowances(n document.Node) []sassafrastray.Allowance {
	var out []sassafrastray.Allowance
	seen := map[sassafrastray.TeamName]bool{}
	for _, item := range n.Items() {
		f := item.Fields("name", "rate", "burst", "weight")
		a := sassafrastray.Allowance{
			Team:   sassafrastray.TeamName(f.Required("name").Name()),
			Rate:   f.Required("rate").Float(0, 0, maxRequestRate),
			Burst:  f.Required("burst").Int(0, 0, maxBurst),
			Weight: f.Get("weight").Int(1, 1, maxWeight),
		}
		switch {
		case a.Team == "":
		case !l.teams[a.Team] && !l.fleetUnreadable:
			f.Get("name").Problem("there is no team %q in %s", a.Team, fleetFile)
		case seen[a.Team]:
			f.Get("name").Problem("team %q is given twice", a.Team)
		default:
			seen[a.Team] = true
			out = append(out, a)
		}
		if a.Rate > 0 && a.Burst == 0 && f.Get("burst").Exists() {
			f.Get("burst").Problem("a burst of 0 admits nothing; the least is 1 where the rate is above 0")
		}
	}
	return out
}

func (l *loader) readBackends(n document.Node, s *sassafrastray.Service) {
	for _, item := range n.Items() {
		f := item.Fields("name", "domain", "address", "slots", "version", "leaving")
		b := sassafrastray.BackendServer{
			Name:    sassafrastray.BackendName(f.Required("name").Name()),
			Domain:  sassafrastray.DomainName(f.Required("domain").Name()),
			Address: f.Required("address").AddrPort(),
			Slots:   f.Required("slots").Int(0, 1, maxBackendSlots),
			Version: sassafrastray.VersionName(f.Required("version").Name()),
			Leaving: f.Get("leaving").Bool(false),
		}
		l.checkBackend(f, &b, s)
		s.Backends = append(s.Backends, b)
	}
}

func (l *loader) checkBackend(f document.Fields, b *sassafrastray.BackendServer, s *sassafrastray.Service) {
	if region, ok := l.domains[b.Domain]; !ok && b.Domain != "" && !l.fleetUnreadable {
		f.Get("domain").Problem("there is no failure domain %q in %s", b.Domain, fleetFile)
	} else if ok && region != "" && !slices.Contains(s.Regions, region) {
		f.Get("domain").Problem("failure domain %q is in region %q, which the service does not list", b.Domain, region)
	}
	if first, ok := l.backends[b.Name]; ok {
		f.Get("name").Problem("backend server %q is in service %q already", b.Name, first)
	} else if b.Name != "" {
		l.backends[b.Name] = s.Name
	}
	if !b.Address.IsValid() {
		return
	}
	if first, ok := l.addresses[b.Address.String()]; ok {
		f.Get("address").Problem("%v is the address of backend server %q already", b.Address, first)
		return
	}
	l.addresses[b.Address.String()] = b.Name
}

// checkSlots warns of regions whose limit on slots is above the sum of their backend
// servers' slots, and so has no effect.
func (l *loader) checkSlots(fleet document.Node) {
	slots := map[sassafrastray.RegionName]int{}
	for _, s := range l.config.Services {
		for _, b := range s.Backends {
			slots[l.domains[b.Domain]] += b.Slots
		}
	}
	for _, r := range l.config.Fleet.Regions {
		if r.Slots > slots[r.Name] {
			fleet.Get("regions").Warn("%d slots of region %q are above the %d of its backend servers and have no effect",
				r.Slots, r.Name, slots[r.Name])
		}
	}
}

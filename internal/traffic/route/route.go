// Package route matches requests to services and routes by host, path and
// method.
package route

import (
	"cmp"
	"slices"
	"strings"

	"sassafrastray"
)

type (
	// Table matches requests to the routes of services. It is immutable.
	Table struct {
		services map[string]*serviceRoutes // by host
	}

	// Hosts finds the configuration's own routes, which belong to no single
	// service, by host and path. It is immutable.
	Hosts struct {
		// routes are the routes of each host, sorted by descending path length.
		routes map[string][]*sassafrastray.Route
	}

	// Match is the result of a look-up. Service is nil if no service has the
	// host, and Route is nil if no route matches; Reason then says why.
	Match struct {
		Service *sassafrastray.Service
		Route   *sassafrastray.Route
		Reason  sassafrastray.Reason
	}

	serviceRoutes struct {
		service *sassafrastray.Service
		// routes are sorted by descending path length.
		routes []*sassafrastray.Route
	}
)

// New returns the table of the configuration's services. The table keeps
// pointers into the configuration.
func New(c *sassafrastray.Config) *Table {
	t := &Table{services: map[string]*serviceRoutes{}}
	for i := range c.Services {
		s := &c.Services[i]
		e := &serviceRoutes{service: s}
		for j := range s.Routes {
			e.routes = append(e.routes, &s.Routes[j])
		}
		slices.SortStableFunc(e.routes, compareByPathLength)
		for _, h := range s.Hosts {
			t.services[h] = e
		}
	}
	return t
}

// Match returns the service that has the host, and the route with the longest
// path among those of its routes that match path and method. The host may have
// a port and upper-case letters; the path must be normalized. Match allocates
// nothing for a host in lower case.
func (t *Table) Match(host, path, method string) Match {
	e := t.services[normalizeHost(host)]
	if e == nil {
		return Match{Reason: sassafrastray.ReasonHost}
	}
	reason := sassafrastray.ReasonPath
	for _, r := range e.routes {
		if !MatchesPrefix(r.Path, path) {
			continue
		}
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return Match{e.service, r, sassafrastray.ReasonOK}
		}
		reason = sassafrastray.ReasonMethod
	}
	return Match{Service: e.service, Reason: reason}
}

// NewHosts returns the table of the configuration's own routes. The table keeps
// pointers into the configuration.
func NewHosts(c *sassafrastray.Config) *Hosts {
	h := &Hosts{routes: map[string][]*sassafrastray.Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalizeHost(r.Host)
		h.routes[host] = append(h.routes[host], r)
	}
	for _, list := range h.routes {
		slices.SortStableFunc(list, compareByPathLength)
	}
	return h
}

// Find returns the host's route with the longest path that is a prefix of the
// given path, or nil.
func (h *Hosts) Find(host, path string) *sassafrastray.Route {
	for _, r := range h.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	return nil
}

// Routes returns all routes of a host, sorted by descending path length.
func (h *Hosts) Routes(host string) []*sassafrastray.Route { return h.routes[normalizeHost(host)] }

func compareByPathLength(a, b *sassafrastray.Route) int {
	return cmp.Or(cmp.Compare(len(b.Path), len(a.Path)), cmp.Compare(a.Name, b.Name))
}

// MatchesPrefix reports whether path is equal to prefix or below it. A prefix
// matches only at a segment boundary.
func MatchesPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

// normalizeHost returns the host in lower case, without a port or a final dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

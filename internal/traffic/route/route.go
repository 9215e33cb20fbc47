// Package route finds the service and the route of a request by its host,
// path and method.
package route

import (
	"cmp"
	"slices"
	"strings"

	"sassafrastray"
)

type (
	// Table finds services and routes. It is immutable.
	Table struct {
		services map[string]*entry
	}

	// Hosts finds the routes that belong to no single service. It is
	// immutable.
	Hosts struct {
		// routes has the longest path first.
		routes map[string][]*sassafrastray.Route
	}

	// Match is the outcome of a look-up. Service and Route are nil from the
	// step on that Reason says has failed.
	Match struct {
		Service *sassafrastray.Service
		Route   *sassafrastray.Route
		Reason  sassafrastray.Reason
	}

	entry struct {
		service *sassafrastray.Service
		// routes has the longest path first.
		routes []*sassafrastray.Route
	}
)

// New returns the table of the configuration's services. The table keeps
// pointers into the configuration.
func New(c *sassafrastray.Config) *Table {
	t := &Table{services: map[string]*entry{}}
	for i := range c.Services {
		s := &c.Services[i]
		e := &entry{service: s}
		for j := range s.Routes {
			e.routes = append(e.routes, &s.Routes[j])
		}
		slices.SortStableFunc(e.routes, longest)
		for _, h := range s.Hosts {
			t.services[h] = e
		}
	}
	return t
}

// Match returns the service that has the host, and of its routes that match
// path and method the one with the longest path. The host may carry a port and
// capitals; the path must be normalized. It allocates nothing for a host in
// lower case.
func (t *Table) Match(host, path, method string) Match {
	e := t.services[trimHost(host)]
	if e == nil {
		return Match{Reason: sassafrastray.ReasonHost}
	}
	reason := sassafrastray.ReasonPath
	for _, r := range e.routes {
		if !Under(r.Path, path) {
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
		host := trimHost(r.Host)
		h.routes[host] = append(h.routes[host], r)
	}
	for _, list := range h.routes {
		slices.SortStableFunc(list, longest)
	}
	return h
}

// Find returns the route of the host with the longest path that begins the
// given one, or nil.
func (h *Hosts) Find(host, path string) *sassafrastray.Route {
	for _, r := range h.routes[trimHost(host)] {
		if strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	return nil
}

// Of returns all routes of a host.
func (h *Hosts) Of(host string) []*sassafrastray.Route { return h.routes[trimHost(host)] }

func longest(a, b *sassafrastray.Route) int {
	return cmp.Or(cmp.Compare(len(b.Path), len(a.Path)), cmp.Compare(a.Name, b.Name))
}

// Under tells whether path is prefix or lies below it: a prefix ends at a
// segment boundary.
func Under(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

// trimHost returns the host in lower case, without a port and a final dot.
func trimHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

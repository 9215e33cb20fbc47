// Package evidence counts how requests end on the old and the new version of
// a service and judges, route by route, whether the new version is bad.
//
// Counts are kept in short windows. Each VM counts its own requests and sends
// the newest windows to its peers in a Digest, so that a judgement rests on
// all requests that the VM knows of. Callers hold a lock around all calls.
package evidence

import (
	"time"

	"sassafrastray"
)

const (
	// Window is the length of one counting window.
	Window = 2 * time.Second
	// windows is how many windows a ledger remembers.
	windows = 30
	// minutes is how many minutes it remembers beyond those windows, in less
	// detail. A minute is as long as all windows together.
	minutes = 20
	// maxPeers bounds the peers whose digests are kept.
	maxPeers = 16
)

type (
	// Options are the limits of a Ledger. Zero values mean the defaults.
	Options struct {
		// Samples is how many requests each busy route of the new version
		// needs before it can be judged good.
		Samples int
		// Alarms bounds the probability that a good version is judged bad
		// during Looks windows.
		Alarms float64
		// Looks is the length of a move in windows, for Alarms.
		Looks int
		// Warm is how long slowness is excused after a version's share rose.
		Warm time.Duration
		// Excuse bounds how long slowness that is still falling is excused.
		Excuse time.Duration
	}

	// Sample is how one request ended.
	Sample struct {
		OK bool
		// Latency runs from the dispatch to the end of the answer's header.
		Latency time.Duration
	}

	// Ledger holds the counts of one VM and those that its peers sent.
	Ledger struct {
		self  sassafrastray.VMName
		inc   sassafrastray.Incarnation
		opt   Options
		epoch time.Time
		seq   int64
		moves map[sassafrastray.ServiceName]*watched
		own   *source
		peers map[sassafrastray.VMName]*source
	}

	// watched is what the ledger keeps for one service with a move.
	watched struct {
		name     sassafrastray.MoveName
		from, to sassafrastray.VersionName
		routes   map[sassafrastray.RouteName]*route
		domains  map[sassafrastray.BackendName]sassafrastray.DomainName
		// raised is the window in which the new version's share last rose.
		raised int64
	}

	// route is what the ledger remembers of one route beyond the windows.
	route struct {
		// cold is the newest window whose slowness is excused.
		cold int64
		base baseline
	}

	// source is one VM's counts. The index of its windows is offset against
	// this ledger's by offset.
	source struct {
		inc    sassafrastray.Incarnation
		seq    int64
		offset int64
		series map[key]*series
	}

	key struct {
		service sassafrastray.ServiceName
		version sassafrastray.VersionName
		route   sassafrastray.RouteName
		// backend is empty for the old version, which is not judged by
		// backend server.
		backend sassafrastray.BackendName
	}
)

// New returns an empty ledger of the VM self in its incarnation inc.
func New(self sassafrastray.VMName, inc sassafrastray.Incarnation, opt Options) *Ledger {
	return &Ledger{
		self: self, inc: inc, opt: opt.defaults(),
		moves: map[sassafrastray.ServiceName]*watched{},
		own:   &source{inc: inc, series: map[key]*series{}},
		peers: map[sassafrastray.VMName]*source{},
	}
}

func (o Options) defaults() Options {
	if o.Samples == 0 {
		o.Samples = 30
	}
	if o.Alarms == 0 {
		o.Alarms = 0.001
	}
	if o.Looks == 0 {
		o.Looks = int(time.Hour / Window)
	}
	if o.Warm == 0 {
		o.Warm = 10 * time.Second
	}
	if o.Excuse == 0 {
		o.Excuse = time.Minute
	}
	return o
}

// Configure tells which services have a move and which routes and backend
// servers exist. The ledger counts nothing else, which bounds its size.
func (l *Ledger) Configure(services []sassafrastray.Service, now time.Time) {
	idx := l.index(now)
	next := map[sassafrastray.ServiceName]*watched{}
	for i := range services {
		s := &services[i]
		if s.Move == nil {
			continue
		}
		w := l.moves[s.Name]
		if w == nil || w.name != s.Move.Name {
			w = &watched{raised: idx, routes: map[sassafrastray.RouteName]*route{}}
			l.forget(s.Name)
		}
		w.configure(s, idx)
		next[s.Name] = w
	}
	for name := range l.moves {
		if next[name] == nil {
			l.forget(name)
		}
	}
	l.moves = next
	l.own.prune(l)
	for _, p := range l.peers {
		p.prune(l)
	}
}

// prune drops the series of routes and backend servers that are gone.
func (s *source) prune(l *Ledger) {
	for k := range s.series {
		if _, ok := l.key(k.service, k.version, k.route, k.backend); !ok {
			delete(s.series, k)
		}
	}
}

func (w *watched) configure(s *sassafrastray.Service, idx int64) {
	w.name, w.from, w.to = s.Move.Name, s.Move.From, s.Move.To
	w.domains = map[sassafrastray.BackendName]sassafrastray.DomainName{}
	for _, b := range s.Backends {
		w.domains[b.Name] = b.Domain
	}
	routes := map[sassafrastray.RouteName]*route{}
	for _, r := range s.Routes {
		routes[r.Name] = w.routes[r.Name]
		if routes[r.Name] == nil {
			routes[r.Name] = &route{cold: idx}
		}
	}
	w.routes = routes
}

// forget drops all counts of the service.
func (l *Ledger) forget(service sassafrastray.ServiceName) {
	l.own.forget(service)
	for _, p := range l.peers {
		p.forget(service)
	}
}

func (s *source) forget(service sassafrastray.ServiceName) {
	for k := range s.series {
		if k.service == service {
			delete(s.series, k)
		}
	}
}

// Add counts one request. Requests of services without a move, of other
// versions than the move's and of unknown routes and backend servers are not
// counted.
func (l *Ledger) Add(service sassafrastray.ServiceName, version sassafrastray.VersionName,
	route sassafrastray.RouteName, backend sassafrastray.BackendName, s Sample, now time.Time,
) {
	k, ok := l.key(service, version, route, backend)
	if !ok {
		return
	}
	idx := l.index(now)
	l.own.at(k).cell(idx).add(s)
}

// key returns the series that a request is counted in, and whether it is
// counted at all.
func (l *Ledger) key(service sassafrastray.ServiceName, version sassafrastray.VersionName,
	route sassafrastray.RouteName, backend sassafrastray.BackendName,
) (key, bool) {
	w := l.moves[service]
	if w == nil || w.routes[route] == nil || (version != w.from && version != w.to) {
		return key{}, false
	}
	if version == w.from {
		return key{service, version, route, ""}, true
	}
	_, ok := w.domains[backend]
	return key{service, version, route, backend}, ok
}

// Raised tells the ledger that the share of the service's new version rose.
// Samples for a good judgement are counted anew, and slowness is excused for
// a while, because caches are cold.
func (l *Ledger) Raised(service sassafrastray.ServiceName, now time.Time) {
	if w := l.moves[service]; w != nil {
		w.raised = l.index(now)
	}
}

// index returns the number of the window at now, counted from the ledger's
// first call. It starts well above zero so that a fresh cell is an old one.
func (l *Ledger) index(now time.Time) int64 {
	if l.epoch.IsZero() {
		l.epoch = now
	}
	return int64(now.Sub(l.epoch)/Window) + 2*windows*minutes
}

// at returns the series of a key, made if need be.
func (s *source) at(k key) *series {
	c := s.series[k]
	if c == nil {
		c = &series{}
		s.series[k] = c
	}
	return c
}

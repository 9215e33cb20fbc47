// Package evidence counts the outcomes of requests to the old and the new
// version of a service and judges, route by route, whether the new version is
// bad.
//
// Counts are kept in short windows. Each VM counts its own requests and sends
// the newest windows to its peers in a Digest, so that a verdict is based on
// all requests that the VM knows of. A Ledger is not safe for concurrent use.
package evidence

import (
	"time"

	"sassafrastray"
)

const (
	// Window is the length of one counting window.
	Window = 2 * time.Second
	// windowCount is the number of the latest windows that a ledger keeps.
	windowCount = 30
	// minuteCount is the number of minutes that a ledger keeps before those
	// windows, as one cell each. A minute is as long as all windows together.
	minuteCount = 20
	// maxPeers bounds the number of peers whose digests are kept.
	maxPeers = 16
)

type (
	// Options are the limits of a Ledger. Zero values mean the defaults.
	Options struct {
		// MinSamples is the number of requests that each busy route of the new
		// version needs before it can be judged good.
		MinSamples int
		// FalseAlarmProbability bounds the probability that a good version is
		// judged bad during MoveWindows windows.
		FalseAlarmProbability float64
		// MoveWindows is the length of a move in windows, over which the false
		// alarm probability is spread.
		MoveWindows int
		// WarmUp is how long slow requests are ignored after the new version's
		// share rose.
		WarmUp time.Duration
		// MaxWarmUp bounds how long after a raise slow requests are ignored
		// while the latency is still falling.
		MaxWarmUp time.Duration
	}

	// Sample is the outcome of one request.
	Sample struct {
		OK bool
		// Latency is the time from dispatching the request to the end of the
		// response header.
		Latency time.Duration
	}

	// Ledger holds the counts of one VM and those received from its peers.
	Ledger struct {
		self  sassafrastray.VMName
		inc   sassafrastray.Incarnation
		opt   Options
		epoch time.Time
		seq   int64
		moves map[sassafrastray.ServiceName]*watchedService
		own   *source
		peers map[sassafrastray.VMName]*source
	}

	// watchedService is the state of one service that has a move.
	watchedService struct {
		name     sassafrastray.MoveName
		from, to sassafrastray.VersionName
		routes   map[sassafrastray.RouteName]*route
		domains  map[sassafrastray.BackendName]sassafrastray.DomainName
		// raised is the window in which the new version's share last rose.
		raised int64
	}

	// route is the state of one route that outlives the windows.
	route struct {
		// lastCold is the newest window whose slow requests are ignored.
		lastCold int64
		base     baseline
	}

	// source holds one VM's counts. Adding offset to one of the VM's window
	// numbers gives this ledger's number of the same window.
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
		// backend is empty for the old version, whose backend servers are not
		// told apart.
		backend sassafrastray.BackendName
	}
)

// New returns an empty ledger for the VM self in its incarnation inc.
func New(self sassafrastray.VMName, inc sassafrastray.Incarnation, opt Options) *Ledger {
	return &Ledger{
		self: self, inc: inc, opt: opt.defaults(),
		moves: map[sassafrastray.ServiceName]*watchedService{},
		own:   &source{inc: inc, series: map[key]*series{}},
		peers: map[sassafrastray.VMName]*source{},
	}
}

func (o Options) defaults() Options {
	if o.MinSamples == 0 {
		o.MinSamples = 30
	}
	if o.FalseAlarmProbability == 0 {
		o.FalseAlarmProbability = 0.001
	}
	if o.MoveWindows == 0 {
		o.MoveWindows = int(time.Hour / Window)
	}
	if o.WarmUp == 0 {
		o.WarmUp = 10 * time.Second
	}
	if o.MaxWarmUp == 0 {
		o.MaxWarmUp = time.Minute
	}
	return o
}

// Configure sets the services that have a move, with their routes and backend
// servers. The ledger counts nothing else, which bounds its size.
func (l *Ledger) Configure(services []sassafrastray.Service, now time.Time) {
	idx := l.index(now)
	next := map[sassafrastray.ServiceName]*watchedService{}
	for i := range services {
		s := &services[i]
		if s.Move == nil {
			continue
		}
		w := l.moves[s.Name]
		if w == nil || w.name != s.Move.Name {
			w = &watchedService{raised: idx, routes: map[sassafrastray.RouteName]*route{}}
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

// prune drops the series of services, routes and backend servers that no longer
// exist.
func (s *source) prune(l *Ledger) {
	for k := range s.series {
		if _, ok := l.key(k.service, k.version, k.route, k.backend); !ok {
			delete(s.series, k)
		}
	}
}

func (w *watchedService) configure(s *sassafrastray.Service, idx int64) {
	w.name, w.from, w.to = s.Move.Name, s.Move.From, s.Move.To
	w.domains = map[sassafrastray.BackendName]sassafrastray.DomainName{}
	for _, b := range s.Backends {
		w.domains[b.Name] = b.Domain
	}
	routes := map[sassafrastray.RouteName]*route{}
	for _, r := range s.Routes {
		routes[r.Name] = w.routes[r.Name]
		if routes[r.Name] == nil {
			routes[r.Name] = &route{lastCold: idx}
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

// Add counts one request. It ignores requests of services without a move, of
// versions that are not part of the move, and of unknown routes and backend
// servers.
func (l *Ledger) Add(service sassafrastray.ServiceName, version sassafrastray.VersionName,
	route sassafrastray.RouteName, backend sassafrastray.BackendName, s Sample, now time.Time,
) {
	k, ok := l.key(service, version, route, backend)
	if !ok {
		return
	}
	idx := l.index(now)
	l.own.seriesOf(k).cell(idx).add(s)
}

// key returns the key that a request is counted under, and whether it is
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

// ShareRaised records that the share of the service's new version rose. The
// samples for a good verdict are counted anew, and slow requests are ignored
// for a while, because caches are cold.
func (l *Ledger) ShareRaised(service sassafrastray.ServiceName, now time.Time) {
	if w := l.moves[service]; w != nil {
		w.raised = l.index(now)
	}
}

// index returns the number of the window at now, counted from the ledger's
// first call. It starts well above zero, so that an unused cell, whose index is
// 0, is older than every window that is kept.
func (l *Ledger) index(now time.Time) int64 {
	if l.epoch.IsZero() {
		l.epoch = now
	}
	return int64(now.Sub(l.epoch)/Window) + 2*windowCount*minuteCount
}

// seriesOf returns the series of a key and creates it if there is none.
func (s *source) seriesOf(k key) *series {
	sr := s.series[k]
	if sr == nil {
		sr = &series{}
		s.series[k] = sr
	}
	return sr
}

// Package connection bounds the connections of a VM by purpose, so that callers never
// use up the descriptors that it needs to reach backend servers, the store and other VMs.
package connection

import (
	"container/list"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"sassafrastray"
	"sassafrastray/internal/operator/message"
)

// Purposes of connections.
const (
	Callers    Purpose = "callers"
	Peers      Purpose = "peers"
	Operations Purpose = "operations"
	Servers    Purpose = "servers"
)

const (
	// files is the number of descriptors for files and listeners.
	files = 200

	// defaultDescriptors is the limit of a process that names none.
	defaultDescriptors = 1 << 20

	// Connections from other VMs, those for operations, calls to other VMs and the
	// store, and callers that are refused get parts of shares each. Callers and backend
	// servers share the rest.
	shares          = 32
	peerParts       = 2
	operationsParts = 2
	callParts       = 1
	refusedParts    = 1

	// minServerParts is what callers always leave to backend servers.
	minServerParts = 2

	// crowded is the share of their bound from which callers are told to close their
	// connections after an answer.
	crowded = 15.0 / 16

	// slowHeader is how long the header of a request may take to arrive before its
	// connection may be closed for another one.
	slowHeader = time.Second

	// maxChecked bounds the unused connections that are looked at to close one.
	maxChecked = 16

	logInterval = time.Second
)

type (
	// Purpose is what a connection is for.
	Purpose string

	// Budget divides the descriptors of a process. It is safe for concurrent use.
	Budget struct {
		clock sassafrastray.Clock
		log   *slog.Logger

		// shared is the number of descriptors for callers and backend servers
		// together.
		shared     int
		minServers int
		closed     *prometheus.CounterVec
		errors     *prometheus.CounterVec

		mu      sync.Mutex
		servers int
		groups  map[Purpose]*Group
	}

	// Group is the accepted connections of one purpose.
	Group struct {
		budget  *Budget
		purpose Purpose
		// most and spare bound the connections, and those beyond that are refused with
		// an answer. A zero mostHandled means no bound of the requests in progress.
		most, spare, mostHandled int

		members map[net.Conn]*member
		// unused holds connections without a request, and headers those whose request
		// is arriving, the longest first.
		unused, headers       list.List
		handled               int
		lastLog, lastErrorLog time.Time
		closedSince           map[string]int
	}

	member struct {
		conn    net.Conn
		since   time.Time
		in      *list.List
		element *list.Element
		refused bool
	}
)

// New divides so many descriptors; zero stands for the limit of the process.
func New(descriptors int, clock sassafrastray.Clock, log *slog.Logger, r prometheus.Registerer) *Budget {
	if descriptors <= 0 {
		descriptors = processLimit()
	}
	left := max(shares, descriptors-files)
	part := func(n int) int { return max(1, left*n/shares) }
	b := &Budget{clock: clock, log: log, groups: make(map[Purpose]*Group)}
	b.shared = part(shares - peerParts - operationsParts - callParts - refusedParts)
	b.minServers = part(minServerParts)
	b.closed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "sassafrastray", Name: "connections_closed_total", Help: "Connections closed to stay within their bound, by purpose and state: unused, header (its request was arriving), refused (with an answer), full (at once).",
	}, []string{"purpose", "state"})
	b.errors = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "sassafrastray", Name: "accept_errors_total", Help: "Errors of accepting connections, by purpose.",
	}, []string{"purpose"})
	r.MustRegister(b.closed, b.errors)
	b.addGroup(Callers, b.shared, part(refusedParts), b.shared/2)
	b.addGroup(Peers, part(peerParts), 0, 0)
	b.addGroup(Operations, part(operationsParts), 0, 0)
	for _, p := range []Purpose{Callers, Peers, Operations, Servers} {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "sassafrastray", Name: "connections", Help: "Open connections, by purpose.", ConstLabels: prometheus.Labels{"purpose": string(p)},
		}, func() float64 { return float64(b.Open(p)) }))
	}
	return b
}

// processLimit returns the number of descriptors that the process may have.
func processLimit() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur == 0 {
		return defaultDescriptors
	}
	return int(min(l.Cur, defaultDescriptors))
}

func (b *Budget) addGroup(p Purpose, most, spare, mostHandled int) {
	b.groups[p] = &Group{
		budget: b, purpose: p, most: most, spare: spare, mostHandled: mostHandled,
		members: make(map[net.Conn]*member), closedSince: make(map[string]int),
	}
}

// Group returns the accepted connections of a purpose.
func (b *Budget) Group(p Purpose) *Group { return b.groups[p] }

// Open returns the number of open connections of a purpose.
func (b *Budget) Open(p Purpose) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g := b.groups[p]; g != nil {
		return len(g.members)
	}
	return b.servers
}

// Acquire takes a descriptor for a connection to a backend server. If callers hold all,
// it closes one that a caller doesn't use. It returns false if there is none.
func (b *Budget) Acquire() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.servers >= b.shared/2 {
		return false
	}
	b.servers++
	callers := b.groups[Callers]
	if len(callers.members) > callers.bound() && !callers.closeOne() {
		b.servers--
		return false
	}
	return true
}

// Release returns a descriptor that Acquire took.
func (b *Budget) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers--
}

// Limit lowers the number of connections of the group.
func (g *Group) Limit(most int) {
	if most > 0 {
		g.most = min(g.most, most)
	}
}

// bound returns how many connections the group may have.
func (g *Group) bound() int {
	if g.purpose != Callers {
		return g.most
	}
	return min(g.most, g.budget.shared-max(g.budget.servers, g.budget.minServers))
}

// admit records a new connection. It prefers it to one that is not used. It returns
// false if the connection must be closed.
func (g *Group) admit(c net.Conn) bool {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	m := &member{conn: c}
	if n := len(g.members); n >= g.bound() && !g.closeOne() {
		if m.refused = n < g.bound()+g.spare; !m.refused {
			g.count("full")
			return false
		}
		g.count("refused")
	}
	g.members[c] = m
	g.move(m, &g.unused)
	return true
}

// closeOne closes the connection that was unused for longest, or one whose request
// arrives slowly. The budget must be locked.
func (g *Group) closeOne() bool {
	for range min(maxChecked, g.unused.Len()) {
		m := g.unused.Front().Value.(*member)
		if open, readable := peek(m.conn); open && readable {
			// A request is on its way.
			g.unused.MoveToBack(m.element)
			continue
		}
		g.end(m, "unused")
		return true
	}
	if e := g.headers.Front(); e != nil {
		if m := e.Value.(*member); g.budget.clock.Now().Sub(m.since) > slowHeader {
			g.end(m, "header")
			return true
		}
	}
	return false
}

func (g *Group) end(m *member, state string) {
	g.count(state)
	g.remove(m)
	m.conn.Close()
}

func (g *Group) remove(m *member) {
	g.move(m, nil)
	delete(g.members, m.conn)
}

// move puts the member into a list, or none. Members in no list have a request in
// progress.
func (g *Group) move(m *member, to *list.List) {
	if m.element != nil {
		m.in.Remove(m.element)
	}
	m.in, m.element = to, nil
	if to != nil {
		m.since = g.budget.clock.Now()
		m.element = to.PushBack(m)
	}
}

// count counts a closed connection, and logs such at most once a second.
func (g *Group) count(state string) {
	b := g.budget
	b.closed.WithLabelValues(string(g.purpose), state).Inc()
	g.closedSince[state]++
	now := b.clock.Now()
	if now.Sub(g.lastLog) < logInterval {
		return
	}
	g.lastLog = now
	b.log.Warn(message.ConnectionsFull, "purpose", g.purpose, "open", len(g.members), "bound", g.bound(), "handled", g.handled, "servers", b.servers,
		"unused", g.closedSince["unused"], "header", g.closedSince["header"], "refused", g.closedSince["refused"], "full", g.closedSince["full"])
	clear(g.closedSince)
}

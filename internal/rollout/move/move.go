// Package move shifts a service's traffic from one version to another, step
// by step, and takes it back when the new version is bad or late.
//
// The record of each service's move in the store is the truth. Any VM may
// lead a move: it takes the lease in the record and raises the share. Every VM
// applies the record's share by itself, and goes below it when in doubt.
// A Mover is single-threaded: callers hold a lock around all calls.
package move

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrastray"
)

// Defaults of Options.
const (
	DefaultLease   = 15 * time.Second
	DefaultRenew   = 5 * time.Second
	DefaultStagger = 2 * time.Second
	DefaultFresh   = 3 * time.Second
	DefaultReserve = 45 * time.Second
	DefaultCall    = 10 * time.Second
	DefaultBackoff = 500 * time.Millisecond

	// readGap is the mean time between two VMs' reads of one record.
	readGap = 5 * time.Millisecond
)

type (
	// Options are the times that a Mover goes by. Zero values mean the
	// defaults.
	Options struct {
		// Lease is how long a record must stay unchanged before another VM
		// takes the lead.
		Lease time.Duration
		// Renew is how often the leader writes.
		Renew time.Duration
		// Stagger is the wait between two candidates of successive ranks.
		Stagger time.Duration
		// Fresh is how long a confirmation of the record counts.
		Fresh time.Duration
		// Reserve is how long before the deadline a move is taken back.
		Reserve time.Duration
		// Call is when an unanswered store call is given up.
		Call time.Duration
		// Backoff is the first wait after a failed store call.
		Backoff time.Duration
	}

	// Mover holds what one VM knows of all moves.
	Mover struct {
		self     sassafrastray.VMName
		inc      sassafrastray.Incarnation
		rng      *rand.Rand
		opt      Options
		number   int64
		members  []sassafrastray.VMName
		token    int64
		services map[sassafrastray.ServiceName]*service
		names    []sassafrastray.ServiceName // the keys of services in order
		table    Table
	}
)

// New returns a Mover of the VM self in its incarnation inc, without any
// services.
func New(self sassafrastray.VMName, inc sassafrastray.Incarnation, rng *rand.Rand, opt Options) *Mover {
	return &Mover{
		self: self, inc: inc, rng: rng, opt: opt.defaults(),
		services: map[sassafrastray.ServiceName]*service{}, table: Table{},
	}
}

func (o Options) defaults() Options {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&o.Lease, DefaultLease)
	set(&o.Renew, DefaultRenew)
	set(&o.Stagger, DefaultStagger)
	set(&o.Fresh, DefaultFresh)
	set(&o.Reserve, DefaultReserve)
	set(&o.Call, DefaultCall)
	set(&o.Backoff, DefaultBackoff)
	return o
}

// Configure takes in the services of the configuration with the given number.
// A configuration older than the last is ignored.
func (m *Mover) Configure(number int64, services []sassafrastray.Service, now time.Time) {
	if number < m.number {
		return
	}
	m.number = number
	seen := map[sassafrastray.ServiceName]bool{}
	for i := range services {
		c := &services[i]
		seen[c.Name] = true
		s := m.services[c.Name]
		if s == nil {
			s = &service{name: c.Name, needGet: true}
			m.services[c.Name] = s
		}
		s.configure(c)
		if s.needGet && s.retryAt.Before(now) {
			s.retryAt = now.Add(m.jitter(m.opt.Backoff + m.spread()))
		}
	}
	for name, s := range m.services {
		if !seen[name] {
			s.withdraw()
		}
	}
	m.names = slices.Sorted(maps.Keys(m.services))
	m.publish(now)
}

// Step takes in one event and returns what is to be done.
func (m *Mover) Step(ev Event, now time.Time) []Effect {
	var out []Effect
	switch ev := ev.(type) {
	case Members:
		m.members = slices.Clone(ev.VMs)
	case Got:
		m.got(ev, now)
	case Wrote:
		m.wrote(ev, now)
	case Watched:
		m.watched(ev, now)
	case Judged:
		m.judged(ev, now)
	case Heard:
		m.heard(ev, now)
	}
	for _, name := range m.names {
		s := m.services[name]
		out = append(out, m.apply(s, now)...)
		out = append(out, m.drive(s, now)...)
	}
	m.publish(now)
	return out
}

// Beat returns what this VM tells its peers.
func (m *Mover) Beat(now time.Time) Beat {
	var b Beat
	for _, name := range m.names {
		s := m.services[name]
		if s.rec != nil && s.move != nil {
			c := Confirmed{Service: name, Version: s.version, Age: -1, Record: *s.rec}
			c.Record.Past = nil
			if !s.fresh.IsZero() {
				c.Age = now.Sub(s.fresh)
			}
			b.Records = append(b.Records, c)
		}
		if bad := s.bad(); bad != nil {
			b.Bad = append(b.Bad, *bad)
		}
	}
	return b
}

// spread is the time over which all VMs' reads of one record are spread.
func (m *Mover) spread() time.Duration { return time.Duration(len(m.members)) * readGap }

// jitter returns a time between half of d and d.
func (m *Mover) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d/2)+1))
}

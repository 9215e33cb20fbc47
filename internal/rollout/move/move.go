// Package move shifts a service's traffic from one version to another, step by
// step, and reverts the move when the new version is bad or the deadline is
// near.
//
// The record of a service's move in the store is authoritative. Any VM may lead
// a move: it takes the lease in the record and raises the share. Every VM
// applies the record's share by itself, does not raise it while its copy of the
// record may be out of date, and stays below it when the version is bad or
// suspect. A Mover is not safe for concurrent use.
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
	DefaultLease         = 15 * time.Second
	DefaultRenewInterval = 5 * time.Second
	DefaultStagger       = 2 * time.Second
	DefaultMaxRecordAge  = 3 * time.Second
	DefaultRevertMargin  = 45 * time.Second
	DefaultCallTimeout   = 10 * time.Second
	DefaultBackoff       = 500 * time.Millisecond

	// readGap is the mean time between two VMs' reads of one record.
	readGap = 5 * time.Millisecond
)

type (
	// Options are the intervals and timeouts of a Mover. Zero values mean the
	// defaults.
	Options struct {
		// Lease is how long a record must stay unchanged before another VM may
		// become its leader.
		Lease time.Duration
		// RenewInterval is the time between the leader's writes that renew its
		// lease.
		RenewInterval time.Duration
		// Stagger is the wait between two candidates of successive ranks.
		Stagger time.Duration
		// MaxRecordAge is how long after a confirmation a record counts as
		// fresh.
		MaxRecordAge time.Duration
		// RevertMargin is how long before its deadline an unfinished move is
		// reverted.
		RevertMargin time.Duration
		// CallTimeout is when an unanswered store call is given up.
		CallTimeout time.Duration
		// Backoff is the first wait after a failed store call.
		Backoff time.Duration
	}

	// Mover holds one VM's state of the moves of all services.
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

// New returns a Mover without services for the VM self in its incarnation inc.
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
	set(&o.RenewInterval, DefaultRenewInterval)
	set(&o.Stagger, DefaultStagger)
	set(&o.MaxRecordAge, DefaultMaxRecordAge)
	set(&o.RevertMargin, DefaultRevertMargin)
	set(&o.CallTimeout, DefaultCallTimeout)
	set(&o.Backoff, DefaultBackoff)
	return o
}

// Configure sets the services of the configuration with the given number. It
// ignores a configuration older than the last one.
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
	m.updateTable(now)
}

// Step handles one event and returns the effects to carry out.
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
	case HeartbeatReceived:
		m.heartbeatReceived(ev, now)
	}
	for _, name := range m.names {
		s := m.services[name]
		out = append(out, m.apply(s, now)...)
		out = append(out, m.nextCall(s, now)...)
	}
	m.updateTable(now)
	return out
}

// Heartbeat returns the records and bad versions that this VM reports to its
// peers.
func (m *Mover) Heartbeat(now time.Time) Heartbeat {
	var b Heartbeat
	for _, name := range m.names {
		s := m.services[name]
		if s.rec != nil && s.move != nil {
			c := ConfirmedRecord{Service: name, Version: s.version, Age: -1, Record: *s.rec}
			c.Record.Past = nil
			if !s.confirmedAt.IsZero() {
				c.Age = now.Sub(s.confirmedAt)
			}
			b.Records = append(b.Records, c)
		}
		if bad := s.badReport(); bad != nil {
			b.Bad = append(b.Bad, *bad)
		}
	}
	return b
}

// spread returns the time over which all VMs' reads of one record are spread.
func (m *Mover) spread() time.Duration { return time.Duration(len(m.members)) * readGap }

// jitter returns a random time between half of d and d.
func (m *Mover) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d/2)+1))
}

// Package partition detects that a VM is partitioned from all backend servers, while
// callers and other VMs still reach it.
//
// That can't be told from failures at single servers, which may have failed themselves.
// What raises a suspicion is cheap to observe: no connection opens to any of several
// servers, or requests wait at servers and none of them answers. A probe then decides: it
// opens connections to servers of as many failure domains as possible. The VM is
// partitioned if none opens. Connections that were open before don't count, since they
// may live on while new ones are refused. As long as the VM is partitioned it goes on
// probing, and ends that state when several servers can be reached again.
//
// A VM can't tell a partition from a failure of all servers. Other VMs can: if they reach
// servers, they can serve its requests.
//
// The package does no I/O. A Detector is not safe for concurrent use.
package partition

import (
	"net/netip"
	"time"
)

const (
	// ProbeServers is how many servers a probe tries to reach.
	ProbeServers = 6

	// suspectServers is the number of servers to which no connection opened, since one
	// last did to any server, from which the VM suspects a partition, and suspectDials
	// the number of attempts at a single one.
	suspectServers = 2
	suspectDials   = 3

	// overdueTime is how long a request waits at least for an answer, and overdueFactor
	// by how much longer than expected, before its silence raises a suspicion if no
	// server answers. Of overdueRequests requests none needs to wait longer than
	// overdueTime.
	overdueTime     = 400 * time.Millisecond
	overdueFactor   = 2
	overdueRequests = 3

	// probeInterval is the minimum time between two probes.
	probeInterval = time.Second

	// minReached is the number of servers, out of those of a probe, that must be reached
	// to end a partition. When fewer are, the next probe follows after confirmInterval.
	minReached      = 2
	confirmInterval = 250 * time.Millisecond
)

type (
	// Detector holds what one VM knows of its connections to backend servers.
	Detector struct {
		partitioned bool
		since       time.Time
		// openedAt is when a connection to a server last opened, and heardAt when a
		// server last answered.
		openedAt, heardAt time.Time
		// failed counts, for each server, the connections that did not open since
		// openedAt.
		failed map[netip.AddrPort]int
		// waiting holds the requests that wait for an answer.
		waiting map[uint64]wait
		lastID  uint64
		probing bool
		// nextProbe is the earliest time of the next probe.
		nextProbe time.Time
	}

	wait struct {
		since    time.Time
		expected time.Duration
	}

	// Event is the begin or the end of a partition.
	Event struct {
		Partitioned bool
		// Lasted is how long a partition that ended had lasted.
		Lasted time.Duration
		// Tried and Reached are the numbers of servers that the probe tried to reach,
		// and of those that it reached.
		Tried, Reached int
	}
)

// New returns a Detector of a VM that has no connections yet.
func New() *Detector {
	return &Detector{failed: make(map[netip.AddrPort]int), waiting: make(map[uint64]wait)}
}

// Partitioned reports whether the VM is partitioned from all backend servers.
func (d *Detector) Partitioned() bool { return d.partitioned }

// Dialed records that a connection to a server opened or, if open is false, that it did
// not, having been tried from a time on.
func (d *Detector) Dialed(address netip.AddrPort, open bool, from, now time.Time) {
	switch {
	case open:
		d.openedAt = now
		clear(d.failed)
	case from.After(d.openedAt):
		d.failed[address]++
	}
}

// Begin records that a request waits at a server for an answer, which is expected within
// some time. The caller must call End with the number that is returned.
func (d *Detector) Begin(expected time.Duration, now time.Time) uint64 {
	d.lastID++
	d.waiting[d.lastID] = wait{now, expected}
	return d.lastID
}

// End records that a request does not wait any more, and whether a server answered it.
func (d *Detector) End(id uint64, answered bool, now time.Time) {
	delete(d.waiting, id)
	if answered {
		d.heardAt = now
	}
}

// HeardSince reports whether a server answered, or a connection to one opened, after a
// time.
func (d *Detector) HeardSince(t time.Time) bool { return d.heardAt.After(t) || d.openedAt.After(t) }

// OpenedSince reports whether a connection to a server opened after a time.
func (d *Detector) OpenedSince(t time.Time) bool { return d.openedAt.After(t) }

// suspects reports whether there is a reason to probe.
func (d *Detector) suspects(now time.Time) bool {
	if len(d.failed) >= suspectServers {
		return true
	}
	for _, n := range d.failed {
		if n >= suspectDials {
			return true
		}
	}
	if d.HeardSince(now.Add(-overdueTime)) {
		return false
	}
	overdue := 0
	for _, w := range d.waiting {
		age := now.Sub(w.since)
		if age < overdueTime {
			continue
		}
		if overdue++; overdue >= overdueRequests || age >= overdueFactor*w.expected {
			return true
		}
	}
	return false
}

// StartProbe reports whether the caller has to probe now: to try to open new connections
// to servers, report each with Dialed, and call EndProbe.
func (d *Detector) StartProbe(now time.Time) bool {
	if d.probing || now.Before(d.nextProbe) || !d.partitioned && !d.suspects(now) {
		return false
	}
	d.probing = true
	return true
}

// EndProbe records how many servers a probe tried to reach and how many of them it
// reached. It returns an event if a partition begins or ends.
func (d *Detector) EndProbe(tried, reached int, now time.Time) (Event, bool) {
	d.probing, d.nextProbe = false, now.Add(probeInterval)
	e := Event{Tried: tried, Reached: reached}
	switch {
	case !d.partitioned && tried > 0 && reached == 0:
		d.partitioned, d.since = true, now
		e.Partitioned = true
		return e, true
	case d.partitioned && reached >= min(minReached, max(1, tried)):
		d.partitioned = false
		e.Lasted = now.Sub(d.since)
		return e, true
	case d.partitioned && reached > 0:
		d.nextProbe = now.Add(confirmInterval)
	}
	return Event{}, false
}

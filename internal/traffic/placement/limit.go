package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

const (
	// limitFraction is the fraction of a server's limit that its few regular senders
	// use. The other VMs use probeFraction of it, which also tells them when the limit
	// ends.
	limitFraction = 1.0
	probeFraction = 0.1

	// minLimit and maxLimit bound the limit that is assumed, in requests per second.
	minLimit = 0.1
	maxLimit = 1e6

	// reportTime is how long after an answer its limit is reported to other VMs, and
	// maxReports the number of limits in a report: its size does not grow with the
	// fleet or with the number of servers in need.
	reportTime = 2 * time.Second
	maxReports = 8

	// limitChange is the relative change of a limit that is reported as an event.
	limitChange = 0.2
)

// LimitReport is what a VM tells other VMs of a server's limit. A PerSecond below zero
// says that the server named a limit before and names none any more.
type LimitReport struct {
	Server    sassafrastray.BackendName `json:"server"`
	PerSecond float64                   `json:"rate"`
}

// limit is the rate that a server takes from all VMs together.
type limit struct {
	perSecond float64
	// next is when this VM may send the next request. While it sends none, next stays
	// behind the current time by up to one interval, which allows two at once.
	next time.Time
	// reported is the rate in the latest event.
	reported float64
}

// SetLimit records the limit, in requests per second, that the choice's server named in
// an answer.
func (t *Table) SetLimit(c Choice, perSecond float64, now time.Time) {
	s := c.server
	if s == nil || math.IsNaN(perSecond) || perSecond < 0 {
		return
	}
	s.answeredAt = now
	t.limited[s] = true
	t.setLimit(s, perSecond, now)
}

func (t *Table) setLimit(s *server, perSecond float64, now time.Time) {
	perSecond = min(maxLimit, max(minLimit, perSecond))
	if s.limit == nil {
		s.limit = &limit{}
	}
	old := s.limit.perSecond
	s.limit.perSecond = perSecond
	if gap, _ := t.limitGap(s); old == 0 || s.limit.next.Sub(now) > gap {
		// All VMs learn of the limit at about the same time.
		s.limit.next = now.Add(time.Duration(t.rng.Float64() * float64(gap)))
	}
	if math.Abs(perSecond-s.limit.reported) > limitChange*s.limit.reported {
		s.limit.reported = perSecond
		t.recordEvent(Event{Server: s.Name, Service: s.service.name, Limit: perSecond})
	}
}

// EndLimit records that an answer of the choice's server named no limit.
func (t *Table) EndLimit(c Choice, now time.Time) {
	if s := c.server; s != nil && s.limit != nil {
		s.answeredAt = now
		t.limited[s] = true
		t.endLimit(s)
	}
}

func (t *Table) endLimit(s *server) {
	s.limit = nil
	t.recordEvent(Event{Server: s.Name, Service: s.service.name, LimitEnded: true})
}

// LimitReports returns the limits that servers named or ended lately in answers to this
// VM, at most maxReports of them in random order.
func (t *Table) LimitReports(now time.Time) (out []LimitReport) {
	for s := range t.limited {
		if t.servers[s.Name] != s || now.Sub(s.answeredAt) > reportTime {
			delete(t.limited, s)
			continue
		}
		if len(out) == maxReports {
			break
		}
		r := LimitReport{Server: s.Name, PerSecond: -1}
		if s.limit != nil {
			r.PerSecond = s.limit.perSecond
		}
		out = append(out, r)
	}
	return out
}

// ReceiveLimits processes the limits that another VM reports. They change nothing for a
// server that answered this VM lately itself.
func (t *Table) ReceiveLimits(reports []LimitReport, now time.Time) {
	for _, r := range reports[:min(len(reports), maxReports)] {
		s := t.servers[r.Server]
		switch {
		case s == nil || math.IsNaN(r.PerSecond) || now.Sub(s.answeredAt) <= reportTime:
		case r.PerSecond >= 0:
			t.setLimit(s, r.PerSecond, now)
		case s.limit != nil:
			t.endLimit(s)
		}
	}
}

// isLimited reports whether the server's limit allows no request of this VM now.
func (s *server) isLimited(now time.Time) bool { return s.limit != nil && now.Before(s.limit.next) }

// limitGap returns the time between two requests of this VM to a server that named a
// limit, and whether the VM is one of its regular senders. These are the same few VMs in
// all VMs' view, those of the server's region first: an even part of a small limit would
// let each VM of a large fleet send a request in many seconds only.
func (t *Table) limitGap(s *server) (gap time.Duration, regular bool) {
	rate := s.limit.perSecond
	fleet := max(minFleetSize, len(t.fleet)+1)
	senders := min(len(t.fleet)+1, 1+int(rate/2))
	if t.senderRank(s) < senders {
		return interval(limitFraction * rate / float64(senders)), true
	}
	return interval(probeFraction * rate / float64(fleet-senders)), false
}

// senderRank returns how many VMs come before this one as senders to the server.
func (t *Table) senderRank(s *server) int {
	near := t.opt.Region == s.region
	own, ahead := mix(s.hash, xxhash.Sum64String(string(t.opt.Self))), 0
	for i := range t.fleet {
		vm := &t.fleet[i]
		switch vmNear := t.opt.Regions[vm.Domain] == s.region; {
		case vmNear && !near, vmNear == near && mix(s.hash, xxhash.Sum64String(string(vm.Name))) > own:
			ahead++
		}
	}
	return ahead
}

// interval returns the time between two requests at a rate per second.
func interval(rate float64) time.Duration {
	return time.Duration(min(float64(math.MaxInt64/2), float64(time.Second)/rate))
}

// countLimited counts a request that is sent to a server with a limit.
func (t *Table) countLimited(s *server, now time.Time) {
	if s.limit == nil {
		return
	}
	gap, regular := t.limitGap(s)
	earliest := now
	if regular {
		earliest = now.Add(-gap)
	}
	s.limit.next = later(s.limit.next, earliest).Add(gap)
}

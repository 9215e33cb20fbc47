package scheduler

import (
	"time"

	"sassafrastray"
)

// States of a backend server in its health reports.
const (
	// Unknown means that the report contains no state.
	Unknown State = ""
	// Ready means that it accepts requests.
	Ready State = "ready"
	// Cold means that it accepts requests, but only slowly at first.
	Cold State = "cold"
	// Failing means that it reports a problem.
	Failing State = "failing"
	// Draining means that it accepts no new requests.
	Draining State = "draining"
)

type (
	// State is the state that a backend server reports.
	State string

	// OptionalInt is a number that may be missing. The zero value is missing.
	OptionalInt struct {
		Value int
		Known bool
	}

	// Report is a report of the health and load of a backend server. It may be
	// stale or wrong, so it can only lower the number of requests that are
	// sent. At is the time of measurement, zero if it is unknown.
	Report struct {
		At       time.Time
		State    State
		Slots    OptionalInt
		InFlight OptionalInt
	}
)

// Known returns an OptionalInt with the value n.
func Known(n int) OptionalInt { return OptionalInt{Value: n, Known: true} }

// HandleReport applies a report of a backend server. Unknown names are ignored.
func (s *Scheduler) HandleReport(name sassafrastray.BackendName, r Report, now time.Time) {
	b := s.backends[name]
	if b == nil {
		return
	}
	b.report(r, now, s.opt)
	if r.InFlight.Known && r.At.After(b.ownedAt) {
		b.handover = b.handover.truncate(r.InFlight.Value)
	}
}

// MarkDraining marks a backend server that another VM knows to be draining.
func (s *Scheduler) MarkDraining(name sassafrastray.BackendName, now time.Time) {
	if b := s.backends[name]; b != nil {
		b.drainingAt = now
	}
}

// ReportedDraining returns the backend servers that recently reported to this VM
// that they are draining. Those known only from other VMs are left out, so that
// marks do not circulate between VMs forever.
func (s *Scheduler) ReportedDraining(now time.Time) []sassafrastray.BackendName {
	var names []sassafrastray.BackendName
	for _, b := range s.byName {
		if !b.reportedDrainingAt.IsZero() && now.Before(b.reportedDrainingAt.Add(s.opt.DrainHold)) {
			names = append(names, b.name)
		}
	}
	return names
}

// report lowers the limit or sets the ceiling from a report. At least one slot
// always remains, because only the results of requests are reliable.
func (b *backend) report(r Report, now time.Time, opt Options) {
	switch r.State {
	case Draining:
		b.drainingAt, b.reportedDrainingAt = now, now
	case Failing, Cold:
		b.slowStart(now, opt)
	case Ready:
		// An old report does not end the draining. Afterwards the backend server
		// is treated as down until probes succeed.
		if !b.drainingAt.IsZero() && r.At.After(b.drainingAt.Add(opt.DrainHold)) {
			b.drainingAt = time.Time{}
			b.down, b.probes, b.probeAt = true, 0, now
		}
	case Unknown:
	}
	ceiling := b.slots
	if r.Slots.Known {
		ceiling = min(ceiling, r.Slots.Value)
	}
	// An older count may include requests of this VM that the recorded peak no
	// longer covers.
	recent := r.At.IsZero() || now.Sub(r.At) <= peakWindow
	if r.InFlight.Known && recent {
		b.updatePeak(now)
		others := r.InFlight.Value - max(b.peak[0], b.peak[1])
		ceiling = min(ceiling, b.slots-max(0, others))
	}
	if ceiling < b.slots {
		b.ceiling, b.ceilingUntil = max(1, ceiling), now.Add(opt.ReportTTL)
	}
}

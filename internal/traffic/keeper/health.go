package keeper

import (
	"time"

	"sassafrastray"
)

// States that a backend server reports of itself.
const (
	// Silent means that the report has no state, which says nothing.
	Silent State = ""
	// Ready means that it takes requests.
	Ready State = "ready"
	// Cold means that it takes requests slowly at first.
	Cold State = "cold"
	// Failing means that it has trouble.
	Failing State = "failing"
	// Draining means that it takes no new requests.
	Draining State = "draining"
)

type (
	// State is what a backend server reports of itself.
	State string

	// Figure is a number that may be missing. The zero Figure is missing.
	Figure struct {
		Value int
		Known bool
	}

	// Report is what is heard of a backend server's health and load. It may
	// lag or mislead, so it can only lower what the keeper sends. At is when
	// it was measured, zero if that is unknown.
	Report struct {
		At       time.Time
		State    State
		Slots    Figure
		InFlight Figure
	}
)

// Known returns a figure that is not missing.
func Known(n int) Figure { return Figure{Value: n, Known: true} }

// Health takes a report of a backend server.
func (k *Keeper) Health(name sassafrastray.BackendName, r Report, now time.Time) {
	b := k.backends[name]
	if b == nil {
		return
	}
	b.report(r, now, k.opt)
	if r.InFlight.Known && r.At.After(b.taken) {
		b.handover = b.handover.keep(r.InFlight.Value)
	}
}

// Drain marks a backend server that a peer knows to be draining.
func (k *Keeper) Drain(name sassafrastray.BackendName, now time.Time) {
	if b := k.backends[name]; b != nil {
		b.drained = now
	}
}

// Drains returns the backend servers that lately told this VM that they drain.
// What peers told is left out, so that marks do not circulate for ever.
func (k *Keeper) Drains(now time.Time) []sassafrastray.BackendName {
	var names []sassafrastray.BackendName
	for _, b := range k.names {
		if !b.told.IsZero() && now.Before(b.told.Add(k.opt.DrainHold)) {
			names = append(names, b.name)
		}
	}
	return names
}

// report lowers what the backend server receives by what it says of itself.
// One slot always stays, because only its answers tell the truth.
func (b *backend) report(r Report, now time.Time, opt Options) {
	switch r.State {
	case Draining:
		b.drained, b.told = now, now
	case Failing, Cold:
		b.cold(now, opt)
	case Ready:
		// An old report does not end the draining, and the backend server
		// comes back by probes.
		if !b.drained.IsZero() && r.At.After(b.drained.Add(opt.DrainHold)) {
			b.drained = time.Time{}
			b.down, b.probes, b.probeAt = true, 0, now
		}
	case Silent:
	}
	ceiling := b.slots
	if r.Slots.Known {
		ceiling = min(ceiling, r.Slots.Value)
	}
	// An older figure can't be told from what this VM had in flight then.
	recent := r.At.IsZero() || now.Sub(r.At) <= peakWindow
	if r.InFlight.Known && recent {
		b.turnPeak(now)
		others := r.InFlight.Value - max(b.peak[0], b.peak[1])
		ceiling = min(ceiling, b.slots-max(0, others))
	}
	if ceiling < b.slots {
		b.ceiling, b.ceilingUntil = max(1, ceiling), now.Add(opt.ReportAge)
	}
}

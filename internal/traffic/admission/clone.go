package admission

import (
	"math/rand/v2"
	"slices"

	"sassafrastray"
)

// Clone returns a copy of the gate that shares no state with it and draws from rng.
func (g *Gate) Clone(rng *rand.Rand) *Gate {
	out := New(rng)
	for k, l := range g.levels {
		c := *l
		c.calendar.places = slices.Clone(l.calendar.places)
		out.levels[k] = &c
	}
	return out
}

// Level returns the share of the requests of priority 1 that is admitted, as of the latest
// decision, or false if there was none for the service and region.
func (g *Gate) Level(s sassafrastray.ServiceName, region sassafrastray.RegionName) (float64, bool) {
	l := g.levels[levelKey{s, region}]
	if l == nil {
		return 0, false
	}
	return l.share, true
}

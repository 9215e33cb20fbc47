package placement

import (
	"slices"
	"strings"

	"sassafrastray"
)

// Tally holds the choices for the requests of a service since the previous Tally, and the
// share of other regions that they were made by.
type Tally struct {
	Service sassafrastray.ServiceName
	// Near, Away, Detours and Home are the requests that were sent to servers of the VM's
	// region and of others. Home are those whose rules do not allow the VM's region.
	Near, Away, Detours, Home int
	// RefusedNear, RefusedAway and RefusedHome are the refused ones, by where they would
	// have been sent.
	RefusedNear, RefusedAway, RefusedHome int
	// Share is the share of objects that go to other regions, NearLoad and AwayLoad the
	// requests per slot from which it follows.
	Share, NearLoad, AwayLoad float64
}

// Tallies returns the tallies of the services with requests since the last call, by name.
func (t *Table) Tallies() []Tally {
	var out []Tally
	for _, s := range t.services {
		if s.tally == (Tally{}) {
			continue
		}
		c := s.tally
		c.Service, c.Share, c.NearLoad, c.AwayLoad = s.name, s.remoteShare, s.nearLoad, s.awayLoad
		out = append(out, c)
		s.tally = Tally{}
	}
	slices.SortFunc(out, func(a, b Tally) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return out
}

// count counts a choice that was sent or refused. region is the chosen server's, or empty if
// there was none.
func (c *Tally) count(reason Reason, region, own sassafrastray.RegionName, sent bool) {
	near := region == own || region == ""
	switch {
	case sent && reason == Home:
		c.Home++
	case sent && near:
		c.Near++
	case sent && reason == Detour:
		c.Detours++
	case sent:
		c.Away++
	case reason == Home:
		c.RefusedHome++
	case near:
		c.RefusedNear++
	default:
		c.RefusedAway++
	}
}

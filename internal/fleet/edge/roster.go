package edge

import (
	"maps"
	"slices"

	"sassafrastray"
)

// mostNames bounds the names in one list of a log line.
const mostNames = 16

type (
	// roster remembers the backend servers and which of them are leaving, to
	// tell what changed.
	roster map[sassafrastray.BackendName]bool

	// rosterChange has the names of servers, at most mostNames in each list.
	rosterChange struct {
		added, removed, leaving []sassafrastray.BackendName
	}
)

// update takes in the servers of now and returns what is different.
func (r *roster) update(backends []sassafrastray.BackendServer) rosterChange {
	var d rosterChange
	now := make(roster, len(backends))
	for i := range backends {
		b := &backends[i]
		now[b.Name] = b.Leaving
		was, known := (*r)[b.Name]
		if !known {
			d.added = append(d.added, b.Name)
		}
		if b.Leaving && !was {
			d.leaving = append(d.leaving, b.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(*r)) {
		if _, ok := now[name]; !ok {
			d.removed = append(d.removed, name)
		}
	}
	*r = now
	for _, list := range []*[]sassafrastray.BackendName{&d.added, &d.removed, &d.leaving} {
		*list = (*list)[:min(len(*list), mostNames)]
	}
	return d
}

package edge

import (
	"maps"
	"slices"

	"sassafrastray"
)

// maxLoggedNames bounds the names in one list of a log line.
const maxLoggedNames = 16

type (
	// backendSet maps each known backend server to whether it is leaving.
	backendSet map[sassafrastray.BackendName]bool

	// backendChange lists the names of servers that changed, at most maxLoggedNames
	// in each list.
	backendChange struct {
		added, removed, leaving []sassafrastray.BackendName
	}
)

// update replaces the set by the given servers and returns the differences.
func (s *backendSet) update(backends []sassafrastray.BackendServer) backendChange {
	var c backendChange
	current := make(backendSet, len(backends))
	for i := range backends {
		b := &backends[i]
		current[b.Name] = b.Leaving
		was, known := (*s)[b.Name]
		if !known {
			c.added = append(c.added, b.Name)
		}
		if b.Leaving && !was {
			c.leaving = append(c.leaving, b.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(*s)) {
		if _, ok := current[name]; !ok {
			c.removed = append(c.removed, name)
		}
	}
	*s = current
	for _, list := range []*[]sassafrastray.BackendName{&c.added, &c.removed, &c.leaving} {
		*list = (*list)[:min(len(*list), maxLoggedNames)]
	}
	return c
}

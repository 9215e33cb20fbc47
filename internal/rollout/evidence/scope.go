package evidence

import (
	"maps"
	"slices"

	"sassafrastray"
)

const (
	// minServers is the least number of the new version's backend servers with
	// which a fault of one of them can be told from a fault of the version. The
	// same number holds for failure domains.
	minServers = 2
	// maxSuspects bounds the number of single backend servers that are left out
	// in turn.
	maxSuspects = 4
)

// scope is a set of routes that are judged together.
type scope []*view

// suspects returns the sets of backend servers to leave out in turn: each of
// the servers with the most failures and slow requests, and all servers of each
// failure domain. A version is bad only if it also looks bad without each of
// these sets.
func (s scope) suspects(w *watchedService) [][]sassafrastray.BackendName {
	weight := s.weights()
	if len(weight) < minServers {
		return nil
	}
	names := slices.Sorted(maps.Keys(weight))
	domains := map[sassafrastray.DomainName][]sassafrastray.BackendName{}
	for _, name := range names {
		domains[w.domains[name]] = append(domains[w.domains[name]], name)
	}
	slices.SortStableFunc(names, func(a, b sassafrastray.BackendName) int { return weight[b] - weight[a] })
	var out [][]sassafrastray.BackendName
	for _, n := range names[:min(len(names), maxSuspects)] {
		out = append(out, []sassafrastray.BackendName{n})
	}
	if len(domains) >= minServers {
		for _, d := range domains {
			out = append(out, d)
		}
	}
	return out
}

// weights returns for each backend server the number of its failures and of its
// requests that are slow even for the new version.
func (s scope) weights() map[sassafrastray.BackendName]int {
	out := map[sassafrastray.BackendName]int{}
	for _, v := range s {
		all := v.sum(false, 0, spanCount)
		cut := all.quantile() + slowMarginBuckets
		for _, p := range v.parts {
			for _, b := range p.to {
				for i := range spanCount {
					if c := v.cell(b.series, i); c != nil {
						out[b.backend] += int(c.failed) + c.above(cut)
					}
				}
			}
		}
	}
	return out
}

// score returns the scope's scores: for each the lowest one over all requests
// and over the requests without each of the suspects. It stops early once all
// are below suspectScore.
func (s scope) score(w *watchedService) scores {
	out := s.scoreWithout(nil)
	if out.max() < suspectScore {
		return out
	}
	for _, skip := range s.suspects(w) {
		out.min(s.scoreWithout(skip))
		if out.max() < suspectScore {
			break
		}
	}
	return out
}

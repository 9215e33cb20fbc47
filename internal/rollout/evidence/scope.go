package evidence

import (
	"maps"
	"slices"

	"sassafrastray"
)

const (
	// fewServers is the number of the new version's backend servers below
	// which one of them can't be told from the version.
	fewServers = 2
	// maxSuspects bounds how many backend servers are left out in turn.
	maxSuspects = 4
)

// scope is the routes that are judged together.
type scope []*view

// suspects returns the sets of backend servers that are left out in turn: the
// single servers with most failures and slow requests, and all servers of one
// failure domain. A version is bad only if it looks bad without each of them.
func (s scope) suspects(w *watched) [][]sassafrastray.BackendName {
	weight := s.weights()
	if len(weight) < fewServers {
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
	if len(domains) >= fewServers {
		for _, d := range domains {
			out = append(out, d)
		}
	}
	return out
}

// weights ranks backend servers by failures and by requests that are slow
// even for the new version.
func (s scope) weights() map[sassafrastray.BackendName]int {
	out := map[sassafrastray.BackendName]int{}
	for _, v := range s {
		all := v.sum(false, 0, spans)
		cut := all.quantile() + slowMargin
		for _, p := range v.parts {
			for _, b := range p.to {
				for i := range spans {
					if c := v.cell(b.series, i); c != nil {
						out[b.backend] += int(c.failed) + c.above(cut)
					}
				}
			}
		}
	}
	return out
}

// score returns how strongly the scope speaks against the new version, also
// without each of the suspects.
func (s scope) score(w *watched) scores {
	out := s.scoreWithout(nil)
	if out.max() < suspicion {
		return out
	}
	for _, skip := range s.suspects(w) {
		out.min(s.scoreWithout(skip))
		if out.max() < suspicion {
			break
		}
	}
	return out
}

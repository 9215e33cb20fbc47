package execlog

import (
	"cmp"
	"slices"
	"time"

	"sassafrastray"
)

// maxSamples bounds the examples in a summary.
const maxSamples = 20

type (
	// Summary aggregates the executions.
	Summary struct {
		Executions int `json:"executions"`
		Running    int `json:"running"`
		// Twice counts the orders that were executed more than once, by
		// method; Repeated lists up to maxSamples of them.
		Twice    map[string]int `json:"twice"`
		Repeated []Repeat       `json:"repeated"`
		// Keys counts the executions that carried a key, by path; Leaks
		// lists up to maxSamples of them.
		Keys  map[string]int `json:"keys"`
		Leaks []Entry        `json:"leaks"`
		Teams []Team         `json:"teams"`
		// Versions counts executions by service and version.
		Versions []Version `json:"versions"`
	}

	// Repeat is an order that was executed more than once.
	Repeat struct {
		Order  string `json:"order"`
		Method string `json:"method"`
		Path   string `json:"path"`
		Times  int    `json:"times"`
	}

	// Team aggregates one team's requests to one service.
	Team struct {
		Service    sassafrastray.ServiceName `json:"service"`
		Team       sassafrastray.TeamName    `json:"team"`
		Executions int                       `json:"executions"`
		// Seconds counts starts in each second since the first entry of
		// the ledger.
		Seconds []int `json:"seconds"`
	}

	// Version counts executions of one version of a service.
	Version struct {
		Service    sassafrastray.ServiceName `json:"service"`
		Version    sassafrastray.VersionName `json:"version"`
		Executions int                       `json:"executions"`
		Failed     int                       `json:"failed"`
	}

	order  struct{ id, method string }
	caller struct {
		service sassafrastray.ServiceName
		team    sassafrastray.TeamName
	}
	code struct {
		service sassafrastray.ServiceName
		version sassafrastray.VersionName
	}
)

// Summary aggregates all executions.
func (l *Ledger) Summary() Summary {
	s := Summary{Executions: len(l.entries), Twice: map[string]int{}, Keys: map[string]int{}}
	for _, e := range l.entries {
		if e.End == "" {
			s.Running++
		}
		if e.Keys {
			s.Keys[e.Path]++
			if len(s.Leaks) < maxSamples {
				s.Leaks = append(s.Leaks, *e)
			}
		}
	}
	l.repeats(&s)
	s.Teams = l.teams()
	s.Versions = l.versions()
	return s
}

// repeats finds the orders that were executed more than once. Requests
// without an order id are identified by the system's request id.
func (l *Ledger) repeats(s *Summary) {
	seen := map[order]*Repeat{}
	for _, e := range l.entries {
		id := cmp.Or(e.Order, e.ID)
		if id == "" {
			continue
		}
		r := seen[order{id, e.Method}]
		if r == nil {
			r = &Repeat{Order: id, Method: e.Method, Path: e.Path}
			seen[order{id, e.Method}] = r
		}
		r.Times++
		if r.Times == 2 {
			s.Twice[e.Method]++
			s.Repeated = append(s.Repeated, Repeat{Order: id, Method: e.Method})
		}
	}
	s.Repeated = s.Repeated[:min(len(s.Repeated), maxSamples)]
	for i, r := range s.Repeated {
		s.Repeated[i] = *seen[order{r.Order, r.Method}]
	}
}

func (l *Ledger) teams() []Team {
	found := map[caller]*Team{}
	var first time.Time
	for i, e := range l.entries {
		if i == 0 {
			first = e.Start
		}
		k := caller{e.Service, e.Team}
		t := found[k]
		if t == nil {
			t = &Team{Service: e.Service, Team: e.Team}
			found[k] = t
		}
		t.Executions++
		second := max(0, int(e.Start.Sub(first)/time.Second))
		for len(t.Seconds) <= second {
			t.Seconds = append(t.Seconds, 0)
		}
		t.Seconds[second]++
	}
	teams := make([]Team, 0, len(found))
	for _, t := range found {
		teams = append(teams, *t)
	}
	slices.SortFunc(teams, func(a, b Team) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
	})
	return teams
}

func (l *Ledger) versions() []Version {
	found := map[code]*Version{}
	for _, e := range l.entries {
		k := code{e.Service, e.Version}
		v := found[k]
		if v == nil {
			v = &Version{Service: e.Service, Version: e.Version}
			found[k] = v
		}
		v.Executions++
		if e.End == Failed {
			v.Failed++
		}
	}
	versions := make([]Version, 0, len(found))
	for _, v := range found {
		versions = append(versions, *v)
	}
	slices.SortFunc(versions, func(a, b Version) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return versions
}

// Burst returns the smallest burst with which a token bucket of the rate, in
// requests per second, would have let the team's requests to the service
// start when they did. An empty service or team matches all.
func (l *Ledger) Burst(service sassafrastray.ServiceName, team sassafrastray.TeamName, rate float64) float64 {
	var (
		level, most float64
		last        time.Time
	)
	for _, e := range l.entries {
		if (service != "" && e.Service != service) || (team != "" && e.Team != team) {
			continue
		}
		if !last.IsZero() {
			level = max(0, level-rate*e.Start.Sub(last).Seconds())
		}
		last = e.Start
		level++
		most = max(most, level)
	}
	return most
}

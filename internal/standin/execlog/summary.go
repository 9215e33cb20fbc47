package execlog

import (
	"cmp"
	"slices"
	"time"

	"sassafrastray"
)

// maxSamples is the maximum number of samples of each kind in a summary.
const maxSamples = 20

type (
	// Summary aggregates the executions of a log.
	Summary struct {
		Executions int `json:"executions"`
		// Running counts the executions that have not ended.
		Running int `json:"running"`
		// RepeatsByMethod counts the orders that were executed more than
		// once. RepeatSamples lists the first maxSamples of them.
		RepeatsByMethod map[string]int  `json:"twice"`
		RepeatSamples   []RepeatedOrder `json:"repeated"`
		// KeysByPath counts the executions whose request contained a key.
		// KeySamples lists the first maxSamples of them.
		KeysByPath map[string]int  `json:"keys"`
		KeySamples []Entry         `json:"leaks"`
		Teams      []TeamCounts    `json:"teams"`
		Versions   []VersionCounts `json:"versions"`
	}

	// RepeatedOrder is an order that was executed more than once.
	RepeatedOrder struct {
		OrderID    string `json:"order"`
		Method     string `json:"method"`
		Path       string `json:"path"`
		Executions int    `json:"times"`
	}

	// TeamCounts counts the executions of one team's requests to one service.
	TeamCounts struct {
		Service    sassafrastray.ServiceName `json:"service"`
		Team       sassafrastray.TeamName    `json:"team"`
		Executions int                       `json:"executions"`
		// StartsPerSecond counts the starts in each second since the first
		// entry of the log.
		StartsPerSecond []int `json:"seconds"`
	}

	// VersionCounts counts the executions by one version of a service.
	VersionCounts struct {
		Service    sassafrastray.ServiceName `json:"service"`
		Version    sassafrastray.VersionName `json:"version"`
		Executions int                       `json:"executions"`
		Failed     int                       `json:"failed"`
	}

	// orderKey identifies an order. Its id is the request ID if the caller
	// assigned none.
	orderKey struct{ id, method string }

	teamKey struct {
		service sassafrastray.ServiceName
		team    sassafrastray.TeamName
	}

	versionKey struct {
		service sassafrastray.ServiceName
		version sassafrastray.VersionName
	}
)

// Summary aggregates all executions.
func (l *Log) Summary() Summary {
	s := Summary{Executions: len(l.entries), RepeatsByMethod: map[string]int{}, KeysByPath: map[string]int{}}
	for _, e := range l.entries {
		if e.EndState == "" {
			s.Running++
		}
		if e.HasKey {
			s.KeysByPath[e.Path]++
			if len(s.KeySamples) < maxSamples {
				s.KeySamples = append(s.KeySamples, *e)
			}
		}
	}
	l.addRepeats(&s)
	s.Teams = l.teamCounts()
	s.Versions = l.versionCounts()
	return s
}

// addRepeats adds the orders that were executed more than once to the summary.
// Requests without an order ID are identified by their request ID.
func (l *Log) addRepeats(s *Summary) {
	seen := map[orderKey]*RepeatedOrder{}
	for _, e := range l.entries {
		id := cmp.Or(e.OrderID, e.RequestID)
		if id == "" {
			continue
		}
		r := seen[orderKey{id, e.Method}]
		if r == nil {
			r = &RepeatedOrder{OrderID: id, Method: e.Method, Path: e.Path}
			seen[orderKey{id, e.Method}] = r
		}
		r.Executions++
		if r.Executions == 2 {
			s.RepeatsByMethod[e.Method]++
			s.RepeatSamples = append(s.RepeatSamples, RepeatedOrder{OrderID: id, Method: e.Method})
		}
	}
	s.RepeatSamples = s.RepeatSamples[:min(len(s.RepeatSamples), maxSamples)]
	for i, r := range s.RepeatSamples {
		s.RepeatSamples[i] = *seen[orderKey{r.OrderID, r.Method}]
	}
}

// teamCounts returns the counts by service and team, in that order.
func (l *Log) teamCounts() []TeamCounts {
	counts := map[teamKey]*TeamCounts{}
	var first time.Time
	for i, e := range l.entries {
		if i == 0 {
			first = e.Start
		}
		k := teamKey{e.Service, e.Team}
		t := counts[k]
		if t == nil {
			t = &TeamCounts{Service: e.Service, Team: e.Team}
			counts[k] = t
		}
		t.Executions++
		second := max(0, int(e.Start.Sub(first)/time.Second))
		for len(t.StartsPerSecond) <= second {
			t.StartsPerSecond = append(t.StartsPerSecond, 0)
		}
		t.StartsPerSecond[second]++
	}
	teams := make([]TeamCounts, 0, len(counts))
	for _, t := range counts {
		teams = append(teams, *t)
	}
	slices.SortFunc(teams, func(a, b TeamCounts) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
	})
	return teams
}

// versionCounts returns the counts by service and version, in that order.
func (l *Log) versionCounts() []VersionCounts {
	counts := map[versionKey]*VersionCounts{}
	for _, e := range l.entries {
		k := versionKey{e.Service, e.Version}
		v := counts[k]
		if v == nil {
			v = &VersionCounts{Service: e.Service, Version: e.Version}
			counts[k] = v
		}
		v.Executions++
		if e.EndState == Failed {
			v.Failed++
		}
	}
	versions := make([]VersionCounts, 0, len(counts))
	for _, v := range counts {
		versions = append(versions, *v)
	}
	slices.SortFunc(versions, func(a, b VersionCounts) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return versions
}

// NeededBurst returns the smallest burst with which a token bucket of the given
// rate, in requests per second, would have admitted the team's requests to the
// service at the times when they started. An empty service or team matches all.
func (l *Log) NeededBurst(service sassafrastray.ServiceName, team sassafrastray.TeamName, rate float64) float64 {
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

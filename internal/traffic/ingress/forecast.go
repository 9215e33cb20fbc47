package ingress

import (
	"fmt"
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/placement"
)

type (
	// Question describes a request whose way is asked for. Either Route or Host and Path
	// are set.
	Question struct {
		Host, Path string
		Route      sassafrastray.RouteName
		Team       sassafrastray.TeamName
		Object     string
		// Priority replaces that of the route and the team, if it is set.
		Priority *int
		// TimeLeft is the time that the caller allows. Zero means that it sets none.
		TimeLeft time.Duration
	}

	// Forecast says where a request would go now.
	Forecast struct {
		VM     sassafrastray.VMName     `json:"vm"`
		Region sassafrastray.RegionName `json:"region"`
		Config int64                    `json:"config"`
		Route  sassafrastray.RouteName  `json:"route"`
		Team   sassafrastray.TeamName   `json:"team,omitempty"`
		// Service gets the route's next request. Parts are the services of a split.
		Service   sassafrastray.ServiceName `json:"service"`
		Parts     []sassafrastray.Target    `json:"parts,omitempty"`
		Object    string                    `json:"object,omitempty"`
		Priority  int                       `json:"priority"`
		Objective time.Duration             `json:"objective"`
		Left      time.Duration             `json:"left"`
		// Only is the version that the service's next request must go to, and Except the
		// one that it must not go to.
		Only   sassafrastray.VersionName `json:"only,omitempty"`
		Except sassafrastray.VersionName `json:"except,omitempty"`
		// Notes say what else decides about such requests at the VM now.
		Notes     []string           `json:"notes,omitempty"`
		Placement placement.Forecast `json:"placement"`
	}

	// Forecaster tells what a request would get. It changes nothing that traffic uses and
	// is safe for concurrent use.
	Forecaster interface {
		// Forecast returns what Placement.Pick would do.
		Forecast(r placement.Request) placement.Forecast
		// PeekVersion returns what Rollouts.ChooseVersion would return.
		PeekVersion(s sassafrastray.ServiceName) (only, except sassafrastray.VersionName, narrow bool)
		// PeekService returns what Splitter.Next would return.
		PeekService(r *sassafrastray.Route) sassafrastray.ServiceName
	}

	// FieldError says which field of a question is wrong.
	FieldError struct{ Field, Fault string }
)

// Error returns the field and its fault.
func (e *FieldError) Error() string { return e.Field + ": " + e.Fault }

// Forecast returns where the request would go, or a *FieldError. It goes by the rules that
// admit and pick go by, except for the team's quota and quarantine, which it does not ask.
func (h *Handler) Forecast(q Question, f Forecaster) (Forecast, error) {
	s := h.snap.Load()
	if s == nil {
		return Forecast{}, &FieldError{"config", "the VM has no configuration yet"}
	}
	r, err := s.findRoute(&q)
	if err != nil {
		return Forecast{}, err
	}
	out := Forecast{Region: h.Region, Config: s.Config.Number, Route: r.Name, Object: q.Object, Priority: r.Priority, Objective: r.LatencyObjective}
	regions := [2][]sassafrastray.RegionName{r.Regions}
	if q.Team != "" {
		team := s.Teams[q.Team]
		switch {
		case team == nil:
			return Forecast{}, &FieldError{"team", fmt.Sprintf("the configuration has no team %q", q.Team)}
		case r.Public:
			return Forecast{}, &FieldError{"team", fmt.Sprintf("route %s is public and has no teams", r.Name)}
		}
		out.Team, regions[1] = q.Team, team.Regions
		if team.Priority != nil {
			out.Priority = *team.Priority
		}
	}
	if q.Priority != nil {
		out.Priority = *q.Priority
	}
	if out.Left = q.TimeLeft; out.Left <= 0 {
		out.Left = defaultTimeout
	}
	if r.Timeout > 0 {
		out.Left = min(out.Left, r.Timeout)
	}
	out.Service = f.PeekService(r)
	if len(r.Targets) > 1 {
		out.Parts = r.Targets
	}
	narrow := false
	out.Only, out.Except, narrow = f.PeekVersion(out.Service)
	out.Placement = f.Forecast(placement.Request{
		Service: out.Service, Object: q.Object, Sticky: r.Sticky, Regions: regions, Only: out.Only, Except: out.Except,
		Narrow: narrow, Bytes: h.sizes.of(r.Name), Priority: out.Priority, Objective: r.LatencyObjective, TimeLeft: out.Left,
	})
	out.Notes = h.forecastNotes(r, &q)
	return out, nil
}

// forecastNotes returns what else decides about such requests.
func (h *Handler) forecastNotes(r *sassafrastray.Route, q *Question) (notes []string) {
	if h.Partition != nil && h.Partition.Partitioned() {
		notes = append(notes, "the VM reaches no backend server and relays requests to other VMs")
	}
	if h.isLeaving() {
		notes = append(notes, "the VM stops and refuses requests that would not end before")
	}
	if h.behind.Load() {
		notes = append(notes, "another VM has a later configuration")
	}
	if !r.Public {
		notes = append(notes, "the quota of the team is not asked")
	}
	if q.Object != "" && !r.Sticky {
		notes = append(notes, "the route is not sticky, so the object does not count")
	}
	return notes
}

// findRoute returns the route that the question is about.
func (s *Snapshot) findRoute(q *Question) (*sassafrastray.Route, error) {
	if q.Route != "" {
		if q.Host != "" || q.Path != "" {
			return nil, &FieldError{"route", "can't be given together with a host and path"}
		}
		i := slices.IndexFunc(s.Config.Routes, func(r sassafrastray.Route) bool { return r.Name == q.Route })
		if i < 0 {
			return nil, &FieldError{"route", fmt.Sprintf("the configuration has no route %q", q.Route)}
		}
		return &s.Config.Routes[i], nil
	}
	switch r := s.Hosts.Find(q.Host, q.Path); {
	case q.Host == "":
		return nil, &FieldError{"host", "is missing; give a host and path, or a route"}
	case len(s.Hosts.Routes(q.Host)) == 0:
		return nil, &FieldError{"host", fmt.Sprintf("no route has the host %q", q.Host)}
	case r == nil:
		return nil, &FieldError{"path", fmt.Sprintf("no route of the host has the path %q", q.Path)}
	default:
		return r, nil
	}
}

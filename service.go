package sassafrastray

import (
	"net/netip"
	"time"
)

type (
	// Service is a set of backend servers that answer for the same hosts.
	Service struct {
		Name ServiceName `json:"name"`
		// Hosts are the host names that callers use, in lower case.
		Hosts []string `json:"hosts"`
		// Regions are where the service's traffic may go.
		Regions []RegionName `json:"regions"`
		// Version receives the traffic while no move is under way.
		Version  VersionName     `json:"version"`
		Teams    []Allowance     `json:"teams"`
		Routes   []Route         `json:"routes"`
		Backends []BackendServer `json:"backends"`
		Move     *Move           `json:"move,omitempty"`

		// Health is the path that tells whether a backend server is well.
		Health string `json:"health,omitempty"`
		// Connections bounds a backend server's connections from all VMs.
		Connections int `json:"connections,omitempty"`
		// Cold is how long a backend server stays cold after its start, and
		// ColdRate the requests per second that it stands meanwhile.
		Cold     time.Duration `json:"cold,omitempty"`
		ColdRate float64       `json:"coldrate,omitempty"`
	}

	// BackendServer is one process of the service's owners that answers
	// requests.
	BackendServer struct {
		Name    BackendName    `json:"name"`
		Domain  DomainName     `json:"domain"`
		Address netip.AddrPort `json:"address"`
		// Slots is how many requests it works on at once.
		Slots   int         `json:"slots"`
		Version VersionName `json:"version"`
		// Leaving backend servers receive no new work.
		Leaving bool `json:"leaving,omitempty"`

		// Service is set for backend servers that name their service
		// themselves.
		Service ServiceName `json:"service,omitempty"`
		// Cold is how much longer the server is cold, as it said itself.
		Cold time.Duration `json:"cold,omitempty"`
		// Born tells a restart under the same name from the run before; the
		// later run has the greater one. Sequence grows within a run.
		Born     int64 `json:"born,omitempty"`
		Sequence int64 `json:"sequence,omitempty"`
	}

	// Move is an operator's wish to shift a service's traffic from one
	// version to another.
	Move struct {
		Name MoveName    `json:"name"`
		From VersionName `json:"from"`
		To   VersionName `json:"to"`
		// Deadline is when the move is done or taken back.
		Deadline time.Time `json:"deadline"`
		// Steps are the shares of traffic, in thousandths, that the new
		// version receives one after the other. The last is 1000.
		Steps []int `json:"steps"`
		// Soak is the least time that each step lasts.
		Soak time.Duration `json:"soak"`
	}
)

// Route returns the route called name, or nil.
func (s *Service) Route(name RouteName) *Route {
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i]
		}
	}
	return nil
}

// Allowance returns what the team may ask of the service, or nil.
func (s *Service) Allowance(team TeamName) *Allowance {
	for i := range s.Teams {
		if s.Teams[i].Team == team {
			return &s.Teams[i]
		}
	}
	return nil
}

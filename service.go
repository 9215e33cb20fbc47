package sassafrastray

import (
	"net/netip"
	"time"
)

type (
	// Service is a set of backend servers that serve the same hosts.
	Service struct {
		Name ServiceName `json:"name"`
		// Hosts are the host names that callers use, in lower case.
		Hosts []string `json:"hosts"`
		// Regions are those that the service's traffic may be sent to.
		Regions []RegionName `json:"regions"`
		// Version receives the traffic while no move is in progress.
		Version  VersionName     `json:"version"`
		Teams    []Allowance     `json:"teams"`
		Routes   []Route         `json:"routes"`
		Backends []BackendServer `json:"backends"`
		Move     *Move           `json:"move,omitempty"`

		// HealthPath is the path of the backend servers' health check.
		HealthPath string `json:"health,omitempty"`
		// MaxConnections bounds the connections from all VMs to one backend
		// server.
		MaxConnections int `json:"connections,omitempty"`
		// ColdPeriod is how long a backend server is cold after its start, and
		// ColdRate the requests per second that it can handle until then.
		ColdPeriod time.Duration `json:"cold,omitempty"`
		ColdRate   float64       `json:"coldrate,omitempty"`
	}

	// BackendServer is a process of the service that executes requests.
	BackendServer struct {
		Name    BackendName    `json:"name"`
		Domain  DomainName     `json:"domain"`
		Address netip.AddrPort `json:"address"`
		// Slots is the number of requests that it can execute at once.
		Slots   int         `json:"slots"`
		Version VersionName `json:"version"`
		// Leaving backend servers receive no new requests.
		Leaving bool `json:"leaving,omitempty"`

		// Service is set for backend servers that report their service
		// themselves.
		Service ServiceName `json:"service,omitempty"`
		// ColdRemaining is how much longer the server is cold, as it reported.
		ColdRemaining time.Duration `json:"cold,omitempty"`
		// Incarnation distinguishes a run of the server from earlier runs under
		// the same name; a later run has a greater value. Sequence increases
		// within a run.
		Incarnation int64 `json:"born,omitempty"`
		Sequence    int64 `json:"sequence,omitempty"`
	}

	// Move is an operator's request to shift a service's traffic from one
	// version to another.
	Move struct {
		Name MoveName    `json:"name"`
		From VersionName `json:"from"`
		To   VersionName `json:"to"`
		// Deadline is the time by which the move is completed or reverted.
		Deadline time.Time `json:"deadline"`
		// Steps are the successive shares of traffic, in thousandths, that the
		// new version receives. The last is 1000.
		Steps []int `json:"steps"`
		// Soak is the minimum duration of each step.
		Soak time.Duration `json:"soak"`
	}
)

// Route returns the route with the name, or nil.
func (s *Service) Route(name RouteName) *Route {
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i]
		}
	}
	return nil
}

// Allowance returns the team's allowance at the service, or nil.
func (s *Service) Allowance(team TeamName) *Allowance {
	for i := range s.Teams {
		if s.Teams[i].Team == team {
			return &s.Teams[i]
		}
	}
	return nil
}

// Package scenario parses and validates the YAML case files of the load
// generator.
package scenario

import (
	"net/netip"
	"time"

	"sassafrastray"
)

type (
	// Case describes the load of one run.
	Case struct {
		Name string `yaml:"name"`
		Seed uint64 `yaml:"seed"`
		// VMs are the addresses, ip:port, of the VMs that callers ask for
		// their first look-up.
		VMs      []string  `yaml:"vms"`
		Services []Service `yaml:"services"`
		Teams    []Team    `yaml:"teams"`
		Phases   []Phase   `yaml:"phases"`
		Events   []Event   `yaml:"events"`
	}

	// Service is a service and the kinds of request that callers send to it.
	Service struct {
		Name  sassafrastray.ServiceName `yaml:"name"`
		Host  string                    `yaml:"host"`
		Kinds []Kind                    `yaml:"kinds"`
	}

	// Kind describes one kind of request to a service.
	Kind struct {
		Name   string `yaml:"name"`
		Method string `yaml:"method"`
		Path   string `yaml:"path"`
		// Weight is the kind's share of the service's requests, relative to
		// the other kinds' weights.
		Weight int `yaml:"weight"`
		// Size is the size of the request's body in bytes.
		Size int64 `yaml:"size"`
		// Download is the size of the requested response in bytes; 0 requests
		// a description of the request instead.
		Download int64 `yaml:"download"`
		// Idempotent marks requests that may be executed more than once.
		Idempotent bool `yaml:"idempotent"`
		// Open marks requests that carry no API key.
		Open bool `yaml:"open"`
		// Timeout is how long the caller waits for the response.
		Timeout time.Duration `yaml:"timeout"`
	}

	// Team is a team with its API key and its demand.
	Team struct {
		Name sassafrastray.TeamName `yaml:"name"`
		Key  string                 `yaml:"key"`
		// Demand is keyed by service.
		Demand map[sassafrastray.ServiceName]Demand `yaml:"demand"`
	}

	// Demand describes a team's requests to one service.
	Demand struct {
		// Rate is in requests per second, before the factors of a phase are
		// applied.
		Rate float64 `yaml:"rate"`
		// Quota is the rate that the team is entitled to, in requests per
		// second, and Burst the number of requests allowed above it. A quota
		// of 0 means that the demand has no quota.
		Quota float64 `yaml:"quota"`
		Burst int     `yaml:"burst"`
	}

	// Phase is a period of the run with constant rates.
	Phase struct {
		Length time.Duration `yaml:"length"`
		// Factor multiplies the rates of all teams, and an entry of Teams
		// additionally multiplies those of one team.
		Factor float64                            `yaml:"factor"`
		Teams  map[sassafrastray.TeamName]float64 `yaml:"teams"`
	}

	// Event is a control call, an HTTP PUT request at a fixed time of the
	// run, such as one that switches a fault on or off.
	Event struct {
		At   time.Duration `yaml:"at"`
		URL  string        `yaml:"put"`
		Body string        `yaml:"body"`
	}
)

// Length returns the total length of all phases.
func (c *Case) Length() time.Duration {
	var d time.Duration
	for _, p := range c.Phases {
		d += p.Length
	}
	return d
}

// Scale multiplies the lengths of all phases and the times of all events by
// the factor.
func (c *Case) Scale(factor float64) {
	for i := range c.Phases {
		c.Phases[i].Length = time.Duration(factor * float64(c.Phases[i].Length))
	}
	for i := range c.Events {
		c.Events[i].At = time.Duration(factor * float64(c.Events[i].At))
	}
}

// VMAddrs returns the parsed addresses of VMs, without invalid ones.
func (c *Case) VMAddrs() []netip.AddrPort {
	var all []netip.AddrPort
	for _, vm := range c.VMs {
		if a, err := netip.ParseAddrPort(vm); err == nil {
			all = append(all, a)
		}
	}
	return all
}

// Service returns the service with the given name, or nil.
func (c *Case) Service(name sassafrastray.ServiceName) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Rate returns the rate at which the team sends the demand during the phase.
func (p Phase) Rate(team sassafrastray.TeamName, d Demand) float64 {
	r := d.Rate * p.Factor
	if f, ok := p.Teams[team]; ok {
		r *= f
	}
	return r
}

// Package scenario reads the case files of the load generator.
package scenario

import (
	"net/netip"
	"time"

	"sassafrastray"
)

type (
	// Case is what callers do in one run.
	Case struct {
		Name string `yaml:"name"`
		Seed uint64 `yaml:"seed"`
		// VMs are asked for the first look-up, by ip:port.
		VMs      []string  `yaml:"vms"`
		Services []Service `yaml:"services"`
		Teams    []Team    `yaml:"teams"`
		Phases   []Phase   `yaml:"phases"`
		Events   []Event   `yaml:"events"`
	}

	// Service is a service and the requests that callers send to it.
	Service struct {
		Name  sassafrastray.ServiceName `yaml:"name"`
		Host  string                    `yaml:"host"`
		Kinds []Kind                    `yaml:"kinds"`
	}

	// Kind is one kind of request.
	Kind struct {
		Name   string `yaml:"name"`
		Method string `yaml:"method"`
		Path   string `yaml:"path"`
		// Weight is the kind's share of the service's requests, relative to
		// the other kinds' weights.
		Weight int `yaml:"weight"`
		// Size is the body's size in bytes.
		Size int64 `yaml:"size"`
		// Download is how many bytes of the answer to ask for; 0 asks for
		// a description of the request.
		Download int64 `yaml:"download"`
		// Idempotent requests may be executed twice.
		Idempotent bool `yaml:"idempotent"`
		// Open requests carry no key.
		Open bool `yaml:"open"`
		// Timeout is how long the caller waits.
		Timeout time.Duration `yaml:"timeout"`
	}

	// Team is a team, its key, and its demand.
	Team struct {
		Name sassafrastray.TeamName `yaml:"name"`
		Key  string                 `yaml:"key"`
		// Demand is by service.
		Demand map[sassafrastray.ServiceName]Demand `yaml:"demand"`
	}

	// Demand is what a team sends to one service.
	Demand struct {
		// Rate is in requests per second, before the phase's factors.
		Rate float64 `yaml:"rate"`
		// Quota is the rate that the team is entitled to, in requests per
		// second, and Burst the requests above it. A quota of 0 is none.
		Quota float64 `yaml:"quota"`
		Burst int     `yaml:"burst"`
	}

	// Phase is a stretch of the run.
	Phase struct {
		Length time.Duration `yaml:"length"`
		// Factor multiplies all rates, and Teams those of some teams
		// besides.
		Factor float64                            `yaml:"factor"`
		Teams  map[sassafrastray.TeamName]float64 `yaml:"teams"`
	}

	// Event is a control call at a time of the run, such as the switching
	// of a fault.
	Event struct {
		At   time.Duration `yaml:"at"`
		Put  string        `yaml:"put"`
		Body string        `yaml:"body"`
	}
)

// Length returns the length of the whole run.
func (c *Case) Length() time.Duration {
	var d time.Duration
	for _, p := range c.Phases {
		d += p.Length
	}
	return d
}

// Scale multiplies the lengths of all phases and the times of all events.
func (c *Case) Scale(f float64) {
	for i := range c.Phases {
		c.Phases[i].Length = time.Duration(f * float64(c.Phases[i].Length))
	}
	for i := range c.Events {
		c.Events[i].At = time.Duration(f * float64(c.Events[i].At))
	}
}

// Addresses returns the VMs that are asked first.
func (c *Case) Addresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, vm := range c.VMs {
		if a, err := netip.ParseAddrPort(vm); err == nil {
			all = append(all, a)
		}
	}
	return all
}

// Service returns the service called name, or nil.
func (c *Case) Service(name sassafrastray.ServiceName) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Rate returns the team's rate for the demand during the phase.
func (p Phase) Rate(team sassafrastray.TeamName, d Demand) float64 {
	r := d.Rate * p.Factor
	if f, ok := p.Teams[team]; ok {
		r *= f
	}
	return r
}

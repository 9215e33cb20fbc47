package sassafrastray

import "time"

type (
	// Config is one accepted version of everything that operators publish.
	// It is immutable once it has been decoded.
	Config struct {
		// Number counts accepted configurations from 1.
		Number int64 `json:"number"`
		// Publish identifies the publish that made it, so that a publisher
		// whose answer was lost recognizes its own work.
		Publish  string    `json:"publish"`
		Fleet    Fleet     `json:"fleet"`
		Services []Service `json:"services"`
		// Routes are those that choose among services by host and path.
		Routes []Route `json:"routes,omitempty"`
		Limits *Limits `json:"limits,omitempty"`
	}

	// Limits bound what a caller may send and how long it may take.
	Limits struct {
		// Header and Body are sizes in bytes.
		Header int   `json:"header"`
		Body   int64 `json:"body"`
		// Reading bounds the time that a header takes, Idle the time
		// between two requests of a connection.
		Reading time.Duration `json:"reading"`
		Idle    time.Duration `json:"idle"`
	}

	// Fleet is what all services share.
	Fleet struct {
		// Domain is the DNS domain below which the system answers.
		Domain  string          `json:"domain,omitempty"`
		Regions []Region        `json:"regions"`
		Domains []FailureDomain `json:"domains"`
		Links   []Link          `json:"links"`
		Blocks  []Block         `json:"blocks"`
		Teams   []Team          `json:"teams"`
	}
)

// Service returns the service called name, or nil.
func (c *Config) Service(name ServiceName) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// RegionOf returns the region of a failure domain, or "" if the domain is
// unknown.
func (c *Config) RegionOf(d DomainName) RegionName {
	for _, fd := range c.Fleet.Domains {
		if fd.Name == d {
			return fd.Region
		}
	}
	return ""
}

// Link returns the link from one region to another, or nil.
func (c *Config) Link(from, to RegionName) *Link {
	for i := range c.Fleet.Links {
		if l := &c.Fleet.Links[i]; l.From == from && l.To == to {
			return l
		}
	}
	return nil
}

// Places returns the number of places of the whole fleet.
func (c *Config) Places() int {
	n := 0
	for _, d := range c.Fleet.Domains {
		n += d.Places
	}
	return n
}

package sassafrastray

import "time"

type (
	// Config is one accepted version of everything that operators publish.
	// It is immutable once it has been decoded.
	Config struct {
		// Number counts accepted configurations from 1.
		Number int64 `json:"number"`
		// PublishID identifies the publish call that created this version.
		// A publisher that lost the response recognizes its own write by it.
		PublishID string    `json:"publish"`
		Fleet     Fleet     `json:"fleet"`
		Services  []Service `json:"services"`
		// Routes match requests by host and path and name the services that
		// serve them.
		Routes []Route `json:"routes,omitempty"`
		Limits *Limits `json:"limits,omitempty"`
		// Notes say what in the published configuration is not known here and was
		// taken in the most careful way.
		Notes []string `json:"notes,omitempty"`
	}

	// Limits bound the size of a caller's request and how long a connection may
	// be idle or send a header.
	Limits struct {
		// MaxHeaderBytes and MaxBodyBytes bound the size of a request's header
		// and body.
		MaxHeaderBytes int   `json:"header"`
		MaxBodyBytes   int64 `json:"body"`
		// ReadHeaderTimeout bounds the time for reading a header, IdleTimeout
		// the time between two requests on a connection.
		ReadHeaderTimeout time.Duration `json:"reading"`
		IdleTimeout       time.Duration `json:"idle"`
	}

	// Fleet is the part of the configuration that all services share.
	Fleet struct {
		// DNSDomain is the parent domain of the names that the system resolves.
		DNSDomain string          `json:"domain,omitempty"`
		Regions   []Region        `json:"regions"`
		Domains   []FailureDomain `json:"domains"`
		Links     []Link          `json:"links"`
		Blocks    []AddressBlock  `json:"blocks"`
		Teams     []Team          `json:"teams"`
	}
)

// Service returns the service with the name, or nil.
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

// TotalPlaces returns the number of places in the whole fleet.
func (c *Config) TotalPlaces() int {
	n := 0
	for _, d := range c.Fleet.Domains {
		n += d.Places
	}
	return n
}

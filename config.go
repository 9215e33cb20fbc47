package sassafrastray

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

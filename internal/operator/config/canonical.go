package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

// Sort puts the configuration into its canonical form: every list whose order
// has no meaning is sorted, and lists that hold nothing are empty, not nil. It
// writes nothing to a configuration that has the form already, so that many
// goroutines may share one.
func Sort(c *sassafrastray.Config) {
	f := &c.Fleet
	order(&f.Regions, func(a, b sassafrastray.Region) int { return cmp.Compare(a.Name, b.Name) })
	order(&f.Domains, func(a, b sassafrastray.FailureDomain) int { return cmp.Compare(a.Name, b.Name) })
	order(&f.Links, func(a, b sassafrastray.Link) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	order(&f.Blocks, compareBlocks)
	order(&f.Teams, func(a, b sassafrastray.Team) int { return cmp.Compare(a.Name, b.Name) })
	for i := range f.Teams {
		order(&f.Teams[i].Keys, cmp.Compare[sassafrastray.KeyDigest])
	}
	order(&c.Services, compareServices)
	for i := range c.Services {
		sortService(&c.Services[i])
	}
}

func sortService(s *sassafrastray.Service) {
	order(&s.Hosts, cmp.Compare[string])
	order(&s.Regions, cmp.Compare[sassafrastray.RegionName])
	order(&s.Teams, func(a, b sassafrastray.Allowance) int { return cmp.Compare(a.Team, b.Team) })
	order(&s.Routes, func(a, b sassafrastray.Route) int { return cmp.Compare(a.Name, b.Name) })
	order(&s.Backends, func(a, b sassafrastray.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	for i := range s.Routes {
		if m := s.Routes[i].Methods; !slices.IsSorted(m) {
			slices.Sort(m)
		}
	}
	if s.Move == nil {
		return
	}
	if s.Move.Steps == nil {
		s.Move.Steps = []int{}
	}
	if t := s.Move.Deadline.UTC().Round(0); t != s.Move.Deadline {
		s.Move.Deadline = t
	}
}

func compareBlocks(a, b sassafrastray.AddressBlock) int { return a.Prefix.Compare(b.Prefix) }
func compareServices(a, b sassafrastray.Service) int    { return cmp.Compare(a.Name, b.Name) }

// order sorts a list unless it is in order already.
func order[T any](list *[]T, compare func(a, b T) int) {
	if *list == nil {
		*list = []T{}
	}
	if !slices.IsSortedFunc(*list, compare) {
		slices.SortFunc(*list, compare)
	}
}

// Encode returns the canonical JSON of the configuration, which it sorts.
func Encode(c *sassafrastray.Config) []byte {
	Sort(c)
	return marshal(c)
}

// Decode reads what Encode wrote. Fields that this program does not know are
// an error: they may bear a meaning that it would miss.
func Decode(data []byte) (*sassafrastray.Config, error) {
	c := &sassafrastray.Config{}
	if err := unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	Sort(c)
	return c, nil
}

// marshal encodes values of this package's own types, which always succeeds.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("configuration cannot be encoded: " + err.Error())
	}
	return data
}

func unmarshal(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return errors.New("data after the value")
	}
	return nil
}

package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

// Normalize puts the configuration into its canonical form: lists whose order has
// no meaning are sorted, nil lists become empty ones, and deadlines are in UTC. It
// does not write to a configuration that is in this form already, so several
// goroutines may normalize a shared one.
func Normalize(c *sassafrastray.Config) {
	f := &c.Fleet
	sortList(&f.Regions, func(a, b sassafrastray.Region) int { return cmp.Compare(a.Name, b.Name) })
	sortList(&f.Domains, func(a, b sassafrastray.FailureDomain) int { return cmp.Compare(a.Name, b.Name) })
	sortList(&f.Links, func(a, b sassafrastray.Link) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	sortList(&f.Blocks, compareBlocks)
	sortList(&f.Teams, func(a, b sassafrastray.Team) int { return cmp.Compare(a.Name, b.Name) })
	for i := range f.Teams {
		sortList(&f.Teams[i].Keys, cmp.Compare[sassafrastray.KeyDigest])
	}
	sortList(&c.Services, compareServices)
	for i := range c.Services {
		normalizeService(&c.Services[i])
	}
}

func normalizeService(s *sassafrastray.Service) {
	sortList(&s.Hosts, cmp.Compare[string])
	sortList(&s.Regions, cmp.Compare[sassafrastray.RegionName])
	sortList(&s.Teams, func(a, b sassafrastray.Allowance) int { return cmp.Compare(a.Team, b.Team) })
	sortList(&s.Routes, func(a, b sassafrastray.Route) int { return cmp.Compare(a.Name, b.Name) })
	sortList(&s.Backends, func(a, b sassafrastray.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
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

// sortList sorts a list that is not sorted yet, and replaces a nil list by an empty
// one.
func sortList[T any](list *[]T, compare func(a, b T) int) {
	if *list == nil {
		*list = []T{}
	}
	if !slices.IsSortedFunc(*list, compare) {
		slices.SortFunc(*list, compare)
	}
}

// Encode normalizes the configuration and returns its canonical JSON.
func Encode(c *sassafrastray.Config) []byte {
	Normalize(c)
	return marshal(c)
}

// Decode parses the output of Encode and normalizes the result. An unknown field
// is an error, because ignoring it could change what the configuration means.
func Decode(data []byte) (*sassafrastray.Config, error) {
	c := &sassafrastray.Config{}
	if err := unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	Normalize(c)
	return c, nil
}

// marshal encodes a value of one of this package's types, which can't fail.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("configuration cannot be encoded: " + err.Error())
	}
	return data
}

// unmarshal decodes a single JSON value and rejects unknown fields and trailing data.
func unmarshal(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}

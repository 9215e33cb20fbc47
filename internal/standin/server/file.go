package server

import (
	"fmt"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"sassafrastray"
)

type (
	// file is the content of a settings file.
	file struct {
		Servers []group `yaml:"servers"`
	}

	// group describes Count servers with the same settings. Group numbers
	// their names and ports.
	group struct {
		Settings `yaml:",inline"`
		Count    int `yaml:"count"`
	}
)

// Parse reads the settings of servers from the text of a YAML file. If a server's
// settings are invalid, it returns the settings together with the error.
func Parse(text []byte) ([]Settings, error) {
	var f file
	if err := yaml.UnmarshalWithOptions(text, &f, yaml.Strict()); err != nil {
		return nil, errors.Wrap(err, "servers")
	}
	var all []Settings
	for _, g := range f.Servers {
		all = append(all, Group(g.Settings, g.Count)...)
	}
	return all, validate(all)
}

// Group returns the settings of count servers that differ only in name and port:
// names get the suffixes -1, -2 and so on, and ports increase by one from the
// given port. A port of 0 stays 0. A count of 0 returns s unchanged.
func Group(s Settings, count int) []Settings {
	if count == 0 {
		return []Settings{s}
	}
	all := make([]Settings, count)
	for i := range all {
		all[i] = s
		all[i].Name = sassafrastray.BackendName(fmt.Sprintf("%s-%d", s.Name, i+1))
		if port := s.Listen.Port(); port != 0 {
			all[i].Listen = netip.AddrPortFrom(s.Listen.Addr(), port+uint16(i))
		}
	}
	return all
}

// validate returns an error for the first server whose settings are invalid.
func validate(all []Settings) error {
	names := map[sassafrastray.BackendName]bool{}
	for _, s := range all {
		switch {
		case s.Name == "":
			return errors.New("servers: a server has no name")
		case names[s.Name]:
			return errors.Newf("servers: %s is there twice", s.Name)
		case !s.Listen.IsValid():
			return errors.Newf("servers: %s has no address to listen at", s.Name)
		case s.Slots <= 0:
			return errors.Newf("servers: %s has no slots", s.Name)
		}
		names[s.Name] = true
	}
	return nil
}

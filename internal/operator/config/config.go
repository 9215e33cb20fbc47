// Package config reads operators' files into a configuration, and encodes,
// splits, compares and reassembles configurations.
package config

import (
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"sassafrastray"
	"sassafrastray/internal/operator/document"
)

const (
	fleetFile   = "fleet.yaml"
	servicesDir = "services"
	extension   = ".yaml"
)

// loader reads one directory of operators' files. The check of a reference
// keeps the node that made it until all names are known.
type loader struct {
	dir    string
	now    time.Time
	report *document.Report
	config *sassafrastray.Config
	// previous is what is in force, or nil if that is not known.
	previous *Previous

	// unread is set if the fleet's file is unreadable: references to what it
	// holds are then not reported one by one.
	unread  bool
	teams   map[sassafrastray.TeamName]bool
	regions map[sassafrastray.RegionName]bool
	domains map[sassafrastray.DomainName]sassafrastray.RegionName
	// services, hosts, backends and addresses say who has a name first.
	services  map[sassafrastray.ServiceName]string
	hosts     map[string]sassafrastray.ServiceName
	backends  map[sassafrastray.BackendName]sassafrastray.ServiceName
	addresses map[string]sassafrastray.BackendName
}

// Load reads the operators' files below dir: fleet.yaml, and one file per
// service beside it or in services/. The error lists every problem with file,
// line and field. The configuration has no number and no publish id.
func Load(dir string) (*sassafrastray.Config, error) {
	c, r := Check(dir, time.Time{}, nil)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// Check does what Load does and returns the report itself, which may hold
// warnings. The configuration is whole only if the report has not failed.
// Deadlines are judged against now unless it is zero, and the change against
// previous unless that is nil.
func Check(dir string, now time.Time, previous *Previous) (*sassafrastray.Config, *document.Report) {
	l := newLoader(dir, now, previous)
	fleet := l.parse(filepath.Join(dir, fleetFile))
	if fleet.Exists() {
		l.readFleet(fleet)
	}
	l.unread = !fleet.Exists()
	for _, path := range l.serviceFiles() {
		if n := l.parse(path); n.Exists() {
			l.readService(n, strings.TrimSuffix(filepath.Base(path), extension))
		}
	}
	if fleet.Exists() {
		l.checkSlots(fleet)
		l.checkFleetChange(fleet)
	}
	Sort(l.config)
	return l.config, l.report
}

func newLoader(dir string, now time.Time, previous *Previous) *loader {
	return &loader{
		dir: dir, now: now, previous: previous,
		report: &document.Report{}, config: &sassafrastray.Config{},
		teams:     map[sassafrastray.TeamName]bool{},
		regions:   map[sassafrastray.RegionName]bool{},
		domains:   map[sassafrastray.DomainName]sassafrastray.RegionName{},
		services:  map[sassafrastray.ServiceName]string{},
		hosts:     map[string]sassafrastray.ServiceName{},
		backends:  map[sassafrastray.BackendName]sassafrastray.ServiceName{},
		addresses: map[string]sassafrastray.BackendName{},
	}
}

// parse reads one file. An empty one is a mistake too.
func (l *loader) parse(path string) document.Node {
	data, ok := l.read(path)
	if !ok {
		return document.Node{}
	}
	before := len(l.report.Problems)
	n := document.Parse(path, data, l.report)
	if !n.Exists() && len(l.report.Problems) == before {
		n.Problem("is empty")
	}
	return n
}

func (l *loader) read(path string) ([]byte, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		l.problem(path, 0, "cannot be read: %v", reason(err))
		return nil, false
	}
	return data, true
}

// serviceFiles lists the services' files in the order of their paths.
func (l *loader) serviceFiles() []string {
	var out []string
	for _, dir := range []string{l.dir, filepath.Join(l.dir, servicesDir)} {
		entries, err := os.ReadDir(dir)
		if err != nil {
			if dir == l.dir {
				l.problem(dir, 0, "cannot be read: %v", reason(err))
			}
			continue
		}
		for _, e := range entries {
			if e.IsDir() || filepath.Ext(e.Name()) != extension || e.Name() == fleetFile {
				continue
			}
			out = append(out, filepath.Join(dir, e.Name()))
		}
	}
	sort.Strings(out)
	return out
}

// reason leaves out the path of a file error, which the problem has already.
func reason(err error) error {
	if e, ok := err.(*fs.PathError); ok {
		return e.Err
	}
	return err
}

// Package config loads a configuration from operators' files, checks it, and
// encodes, compares, splits and reassembles configurations.
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

// loader reads one directory of operators' files. fleet.yaml is read first, so that
// the services' references to its names can be checked as they are read.
type loader struct {
	dir    string
	now    time.Time
	report *document.Report
	config *sassafrastray.Config
	// previous is the published state, or nil if it is unknown.
	previous *Previous

	// fleetUnreadable is set if fleet.yaml could not be read. References to its
	// names are then not reported one by one.
	fleetUnreadable bool
	teams           map[sassafrastray.TeamName]bool
	regions         map[sassafrastray.RegionName]bool
	domains         map[sassafrastray.DomainName]sassafrastray.RegionName
	// services, hosts, backends and addresses hold the first owner of each
	// name, to report duplicates.
	services  map[sassafrastray.ServiceName]string
	hosts     map[string]sassafrastray.ServiceName
	backends  map[sassafrastray.BackendName]sassafrastray.ServiceName
	addresses map[string]sassafrastray.BackendName
}

// Load reads the operators' files in dir: fleet.yaml, and one file per service
// beside it or in services/. The error lists every problem with its file, line and
// field. The returned configuration has no number and no publish id.
func Load(dir string) (*sassafrastray.Config, error) {
	c, r := Check(dir, time.Time{}, nil)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// Check is like Load but returns the full report, including warnings. The
// configuration is complete only if the report has no errors. Deadlines are checked
// against now unless it is zero, and changes against previous unless it is nil.
func Check(dir string, now time.Time, previous *Previous) (*sassafrastray.Config, *document.Report) {
	l := newLoader(dir, now, previous)
	fleet := l.parseFile(filepath.Join(dir, fleetFile))
	if fleet.Exists() {
		l.readFleet(fleet)
	}
	l.fleetUnreadable = !fleet.Exists()
	for _, path := range l.serviceFiles() {
		if n := l.parseFile(path); n.Exists() {
			l.readService(n, strings.TrimSuffix(filepath.Base(path), extension))
		}
	}
	if fleet.Exists() {
		l.checkSlots(fleet)
		l.checkFleetChange(fleet)
	}
	Normalize(l.config)
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

// parseFile reads and parses one file, and reports it if it is empty.
func (l *loader) parseFile(path string) document.Node {
	data, ok := l.readFile(path)
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

func (l *loader) readFile(path string) ([]byte, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		l.addProblem(path, 0, "cannot be read: %v", withoutPath(err))
		return nil, false
	}
	return data, true
}

// serviceFiles returns the paths of the services' files, sorted.
func (l *loader) serviceFiles() []string {
	var out []string
	for _, dir := range []string{l.dir, filepath.Join(l.dir, servicesDir)} {
		entries, err := os.ReadDir(dir)
		if err != nil {
			if dir == l.dir {
				l.addProblem(dir, 0, "cannot be read: %v", withoutPath(err))
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

// withoutPath strips the path from a file error, since the problem names it already.
func withoutPath(err error) error {
	if e, ok := err.(*fs.PathError); ok {
		return e.Err
	}
	return err
}

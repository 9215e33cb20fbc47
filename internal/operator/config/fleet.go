package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"sassafrastray"
	"sassafrastray/internal/operator/apikey"
	"sassafrastray/internal/operator/document"
)

// Bounds of numbers in fleet.yaml. Rates are in bytes per second.
const (
	maxRegionSlots  = 1 << 20
	maxDomainPlaces = 1 << 12
	minLinkRate     = 1 << 10
	maxLinkRate     = 1 << 50
	maxLinkDelay    = 10 * time.Second
)

var hostPattern = regexp.MustCompile(`^([a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\.)*[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (l *loader) readFleet(n document.Node) {
	f := n.Fields("domain", "regions", "domains", "links", "blocks", "teams")
	fleet := &l.config.Fleet
	if v := f.Get("domain"); v.Exists() {
		fleet.DNSDomain = l.readHost(v)
	}
	l.readRegions(l.requireItems(f.Required("regions")))
	l.readDomains(l.requireItems(f.Required("domains")))
	l.readLinks(f.Get("links"))
	l.readBlocks(f.Get("blocks"))
	l.readTeams(f.Required("teams"))
}

func (l *loader) readHost(n document.Node) string {
	s := n.Text()
	if s != "" && (len(s) > 253 || !hostPattern.MatchString(s)) {
		n.Problem("%q is not a host name in lower case", s)
		return ""
	}
	return s
}

func (l *loader) readRegions(n document.Node) {
	for _, item := range n.Items() {
		f := item.Fields("name", "slots")
		r := sassafrastray.Region{
			Name:  sassafrastray.RegionName(f.Required("name").Name()),
			Slots: f.Get("slots").Int(0, 1, maxRegionSlots),
		}
		if l.regions[r.Name] {
			f.Get("name").Problem("region %q is given twice", r.Name)
			continue
		}
		if r.Name != "" {
			l.regions[r.Name] = true
			l.config.Fleet.Regions = append(l.config.Fleet.Regions, r)
		}
	}
}

func (l *loader) readDomains(n document.Node) {
	for _, item := range n.Items() {
		f := item.Fields("name", "region", "places")
		d := sassafrastray.FailureDomain{
			Name:   sassafrastray.DomainName(f.Required("name").Name()),
			Region: l.readRegion(f.Required("region")),
			Places: f.Required("places").Int(0, 1, maxDomainPlaces),
		}
		if _, ok := l.domains[d.Name]; ok {
			f.Get("name").Problem("failure domain %q is given twice", d.Name)
			continue
		}
		if d.Name != "" {
			l.domains[d.Name] = d.Region
			l.config.Fleet.Domains = append(l.config.Fleet.Domains, d)
		}
	}
}

// readRegion reads a reference to a region and reports one that does not exist.
func (l *loader) readRegion(n document.Node) sassafrastray.RegionName {
	r := sassafrastray.RegionName(n.Name())
	if r != "" && !l.regions[r] && !l.fleetUnreadable {
		n.Problem("there is no region %q in %s", r, fleetFile)
		return ""
	}
	return r
}

func (l *loader) readLinks(n document.Node) {
	type pair struct{ from, to sassafrastray.RegionName }
	seen := map[pair]bool{}
	for _, item := range n.Items() {
		f := item.Fields("from", "to", "rate", "delay")
		k := sassafrastray.Link{
			From:           l.readRegion(f.Required("from")),
			To:             l.readRegion(f.Required("to")),
			BytesPerSecond: f.Required("rate").Rate(0, minLinkRate, maxLinkRate),
			Delay:          f.Required("delay").Duration(0, 0, maxLinkDelay),
		}
		if k.From == "" || k.To == "" {
			continue
		}
		p := pair{k.From, k.To}
		if k.From == k.To {
			f.Get("to").Problem("must be another region than the one the link comes from, %q", k.From)
		}
		if seen[p] {
			item.Problem("the link from %q to %q is given twice", k.From, k.To)
			continue
		}
		seen[p] = true
		l.config.Fleet.Links = append(l.config.Fleet.Links, k)
	}
	for _, a := range l.config.Fleet.Regions {
		for _, b := range l.config.Fleet.Regions {
			if a.Name != b.Name && n.Exists() && !seen[pair{a.Name, b.Name}] {
				n.Warn("there is no link from %q to %q: nothing is sent that way", a.Name, b.Name)
			}
		}
	}
}

// readBlocks reads the clients' address blocks, which are listed either in
// fleet.yaml itself or, for long lists, in a text file of their own.
func (l *loader) readBlocks(n document.Node) {
	seen := map[netip.Prefix]bool{}
	if n.IsMapping() {
		f := n.Fields("file")
		l.readBlockFile(f.Required("file"), seen)
		return
	}
	for _, item := range n.Items() {
		f := item.Fields("prefix", "region")
		b := sassafrastray.AddressBlock{Prefix: f.Required("prefix").Prefix(), Region: l.readRegion(f.Required("region"))}
		if !b.Prefix.IsValid() {
			continue
		}
		if seen[b.Prefix] {
			f.Get("prefix").Problem("block %v is given twice", b.Prefix)
			continue
		}
		seen[b.Prefix] = true
		l.config.Fleet.Blocks = append(l.config.Fleet.Blocks, b)
	}
}

// readBlockFile reads lines of the form "prefix region". It skips empty lines and
// lines that start with #.
func (l *loader) readBlockFile(n document.Node, seen map[netip.Prefix]bool) {
	name := n.Text()
	if name == "" {
		return
	}
	if !filepath.IsLocal(name) {
		n.Problem("must lie in the directory of %s", fleetFile)
		return
	}
	path := filepath.Join(l.dir, name)
	data, ok := l.readFile(path)
	if !ok {
		return
	}
	number := 0
	for line := range bytes.Lines(data) {
		number++
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		b, problem := l.parseBlockLine(string(line))
		if problem == "" && seen[b.Prefix] {
			problem = fmt.Sprintf("block %v is given twice", b.Prefix)
		}
		if problem != "" {
			l.addProblem(path, number, "%s", problem)
			continue
		}
		seen[b.Prefix] = true
		l.config.Fleet.Blocks = append(l.config.Fleet.Blocks, b)
	}
}

// parseBlockLine parses one line of a block file. The second result describes what
// is wrong with the line, and is empty if nothing is.
func (l *loader) parseBlockLine(line string) (sassafrastray.AddressBlock, string) {
	fields := strings.Fields(line)
	if len(fields) != 2 {
		return sassafrastray.AddressBlock{}, "must be a block of addresses and a region, such as \"10.1.0.0/16 north\""
	}
	p, err := netip.ParsePrefix(fields[0])
	if err != nil || p.Addr().Is4In6() {
		return sassafrastray.AddressBlock{}, fmt.Sprintf("%q is not a block of addresses such as 10.1.0.0/16", fields[0])
	}
	if p != p.Masked() {
		return sassafrastray.AddressBlock{}, fmt.Sprintf("%v has bits set beyond its length; did you mean %v?", p, p.Masked())
	}
	r := sassafrastray.RegionName(fields[1])
	if !l.regions[r] {
		return sassafrastray.AddressBlock{}, fmt.Sprintf("there is no region %q in %s", r, fleetFile)
	}
	return sassafrastray.AddressBlock{Prefix: p, Region: r}, ""
}

func (l *loader) readTeams(n document.Node) {
	owners := map[sassafrastray.KeyDigest]sassafrastray.TeamName{}
	for _, item := range n.Items() {
		f := item.Fields("name", "keys")
		t := sassafrastray.Team{Name: sassafrastray.TeamName(f.Required("name").Name())}
		for _, k := range f.Get("keys").Items() {
			d := sassafrastray.KeyDigest(k.Text())
			owner, duplicate := owners[d]
			switch {
			case d == "":
			case strings.HasPrefix(string(d), apikey.Prefix):
				k.Problem("looks like a key; publish its digest, and replace the key")
			case !apikey.ValidDigest(d):
				k.Problem("must be the SHA-256 digest of a key, 64 hexadecimal digits in lower case")
			case duplicate:
				k.Problem("the key belongs to team %q already", owner)
			default:
				owners[d] = t.Name
				t.Keys = append(t.Keys, d)
			}
		}
		if l.teams[t.Name] {
			f.Get("name").Problem("team %q is given twice", t.Name)
			continue
		}
		if t.Name != "" {
			l.teams[t.Name] = true
			l.config.Fleet.Teams = append(l.config.Fleet.Teams, t)
		}
	}
}

func (l *loader) addProblem(file string, line int, format string, args ...any) {
	l.report.Add(document.Problem{File: file, Line: line, Text: fmt.Sprintf(format, args...)})
}

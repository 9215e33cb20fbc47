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

// Bounds of numbers in fleet.yaml.
const (
	maxSlots  = 1 << 20
	maxPlaces = 1 << 12
	minRate   = 1 << 10
	maxRate   = 1 << 50
	maxDelay  = 10 * time.Second
)

var hostPattern = regexp.MustCompile(`^([a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\.)*[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (l *loader) readFleet(n document.Node) {
	f := n.Fields("domain", "regions", "domains", "links", "blocks", "teams")
	fleet := &l.config.Fleet
	if v := f.Get("domain"); v.Exists() {
		fleet.Domain = l.host(v)
	}
	l.readRegions(l.some(f.Need("regions")))
	l.readDomains(l.some(f.Need("domains")))
	l.readLinks(f.Get("links"))
	l.readBlocks(f.Get("blocks"))
	l.readTeams(f.Need("teams"))
}

func (l *loader) host(n document.Node) string {
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
			Name:  sassafrastray.RegionName(f.Need("name").Name()),
			Slots: f.Get("slots").Int(0, 1, maxSlots),
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
			Name:   sassafrastray.DomainName(f.Need("name").Name()),
			Region: l.region(f.Need("region")),
			Places: f.Need("places").Int(0, 1, maxPlaces),
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

// region reads a reference to a region.
func (l *loader) region(n document.Node) sassafrastray.RegionName {
	r := sassafrastray.RegionName(n.Name())
	if r != "" && !l.regions[r] && !l.unread {
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
			From:           l.region(f.Need("from")),
			To:             l.region(f.Need("to")),
			BytesPerSecond: f.Need("rate").Rate(0, minRate, maxRate),
			Delay:          f.Need("delay").Duration(0, 0, maxDelay),
		}
		if k.From == "" || k.To == "" {
			continue
		}
		p := pair{k.From, k.To}
		if k.From == k.To {
			f.Get("to").Problem("a link leads to another region than its own, %q", k.From)
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

// readBlocks reads the blocks of clients, which stand either in the file
// itself or, for long lists, in a text file of their own.
func (l *loader) readBlocks(n document.Node) {
	seen := map[netip.Prefix]bool{}
	if n.IsMapping() {
		f := n.Fields("file")
		l.readBlockFile(f.Need("file"), seen)
		return
	}
	for _, item := range n.Items() {
		f := item.Fields("prefix", "region")
		b := sassafrastray.Block{Prefix: f.Need("prefix").Prefix(), Region: l.region(f.Need("region"))}
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

// readBlockFile reads lines of the form "prefix region". Empty lines and
// those that start with # are skipped.
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
	data, ok := l.read(path)
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
		b, problem := l.block(string(line))
		if problem == "" && seen[b.Prefix] {
			problem = fmt.Sprintf("block %v is given twice", b.Prefix)
		}
		if problem != "" {
			l.problem(path, number, "%s", problem)
			continue
		}
		seen[b.Prefix] = true
		l.config.Fleet.Blocks = append(l.config.Fleet.Blocks, b)
	}
}

// block parses one line of a file of blocks and returns what is wrong with it.
func (l *loader) block(line string) (sassafrastray.Block, string) {
	fields := strings.Fields(line)
	if len(fields) != 2 {
		return sassafrastray.Block{}, "must be a block of addresses and a region, such as \"10.1.0.0/16 north\""
	}
	p, err := netip.ParsePrefix(fields[0])
	if err != nil || p.Addr().Is4In6() {
		return sassafrastray.Block{}, fmt.Sprintf("%q is not a block of addresses such as 10.1.0.0/16", fields[0])
	}
	if p != p.Masked() {
		return sassafrastray.Block{}, fmt.Sprintf("%v has bits set beyond its length; %v is meant?", p, p.Masked())
	}
	r := sassafrastray.RegionName(fields[1])
	if !l.regions[r] {
		return sassafrastray.Block{}, fmt.Sprintf("there is no region %q in %s", r, fleetFile)
	}
	return sassafrastray.Block{Prefix: p, Region: r}, ""
}

func (l *loader) readTeams(n document.Node) {
	owners := map[sassafrastray.KeyDigest]sassafrastray.TeamName{}
	for _, item := range n.Items() {
		f := item.Fields("name", "keys")
		t := sassafrastray.Team{Name: sassafrastray.TeamName(f.Need("name").Name())}
		for _, k := range f.Get("keys").Items() {
			d := sassafrastray.KeyDigest(k.Text())
			owner, again := owners[d]
			switch {
			case d == "":
			case strings.HasPrefix(string(d), apikey.Prefix):
				k.Problem("looks like a key; publish its digest, and replace the key")
			case !apikey.ValidDigest(d):
				k.Problem("must be the SHA-256 digest of a key, 64 hexadecimal digits in lower case")
			case again:
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

func (l *loader) problem(file string, line int, format string, args ...any) {
	l.report.Add(document.Problem{File: file, Line: line, Text: fmt.Sprintf(format, args...)})
}

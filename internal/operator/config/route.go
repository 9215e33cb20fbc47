package config

import (
	"slices"
	"strings"
	"time"

	"sassafrastray"
	"sassafrastray/internal/operator/document"
)

// Bounds of moves.
const (
	// fullShare is the whole traffic, in thousandths.
	fullShare = 1000
	maxSteps  = 100
	maxSoak   = 24 * time.Hour
)

func (l *loader) readRoutes(n document.Node) []sassafrastray.Route {
	var (
		out   []sassafrastray.Route
		names = map[sassafrastray.RouteName]bool{}
	)
	for _, item := range n.Items() {
		f := item.Fields("name", "path", "methods", "open", "idempotent", "body", "timeout", "stale")
		r := sassafrastray.Route{
			Name:         sassafrastray.RouteName(f.Required("name").Name()),
			Path:         readPath(f.Required("path")),
			Methods:      readMethods(f.Get("methods")),
			Public:       f.Get("open").Bool(false),
			Idempotent:   f.Get("idempotent").Bool(false),
			BodyLimit:    f.Get("body").Size(defaultBodyLimit, 0, maxBodyLimit),
			Timeout:      f.Get("timeout").Duration(defaultTimeout, time.Millisecond, maxTimeout),
			MaxConfigAge: f.Get("stale").Duration(0, time.Second, maxStale),
		}
		if r.Public && r.MaxConfigAge > 0 {
			f.Get("stale").Problem("has no meaning on an open route, which asks for no key")
		}
		if names[r.Name] {
			f.Get("name").Problem("route %q is given twice", r.Name)
			continue
		}
		if r.Name == "" {
			continue
		}
		names[r.Name] = true
		if other := overlap(out, r); other != "" {
			item.Problem("route %q has the same path and a method in common with route %q", r.Name, other)
		}
		out = append(out, r)
	}
	return out
}

// overlap returns the name of a route in routes that has the same path as r and a
// method in common with it, or "" if there is none.
func overlap(routes []sassafrastray.Route, r sassafrastray.Route) sassafrastray.RouteName {
	for _, o := range routes {
		if o.Path != r.Path || r.Path == "" {
			continue
		}
		if len(o.Methods) == 0 || len(r.Methods) == 0 {
			return o.Name
		}
		for _, m := range o.Methods {
			if slices.Contains(r.Methods, m) {
				return o.Name
			}
		}
	}
	return ""
}

func readPath(n document.Node) string {
	p := n.Text()
	if p == "" {
		return ""
	}
	switch {
	case p[0] != '/':
		n.Problem("must start with /")
	case strings.ContainsAny(p, "?#% \\") || strings.IndexFunc(p, isControl) >= 0:
		n.Problem("must be a plain path, without query, fragment, escapes and spaces")
	case strings.Contains(p, "//") || slices.Contains(strings.Split(p, "/"), ".") || slices.Contains(strings.Split(p, "/"), ".."):
		n.Problem("must be normalized: no empty segment, \".\" or \"..\"")
	case p != "/" && strings.HasSuffix(p, "/"):
		n.Problem("must not end with /: a path stands for itself and all below it")
	default:
		return p
	}
	return ""
}

func isControl(c rune) bool { return c < 0x20 || c == 0x7f }

func readMethods(n document.Node) []string {
	var out []string
	for _, item := range n.Items() {
		m := item.Text()
		switch {
		case m == "":
		case !methods[m]:
			item.Problem("%q is not a method in capitals such as GET or POST", m)
		case slices.Contains(out, m):
			item.Problem("%s is given twice", m)
		default:
			out = append(out, m)
		}
	}
	return out
}

func (l *loader) readMove(n document.Node) *sassafrastray.Move {
	f := n.Fields("name", "from", "to", "deadline", "steps", "soak")
	m := &sassafrastray.Move{
		Name:     sassafrastray.MoveName(f.Required("name").Name()),
		From:     sassafrastray.VersionName(f.Required("from").Name()),
		To:       sassafrastray.VersionName(f.Required("to").Name()),
		Deadline: f.Required("deadline").Time(),
		Soak:     f.Required("soak").Duration(0, time.Second, maxSoak),
	}
	steps := f.Required("steps")
	if m.From == m.To && m.From != "" {
		f.Get("to").Problem("must be another version than the one the move comes from")
	}
	m.Steps = readSteps(steps)
	return m
}

// readSteps reads a list of shares in thousandths, which must increase up to
// fullShare.
func readSteps(n document.Node) []int {
	items := n.Items()
	if n.IsList() && (len(items) == 0 || len(items) > maxSteps) {
		n.Problem("must hold 1 to %d shares", maxSteps)
		return nil
	}
	var out []int
	for _, item := range items {
		v := item.Int(0, 1, fullShare)
		if v == 0 {
			return out
		}
		if len(out) > 0 && v <= out[len(out)-1] {
			item.Problem("must be above the step before it, %d", out[len(out)-1])
		}
		out = append(out, v)
	}
	if len(out) > 0 && out[len(out)-1] != fullShare {
		n.Problem("must end with %d thousandths, the whole traffic", fullShare)
	}
	return out
}

// checkVersions reports versions that need a backend server and have none. Leaving
// backend servers do not count.
func (l *loader) checkVersions(f document.Fields, s *sassafrastray.Service) {
	ready := map[sassafrastray.VersionName]bool{}
	for _, b := range s.Backends {
		if !b.Leaving {
			ready[b.Version] = true
		}
	}
	need := func(n document.Node, v sassafrastray.VersionName) {
		if v != "" && !ready[v] {
			n.Problem("no backend server runs version %q (leaving ones do not count)", v)
		}
	}
	need(f.Get("version"), s.Version)
	if s.Move == nil {
		return
	}
	move := f.Get("move")
	if s.Move.From != "" && s.Move.From != s.Version {
		move.Get("from").Problem("must be the service's version, %q", s.Version)
	}
	need(move.Get("to"), s.Move.To)
}

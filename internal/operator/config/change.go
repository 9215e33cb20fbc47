package config

import (
	"path/filepath"
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/operator/document"
)

type (
	// Previous is what the store knows when a change is judged. Config is
	// nil before the first publish.
	Previous struct {
		Config *sassafrastray.Config
		// Moves are the moves that were ever published, as far as the head
		// remembers them.
		Moves []MoveID
	}

	// MoveID names a move within the whole fleet.
	MoveID struct {
		Service sassafrastray.ServiceName `json:"service"`
		Move    sassafrastray.MoveName    `json:"move"`
	}
)

// before returns the service as it is in force, or nil.
func (p *Previous) before(name sassafrastray.ServiceName) *sassafrastray.Service {
	if p == nil || p.Config == nil {
		return nil
	}
	return p.Config.Service(name)
}

// Moves returns the moves in the configuration.
func Moves(c *sassafrastray.Config) []MoveID {
	var out []MoveID
	for i := range c.Services {
		if s := &c.Services[i]; s.Move != nil {
			out = append(out, MoveID{s.Name, s.Move.Name})
		}
	}
	return out
}

// checkChange judges a service's new state against the one in force.
func (l *loader) checkChange(n document.Node, s *sassafrastray.Service) {
	was := l.previous.before(s.Name)
	if s.Move != nil {
		l.checkMove(n.Get("move"), s, was)
	}
	if was == nil {
		return
	}
	switch {
	case was.Move != nil && (s.Move == nil || s.Move.Name != was.Move.Name):
		if s.Version != was.Move.To && s.Version == was.Version {
			n.Get("version").Warn("move %q ends here, and all traffic goes to version %q at once", was.Move.Name, s.Version)
		} else {
			n.Get("move").Warn("move %q is no longer listed; make sure by status that it is done or reverted", was.Move.Name)
		}
	case s.Version != was.Version:
		n.Get("version").Warn("all traffic goes from version %q to %q at once; a move shifts it step by step", was.Version, s.Version)
	}
}

// checkMove judges a move: a published one must stay as it is, and a new one
// needs a name of its own and time enough.
func (l *loader) checkMove(n document.Node, s, was *sassafrastray.Service) {
	m := s.Move
	if m.Name == "" {
		return
	}
	if was != nil && was.Move != nil && was.Move.Name == m.Name {
		if !sameMove(*was.Move, *m) {
			n.Problem("move %q is published already and can't change; give the new one another name", m.Name)
		}
		return
	}
	if l.previous != nil && slices.Contains(l.previous.Moves, MoveID{s.Name, m.Name}) {
		n.Get("name").Problem("move %q was published before; a name is never used twice", m.Name)
		return
	}
	l.checkDeadline(n, m)
}

// checkDeadline reports a new move that can't be done in time. Without
// knowledge of what is in force the move may be an old one, so it is a
// warning then.
func (l *loader) checkDeadline(n document.Node, m *sassafrastray.Move) {
	if l.now.IsZero() || m.Deadline.IsZero() || m.Soak == 0 || len(m.Steps) == 0 {
		return
	}
	report := n.Get("deadline").Problem
	if l.previous == nil {
		report = n.Get("deadline").Warn
	}
	need, left := time.Duration(len(m.Steps))*m.Soak, m.Deadline.Sub(l.now)
	switch {
	case left <= 0:
		report("has passed")
	case left < need:
		report("is in %v, but %d steps of %v take %v", left.Round(time.Second), len(m.Steps), m.Soak, need)
	}
}

func sameMove(a, b sassafrastray.Move) bool {
	return a.From == b.From && a.To == b.To && a.Deadline.Equal(b.Deadline) &&
		a.Soak == b.Soak && slices.Equal(a.Steps, b.Steps)
}

// checkFleetChange warns of changes that move shares of all quotas, and of
// services that vanish.
func (l *loader) checkFleetChange(n document.Node) {
	if l.previous == nil || l.previous.Config == nil {
		return
	}
	before := l.previous.Config
	for _, was := range before.Fleet.Domains {
		i := slices.IndexFunc(l.config.Fleet.Domains, func(d sassafrastray.FailureDomain) bool { return d.Name == was.Name })
		switch {
		case i < 0:
			n.Get("domains").Warn("failure domain %q goes, with its share of quotas (places: %d); its VMs must have stopped", was.Name, was.Places)
		case l.config.Fleet.Domains[i].Places != was.Places:
			n.Get("domains").Warn("failure domain %q goes from %d to %d in places, which changes the share of quotas of every place",
				was.Name, was.Places, l.config.Fleet.Domains[i].Places)
		}
	}
	for _, was := range before.Services {
		if l.config.Service(was.Name) == nil {
			l.report.Add(document.Problem{
				File: filepath.Join(l.dir, servicesDir), Warning: true,
				Text: "service \"" + string(was.Name) + "\" goes: its file is missing",
			})
		}
	}
}

package config

import (
	"path/filepath"
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/operator/document"
)

type (
	// Previous is the published state that a change is checked against.
	// Config is nil before the first publish.
	Previous struct {
		Config *sassafrastray.Config
		// Moves are the moves published so far, up to the MaxMoves that the
		// head lists.
		Moves []MoveID
	}

	// MoveID identifies a move across all services.
	MoveID struct {
		Service sassafrastray.ServiceName `json:"service"`
		Move    sassafrastray.MoveName    `json:"move"`
	}
)

// service returns the published state of a service, or nil if there is none.
func (p *Previous) service(name sassafrastray.ServiceName) *sassafrastray.Service {
	if p == nil || p.Config == nil {
		return nil
	}
	return p.Config.Service(name)
}

// Moves returns the IDs of all moves in the configuration.
func Moves(c *sassafrastray.Config) []MoveID {
	var out []MoveID
	for i := range c.Services {
		if s := &c.Services[i]; s.Move != nil {
			out = append(out, MoveID{s.Name, s.Move.Name})
		}
	}
	return out
}

// checkChange checks a service's new state against the published one.
func (l *loader) checkChange(n document.Node, s *sassafrastray.Service) {
	old := l.previous.service(s.Name)
	if s.Move != nil {
		l.checkMove(n.Get("move"), s, old)
	}
	if old == nil {
		return
	}
	switch {
	case old.Move != nil && (s.Move == nil || s.Move.Name != old.Move.Name):
		if s.Version != old.Move.To && s.Version == old.Version {
			n.Get("version").Warn("move %q ends here, and all traffic goes to version %q at once", old.Move.Name, s.Version)
		} else {
			n.Get("move").Warn("move %q is no longer listed; make sure by status that it is done or reverted", old.Move.Name)
		}
	case s.Version != old.Version:
		n.Get("version").Warn("all traffic goes from version %q to %q at once; a move shifts it step by step", old.Version, s.Version)
	}
}

// checkMove checks a move: a published one must not change, and a new one needs an
// unused name and a deadline that leaves time for all its steps.
func (l *loader) checkMove(n document.Node, s, old *sassafrastray.Service) {
	m := s.Move
	if m.Name == "" {
		return
	}
	if old != nil && old.Move != nil && old.Move.Name == m.Name {
		if !sameMove(*old.Move, *m) {
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

// checkDeadline reports a new move that can't finish before its deadline. If the
// published state is unknown, the move may have been published before, so this is
// only a warning.
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

// checkFleetChange warns of changes to failure domains, which change the share that
// each VM has of every quota, and of services that are no longer listed.
func (l *loader) checkFleetChange(n document.Node) {
	if l.previous == nil || l.previous.Config == nil {
		return
	}
	before := l.previous.Config
	for _, old := range before.Fleet.Domains {
		i := slices.IndexFunc(l.config.Fleet.Domains, func(d sassafrastray.FailureDomain) bool { return d.Name == old.Name })
		switch {
		case i < 0:
			n.Get("domains").Warn("failure domain %q is removed with its share of quotas (places: %d); its VMs must have stopped", old.Name, old.Places)
		case l.config.Fleet.Domains[i].Places != old.Places:
			n.Get("domains").Warn("the places of failure domain %q change from %d to %d, which changes the share of quotas of every place",
				old.Name, old.Places, l.config.Fleet.Domains[i].Places)
		}
	}
	for _, old := range before.Services {
		if l.config.Service(old.Name) == nil {
			l.report.Add(document.Problem{
				File: filepath.Join(l.dir, servicesDir), Warning: true,
				Text: "service \"" + string(old.Name) + "\" goes: its file is missing",
			})
		}
	}
}

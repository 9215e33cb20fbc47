// Package server models one backend server: its slots, how long it works, what
// it reports of itself, and its faults.
package server

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"sassafrastray"
)

// States of a backend server in its health report.
const (
	OK       State = "ok"
	Cold     State = "cold"
	Draining State = "draining"
)

type (
	// State is what a health report says first.
	State string

	// Settings describe a backend server.
	Settings struct {
		Name    sassafrastray.BackendName `json:"name" yaml:"name"`
		Service sassafrastray.ServiceName `json:"service" yaml:"service"`
		Version sassafrastray.VersionName `json:"version" yaml:"version"`
		Listen  netip.AddrPort            `json:"listen" yaml:"listen"`
		Slots   int                       `json:"slots" yaml:"slots"`
		// Domain is the failure domain of a server that registers itself.
		Domain sassafrastray.DomainName `json:"domain,omitempty" yaml:"domain"`
		// Time is the median time of work on a request, and Spread the
		// standard deviation of its logarithm.
		Time   time.Duration `json:"time" yaml:"time"`
		Spread float64       `json:"spread" yaml:"spread"`
		Start  Start         `json:"start" yaml:"start"`
	}

	// Start is a cold start: work takes Factor times as long until both
	// Lasts has passed and Requests have been admitted.
	Start struct {
		Lasts    time.Duration `json:"lasts" yaml:"lasts"`
		Requests int           `json:"requests" yaml:"requests"`
		Factor   float64       `json:"factor" yaml:"factor"`
	}

	// Health is the health report.
	Health struct {
		State State `json:"state"`
		Slots int   `json:"slots"`
		Used  int   `json:"used"`
	}

	// Work is what admitting a request leads to.
	Work struct {
		// Takes is the time of work, and Late the time that the finished
		// answer is held back.
		Takes, Late time.Duration
		// Fail asks for an answer with status 500.
		Fail bool
		// Cut asks for an answer whose body ends early.
		Cut bool
		// Cross asks for an earlier request's answer.
		Cross bool
	}

	// Server is the state of a backend server. Callers lock it.
	Server struct {
		Settings

		rand     *rand.Rand
		started  time.Time
		plan     Plan
		used     int
		peak     int
		admitted int
		planned  int // admitted under the present plan
		seen     sample
	}

	// sample is the number of used slots as last reported.
	sample struct {
		used int
		at   time.Time
	}
)

// New returns a server that starts now.
func New(s Settings, r *rand.Rand, now time.Time) *Server {
	return &Server{Settings: s, rand: r, started: now}
}

// Plan returns the faults that are on.
func (s *Server) Plan() Plan { return s.plan }

// SetPlan replaces the faults.
func (s *Server) SetPlan(p Plan, now time.Time) {
	if p.Silent && !s.plan.Silent {
		p.since = now
	} else {
		p.since = s.plan.since
	}
	s.plan, s.planned = p, 0
}

// Restart begins a cold start, as a new process does.
func (s *Server) Restart(now time.Time) { s.started, s.admitted = now, 0 }

// Mute tells whether a connection of the given age has gone silent.
func (s *Server) Mute(opened time.Time) bool { return s.plan.Silent && !opened.After(s.plan.since) }

// Admit takes a slot for a request to the path, or sheds it. Each admitted
// request ends with Done.
func (s *Server) Admit(path string, now time.Time) (Work, bool) {
	if s.plan.Shed || s.used >= s.Slots {
		return Work{}, false
	}
	cold := s.cold(now)
	s.used++
	s.admitted++
	s.planned++
	s.peak = max(s.peak, s.used)
	bad := s.bad(path)
	w := Work{Takes: s.takes(cold, bad)}
	w.Fail = bad && s.chance(s.plan.Bad.Fail)
	w.Cut = s.chance(s.plan.Cut)
	w.Cross = s.chance(s.plan.Cross)
	if s.chance(s.plan.Late.Chance) {
		w.Late = s.plan.Late.By
	}
	return w, true
}

// Done gives a slot back.
func (s *Server) Done() {
	if s.used == 0 {
		panic("server: more requests done than admitted")
	}
	s.used--
}

// Peak returns the greatest number of slots used at once.
func (s *Server) Peak() int { return s.peak }

// Load returns the load report that goes with an answer, or "" if there is
// none.
func (s *Server) Load(now time.Time) string {
	l := s.plan.Load
	if l.Missing {
		return ""
	}
	if l.Used != nil {
		return fmt.Sprintf("%d/%d", *l.Used, s.Slots)
	}
	if now.Sub(s.seen.at) >= l.Lag {
		s.seen = sample{s.used, now}
	}
	return fmt.Sprintf("%d/%d", s.seen.used, s.Slots)
}

// Started returns when the present run of the server began.
func (s *Server) Started() time.Time { return s.started }

// Health returns the health report.
func (s *Server) Health(now time.Time) Health {
	h := Health{OK, s.Slots, s.used}
	switch {
	case s.plan.Health != "":
		h.State = s.plan.Health
	case s.plan.Drain:
		h.State = Draining
	case s.cold(now):
		h.State = Cold
	}
	if u := s.plan.Load.Used; u != nil {
		h.Used = *u
	}
	return h
}

// takes draws the time of work from a log-normal distribution.
func (s *Server) takes(cold, bad bool) time.Duration {
	f := math.Exp(s.Spread * s.rand.NormFloat64())
	if cold {
		f *= max(1, s.Start.Factor)
	}
	if s.plan.Slow > 0 {
		f *= s.plan.Slow
	}
	if bad && s.plan.Bad.Slow > 0 {
		f *= s.plan.Bad.Slow
	}
	return time.Duration(f * float64(s.Time))
}

func (s *Server) cold(now time.Time) bool {
	return now.Sub(s.started) < s.Start.Lasts || s.admitted < s.Start.Requests
}

// bad tells whether the request that was just admitted meets the version's
// defect.
func (s *Server) bad(path string) bool {
	b := s.plan.Bad
	return b != nil && s.planned > b.After && s.used > b.Above && strings.HasPrefix(path, b.Path)
}

func (s *Server) chance(p float64) bool { return p > 0 && s.rand.Float64() < p }

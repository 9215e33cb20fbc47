// Package server simulates one backend server: its slots, its response times, its
// load and health reports, and the faults injected into it.
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
	// State is the server's state in its health report.
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
		// MedianTime is the median time taken by a request, and Spread the standard
		// deviation of its logarithm.
		MedianTime time.Duration `json:"time" yaml:"time"`
		Spread     float64       `json:"spread" yaml:"spread"`
		ColdStart  ColdStart     `json:"start" yaml:"start"`
	}

	// ColdStart describes a cold start: requests take Factor times as long until
	// both Lasts has passed and Requests have been admitted.
	ColdStart struct {
		Lasts    time.Duration `json:"lasts" yaml:"lasts"`
		Requests int           `json:"requests" yaml:"requests"`
		Factor   float64       `json:"factor" yaml:"factor"`
	}

	// Health is the health report: the server's state and its total and used slots.
	Health struct {
		State State `json:"state"`
		Slots int   `json:"slots"`
		Used  int   `json:"used"`
	}

	// Work says how to process and answer an admitted request.
	Work struct {
		// Duration is the processing time, and Delay how long the finished
		// response is held back.
		Duration, Delay time.Duration
		// Fail asks for a response with status 500.
		Fail bool
		// Truncate asks for a response whose body ends early.
		Truncate bool
		// WrongResponse asks for the response to an earlier request.
		WrongResponse bool
	}

	// Server is the state of a backend server. It is not safe for concurrent
	// use.
	Server struct {
		Settings

		rand               *rand.Rand
		started            time.Time
		faults             Faults
		used               int
		peak               int
		admitted           int
		admittedWithFaults int // since the faults were last set
		lastReport         sample
	}

	// sample is a number of used slots and when it was read.
	sample struct {
		used int
		at   time.Time
	}
)

// New returns a server that starts now.
func New(s Settings, r *rand.Rand, now time.Time) *Server {
	return &Server{Settings: s, rand: r, started: now}
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults { return s.faults }

// SetFaults replaces the injected faults. Connections that are already silent stay so
// while Silent remains set.
func (s *Server) SetFaults(f Faults, now time.Time) {
	if f.Silent && !s.faults.Silent {
		f.silentSince = now
	} else {
		f.silentSince = s.faults.silentSince
	}
	s.faults, s.admittedWithFaults = f, 0
}

// Restart simulates the start of a new process, which is cold.
func (s *Server) Restart(now time.Time) { s.started, s.admitted = now, 0 }

// Silenced reports whether a connection opened at the given time gets no responses.
func (s *Server) Silenced(opened time.Time) bool {
	return s.faults.Silent && !opened.After(s.faults.silentSince)
}

// Admit takes a slot for a request to the path, or sheds it. Each admitted
// request must be followed by Release.
func (s *Server) Admit(path string, now time.Time) (Work, bool) {
	if s.faults.Shed || s.used >= s.Slots {
		return Work{}, false
	}
	cold := s.cold(now)
	s.used++
	s.admitted++
	s.admittedWithFaults++
	s.peak = max(s.peak, s.used)
	defective := s.hitsDefect(path)
	w := Work{Duration: s.drawDuration(cold, defective)}
	w.Fail = defective && s.chance(s.faults.Defect.Fail)
	w.Truncate = s.chance(s.faults.Truncate)
	w.WrongResponse = s.chance(s.faults.WrongResponse)
	if s.chance(s.faults.Delay.Chance) {
		w.Delay = s.faults.Delay.By
	}
	return w, true
}

// Release frees the slot of an admitted request.
func (s *Server) Release() {
	if s.used == 0 {
		panic("server: Release called more often than Admit")
	}
	s.used--
}

// Peak returns the greatest number of slots used at once.
func (s *Server) Peak() int { return s.peak }

// Load returns the load report for a response, in the form used/slots, or "" if
// the faults leave it out.
func (s *Server) Load(now time.Time) string {
	l := s.faults.Load
	if l.Missing {
		return ""
	}
	if l.Used != nil {
		return fmt.Sprintf("%d/%d", *l.Used, s.Slots)
	}
	if now.Sub(s.lastReport.at) >= l.Lag {
		s.lastReport = sample{s.used, now}
	}
	return fmt.Sprintf("%d/%d", s.lastReport.used, s.Slots)
}

// Started returns the time of the last start or restart.
func (s *Server) Started() time.Time { return s.started }

// Health returns the health report.
func (s *Server) Health(now time.Time) Health {
	h := Health{OK, s.Slots, s.used}
	switch {
	case s.faults.Health != "":
		h.State = s.faults.Health
	case s.faults.Drain:
		h.State = Draining
	case s.cold(now):
		h.State = Cold
	}
	if u := s.faults.Load.Used; u != nil {
		h.Used = *u
	}
	return h
}

// drawDuration draws a processing time from a log-normal distribution.
func (s *Server) drawDuration(cold, defective bool) time.Duration {
	f := math.Exp(s.Spread * s.rand.NormFloat64())
	if cold {
		f *= max(1, s.ColdStart.Factor)
	}
	if s.faults.Slow > 0 {
		f *= s.faults.Slow
	}
	if defective && s.faults.Defect.Slow > 0 {
		f *= s.faults.Defect.Slow
	}
	return time.Duration(f * float64(s.MedianTime))
}

// cold reports whether the cold start still lasts.
func (s *Server) cold(now time.Time) bool {
	return now.Sub(s.started) < s.ColdStart.Lasts || s.admitted < s.ColdStart.Requests
}

// hitsDefect reports whether the defect affects the request that was just
// admitted.
func (s *Server) hitsDefect(path string) bool {
	d := s.faults.Defect
	return d != nil && s.admittedWithFaults > d.After && s.used > d.Above && strings.HasPrefix(path, d.Path)
}

// chance returns true with probability p.
func (s *Server) chance(p float64) bool { return p > 0 && s.rand.Float64() < p }

// Package fault decides which calls to a stand-in go wrong, and how.
package fault

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/standin/call"
)

// Modes of the store as a whole.
const (
	// Serve answers calls.
	Serve Mode = ""
	// Busy answers each call with status 503.
	Busy Mode = "busy"
	// Refuse closes the listener and all connections.
	Refuse Mode = "refuse"
	// Silent takes calls and never answers.
	Silent Mode = "silent"
)

// Ways to treat a call.
const (
	Answer  Verdict = iota // do it and answer
	Decline                // answer with 503, not done
	Limit                  // answer with 429, not done
	Close                  // close the connection, not done
	Ignore                 // never answer, not done
	Lose                   // do it, then close the connection
)

type (
	// Mode is what the store does with all calls.
	Mode string
	// Verdict is how one call is treated.
	Verdict int

	// Plan is the faults that are switched on. Its zero value is none.
	Plan struct {
		Mode Mode `json:"mode" yaml:"mode"`
		// Delay is added to each call.
		Delay time.Duration `json:"delay" yaml:"delay"`
		// LoseCount is how many of the next writes take effect without an
		// answer.
		LoseCount int `json:"lose" yaml:"lose"`
		// LoseChance is the probability that a write takes effect without
		// an answer.
		LoseChance float64 `json:"chance" yaml:"chance"`
		// Reads and Writes bound the calls taken in a second; 0 is no bound.
		Reads  int `json:"reads" yaml:"reads"`
		Writes int `json:"writes" yaml:"writes"`
	}

	// Switches hold the plan and count what it uses up. Callers lock them.
	Switches struct {
		plan   Plan
		cut    []sassafrastray.DomainName
		rand   *rand.Rand
		second int64
		reads  int
		writes int
	}
)

// New returns switches with no fault on.
func New(r *rand.Rand) *Switches { return &Switches{rand: r} }

// Plan returns the faults that are on, less what has been used up.
func (s *Switches) Plan() Plan { return s.plan }

// Set replaces the plan. It declines modes that it does not know.
func (s *Switches) Set(p Plan) error {
	if !slices.Contains([]Mode{Serve, Busy, Refuse, Silent}, p.Mode) {
		return errors.Newf("mode %q is not one of busy, refuse and silent", p.Mode)
	}
	s.plan = p
	return nil
}

// Cut replaces the set of failure domains whose calls are never answered.
func (s *Switches) Cut(domains []sassafrastray.DomainName) { s.cut = domains }

// Cuts returns the failure domains that are cut off.
func (s *Switches) Cuts() []sassafrastray.DomainName { return s.cut }

// Judge decides about one call.
func (s *Switches) Judge(k call.Kind, d sassafrastray.DomainName, now time.Time) Verdict {
	if v := s.Reach(d); v != Answer {
		return v
	}
	switch {
	case s.above(k, now):
		return Limit
	case k.IsWrite() && s.loses():
		return Lose
	default:
		return Answer
	}
}

// Reach decides whether an answer reaches a failure domain at present.
func (s *Switches) Reach(d sassafrastray.DomainName) Verdict {
	switch {
	case s.plan.Mode == Silent || slices.Contains(s.cut, d):
		return Ignore
	case s.plan.Mode == Refuse:
		return Close
	case s.plan.Mode == Busy:
		return Decline
	default:
		return Answer
	}
}

// above counts the call and tells whether it is above its bound in the
// present second.
func (s *Switches) above(k call.Kind, now time.Time) bool {
	if now.Unix() != s.second {
		s.second, s.reads, s.writes = now.Unix(), 0, 0
	}
	n, bound := &s.reads, s.plan.Reads
	if k.IsWrite() {
		n, bound = &s.writes, s.plan.Writes
	}
	*n++
	return bound > 0 && *n > bound
}

func (s *Switches) loses() bool {
	if s.plan.LoseCount > 0 {
		s.plan.LoseCount--
		return true
	}
	return s.plan.LoseChance > 0 && s.rand.Float64() < s.plan.LoseChance
}

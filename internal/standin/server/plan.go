package server

import "time"

type (
	// Plan is the faults of a backend server that are switched on. Its zero
	// value is none. Chances are probabilities for each request.
	Plan struct {
		// Shed declines each request.
		Shed bool `json:"shed,omitempty" yaml:"shed"`
		// Slow is a factor on the time of work.
		Slow float64 `json:"slow,omitempty" yaml:"slow"`
		// Drain marks each answer and the health report.
		Drain bool `json:"drain,omitempty" yaml:"drain"`
		// Die closes the listener and all connections.
		Die bool `json:"die,omitempty" yaml:"die"`
		// Silent stops answers on the connections that are open when it is
		// switched on. New ones work.
		Silent bool `json:"silent,omitempty" yaml:"silent"`
		// Cut is the chance that a body ends early.
		Cut float64 `json:"cut,omitempty" yaml:"cut"`
		// Cross is the chance of another request's answer.
		Cross float64 `json:"cross,omitempty" yaml:"cross"`
		Late  Late    `json:"late,omitzero" yaml:"late"`
		Bad   *Bad    `json:"bad,omitempty" yaml:"bad"`
		Load  Load    `json:"load,omitzero" yaml:"load"`
		// Health is the state that the health report gives in place of the
		// true one.
		Health State `json:"health,omitempty" yaml:"health"`

		since time.Time
	}

	// Late holds finished answers back.
	Late struct {
		Chance float64       `json:"chance" yaml:"chance"`
		By     time.Duration `json:"by" yaml:"by"`
	}

	// Bad is the defect of a bad version.
	Bad struct {
		// Fail is the chance of status 500, Slow a factor on the time of
		// work.
		Fail float64 `json:"fail" yaml:"fail"`
		Slow float64 `json:"slow" yaml:"slow"`
		// After is how many requests go well first.
		After int `json:"after" yaml:"after"`
		// Path limits the defect to paths with this prefix.
		Path string `json:"path" yaml:"path"`
		// Above limits the defect to times when more slots are used.
		Above int `json:"above" yaml:"above"`
	}

	// Load is how load reports go wrong.
	Load struct {
		Missing bool `json:"missing" yaml:"missing"`
		// Used is reported in place of the true number of slots.
		Used *int `json:"used" yaml:"used"`
		// Lag is how long a figure is repeated before a new one is taken.
		Lag time.Duration `json:"lag" yaml:"lag"`
	}
)

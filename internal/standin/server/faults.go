package server

import "time"

type (
	// Faults are the faults injected into a backend server. The zero value
	// injects none. Chances are probabilities per request, from 0 to 1.
	Faults struct {
		// Shed rejects every request.
		Shed bool `json:"shed,omitempty" yaml:"shed"`
		// Slow multiplies the time taken by each request; 0 has no effect.
		Slow float64 `json:"slow,omitempty" yaml:"slow"`
		// Drain announces in each response and in the health report that the
		// server is draining.
		Drain bool `json:"drain,omitempty" yaml:"drain"`
		// Leaving says in each response, on a platform whose servers do so, that the
		// server leaves.
		Leaving bool `json:"leaving,omitempty" yaml:"leaving"`
		// Pause is for how many seconds the server wants no requests, as it says when it
		// sheds one; 0 says nothing.
		Pause float64 `json:"pause,omitempty" yaml:"pause"`
		// Crash closes the listener and all connections.
		Crash bool `json:"die,omitempty" yaml:"die"`
		// Silent stops responses on the connections that are open when it is
		// set. Connections opened later work.
		Silent bool `json:"silent,omitempty" yaml:"silent"`
		// Truncate is the chance that a response body ends early.
		Truncate float64 `json:"cut,omitempty" yaml:"cut"`
		// WrongResponse is the chance of a response that belongs to another
		// request.
		WrongResponse float64    `json:"cross,omitempty" yaml:"cross"`
		Delay         Delay      `json:"late,omitzero" yaml:"late"`
		Defect        *Defect    `json:"bad,omitempty" yaml:"bad"`
		Load          LoadFaults `json:"load,omitzero" yaml:"load"`
		// Health replaces the state in the health report.
		Health State `json:"health,omitempty" yaml:"health"`

		silentSince time.Time
	}

	// Delay holds back finished responses for By, with probability Chance.
	Delay struct {
		Chance float64       `json:"chance" yaml:"chance"`
		By     time.Duration `json:"by" yaml:"by"`
	}

	// Defect is a fault in the deployed version of the service.
	Defect struct {
		// Fail is the chance of status 500, and Slow multiplies the time
		// taken by a request.
		Fail float64 `json:"fail" yaml:"fail"`
		Slow float64 `json:"slow" yaml:"slow"`
		// After is how many requests are admitted before the defect appears.
		After int `json:"after" yaml:"after"`
		// Path limits the defect to paths with this prefix.
		Path string `json:"path" yaml:"path"`
		// Above limits the defect to requests that arrive while at least this
		// many other slots are used.
		Above int `json:"above" yaml:"above"`
	}

	// LoadFaults falsify the load reports.
	LoadFaults struct {
		// Missing leaves the load report out.
		Missing bool `json:"missing" yaml:"missing"`
		// Used replaces the reported number of used slots.
		Used *int `json:"used" yaml:"used"`
		// Lag is how long a reported value is repeated before it is updated.
		Lag time.Duration `json:"lag" yaml:"lag"`
	}
)

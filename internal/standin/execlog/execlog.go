// Package execlog is an in-memory log of the requests that backend servers
// executed. It counts repeated executions and leaked keys, and computes the
// token bucket burst that the executions needed.
package execlog

import (
	"time"

	"sassafrastray"
)

// Ways in which an execution ends.
const (
	Finished EndState = "finished"
	Failed   EndState = "failed"
	Canceled EndState = "cancelled" // the client closed its connection
	Expired  EndState = "expired"   // the deadline in the request passed
)

type (
	// EndState is how an execution ended. It is empty while the execution runs.
	EndState string

	// Entry describes one execution. It is recorded when the request takes a
	// slot.
	Entry struct {
		Server  sassafrastray.BackendName `json:"server"`
		Service sassafrastray.ServiceName `json:"service"`
		Version sassafrastray.VersionName `json:"version"`
		// RequestID is assigned by the system, OrderID by the caller.
		RequestID string                 `json:"id"`
		OrderID   string                 `json:"order"`
		Team      sassafrastray.TeamName `json:"team"`
		Method    string                 `json:"method"`
		Path      string                 `json:"path"`
		// HasKey reports whether the request contained what looks like a
		// caller's key.
		HasKey   bool      `json:"keys,omitempty"`
		Start    time.Time `json:"start"`
		Stop     time.Time `json:"stop,omitzero"`
		EndState EndState  `json:"end,omitempty"`
	}

	// Log holds the executions in the order in which they started. It is not
	// safe for concurrent use.
	Log struct {
		entries []*Entry
	}
)

// New returns an empty log.
func New() *Log { return &Log{} }

// Start records the start of an execution and returns its entry, on which the
// caller calls Finish when the execution ends.
func (l *Log) Start(e Entry) *Entry {
	l.entries = append(l.entries, &e)
	return &e
}

// Finish records how and when the execution ended.
func (e *Entry) Finish(end EndState, now time.Time) { e.EndState, e.Stop = end, now }

// Entries returns a copy of all entries.
func (l *Log) Entries() []Entry {
	s := make([]Entry, len(l.entries))
	for i, e := range l.entries {
		s[i] = *e
	}
	return s
}

// Reset deletes all entries.
func (l *Log) Reset() { l.entries = nil }

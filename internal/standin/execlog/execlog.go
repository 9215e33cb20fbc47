// Package execlog is an in-memory log of the requests that backend servers executed.
// It counts repeated executions, exposed keys and the token bucket burst needed.
package execlog

import (
	"time"

	"sassafrastray"
)

// Ends of an execution.
const (
	Finished  End = "finished"
	Failed    End = "failed"
	Cancelled End = "cancelled" // the client closed its connection
	Expired   End = "expired"   // the deadline in the request passed
)

type (
	// End is how an execution ended; it is empty while it runs.
	End string

	// Entry is one execution. It is recorded when the request takes a slot.
	Entry struct {
		Server  sassafrastray.BackendName `json:"server"`
		Service sassafrastray.ServiceName `json:"service"`
		Version sassafrastray.VersionName `json:"version"`
		// ID is the request id assigned by the system, Order the one assigned
		// by the caller.
		ID     string                 `json:"id"`
		Order  string                 `json:"order"`
		Team   sassafrastray.TeamName `json:"team"`
		Method string                 `json:"method"`
		Path   string                 `json:"path"`
		// Keys is set if the request contained something like a caller's key.
		Keys  bool      `json:"keys,omitempty"`
		Start time.Time `json:"start"`
		Stop  time.Time `json:"stop,omitzero"`
		End   End       `json:"end,omitempty"`
	}

	// Ledger holds the executions in the order of their starts. It is not
	// safe for concurrent use.
	Ledger struct {
		entries []*Entry
	}
)

// New returns an empty ledger.
func New() *Ledger { return &Ledger{} }

// Start records the start of an execution and returns its entry, for Finish.
func (l *Ledger) Start(e Entry) *Entry {
	l.entries = append(l.entries, &e)
	return &e
}

// Finish records how an execution ended.
func (e *Entry) Finish(end End, now time.Time) { e.End, e.Stop = end, now }

// Entries returns a copy of all executions.
func (l *Ledger) Entries() []Entry {
	s := make([]Entry, len(l.entries))
	for i, e := range l.entries {
		s[i] = *e
	}
	return s
}

// Reset deletes all entries.
func (l *Ledger) Reset() { l.entries = nil }

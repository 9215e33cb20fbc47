// Package ledger records the requests that backend servers executed, and
// judges them.
package ledger

import (
	"time"

	"sassafrastray"
)

// Ends of an execution.
const (
	Finished  End = "finished"
	Failed    End = "failed"
	Cancelled End = "cancelled" // the client closed its connection
	Expired   End = "expired"   // the deadline that came with it passed
)

type (
	// End is how an execution ended; it is empty while it runs.
	End string

	// Entry is one execution. It exists from the moment that the request
	// took a slot.
	Entry struct {
		Server  sassafrastray.BackendName `json:"server"`
		Service sassafrastray.ServiceName `json:"service"`
		Version sassafrastray.VersionName `json:"version"`
		// ID is the system's id of the request, Order the caller's.
		ID     string                 `json:"id"`
		Order  string                 `json:"order"`
		Team   sassafrastray.TeamName `json:"team"`
		Method string                 `json:"method"`
		Path   string                 `json:"path"`
		// Keys tells that something like a caller's key came along.
		Keys  bool      `json:"keys,omitempty"`
		Start time.Time `json:"start"`
		Stop  time.Time `json:"stop,omitzero"`
		End   End       `json:"end,omitempty"`
	}

	// Ledger is the executions in the order of their starts. Callers lock
	// it.
	Ledger struct {
		entries []*Entry
	}
)

// New returns an empty ledger.
func New() *Ledger { return &Ledger{} }

// Start records that an execution begins.
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

// Reset forgets all executions.
func (l *Ledger) Reset() { l.entries = nil }

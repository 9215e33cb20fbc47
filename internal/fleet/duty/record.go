package duty

import (
	"maps"
	"slices"

	"sassafrastray"
)

// unknownEra is the Era of a record that may lack decisions.
const unknownEra = -1

type (
	// Record is the duty's record in the store.
	Record struct {
		Holder sassafrastray.VMName `json:"holder"`
		// Generation grows with each change of the holder. It is the fencing token
		// of the holder's calls.
		Generation int64 `json:"generation"`
		// Released means that the holder gave up the duty and sends nothing more.
		Released bool `json:"released,omitempty"`
		// Era is the era of the store in which the record is known to be complete.
		// It is zero if the store does not tell eras, and -1 if decisions may be
		// missing.
		Era int64 `json:"era,omitempty"`
		// Floor is the highest window that is decided or given up. Windows up to it
		// that have no report are never decided.
		Floor int64 `json:"floor"`
		// Reports are the decided windows, oldest first.
		Reports []Report `json:"reports,omitempty"`
	}

	// Report is the decided content of one window.
	Report struct {
		Window int64 `json:"window"`
		// Generation is that of the holder that decided the window, and in a Send
		// that of the holder that sends it.
		Generation int64                            `json:"generation"`
		Counts     map[sassafrastray.TeamName]int64 `json:"counts"`
		// Sent means that the report needs no further call.
		Sent bool `json:"sent,omitempty"`
	}
)

// clone returns a copy that shares no memory with the record.
func (r *Record) clone() *Record {
	c := *r
	c.Reports = slices.Clone(r.Reports)
	for i := range c.Reports {
		c.Reports[i].Counts = maps.Clone(c.Reports[i].Counts)
	}
	return &c
}

// add puts a decided report in memory. Of two different contents of one window neither
// is sent any more: each may have been.
func (m *Machine) add(r Report) {
	old := m.reports[r.Window]
	if old == nil {
		m.reports[r.Window] = &r
		return
	}
	if !maps.Equal(old.Counts, r.Counts) {
		m.note(Note{Event: GivenUp, Window: r.Window, Generation: r.Generation, Reason: "the record has other counts than this VM knows"})
		old.Sent = true
	}
	old.Sent = old.Sent || r.Sent
}

// trim drops the reports that the record has no room for, and attempts that are decided.
func (m *Machine) trim() {
	if n := len(m.reports) - maxReports; n > 0 {
		for _, w := range slices.Sorted(maps.Keys(m.reports))[:n] {
			delete(m.reports, w)
		}
	}
	old := func(w int64) bool { return w <= m.claim.Decided-maxReports }
	maps.DeleteFunc(m.attempts, func(w int64, _ *attempt) bool { return old(w) })
	maps.DeleteFunc(m.rejected, func(w int64, _ int) bool { return old(w) })
}

package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

const (
	// memoryLifetime is how long what a copy of the store may contradict is remembered.
	// The store's copies are some seconds old.
	memoryLifetime = 2 * time.Minute

	// maxDepartures bounds the remembered departures; the latest are kept.
	maxDepartures = 2048

	// silentReports is the number of reports of a backend server after whose absence the
	// store removes its entry.
	silentReports = 3
)

type (
	// Departure records that a backend server was seen leaving or gone in an era.
	Departure struct {
		Name        string `json:"name"`
		Incarnation int64  `json:"inc"`
		Sequence    int64  `json:"seq"`
		// Gone means that the entry was removed, and otherwise that it says that the
		// server leaves.
		Gone bool  `json:"gone,omitempty"`
		Era  int64 `json:"era,omitempty"`
		// Age is how long ago that was, in a message between VMs.
		Age time.Duration `json:"age,omitempty"`
		at  time.Time
	}

	// Progress is the state that a rollout reached in an era.
	Progress struct {
		Name    string                `json:"name"`
		Rollout sassafrastray.Rollout `json:"rollout"`
		Era     int64                 `json:"era,omitempty"`
		at      time.Time
	}

	// Memory is what a VM knows and a copy of the store may lack, for a VM that does not
	// know it: one that has started, or was cut off when the store returned to the copy.
	Memory struct {
		// Config is set if it is newer than the receiver's.
		Config     *sassafrastray.Config `json:"config,omitempty"`
		Departures []Departure           `json:"departures,omitempty"`
		Rollouts   []Progress            `json:"rollouts,omitempty"`
		// Era is the store's, and SinceEra how long ago it began, or zero if that is
		// not known or long ago.
		Era      int64         `json:"era,omitempty"`
		SinceEra time.Duration `json:"since,omitempty"`
	}

	// order identifies one order of a rollout.
	order struct {
		name string
		to   sassafrastray.VersionName
		in   time.Duration
	}
)

func orderOf(e sassafrastray.Entry) order {
	return order{e.Name, e.Rollout.To, e.Rollout.MaxDuration}
}

// ahead reports whether a rollout is in a later state than another one of the same
// order.
func ahead(r, of sassafrastray.Rollout) bool {
	rank := func(s sassafrastray.RolloutState) int {
		switch s {
		case sassafrastray.RolloutRunning:
			return 1
		case sassafrastray.RolloutDone, sassafrastray.RolloutReverted:
			return 2
		}
		return 0
	}
	if a, b := rank(r.State), rank(of.State); a != b {
		return a > b
	}
	return r.State == sassafrastray.RolloutRunning && r.Share > of.Share
}

// restoreProgress returns the entry of a rollout as the store shows it, or with the
// state that the same order reached in an earlier era. That is to be written again.
func (r *Replica) restoreProgress(t *topic, e sassafrastray.Entry, now time.Time) sassafrastray.Entry {
	p, ok := r.progress[orderOf(e)]
	if !ok || p.Era >= t.at.Era || !ahead(p.Rollout, *e.Rollout) {
		r.progress[orderOf(e)] = Progress{Name: e.Name, Rollout: *e.Rollout, Era: t.at.Era, at: now}
		delete(r.unwritten, e.Name)
		return e
	}
	restored := *e.Rollout
	restored.State, restored.Share = p.Rollout.State, p.Rollout.Share
	e.Rollout = &restored
	r.unwritten[e.Name] = true
	return e
}

// Unwritten returns the rollouts whose entry in the store lacks the state that they
// reached before it returned to an older copy.
func (r *Replica) Unwritten() []sassafrastray.Entry {
	var out []sassafrastray.Entry
	t := r.topics[sassafrastray.TopicRollouts]
	for name := range r.unwritten {
		if e, ok := t.entries[name]; ok && t.missing[name].IsZero() && e.era == t.at.Era {
			out = append(out, e.Entry)
		}
	}
	return out
}

// recordDeparture remembers that a backend server leaves or is gone.
func (r *Replica) recordDeparture(b *sassafrastray.BackendServer, gone bool, era int64, now time.Time) {
	r.departures[string(b.Name)] = Departure{
		Name: string(b.Name), Incarnation: b.Incarnation, Sequence: b.Sequence, Gone: gone, Era: era, at: now,
	}
}

// checkDeparture compares an entry with the departure of its server in an earlier era.
// It returns false if the server is gone, and marks one that leaves. A later incarnation,
// or a later report of the same one, ends the departure; but an entry that was read with
// all others may come from the copy, so one that is gone counts only if the store still
// shows it when it would have removed a silent server.
func (r *Replica) checkDeparture(t *topic, e sassafrastray.Entry, complete bool, now time.Time) (sassafrastray.Entry, bool) {
	b := e.Backend
	d, ok := r.departures[e.Name]
	if ok && d.Era < t.at.Era {
		until := t.eraAt.Add(silentReports*r.opt.ReportInterval + missingGrace)
		switch {
		case b.Incarnation < d.Incarnation:
			return e, false
		case b.Incarnation > d.Incarnation:
		case d.Gone && (complete || b.Sequence <= d.Sequence) && now.Before(until):
			t.held[e.Name] = heldRecord{e, until}
			return e, false
		case !d.Gone && b.Sequence <= d.Sequence && !b.Leaving:
			leaving := *b
			leaving.Leaving = true
			e.Backend = &leaving
			return e, true
		}
	}
	delete(r.departures, e.Name)
	if b.Leaving {
		r.recordDeparture(b, false, t.at.Era, now)
	}
	return e, true
}

// Memory returns what the VM remembers, for one whose configuration has the number.
func (r *Replica) Memory(config int64, now time.Time) Memory {
	t := r.topics[sassafrastray.TopicBackends]
	m := Memory{Era: t.at.Era}
	if !t.eraAt.IsZero() && now.Sub(t.eraAt) < memoryLifetime {
		m.SinceEra = max(1, now.Sub(t.eraAt))
	}
	if r.config != nil && r.config.Number > config {
		m.Config = r.config
	}
	for _, d := range r.departures {
		d.Age = now.Sub(d.at)
		m.Departures = append(m.Departures, d)
	}
	slices.SortFunc(m.Departures, func(a, b Departure) int { return cmp.Compare(a.Name, b.Name) })
	for _, p := range r.progress {
		if p.Rollout.State != sassafrastray.RolloutPending {
			m.Rollouts = append(m.Rollouts, p)
		}
	}
	return m
}

// Learn applies what another VM remembers.
func (r *Replica) Learn(m Memory, now time.Time) Change {
	var c Change
	if m.Config != nil && (r.config == nil || m.Config.Number > r.config.Number) {
		r.config, c.Config = m.Config, true
		entries := r.topics[sassafrastray.TopicConfig].entries
		for name, e := range entries {
			e.Config = m.Config
			entries[name] = e
		}
	}
	t := r.topics[sassafrastray.TopicBackends]
	if t.eraAt.IsZero() {
		switch {
		case m.SinceEra > 0 && (!t.loaded || m.Era == t.at.Era):
			t.eraAt = now.Add(-m.SinceEra)
		case t.loaded && m.Era < t.at.Era:
			t.eraAt = now
		}
	}
	for _, d := range m.Departures {
		r.learnDeparture(t, d, now, &c)
	}
	for _, p := range m.Rollouts {
		r.learnProgress(p, now, &c)
	}
	return c
}

func (r *Replica) learnDeparture(t *topic, d Departure, now time.Time, c *Change) {
	if known, ok := r.departures[d.Name]; ok && !d.later(known) || d.Age < 0 || d.Age > memoryLifetime {
		return
	}
	d.at, d.Age = now.Add(-d.Age), 0
	e, ok := t.entries[d.Name]
	if ok && (e.Backend.Incarnation > d.Incarnation || d.Era >= t.at.Era) {
		return
	}
	r.departures[d.Name] = d
	if !ok {
		return
	}
	checked, stays := r.checkDeparture(t, e.Entry, true, now)
	if !stays {
		delete(t.entries, d.Name)
		c.Backends = true
		return
	}
	if checked.Backend.Leaving != e.Backend.Leaving {
		t.entries[d.Name] = record{checked, e.era}
		c.Backends = true
	}
}

// Validate returns an error if the memory has something that a VM can't know.
func (m *Memory) Validate() error {
	if m.Config != nil {
		e := sassafrastray.Entry{Name: "config", Config: m.Config}
		b := sassafrastray.Batch{Topic: sassafrastray.TopicConfig, Entries: []sassafrastray.Entry{e}}
		b.MarkUnusable()
		if fault := b.Entries[0].DecodeError; fault != "" {
			return errors.New(fault)
		}
	}
	for _, p := range m.Rollouts {
		if p.Name == "" || p.Rollout.To == "" || p.Rollout.Share < 0 {
			return errors.Newf("rollout %q to version %q", p.Name, p.Rollout.To)
		}
	}
	for _, d := range m.Departures {
		if d.Name == "" {
			return errors.New("departure of a backend server without a name")
		}
	}
	return nil
}

// later reports whether a departure is a later one of the server than another.
func (d *Departure) later(than Departure) bool {
	if d.Incarnation != than.Incarnation {
		return d.Incarnation > than.Incarnation
	}
	return d.Gone && !than.Gone || d.Gone == than.Gone && d.Sequence > than.Sequence
}

func (r *Replica) learnProgress(p Progress, now time.Time, c *Change) {
	o := order{p.Name, p.Rollout.To, p.Rollout.MaxDuration}
	if known, ok := r.progress[o]; ok && !ahead(p.Rollout, known.Rollout) {
		return
	}
	p.at = now
	r.progress[o] = p
	t := r.topics[sassafrastray.TopicRollouts]
	if e, ok := t.entries[p.Name]; ok && orderOf(e.Entry) == o && p.Era < t.at.Era {
		t.entries[p.Name] = record{r.restoreProgress(t, e.Entry, now), e.era}
		c.Rollouts = true
	}
}

// forget drops what was remembered for memoryLifetime, and the oldest departures above
// their maximum number. The progress of known rollouts is kept.
func (r *Replica) forget(now time.Time) {
	for name, d := range r.departures {
		if now.Sub(d.at) > memoryLifetime {
			delete(r.departures, name)
		}
	}
	if n := len(r.departures) - maxDepartures; n > 0 {
		all := make([]Departure, 0, len(r.departures))
		for _, d := range r.departures {
			all = append(all, d)
		}
		slices.SortFunc(all, func(a, b Departure) int { return a.at.Compare(b.at) })
		for _, d := range all[:n] {
			delete(r.departures, d.Name)
		}
	}
	t := r.topics[sassafrastray.TopicRollouts]
	for o, p := range r.progress {
		if e, ok := t.entries[o.name]; ok && orderOf(e.Entry) == o {
			continue
		}
		if now.Sub(p.at) > memoryLifetime {
			delete(r.progress, o)
		}
	}
}

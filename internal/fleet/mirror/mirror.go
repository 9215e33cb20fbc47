// Package mirror keeps one VM's copy of what the platform's store says: the
// configuration, the backend servers, the rollouts and the evacuations. Batches
// come from the store or, when it turns the VM away, from other VMs.
//
// The copy never goes back to an older configuration, nor to an earlier run of
// a backend server. Backend servers that are missing right after an outage of
// the store stay for a moment, since their entries may have lapsed meanwhile.
//
// Nothing here does I/O. Callers use it from one goroutine.
package mirror

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// outage is how long a topic may fail to be followed before what is
	// missing afterwards may only have lapsed.
	outage = time.Second

	// reprieve is how long after an outage a backend server that is missing
	// is kept. Servers that live are back within two seconds.
	reprieve = 2300 * time.Millisecond
)

type (
	// Change tells which parts of the copy a batch changed.
	Change struct {
		Config, Backends, Rollouts, Evacuations bool
		// Faults are entries that could not be read.
		Faults []sassafrastray.Entry
	}

	// Mirror is the copy.
	Mirror struct {
		topics map[sassafrastray.Topic]*topic
		config *sassafrastray.Config
		// missing are backend servers whose entries are gone, and until when
		// they are kept.
		missing map[string]time.Time
	}

	topic struct {
		revision int64
		// latest is the greatest revision of an entry that was taken in.
		latest  int64
		read    bool
		entries map[string]sassafrastray.Entry
		// failing is when the store was first not reached, or zero.
		failing time.Time
		// mended is when it was reached again after an outage.
		mended time.Time
	}
)

// Followed are the topics that a Mirror keeps.
var Followed = []sassafrastray.Topic{
	sassafrastray.TopicConfig, sassafrastray.TopicBackends, sassafrastray.TopicRollouts, sassafrastray.TopicEvacuations,
}

// New returns an empty copy.
func New() *Mirror {
	m := &Mirror{topics: make(map[sassafrastray.Topic]*topic), missing: make(map[string]time.Time)}
	for _, t := range Followed {
		m.topics[t] = &topic{entries: make(map[string]sassafrastray.Entry)}
	}
	return m
}

// Revision returns the revision that a topic's copy reflects.
func (m *Mirror) Revision(t sassafrastray.Topic) int64 { return m.topics[t].revision }

// Held returns the revision up to which the copy of each topic that was read
// holds all changes.
func (m *Mirror) Held() map[sassafrastray.Topic]int64 {
	out := make(map[sassafrastray.Topic]int64, len(Followed))
	for name, t := range m.topics {
		if t.read {
			out[name] = max(t.latest, t.revision)
		}
	}
	return out
}

// Latest returns the revision of the latest change of each topic that the copy
// holds.
func (m *Mirror) Latest() map[sassafrastray.Topic]int64 {
	out := make(map[sassafrastray.Topic]int64, len(Followed))
	for name, t := range m.topics {
		out[name] = t.latest
	}
	return out
}

// Lacks tells by how many revisions the copy is behind one with the given
// latest changes.
func (m *Mirror) Lacks(latest map[sassafrastray.Topic]int64) int64 {
	behind := int64(0)
	for name, r := range latest {
		if t := m.topics[name]; t != nil {
			behind += max(0, r-max(t.latest, t.revision))
		}
	}
	return behind
}

// Complete tells whether each topic was read once.
func (m *Mirror) Complete() bool {
	for _, t := range m.topics {
		if !t.read {
			return false
		}
	}
	return m.config != nil
}

// Failed notes that the store was not reached for a topic.
func (m *Mirror) Failed(t sassafrastray.Topic, now time.Time) {
	if s := m.topics[t]; s.failing.IsZero() {
		s.failing = now
	}
}

// Failing returns how long the store has not been reached for the topic that
// waits longest.
func (m *Mirror) Failing(now time.Time) time.Duration {
	var longest time.Duration
	for _, t := range m.topics {
		if !t.failing.IsZero() {
			longest = max(longest, now.Sub(t.failing))
		}
	}
	return longest
}

// Apply takes in a batch that came from the store.
func (m *Mirror) Apply(b sassafrastray.Batch, now time.Time) Change {
	t := m.topics[b.Topic]
	if t == nil {
		return Change{}
	}
	if !t.failing.IsZero() && now.Sub(t.failing) > outage {
		t.mended = now
	}
	t.failing = time.Time{}
	return m.apply(t, b, now)
}

// Adopt takes in a batch that came from another VM, if it is newer. Of a batch
// that is not whole it takes what has changed since; it does nothing if the copy
// lacks earlier changes. The topic still counts as failing.
func (m *Mirror) Adopt(b sassafrastray.Batch, now time.Time) Change {
	t := m.topics[b.Topic]
	if t == nil || t.read && b.Revision <= t.revision || !b.Complete && !m.Continues(b) {
		return Change{}
	}
	if !b.Complete {
		b.Entries = slices.DeleteFunc(slices.Clone(b.Entries), func(e sassafrastray.Entry) bool { return e.Revision <= t.revision })
	}
	if b.SinceOutage > 0 {
		t.mended = now.Add(-b.SinceOutage)
	}
	return m.apply(t, b, now)
}

// Mended returns how long ago the store was reached again after an outage, as
// long as servers that are missing may only have lapsed, or zero.
func (m *Mirror) Mended(t sassafrastray.Topic, now time.Time) time.Duration {
	s := m.topics[t]
	if s == nil || s.mended.IsZero() || now.Sub(s.mended) > reprieve {
		return 0
	}
	return max(1, now.Sub(s.mended))
}

// Continues tells whether the copy holds all changes before those of a batch
// that is not whole.
func (m *Mirror) Continues(b sassafrastray.Batch) bool {
	t := m.topics[b.Topic]
	return t != nil && t.read && max(t.latest, t.revision) >= b.After
}

func (m *Mirror) apply(t *topic, b sassafrastray.Batch, now time.Time) Change {
	var c Change
	if b.Complete {
		present := make(map[string]bool, len(b.Entries))
		for _, e := range b.Entries {
			present[e.Name] = true
		}
		for _, name := range slices.Sorted(maps.Keys(t.entries)) {
			if !present[name] {
				m.drop(t, b.Topic, name, now, &c)
			}
		}
	}
	for _, e := range b.Entries {
		t.latest = max(t.latest, e.Revision)
		if e.DecodeError != "" {
			c.Faults = append(c.Faults, e)
		}
		if e.Deleted || e.DecodeError != "" && b.Topic != sassafrastray.TopicConfig {
			m.drop(t, b.Topic, e.Name, now, &c)
			continue
		}
		m.put(t, b.Topic, e, &c)
	}
	t.revision, t.read = max(t.revision, b.Revision), true
	return c
}

// put takes in one entry.
func (m *Mirror) put(t *topic, name sassafrastray.Topic, e sassafrastray.Entry, c *Change) {
	old, had := t.entries[e.Name]
	if had && e.Revision < old.Revision {
		return
	}
	switch name {
	case sassafrastray.TopicConfig:
		if e.Config == nil || m.config != nil && e.Config.Number <= m.config.Number {
			return
		}
		m.config, c.Config = e.Config, true
	case sassafrastray.TopicBackends:
		if had && earlierRun(e.Backend, old.Backend) {
			return
		}
		delete(m.missing, e.Name)
		c.Backends = true
	case sassafrastray.TopicRollouts:
		c.Rollouts = true
	case sassafrastray.TopicEvacuations:
		c.Evacuations = true
	}
	t.entries[e.Name] = e
}

// earlierRun tells whether an entry was written by an earlier run of its
// backend server than the known one, or earlier in the same run.
func earlierRun(b, known *sassafrastray.BackendServer) bool {
	if b.Incarnation != known.Incarnation {
		return b.Incarnation < known.Incarnation
	}
	return b.Sequence < known.Sequence
}

// drop removes one entry, or keeps it for a moment.
func (m *Mirror) drop(t *topic, name sassafrastray.Topic, entry string, now time.Time, c *Change) {
	if _, ok := t.entries[entry]; !ok {
		return
	}
	switch name {
	case sassafrastray.TopicConfig:
		return
	case sassafrastray.TopicBackends:
		if until := t.mended.Add(reprieve); !t.mended.IsZero() && now.Before(until) {
			if m.missing[entry].IsZero() {
				m.missing[entry] = until
			}
			return
		}
		c.Backends = true
	case sassafrastray.TopicRollouts:
		c.Rollouts = true
	case sassafrastray.TopicEvacuations:
		c.Evacuations = true
	}
	delete(t.entries, entry)
}

// Tick drops the backend servers that are still missing after their reprieve.
func (m *Mirror) Tick(now time.Time) Change {
	var c Change
	for name, until := range m.missing {
		if !now.Before(until) {
			delete(m.missing, name)
			delete(m.topics[sassafrastray.TopicBackends].entries, name)
			c.Backends = true
		}
	}
	return c
}

// Config returns the newest configuration, or nil.
func (m *Mirror) Config() *sassafrastray.Config { return m.config }

// Backends returns the backend servers by name.
func (m *Mirror) Backends() []sassafrastray.BackendServer {
	entries := m.topics[sassafrastray.TopicBackends].entries
	out := make([]sassafrastray.BackendServer, 0, len(entries))
	for _, e := range entries {
		out = append(out, *e.Backend)
	}
	slices.SortFunc(out, func(a, b sassafrastray.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Rollouts returns the entries of all rollouts by service.
func (m *Mirror) Rollouts() map[sassafrastray.ServiceName]sassafrastray.Entry {
	out := make(map[sassafrastray.ServiceName]sassafrastray.Entry)
	for _, e := range m.topics[sassafrastray.TopicRollouts].entries {
		out[e.Rollout.Service] = e
	}
	return out
}

// Evacuated returns the evacuated failure domains.
func (m *Mirror) Evacuated() map[sassafrastray.DomainName]bool {
	out := make(map[sassafrastray.DomainName]bool)
	for name := range m.topics[sassafrastray.TopicEvacuations].entries {
		out[sassafrastray.DomainName(name)] = true
	}
	return out
}

// Whole returns the copy of each topic in which there are later changes than
// those given, for a VM that does not hear of them from the store.
func (m *Mirror) Whole(latest map[sassafrastray.Topic]int64) []sassafrastray.Batch {
	var out []sassafrastray.Batch
	for _, name := range Followed {
		t := m.topics[name]
		if has, ok := latest[name]; !t.read || ok && has >= t.latest {
			continue
		}
		b := sassafrastray.Batch{Topic: name, Revision: t.revision, Complete: true}
		for _, e := range t.entries {
			b.Entries = append(b.Entries, e)
		}
		out = append(out, b)
	}
	return out
}

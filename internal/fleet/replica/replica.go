// Package replica keeps one VM's copy of the platform's store: the configuration,
// the backend servers, the rollouts and the evacuations. Batches come from the store
// or, while the VM can't reach it, from other VMs.
//
// The replica never returns to an older configuration, nor to an earlier incarnation
// of a backend server. Backend servers that are missing right after an outage of the
// store are kept for a short time, since their entries may have expired during it.
//
// The store may return to an older copy of itself, which begins a new era: revisions
// are given out again, and what was written meanwhile is written again only after a
// while, or never. A batch of a later era is later whatever its revision. What the
// replica knew before then counts until the store shows something newer: entries that
// the copy lacks are kept for a short time, backend servers stay gone or leaving, and
// rollouts keep the state that they had reached.
//
// The package does no I/O. A Replica is not safe for concurrent use.
package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// minOutage is how long a topic must have been unreachable for entries that are
	// missing afterwards to count as possibly expired rather than removed.
	minOutage = time.Second

	// registerTime is how long running backend servers take to register again after an
	// outage of the store.
	registerTime = 2 * time.Second

	// removalDelay is the time from the end of the grace for a missing backend server until
	// the last request reaches it: the interval between two calls of Tick, and the network.
	removalDelay = 300 * time.Millisecond

	// missingGrace is how long a missing entry is kept after the store has returned to an
	// older copy.
	missingGrace = registerTime + 300*time.Millisecond

	// furtherEra is by how many revisions a replica of an earlier era counts as behind
	// one of a later era.
	furtherEra = 1 << 32
)

type (
	// Options configure a Replica.
	Options struct {
		// ReportInterval is how often backend servers report to the store.
		ReportInterval time.Duration
		// MaxDrain is how long a backend server that was removed may still receive
		// requests. Zero means unknown.
		MaxDrain time.Duration
	}

	// Change reports which parts of the replica a batch changed.
	Change struct {
		Config, Backends, Rollouts, Evacuations bool
		// Unreadable holds the entries that could not be decoded, Outdated those that
		// are older than the known ones.
		Unreadable, Outdated []sassafrastray.Entry
		// Kept holds the missing entries that are kept for a while.
		Kept []Kept
		// Repeated is the number of changes that the replica had already.
		Repeated int
		// Returned tells that the store answered after calls that it did not answer.
		Returned bool
	}

	// Kept is an entry that the store lacks and the replica keeps until a time, since it
	// may have expired during an outage that lasted until Outage or longer.
	Kept struct {
		Topic         sassafrastray.Topic
		Name          string
		Outage, Until time.Time
	}

	// Replica is a copy of the store's topics.
	Replica struct {
		opt    Options
		topics map[sassafrastray.Topic]*topic
		config *sassafrastray.Config
		// watching tells that the VM watches the store itself.
		watching bool
		// answeredAt is when the store last answered a call. failedAt is when the latest
		// call began that it did not answer, or zero if it has answered one since, and
		// returnedAt is what failedAt was when an outage ended: the store was not back
		// before that.
		answeredAt, failedAt, returnedAt time.Time
		// departures holds the backend servers that were seen leaving or gone, by name.
		departures map[string]Departure
		// progress holds the state that rollouts reached, and unwritten the names of
		// the rollouts whose entry in the store lacks it.
		progress  map[order]Progress
		unwritten map[string]bool
	}

	topic struct {
		// at is the position in the store's history that the topic reflects.
		at sassafrastray.Position
		// latest is the highest revision of an applied entry of the era.
		latest int64
		// readAt is the revision at which the topic was last read as a whole. Entries
		// that came and went before it may be unknown.
		readAt  int64
		loaded  bool
		entries map[string]record
		// missing maps entries that the store lacks to the time until which they are
		// kept.
		missing map[string]time.Time
		// held maps entries of the store that contradict what was known before its
		// latest era began to the time from which they count.
		held map[string]heldRecord
		// heardAt is when the store last answered, failingSince is when it was first
		// unreachable, or zero if it is reachable.
		heardAt, failingSince time.Time
		// recoveredAt is the earliest time at which the store may have been back after
		// the topic's latest outage, or when it began an era, and eraAt when it began an
		// era.
		recoveredAt, eraAt time.Time
	}

	// record is an entry and the era of its revision.
	record struct {
		sassafrastray.Entry
		era int64
	}

	heldRecord struct {
		sassafrastray.Entry
		until time.Time
	}
)

// in returns the entry with its revision in an era, which is zero if the entry is of
// another one.
func (e record) in(era int64) sassafrastray.Entry {
	if e.era != era {
		e.Revision = 0
	}
	return e.Entry
}

// Topics are the topics that a Replica holds.
var Topics = []sassafrastray.Topic{
	sassafrastray.TopicConfig, sassafrastray.TopicBackends, sassafrastray.TopicRollouts, sassafrastray.TopicEvacuations,
}

// New returns an empty replica.
func New(opt Options) *Replica {
	r := &Replica{
		opt: opt, topics: make(map[sassafrastray.Topic]*topic), departures: make(map[string]Departure),
		progress: make(map[order]Progress), unwritten: make(map[string]bool),
	}
	for _, t := range Topics {
		r.topics[t] = &topic{entries: make(map[string]record), missing: make(map[string]time.Time), held: make(map[string]heldRecord)}
	}
	return r
}

// Position returns the position in the store's history that the replica of a topic
// reflects.
func (r *Replica) Position(t sassafrastray.Topic) sassafrastray.Position {
	if s := r.topics[t]; s != nil {
		return s.at
	}
	return sassafrastray.Position{}
}

// Loaded reports whether the topic was read.
func (r *Replica) Loaded(t sassafrastray.Topic) bool {
	s := r.topics[t]
	return s != nil && s.loaded
}

// Era returns the earliest era of the topics that were read.
func (r *Replica) Era() int64 {
	era, read := int64(0), false
	for _, t := range r.topics {
		if t.loaded && (!read || t.at.Era < era) {
			era, read = t.at.Era, true
		}
	}
	return era
}

// Held returns, for each topic that was read in the era or later, the revision up to
// which the replica has all changes.
func (r *Replica) Held(era int64) map[sassafrastray.Topic]int64 {
	out := make(map[sassafrastray.Topic]int64, len(Topics))
	for name, t := range r.topics {
		if t.loaded && t.at.Era >= era {
			out[name] = t.newest()
		}
	}
	return out
}

// newest returns the revision up to which the topic has all changes.
func (t *topic) newest() int64 { return max(t.latest, t.at.Revision) }

// Latest returns the revision of the latest change of each topic in the replica.
func (r *Replica) Latest() map[sassafrastray.Topic]int64 {
	out := make(map[sassafrastray.Topic]int64, len(Topics))
	for name, t := range r.topics {
		out[name] = t.latest
	}
	return out
}

// Complete reports whether all topics have been read and there is a configuration.
func (r *Replica) Complete() bool {
	for _, t := range r.topics {
		if !t.loaded {
			return false
		}
	}
	return r.config != nil
}

// SetWatching sets whether the VM watches the store itself or relies on others that do.
func (r *Replica) SetWatching(watching bool) { r.watching = watching }

// RecordFailure records that a call for a topic, which began at a time, got no answer of the
// store.
func (r *Replica) RecordFailure(t sassafrastray.Topic, began, now time.Time) {
	if s := r.topics[t]; s.failingSince.IsZero() {
		s.failingSince = now
	}
	if began.After(r.answeredAt) && began.After(r.failedAt) {
		r.failedAt = began
	}
}

// RecordAnswer records that the store answered a call, and reports whether it did not answer
// the calls before.
func (r *Replica) RecordAnswer(now time.Time) (returned bool) {
	r.answeredAt = now
	if r.failedAt.IsZero() {
		return false
	}
	r.returnedAt, r.failedAt = r.failedAt, time.Time{}
	return true
}

// FailingFor returns the longest time for which the store has been unreachable for
// any topic, or zero if it is reachable.
func (r *Replica) FailingFor(now time.Time) time.Duration {
	var longest time.Duration
	for _, t := range r.topics {
		if !t.failingSince.IsZero() {
			longest = max(longest, now.Sub(t.failingSince))
		}
	}
	return longest
}

// HeardAt returns when the store last answered a read or watch of a topic.
func (r *Replica) HeardAt(t sassafrastray.Topic) time.Time {
	if s := r.topics[t]; s != nil {
		return s.heardAt
	}
	return time.Time{}
}

// Apply applies a batch from the store. It ignores a late one of an earlier era, and the
// changes of a later era until the topic was read in it.
func (r *Replica) Apply(b sassafrastray.Batch, now time.Time) Change {
	t := r.topics[b.Topic]
	if t == nil || t.loaded && (b.Era < t.at.Era || b.Era > t.at.Era && !b.Complete) {
		return Change{}
	}
	returned := r.RecordAnswer(now)
	if !t.failingSince.IsZero() && now.Sub(t.failingSince) > minOutage {
		t.recoveredAt = r.returnedAt
	}
	t.heardAt, t.failingSince = now, time.Time{}
	if t.loaded && b.Era > t.at.Era {
		t.recoveredAt, t.eraAt = now, now
	}
	n := len(b.Entries)
	b = t.withoutRepeated(b)
	c := r.apply(t, b, now)
	c.Repeated, c.Returned = n-len(b.Entries), returned
	return c
}

// withoutRepeated returns a batch without the changes that the topic has already: they came
// from another VM, and an older one must not replace a later one. A complete batch that was
// read before those changes has nothing that the topic lacks.
func (t *topic) withoutRepeated(b sassafrastray.Batch) sassafrastray.Batch {
	if !t.loaded || b.Era != t.at.Era {
		return b
	}
	if b.Complete {
		if b.Revision < t.at.Revision {
			b.Complete, b.Entries = false, nil
		}
		return b
	}
	b.Entries = slices.DeleteFunc(slices.Clone(b.Entries), func(e sassafrastray.Entry) bool { return e.Revision <= t.at.Revision })
	return b
}

// LimitEra makes the store's answers in the era count again for topics whose entries came
// from another VM with a later era, which the store has not reached.
func (r *Replica) LimitEra(era int64) {
	for _, t := range r.topics {
		if t.at.Era > era {
			t.at, t.latest, t.readAt = sassafrastray.Position{Era: era}, 0, 0
		}
	}
}

func (r *Replica) apply(t *topic, b sassafrastray.Batch, now time.Time) Change {
	var c Change
	if b.Era > t.at.Era {
		t.at, t.latest, t.readAt = sassafrastray.Position{Era: b.Era}, 0, 0
	}
	if b.Complete {
		t.readAt = max(t.readAt, b.Revision)
		present := make(map[string]bool, len(b.Entries))
		for _, e := range b.Entries {
			present[e.Name] = true
		}
		for _, name := range slices.Sorted(maps.Keys(t.entries)) {
			if !present[name] {
				// Its removal has no revision of its own by which other VMs would see
				// that they lack it.
				t.latest = max(t.latest, b.Revision)
				r.removeEntry(t, b.Topic, name, r.missingUntil(t, b.Topic, false), now, &c)
			}
		}
		clear(t.held)
	}
	for _, e := range b.Entries {
		t.latest = max(t.latest, e.Revision)
		if e.DecodeError != "" {
			c.Unreadable = append(c.Unreadable, e)
		}
		if e.Deleted || e.DecodeError != "" && b.Topic != sassafrastray.TopicConfig {
			delete(t.held, e.Name)
			r.removeEntry(t, b.Topic, e.Name, r.missingUntil(t, b.Topic, true), now, &c)
			continue
		}
		r.putEntry(t, b.Topic, e, b.Complete, now, &c)
	}
	t.at.Revision, t.loaded = max(t.at.Revision, b.Revision), true
	return c
}

// Tick removes the entries that have been missing for long enough, and takes those that the store still shows although they contradict what was known before its latest
// era.
func (r *Replica) Tick(now time.Time) Change {
	var c Change
	for _, name := range Topics {
		t := r.topics[name]
		for entry, until := range t.missing {
			if !now.Before(until) {
				r.removeEntry(t, name, entry, time.Time{}, now, &c)
			}
		}
		for _, h := range t.held {
			if !now.Before(h.until) {
				r.putEntry(t, name, h.Entry, false, now, &c)
			}
		}
	}
	r.forget(now)
	return c
}

// Config returns the latest configuration, or nil.
func (r *Replica) Config() *sassafrastray.Config { return r.config }

// Backends returns the backend servers in the order of their names.
func (r *Replica) Backends() []sassafrastray.BackendServer {
	entries := r.topics[sassafrastray.TopicBackends].entries
	out := make([]sassafrastray.BackendServer, 0, len(entries))
	for _, e := range entries {
		out = append(out, *e.Backend)
	}
	slices.SortFunc(out, func(a, b sassafrastray.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Rollouts returns the entries of all rollouts by service. Those that the store lacks
// have no revision.
func (r *Replica) Rollouts() map[sassafrastray.ServiceName]sassafrastray.Entry {
	out := make(map[sassafrastray.ServiceName]sassafrastray.Entry)
	t := r.topics[sassafrastray.TopicRollouts]
	for _, e := range t.entries {
		if !t.missing[e.Name].IsZero() {
			e.Revision = 0
		}
		out[e.Rollout.Service] = e.in(t.at.Era)
	}
	return out
}

// Evacuated returns the evacuated failure domains.
func (r *Replica) Evacuated() map[sassafrastray.DomainName]bool {
	out := make(map[sassafrastray.DomainName]bool)
	for name := range r.topics[sassafrastray.TopicEvacuations].entries {
		out[sassafrastray.DomainName(name)] = true
	}
	return out
}

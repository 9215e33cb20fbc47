package replica

import (
	"maps"
	"slices"
	"time"

	"sassafrastray"
)

// Difference returns a batch as a VM forwards it to others that have the changes before
// it, which the replica has as well: the last change of each entry, and of a topic that
// was read again in the same era only what differs from the replica.
func (r *Replica) Difference(b sassafrastray.Batch) sassafrastray.Batch {
	t := r.topics[b.Topic]
	if t == nil {
		return b
	}
	b = t.withoutRepeated(b)
	b.After = max(t.latest, t.readAt)
	if !b.Complete {
		b.Entries = latestEntries(b.Entries)
		return b
	}
	if !t.loaded || b.Era != t.at.Era {
		return b
	}
	b.Complete, b.Until = false, t.newest()
	present := make(map[string]bool, len(b.Entries))
	var changed []sassafrastray.Entry
	for _, e := range b.Entries {
		present[e.Name] = true
		if e.Revision > t.latest {
			changed = append(changed, e)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		if !present[name] && t.missing[name].IsZero() {
			changed = append(changed, sassafrastray.Entry{Name: name, Revision: b.Revision, Deleted: true})
		}
	}
	b.Entries = changed
	return b
}

// latestEntries returns the last entry of each name, in their order.
func latestEntries(entries []sassafrastray.Entry) []sassafrastray.Entry {
	last := make(map[string]int, len(entries))
	for i := range entries {
		last[entries[i].Name] = i
	}
	if len(last) == len(entries) {
		return entries
	}
	out := make([]sassafrastray.Entry, 0, len(last))
	for i := range entries {
		if last[entries[i].Name] == i {
			out = append(out, entries[i])
		}
	}
	return out
}

// ApplyFromPeer applies a batch from another VM if it is newer. Of a partial batch
// it applies only the newer entries, and nothing if the replica lacks earlier
// changes. The topic still counts as failing.
func (r *Replica) ApplyFromPeer(b sassafrastray.Batch, now time.Time) Change {
	t := r.topics[b.Topic]
	if t == nil || t.loaded && !b.Position().After(t.at) || !b.Complete && !r.HasChangesBefore(b) {
		return Change{}
	}
	b = t.withoutRepeated(b)
	if b.SinceOutage > 0 {
		recoveredAt := now.Add(-b.SinceOutage)
		switch {
		case t.loaded && b.Era > t.at.Era:
			t.recoveredAt, t.eraAt = recoveredAt, recoveredAt
		case !r.watching || !t.failingSince.IsZero():
			// A VM that reaches the store knows better than another that did not.
			t.recoveredAt = later(t.recoveredAt, recoveredAt)
		}
	}
	return r.apply(t, b, now)
}

// HasChangesBefore reports whether the replica has all changes before those of a
// partial batch, and none that the batch may lack.
func (r *Replica) HasChangesBefore(b sassafrastray.Batch) bool {
	t := r.topics[b.Topic]
	if t == nil || !t.loaded || t.at.Era < b.Era {
		return false
	}
	return t.at.Era > b.Era || t.newest() >= b.After && (b.Until == 0 || t.latest <= b.Until)
}

// SinceRecovery returns how long ago the store may have become reachable again after an
// outage at the earliest, or zero once missingGrace has passed, since missing servers then
// count as gone.
func (r *Replica) SinceRecovery(t sassafrastray.Topic, now time.Time) time.Duration {
	s := r.topics[t]
	if s == nil || s.recoveredAt.IsZero() || now.Sub(s.recoveredAt) > missingGrace {
		return 0
	}
	return max(1, now.Sub(s.recoveredAt))
}

// NewerTopics returns the entries of each topic that has changes later than the
// given revisions, for a VM that lacks them. Missing entries that are only kept
// for a while are left out: a VM that knows them keeps them by itself, and
// one that does not would not learn that they are gone.
func (r *Replica) NewerTopics(latest map[sassafrastray.Topic]int64, now time.Time) []sassafrastray.Batch {
	var out []sassafrastray.Batch
	for _, name := range Topics {
		t := r.topics[name]
		if has, ok := latest[name]; !t.loaded || ok && has >= t.latest {
			continue
		}
		b := sassafrastray.Batch{Topic: name, Era: t.at.Era, Revision: t.at.Revision, Complete: true, SinceOutage: r.SinceRecovery(name, now)}
		for _, e := range t.entries {
			if t.missing[e.Name].IsZero() {
				b.Entries = append(b.Entries, e.in(t.at.Era))
			}
		}
		out = append(out, b)
	}
	return out
}

// RevisionsBehind returns by how many revisions the replica is behind one of an era
// with the given latest changes.
func (r *Replica) RevisionsBehind(era int64, latest map[sassafrastray.Topic]int64) int64 {
	behind := int64(0)
	for name, revision := range latest {
		t := r.topics[name]
		switch {
		case t == nil || t.loaded && t.at.Era > era:
		case t.loaded && t.at.Era < era:
			behind += furtherEra
		default:
			behind += max(0, revision-t.newest())
		}
	}
	return behind
}

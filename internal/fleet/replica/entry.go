package replica

import (
	"time"

	"sassafrastray"
)

// outageGrace returns how long after an outage a missing backend server is kept: as long as
// running ones take to register again, but no longer than one that was removed when the
// store was back may receive requests.
func (o Options) outageGrace() time.Duration {
	if o.MaxDrain == 0 {
		return registerTime
	}
	return min(registerTime, o.MaxDrain-removalDelay)
}

// missingUntil returns the time until which an entry of the topic that is missing, or
// was deleted, is kept. The entries of backend servers expire during an outage; others
// are lost only if the store returns to an older copy, and a deletion after that counts.
func (r *Replica) missingUntil(t *topic, name sassafrastray.Topic, deleted bool) time.Time {
	var until time.Time
	if !t.eraAt.IsZero() && (name == sassafrastray.TopicBackends || !deleted) {
		until = t.eraAt.Add(missingGrace)
	}
	if name == sassafrastray.TopicBackends && !t.recoveredAt.IsZero() {
		until = later(until, t.recoveredAt.Add(r.opt.outageGrace()))
	}
	return until
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// putEntry stores one entry unless it is outdated. Complete tells whether it was read
// with all others and may so be older than what the replica knows from an earlier era.
func (r *Replica) putEntry(t *topic, name sassafrastray.Topic, e sassafrastray.Entry, complete bool, now time.Time, c *Change) {
	old, had := t.entries[e.Name]
	if had && old.era == t.at.Era && e.Revision < old.Revision {
		c.Outdated = append(c.Outdated, e)
		return
	}
	delete(t.held, e.Name)
	switch name {
	case sassafrastray.TopicConfig:
		if e.Config == nil || r.config != nil && e.Config.Number <= r.config.Number {
			if e.Config != nil && e.Config.Number < r.config.Number {
				c.Outdated = append(c.Outdated, e)
			}
			return
		}
		r.config, c.Config = e.Config, true
	case sassafrastray.TopicBackends:
		if had && outdated(e.Backend, old.Backend) {
			if e.Backend.Incarnation == old.Backend.Incarnation {
				delete(t.missing, e.Name)
			}
			c.Outdated = append(c.Outdated, e)
			return
		}
		if e, had = r.checkDeparture(t, e, complete, now); !had {
			c.Outdated = append(c.Outdated, e)
			return
		}
		c.Backends = true
	case sassafrastray.TopicRollouts:
		if had && complete && now.Before(t.eraAt.Add(missingGrace)) && orderOf(e) != orderOf(old.Entry) {
			// The copy has the order before the known one, which is written again.
			t.held[e.Name] = heldRecord{e, t.eraAt.Add(missingGrace)}
			c.Outdated = append(c.Outdated, e)
			return
		}
		e = r.restoreProgress(t, e, now)
		c.Rollouts = true
	case sassafrastray.TopicEvacuations:
		c.Evacuations = true
	}
	delete(t.missing, e.Name)
	t.entries[e.Name] = record{e, t.at.Era}
}

// outdated reports whether an entry was written by an earlier incarnation of its
// backend server than the known one, or earlier in the same incarnation.
func outdated(b, known *sassafrastray.BackendServer) bool {
	if b.Incarnation != known.Incarnation {
		return b.Incarnation < known.Incarnation
	}
	return b.Sequence < known.Sequence || b.Sequence == known.Sequence && known.Leaving && !b.Leaving
}

// removeEntry removes one entry, or keeps it until a time that is not over. A
// configuration is kept always.
func (r *Replica) removeEntry(t *topic, name sassafrastray.Topic, entry string, until, now time.Time, c *Change) {
	old, ok := t.entries[entry]
	if !ok || name == sassafrastray.TopicConfig {
		return
	}
	if now.Before(until) {
		if t.missing[entry].IsZero() {
			t.missing[entry] = until
			c.Kept = append(c.Kept, Kept{name, entry, t.recoveredAt, until})
			// A rollout without an entry has no revision.
			c.Rollouts = c.Rollouts || name == sassafrastray.TopicRollouts
		}
		return
	}
	delete(t.missing, entry)
	delete(t.entries, entry)
	switch name {
	case sassafrastray.TopicBackends:
		r.recordDeparture(old.Backend, true, t.at.Era, now)
		c.Backends = true
	case sassafrastray.TopicRollouts:
		delete(r.unwritten, entry)
		c.Rollouts = true
	case sassafrastray.TopicEvacuations:
		c.Evacuations = true
	}
}

package move

import (
	"strings"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// oracle checks the invariants of a fleet.
type oracle struct {
	f        *fleet
	outcomes map[sassafrastray.MoveName]State
	checked  int
}

// check fails the test if an invariant is violated.
func (o *oracle) check(t *rapid.T) {
	o.writes(t)
	for i := range o.f.vms {
		o.vm(t, i)
	}
	o.deadline(t)
	o.gossip(t)
}

// writes checks the writes to the store: one outcome for each move, and no
// raise before the step has soaked.
func (o *oracle) writes(t *rapid.T) {
	for ; o.checked < len(o.f.history); o.checked++ {
		r := o.f.history[o.checked].rec
		for _, past := range r.Past {
			o.outcome(t, past.Move, past.State)
		}
		if r.State != Running {
			o.outcome(t, r.Move, r.State)
		} else if s := o.outcomes[r.Move]; s != "" {
			t.Fatalf("%s runs again after it was %s", r.Move, s)
		}
		if o.checked > 0 {
			o.soaked(t, o.checked)
			o.replaced(t, o.f.history[o.checked-1].rec, r)
		}
	}
}

func (o *oracle) outcome(t *rapid.T, m sassafrastray.MoveName, s State) {
	if was := o.outcomes[m]; was != "" && was != s {
		t.Fatalf("%s is %s after it was %s", m, s, was)
	}
	o.outcomes[m] = s
}

func (o *oracle) soaked(t *rapid.T, i int) {
	a, b := o.f.history[i-1].rec, o.f.history[i].rec
	if a.Move != b.Move || b.Share <= a.Share || a.Share == 0 {
		return
	}
	for j := i - 1; j >= 0 && o.f.history[j].rec.Share == a.Share && o.f.history[j].rec.Move == a.Move; j-- {
		if j == 0 || o.f.history[j-1].rec.Share != a.Share {
			if gap := o.f.history[i].at.Sub(o.f.history[j].at); gap < soak {
				t.Fatalf("raised to %d after %s", b.Share, gap)
			}
		}
	}
}

// replaced checks that a move that was reverted because it was withdrawn or
// replaced comes before its replacement in the history of configurations.
func (o *oracle) replaced(t *rapid.T, a, b *Record) {
	if a.State != Running || b.State != Reverted || b.Reason != "withdrawn" && !strings.HasPrefix(b.Reason, "replaced") {
		return
	}
	begun := false
	for _, m := range o.f.configs {
		if begun && (m == nil && b.Reason == "withdrawn" || m != nil && b.Reason == "replaced by "+string(m.Name)) {
			return
		}
		begun = begun || m != nil && m.Name == b.Move
	}
	t.Fatalf("%s was reverted: %s", b.Move, b.Reason)
}

// vm checks one VM: its share is never above the record's highest share, rises
// only if the store held such a share recently, and is zero for a version that
// it found bad; and it reports no outcome but the store's.
func (o *oracle) vm(t *rapid.T, i int) {
	v := o.f.vms[i]
	if v.paused {
		return
	}
	m := o.f.configs[v.config]
	share := v.m.Share(stock, o.f.now).Share
	if m != nil && share > o.highest(m.Name, time.Time{}) {
		t.Fatalf("vm%d sends %d, the store's highest is %d", i, share, o.highest(m.Name, time.Time{}))
	}
	if m != nil && share > v.share && share > o.highest(m.Name, o.f.now.Add(-DefaultMaxRecordAge-tick)) {
		t.Fatalf("vm%d raised to %d in doubt", i, share)
	}
	v.share = share
	if m != nil && v.badMove == m.Name && share > 0 {
		t.Fatalf("vm%d sends %d to a version that it found bad", i, share)
	}
	for _, r := range v.m.Status(o.f.now) {
		if r.State == Done || r.State == Reverted {
			o.outcome(t, r.Move, r.State)
		}
	}
}

// highest returns the largest share of a move that the store held at or after a
// time.
func (o *oracle) highest(m sassafrastray.MoveName, from time.Time) int {
	most := 0
	for i, w := range o.f.history {
		if i+1 < len(o.f.history) && o.f.history[i+1].at.Before(from) {
			continue
		}
		if w.rec.Move == m {
			most = max(most, w.rec.Share)
		}
		if out := w.rec.Outcome(m); out != nil && out.State == Done {
			most = fullShare
		}
	}
	return most
}

// deadline checks that the configuration's move has ended at its deadline, if
// the store and one VM had no fault from the revert margin before it on.
func (o *oracle) deadline(t *rapid.T) {
	m, r := o.f.configs[len(o.f.configs)-1], o.f.record()
	if m == nil || r == nil || r.Move != m.Name || o.f.now.Before(m.Deadline) || r.State != Running {
		return
	}
	since := m.Deadline.Add(-DefaultRevertMargin)
	for i, v := range o.f.vms {
		if v.storeReachableSince.Before(since) && o.f.lastStoreFault.Before(since) && v.config == len(o.f.configs)-1 {
			t.Fatalf("%s runs past its deadline, though vm%d could have ended it", m.Name, i)
		}
	}
}

// gossip checks that a version that one VM found bad receives no requests from
// the VMs that it reaches.
func (o *oracle) gossip(t *rapid.T) {
	for i, a := range o.f.vms {
		for j, b := range o.f.vms {
			m := o.f.configs[b.config]
			if m == nil || a.badMove != m.Name || a.config != b.config || a.peersCut || b.peersCut || a.paused || b.paused {
				continue
			}
			from := o.f.now.Add(-5 * time.Second)
			if a.badAt.After(from) || a.peersReachableSince.After(from) || b.peersReachableSince.After(from) {
				continue
			}
			if s := b.m.Share(stock, o.f.now).Share; s > 0 {
				t.Fatalf("vm%d sends %d to a version that vm%d found bad", j, s, i)
			}
		}
	}
}

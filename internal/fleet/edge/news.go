package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
	"sassafrastray/internal/fleet/mirror"
	"sassafrastray/internal/fleet/neighbor"
)

const (
	// watchers is how many VMs of each failure domain of a large fleet watch
	// the store. They pass on what it says to the domain's other VMs.
	watchers = 2

	// newsTimeout bounds the passing on of a change to one VM, which asks for
	// a copy if it missed one.
	newsTimeout = 500 * time.Millisecond
)

// watches tells whether this VM watches the store itself: in a large fleet the
// first VMs of its failure domain that reach it, and the one that leads.
func (v *VM) watches(now time.Time) bool {
	if !v.large() || v.leading.Load() || v.watching.Load() && v.mirror.Failing(now) > 0 {
		return true
	}
	rank := func(name sassafrastray.VMName) uint64 { return xxhash.Sum64String(string(name)) }
	before := 0
	for _, m := range v.mates(now) {
		if b := v.beats[m.Name]; b != nil && b.Store && rank(m.Name) < rank(v.self.Name) {
			before++
		}
	}
	return before < watchers
}

// mates returns the live VMs of the own failure domain.
func (v *VM) mates(now time.Time) []sassafrastray.VM {
	var out []sassafrastray.VM
	for _, m := range v.members.View(now) {
		if !m.Suspect && m.VM.Domain == v.self.Domain && m.VM.State == sassafrastray.Live {
			out = append(out, m.VM)
		}
	}
	return out
}

// watch begins or ends the watches of the store.
func (v *VM) watch(now time.Time) {
	want := v.watches(now)
	if v.watching.Swap(want) == want {
		return
	}
	v.log.Info("watching the store", "watching", want)
	if !want {
		v.interrupt("")
		return
	}
	for _, c := range v.resume {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// tell passes a change that the store told on to the VMs that do not watch it.
// Latest is the revision of the latest change before. Of a topic that was read
// anew all is told, since entries that are gone have no revision then.
func (v *VM) tell(b sassafrastray.Batch, c mirror.Change, latest int64, now time.Time) {
	changed := c.Config || c.Backends || c.Rollouts || c.Evacuations
	if len(b.Entries) == 0 && !b.Whole || b.Whole && !changed || !v.watching.Load() || !v.large() {
		return
	}
	b.After, b.Mended = latest, v.mirror.Mended(b.Topic, now)
	n := &neighbor.News{From: v.self, Batch: b}
	for _, m := range v.mates(now) {
		v.spawn(func() {
			if err := v.client.News(m.Inner, n, newsTimeout); err != nil {
				v.log.Info("change of the store not passed on", "peer", m.Name, "topic", b.Topic, "revision", b.Revision, "error", err.Error())
			}
		})
	}
}

// News takes in a change of the store that another VM passes on.
func (v *VM) News(n *neighbor.News) {
	v.post(func(now time.Time) {
		if !n.Batch.Whole && !v.mirror.Continues(n.Batch) {
			if !v.copying {
				v.copyFrom(n.From)
			}
			return
		}
		if v.mirror.Revision(n.Batch.Topic) >= n.Batch.Revision {
			return
		}
		v.log.Info("change of the store from another VM", "from", n.From.Name, "topic", n.Batch.Topic, "revision", n.Batch.Revision)
		v.changed(v.mirror.Adopt(n.Batch, now), now)
	})
}

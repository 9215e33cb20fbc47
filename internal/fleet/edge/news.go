package edge

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/fleet/mirror"
	"sassafrastray/internal/fleet/neighbor"
)

// newsTimeout bounds the passing on of a change to one VM, which asks for a copy if
// it missed one.
const newsTimeout = 500 * time.Millisecond

// watches tells whether this VM watches the store itself: in a large fleet the
// first VMs of its failure domain that reach it, and the one that leads.
func (v *VM) watches(now time.Time) bool {
	if !v.members.Large() || v.leading.Load() || v.watching.Load() && v.mirror.Failing(now) > 0 {
		return true
	}
	reaches := func(name sassafrastray.VMName) bool {
		b := v.beats[name]
		return b != nil && b.Store
	}
	return v.members.RankAmong(reaches, now) < member.Watchers
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
	if len(b.Entries) == 0 && !b.Complete || b.Complete && !changed || !v.watching.Load() || !v.members.Large() {
		return
	}
	b.After, b.SinceOutage = latest, v.mirror.Mended(b.Topic, now)
	n := &neighbor.News{From: v.self, Batch: b}
	for _, m := range v.members.LiveInDomain(now) {
		v.spawn(func() {
			if err := v.client.News(m.VM.PeerAddress, n, newsTimeout); err != nil {
				v.log.Info("change of the store not passed on", "peer", m.VM.Name, "topic", b.Topic, "revision", b.Revision, "error", err.Error())
			}
		})
	}
}

// News takes in a change of the store that another VM passes on.
func (v *VM) News(n *neighbor.News) {
	v.post(func(now time.Time) {
		if !n.Batch.Complete && !v.mirror.Continues(n.Batch) {
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

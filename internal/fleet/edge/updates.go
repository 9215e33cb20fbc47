package edge

import (
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/fleet/replica"
)

// updateTimeout bounds the forwarding of a change to one VM, which requests a copy
// if it missed a change.
const updateTimeout = 500 * time.Millisecond

// shouldWatch reports whether this VM should watch the store itself: in a large
// fleet the leader does, and the first VMs of its failure domain that reach the
// store.
func (v *VM) shouldWatch(now time.Time) bool {
	if !v.members.Large() || v.leading.Load() || v.watching.Load() && v.replica.FailingFor(now) > 0 {
		return true
	}
	reaches := func(name sassafrastray.VMName) bool {
		h := v.heartbeats[name]
		return h != nil && h.StoreReachable
	}
	return v.members.RankAmong(reaches, now) < member.Watchers
}

// updateWatching starts or stops the watches of the store.
func (v *VM) updateWatching(now time.Time) {
	want := v.shouldWatch(now)
	if v.watching.Swap(want) == want {
		return
	}
	v.log.Info("watching the store", "watching", want)
	if !want {
		v.cancelWatches("")
		return
	}
	for _, c := range v.resumeWatch {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// forwardUpdate forwards a change of the store to the VMs that do not watch it.
// Latest is the revision of the latest change before it. If a topic was read again
// in full, all its entries are forwarded, since removed entries have no revision
// then.
func (v *VM) forwardUpdate(b sassafrastray.Batch, c replica.Change, latest int64, now time.Time) {
	changed := c.Config || c.Backends || c.Rollouts || c.Evacuations
	if len(b.Entries) == 0 && !b.Complete || b.Complete && !changed || !v.watching.Load() || !v.members.Large() {
		return
	}
	b.After, b.SinceOutage = latest, v.replica.SinceRecovery(b.Topic, now)
	u := &gossip.Update{From: v.self, Batch: b}
	body, err := u.Encode()
	if err != nil {
		v.log.Error("a store change can't be forwarded", "topic", b.Topic, "revision", b.Revision, "error", err.Error())
		return
	}
	peers := v.members.LiveInDomain(now)
	v.log.Info("forwarding a store change", "topic", b.Topic, "revision", b.Revision, "complete", b.Complete, "entries", len(b.Entries), "bytes", len(body), "peers", len(peers))
	for _, m := range peers {
		v.spawn(func() {
			if err := v.client.Update(m.VM.PeerAddress, body, updateTimeout); err != nil {
				v.log.Info("forwarding a store change failed", "peer", m.VM.Name, "topic", b.Topic, "revision", b.Revision, "error", err.Error())
			}
		})
	}
}

// Update applies a change of the store that another VM forwards, or requests a copy
// if earlier changes are missing.
func (v *VM) Update(u *gossip.Update) {
	v.post(func(now time.Time) {
		if !u.Batch.Complete && !v.replica.HasChangesBefore(u.Batch) {
			if !v.copying {
				v.copyFrom(u.From, u.Batch.Era)
			}
			return
		}
		if !slices.Contains(replica.Topics, u.Batch.Topic) || !u.Batch.Position().After(v.replica.Position(u.Batch.Topic)) {
			return
		}
		v.recordEra(u.Batch.Position(), u.Batch.Topic)
		v.log.Info("change of the store from another VM", "from", u.From.Name, "topic", u.Batch.Topic, "revision", u.Batch.Revision)
		v.applyChange(v.replica.ApplyFromPeer(u.Batch, now), now)
	})
}

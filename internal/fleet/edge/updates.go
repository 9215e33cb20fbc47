package edge

import (
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/fleet/replica"
)

const (
	// updateTimeout bounds the forwarding of a change to one VM, which requests a copy
	// if it missed a change.
	updateTimeout = time.Second

	// maxRelayBytes bounds what a VM sends to forward one change, unless that is less
	// than minRelayCalls calls. The smallest links pass it in a fifth of a second.
	maxRelayBytes = 250_000
	minRelayCalls = 2
)

// shouldWatch reports whether this VM should watch the store itself: in a large
// fleet the leader does, and the first VMs of its failure domain that reach the
// store.
func (v *VM) shouldWatch(now time.Time) bool {
	if !v.members.Large() || v.leading.Load() || v.watching.Load() && v.replica.FailingFor(now) > 0 {
		return true
	}
	return v.members.RankAmong(v.reachesStore, now) < member.Watchers
}

// updateWatching starts or stops the watches of the store.
func (v *VM) updateWatching(now time.Time) {
	want := v.shouldWatch(now)
	if v.watching.Swap(want) == want {
		return
	}
	v.replica.SetWatching(want)
	v.log.Info("watching the store", "watching", want)
	if !want {
		v.cancelWatches("")
		return
	}
	v.wakeFollowers("")
}

// forwardUpdate forwards a change of the store to the VMs that do not watch it. A topic
// that was read for the first time is not forwarded, since each VM reads all topics once
// itself.
func (v *VM) forwardUpdate(b sassafrastray.Batch, c replica.Change, first bool, now time.Time) {
	empty := len(b.Entries) == 0 && b.Until == 0
	if b.Complete {
		empty = first || !c.Config && !c.Backends && !c.Rollouts && !c.Evacuations
	}
	if empty || !v.watching.Load() || !v.members.Large() {
		return
	}
	b.SinceOutage = v.replica.SinceRecovery(b.Topic, now)
	u := &gossip.Update{From: v.self, Batch: b}
	body, err := u.Encode()
	if err != nil {
		v.log.Error("a store change can't be forwarded", "topic", b.Topic, "revision", b.Revision, "error", err.Error())
		return
	}
	var to []sassafrastray.VM
	for _, m := range v.members.LiveInDomain(now) {
		to = append(to, m.VM)
	}
	v.relayUpdate(u, body, to)
}

// relayUpdate sends an update to VMs, or to a part of them that send it on to the others
// if it is so large that sending it to all would fill this VM's network link.
func (v *VM) relayUpdate(u *gossip.Update, body []byte, to []sassafrastray.VM) {
	if len(to) == 0 {
		return
	}
	calls := min(len(to), max(minRelayCalls, maxRelayBytes/len(body)))
	v.log.Info("forwarding a store change", "topic", u.Batch.Topic, "revision", u.Batch.Revision, "complete", u.Batch.Complete,
		"entries", len(u.Batch.Entries), "bytes", len(body), "calls", calls, "peers", len(to))
	for i := range calls {
		peer, r := to[i], gossip.Relay{Body: body}
		for j := i + calls; j < len(to); j += calls {
			r.To = append(r.To, to[j].Name)
		}
		v.spawn(func() {
			if err := v.client.Update(peer.PeerAddress, r, updateTimeout); err != nil {
				v.log.Info("forwarding a store change failed", "peer", peer.Name, "topic", u.Batch.Topic, "revision", u.Batch.Revision, "error", err.Error())
			}
		})
	}
}

// Update applies a change of the store that another VM forwards and forwards it, or
// requests a copy if earlier changes are missing.
func (v *VM) Update(u *gossip.Update, r gossip.Relay) {
	v.post(func(now time.Time) {
		if !slices.Contains(replica.Topics, u.Batch.Topic) || !u.Batch.Position().After(v.replica.Position(u.Batch.Topic)) {
			return
		}
		v.relayUpdate(u, r.Body, v.peersNamed(r.To, now))
		if !u.Batch.Complete && !v.replica.HasChangesBefore(u.Batch) {
			if !v.copying {
				v.copyFrom(u.From, u.Batch.Era)
			}
			return
		}
		v.recordEra(u.Batch.Position(), u.Batch.Topic)
		v.log.Info("change of the store from another VM", "from", u.From.Name, "topic", u.Batch.Topic, "revision", u.Batch.Revision)
		v.applyChange(v.replica.ApplyFromPeer(u.Batch, now), origin{wayUpdate, u.From.Name}, now)
	})
}

// peersNamed returns the live VMs of the failure domain with the names.
func (v *VM) peersNamed(names []sassafrastray.VMName, now time.Time) (vms []sassafrastray.VM) {
	if len(names) == 0 {
		return nil
	}
	for _, m := range v.members.LiveInDomain(now) {
		if slices.Contains(names, m.VM.Name) {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

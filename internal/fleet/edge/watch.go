package edge

import (
	"context"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/fleet/replica"
	"sassafrastray/internal/operator/message"
)

const (
	// followWait is how long one watch of the store waits; the platform charges for
	// each call. A watch whose answer is lost looks like one of a store in which nothing
	// changes, and ends only after its wait. So a few VMs make shorter watches: the VM
	// that leads of the configuration, for leaderWait, and the VM that checks the store
	// for its region of all topics, for checkWait. The others renew their watches when
	// another VM's call failed, or when it has a change that they lack.
	followWait = 25 * time.Second
	leaderWait = time.Second
	checkWait  = 2 * time.Second

	// probeWait is how long the first watch after a failed call waits, so that a
	// store that still does not respond does not block it for long.
	probeWait = 200 * time.Millisecond

	// renewInterval is the minimum interval between two renewals of this VM's watches
	// that are caused by failed calls of other VMs.
	renewInterval = 2 * time.Second

	// failureMemory is how long heartbeats tell of a failed call. It covers a few of
	// them, since some may be lost.
	failureMemory = 5 * time.Second
)

// watch is a call to the store that waits for changes of a topic.
type watch struct {
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc
}

// startWatch registers a watch of a topic, which cancelWatch ends, and returns how long it
// waits. It reads the VM's roles after it has registered the watch, so that a change of
// roles either applies to the watch or cancels it.
func (v *VM) startWatch(t sassafrastray.Topic, failed bool) (w *watch, wait time.Duration) {
	ctx, cancel := context.WithCancel(v.ctx)
	w = &watch{v.clock.Now(), ctx, cancel}
	v.watches.Store(t, w)
	switch {
	case failed:
		wait = probeWait
	case t == sassafrastray.TopicConfig && v.leading.Load():
		wait = leaderWait
	case v.checking.Load():
		wait = checkWait
	default:
		wait = followWait
	}
	return w, wait
}

// cancelWatches cancels the watches of all topics except one. They start again at
// once, which shows whether the store answers.
func (v *VM) cancelWatches(except sassafrastray.Topic) {
	for _, t := range replica.Topics {
		if t != except {
			v.cancelWatch(t)
		}
	}
}

// cancelWatch cancels the watch of one topic, which starts again at once.
func (v *VM) cancelWatch(t sassafrastray.Topic) {
	if w := v.pendingWatch(t); w != nil {
		w.cancel()
	}
}

// pendingWatch returns the watch of a topic that the VM waits for, or nil.
func (v *VM) pendingWatch(t sassafrastray.Topic) *watch {
	if w, ok := v.watches.Load(t); ok && w.(*watch).ctx.Err() == nil {
		return w.(*watch)
	}
	return nil
}

// updateRoles updates whether the VM leads, and whether it checks the store for its region.
// Watches that began with another wait start again.
func (v *VM) updateRoles(now time.Time) {
	if leads := v.isLeader(now); v.leading.Swap(leads) != leads && leads {
		v.cancelWatch(sassafrastray.TopicConfig)
	}
	if checks := v.checksStore(now); v.checking.Swap(checks) != checks && checks {
		v.cancelWatches("")
	}
}

// checksStore reports whether this VM checks the store for the VMs that it sends heartbeats
// to in each round: those of its region in a large fleet, otherwise all. It is the one that
// ranks first of those that reach the store, so in a large fleet it is a watcher as well.
func (v *VM) checksStore(now time.Time) bool { return v.members.RankDirect(v.reachesStore, now) == 0 }

// reachesStore reports whether another VM last said that it reaches the store.
func (v *VM) reachesStore(name sassafrastray.VMName) bool {
	h := v.heartbeats[name]
	return h != nil && h.StoreReachable
}

// renewWatches renews the watches that began before another VM's latest failed call: what
// lost the answer to that call may have lost theirs.
func (v *VM) renewWatches(h *gossip.Heartbeat, now time.Time) {
	if h.StoreReachable && h.Failed <= 0 || v.replica.FailingFor(now) > 0 {
		return
	}
	failedAt := now.Add(-h.Failed)
	var topics []sassafrastray.Topic
	for _, t := range replica.Topics {
		if w := v.pendingWatch(t); w != nil && w.began.Before(failedAt) {
			topics = append(topics, t)
		}
	}
	if len(topics) == 0 || !v.isDue("watches", renewInterval, now) {
		return
	}
	v.log.Info(message.WatchesRenewed, "from", h.VM.Name, "failed", h.Failed, "topics", topics)
	for _, t := range topics {
		v.cancelWatch(t)
	}
}

// sinceFailure returns how long ago the VM's latest failed call to the store failed, or zero
// if heartbeats need not tell of it any more.
func (v *VM) sinceFailure(now time.Time) time.Duration {
	if v.storeFailedAt.IsZero() || now.Sub(v.storeFailedAt) > failureMemory {
		return 0
	}
	return max(1, now.Sub(v.storeFailedAt))
}

package edge

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/operator/message"
)

const (
	// coalesceTime is the pause after a change of the backend servers, so that one
	// call returns several changes. It is well within the time in which a leaving
	// server may still receive requests.
	coalesceTime = 300 * time.Millisecond

	// minBackoff and maxBackoff bound the pause between calls to a store that does
	// not answer; it doubles in between.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond

	// rereadSpread is the time over which the VMs read a topic again after the store
	// dropped its history for all of them at once.
	rereadSpread = 150 * time.Millisecond
)

// followTopic keeps the replica of one topic up to date until the VM stops.
func (v *VM) followTopic(t sassafrastray.Topic) {
	defer v.loops.Done()
	var after sassafrastray.Position
	pause := minBackoff
	for read, failed := false, false; v.ctx.Err() == nil; {
		if read && after.Era < v.era.Load() {
			// The store began another era, in which the position means nothing.
			read = false
		}
		if read && !v.watching.Load() {
			// While other VMs forward changes, the replica may become newer than the
			// revision read here, so the topic is read again.
			v.waitForSignal(v.wake[t])
			read = false
			continue
		}
		var b sassafrastray.Batch
		var err error
		interrupted, began := false, v.clock.Now()
		// The answer has all changes until asOf.
		asOf := began
		if read {
			w, wait := v.startWatch(t, failed)
			b, err = v.store.Watch(w.ctx, t, after, wait)
			interrupted = w.ctx.Err() != nil
			w.cancel()
			if len(b.Entries) == 0 && v.clock.Now().Sub(began) >= wait {
				asOf = began.Add(wait)
			}
		} else {
			known := v.era.Load()
			if b, err = v.store.Read(v.ctx, t, false); err == nil && b.Era < known {
				v.post(func(time.Time) { v.correctEra(b.Position(), t, known) })
			}
		}
		v.metrics.store.WithLabelValues(string(t), sassafrastray.Outcome(err)).Inc()
		switch {
		case err == nil:
			read, failed, after, pause = true, false, b.Position(), minBackoff
			v.post(func(now time.Time) {
				v.applyBatch(b, now)
				if t == sassafrastray.TopicConfig {
					v.confirmation.confirm(asOf)
				}
			})
			if t == sassafrastray.TopicBackends {
				// Servers often start or stop together, so one call then returns
				// several changes.
				v.sleep(coalesceTime)
			}
		case errors.Is(err, sassafrastray.ErrCompacted):
			v.log.Warn("the store compacted its history; reading the topic again", "topic", t, "after", after.Revision, "error", err.Error())
			read = false
			v.post(func(now time.Time) {
				if v.replica.RecordAnswer(now) {
					v.wakeFollowers(t)
				}
			})
			v.sleep(rand.N(rereadSpread))
		case interrupted:
			// A call for another topic failed; this watch's connection may be dead
			// too.
			failed = true
		default:
			failed = true
			v.logUnanswered(t, after, err, v.clock.Now().Sub(began))
			v.post(func(now time.Time) { v.handleStoreFailure(t, err, began, now) })
			v.sleepOrWake(pause/2+rand.N(pause), t)
			pause = min(maxBackoff, 2*pause)
		}
	}
}

// waitForSignal waits for a signal or until the VM stops.
func (v *VM) waitForSignal(c <-chan struct{}) {
	select {
	case <-c:
	case <-v.ctx.Done():
	}
}

// sleep waits for d or until the VM stops.
func (v *VM) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-v.ctx.Done():
	}
}

// sleepOrWake waits for d, or until the follower of a topic is woken or the VM stops.
func (v *VM) sleepOrWake(d time.Duration, topic sassafrastray.Topic) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-v.wake[topic]:
	case <-v.ctx.Done():
	}
}

// wakeFollowers lets the followers of all topics except one call the store at once.
func (v *VM) wakeFollowers(except sassafrastray.Topic) {
	for t, c := range v.wake {
		if t == except {
			continue
		}
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// logUnanswered logs a call for a topic that failed after a wait. Calls that the store
// refused fail at once.
func (v *VM) logUnanswered(t sassafrastray.Topic, after sassafrastray.Position, err error, waited time.Duration) {
	if waited > probeWait {
		v.log.Warn(message.StoreUnanswered, "topic", t, "revision", after.Revision, "waited", waited, "error", err.Error())
	}
}

// handleStoreFailure records a failed call that began at a time. On the first failure it
// cancels the watches of the other topics, whose connections may be dead too.
func (v *VM) handleStoreFailure(t sassafrastray.Topic, err error, began, now time.Time) {
	if v.replica.FailingFor(now) == 0 {
		v.log.Warn(message.StoreUnreachable, "topic", t, "error", err.Error())
		v.cancelWatches(t)
	}
	v.storeFailedAt = now
	v.replica.RecordFailure(t, began, now)
}

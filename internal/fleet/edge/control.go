package edge

import (
	"time"

	"sassafrastray/internal/operator/crash"
	"sassafrastray/internal/operator/message"
)

// post queues a task for the control goroutine. It returns false if the VM is
// stopping.
func (v *VM) post(t task) bool {
	select {
	case v.tasks <- t:
		return true
	case <-v.ctx.Done():
		return false
	}
}

// ask runs f on the control goroutine and returns its result, or the zero value if the VM
// is stopping or f fails unexpectedly.
func ask[T any](v *VM, f func(now time.Time) T) (zero T) {
	answer := make(chan T, 1)
	if !v.post(func(now time.Time) {
		defer close(answer)
		answer <- f(now)
	}) {
		return zero
	}
	select {
	case a := <-answer:
		return a
	case <-v.ctx.Done():
		return zero
	}
}

// spawn runs f in the worker pool. If the pool is full, many calls hang already: f
// does not run, spawn returns false, and the caller tries again in its next round.
func (v *VM) spawn(f func()) bool {
	if err := v.workers.Submit(f); err != nil {
		v.metrics.overflow.Inc()
		return false
	}
	return true
}

// isDue reports whether the period has passed since it last returned true for name.
func (v *VM) isDue(name string, period time.Duration, now time.Time) bool {
	if now.Before(v.nextDue[name]) {
		return false
	}
	v.nextDue[name] = now.Add(period)
	return true
}

// run runs one step on the control goroutine. A step that fails unexpectedly ends
// alone.
func (v *VM) run(f task) {
	defer crash.Contain(v.log, "control")
	f(v.clock.Now())
}

// control runs tasks and ticks until the VM stops.
func (v *VM) control() {
	defer v.loops.Done()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case f := <-v.tasks:
			v.run(f)
		case <-t.C:
			v.run(v.tick)
		}
	}
}

// handlePause renews what the VM knows after a pause: it must not act on what was true
// before it. Its parts of the quotas count as used, the store is asked again, and the
// other VMs are told and asked at once.
func (v *VM) handlePause(now time.Time) {
	pauses, _ := v.pauses.check(now)
	if pauses == v.handledPauses {
		return
	}
	v.handledPauses = pauses
	v.log.Warn(message.VMStalled, "pause", v.pauses.lastLength())
	v.quotas.handlePause()
	if v.usage != nil {
		v.usage.machine.Pause(now)
	}
	v.cancelWatches("")
	delete(v.nextDue, "beat")
}

// tick runs the periodic work that is due.
func (v *VM) tick(now time.Time) {
	v.handlePause(now)
	v.applyChange(v.replica.Tick(now), origin{way: wayStore}, now)
	v.partition.tick()
	v.logServerEvents(v.placement.tick(v.partition.Partitioned()))
	events, active, news := v.quarantine.tick()
	v.logQuarantine(events)
	v.metrics.quarantined.Set(float64(active))
	v.advanceRollouts(now)
	if v.isDue("beat", heartbeatInterval, now) {
		v.sendHeartbeats(now)
	} else if (news || v.quotas.needsHeartbeat()) && v.isDue("urgent", urgentInterval, now) {
		v.sendHeartbeatsTo(v.members.UrgentTargets(), now)
	}
	if v.watching.Load() && v.isDue("list", vmListInterval, now) {
		v.readVMs()
	}
	if v.isDue("sweep", sweepInterval, now) {
		v.pool.Sweep()
		v.innerPool.Sweep()
		v.relayPool.Sweep()
	}
	v.checkStore(now)
	v.checkCurrency(now)
	if to := v.confirmingPeer(now); to != nil {
		v.sendHeartbeat(*to, v.newHeartbeat(now), now)
	}
	v.recallMemory(now)
	v.logSilence(now)
	v.logQuotas(now)
	v.logRegions(now)
	v.updateLookups(now)
	v.tickUsage(now)
}

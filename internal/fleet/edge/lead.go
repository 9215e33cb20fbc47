package edge

import (
	"context"
	"time"

	"sassafrastray"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/rollout"
)

const (
	// writeTimeout bounds the write of a rollout's state. writeInterval is the time
	// after which it is written again if the state did not change.
	writeTimeout  = 2 * time.Second
	writeInterval = 600 * time.Millisecond
)

// advanceRollouts evaluates the rollouts and, if this VM is the leader, writes their
// states. If two VMs both consider themselves the leader, their writes are
// conditional on the same revision, so only one of them succeeds.
func (v *VM) advanceRollouts(now time.Time) {
	var steps []rollout.Step
	v.rollouts.do(func(t *rollout.Tracker, now time.Time) { steps = t.Tick(now) })
	for _, e := range v.replica.Unwritten() {
		steps = append(steps, rollout.Step{Rollout: *e.Rollout, Revision: e.Revision, Reason: "the store lost this state"})
	}
	if len(steps) == 0 || !v.isLeader(now) {
		return
	}
	for _, s := range steps {
		if s.Revision == 0 || now.Sub(v.lastWrite[s.Rollout.Service]) < writeInterval {
			continue
		}
		v.lastWrite[s.Rollout.Service] = now
		v.writeRollout(s)
	}
}

func (v *VM) writeRollout(s rollout.Step) {
	at := sassafrastray.Position{Era: v.replica.Position(sassafrastray.TopicRollouts).Era, Revision: s.Revision}
	v.spawn(func() {
		ctx, cancel := context.WithTimeout(v.ctx, writeTimeout)
		defer cancel()
		revision, err := v.store.UpdateRollout(ctx, s.Rollout, at)
		v.metrics.store.WithLabelValues("report", sassafrastray.Outcome(err)).Inc()
		args := []any{
			"service", s.Rollout.Service, "to", s.Rollout.To, "state", s.Rollout.State, "share", s.Rollout.Share,
			"reason", s.Reason, "revision", s.Revision,
		}
		if err != nil {
			// The write may have succeeded all the same; the watch of the store
			// shows it.
			v.log.Warn("rollout not written", append(args, "error", err.Error())...)
			return
		}
		v.log.Info(message.RolloutWritten, append(args, "written", revision)...)
	})
}

// isLeader reports whether this VM is the first by name of those that reach the
// store.
func (v *VM) isLeader(now time.Time) bool {
	return v.isFirst(now, func(sassafrastray.VM) bool { return true })
}

// isFirst reports whether this VM is the first by name that reaches the store, among
// itself and the VMs for which among returns true. It is not for a while after a pause,
// when all others seem silent.
func (v *VM) isFirst(now time.Time, among func(sassafrastray.VM) bool) bool {
	if !v.pauses.mayLead(now) || v.replica.FailingFor(now) > 0 || v.self.State != sassafrastray.VMLive {
		return false
	}
	for _, m := range v.members.View(now) {
		h := v.heartbeats[m.VM.Name]
		if h != nil && !m.Suspect && h.StoreReachable && m.VM.State == sassafrastray.VMLive && m.VM.Name < v.self.Name && among(m.VM) {
			return false
		}
	}
	return true
}

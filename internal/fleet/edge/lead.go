package edge

import (
	"context"
	"time"

	"sassafrastray"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/rollout/rollout"
)

const (
	// writeTimeout bounds the write of a rollout's state, writeEvery the
	// time until it is written again if nothing came of it.
	writeTimeout = 2 * time.Second
	writeEvery   = 600 * time.Millisecond
)

// leadRollouts judges the rollouts and, if this VM leads, writes their states.
// Two VMs that both take themselves for the leader write under the same
// condition, so only one of them succeeds.
func (v *VM) leadRollouts(now time.Time) {
	var steps []rollout.Step
	v.rollouts.do(func(d *rollout.Tracker, now time.Time) { steps = d.Tick(now) })
	if len(steps) == 0 || !v.leads(now) {
		return
	}
	for _, s := range steps {
		if now.Sub(v.writing[s.Rollout.Service]) < writeEvery {
			continue
		}
		v.writing[s.Rollout.Service] = now
		v.write(s)
	}
}

func (v *VM) write(s rollout.Step) {
	v.spawn(func() {
		ctx, cancel := context.WithTimeout(v.ctx, writeTimeout)
		defer cancel()
		revision, err := v.feed.Report(ctx, s.Rollout, s.Revision)
		v.metrics.store.WithLabelValues("report", sassafrastray.Outcome(err)).Inc()
		args := []any{
			"service", s.Rollout.Service, "to", s.Rollout.To, "state", s.Rollout.State, "share", s.Rollout.Share,
			"reason", s.Reason, "revision", s.Revision,
		}
		if err != nil {
			// The watch of the store shows whether it was written all the same.
			v.log.Warn("rollout not written", append(args, "error", err.Error())...)
			return
		}
		v.log.Info(message.RolloutWritten, append(args, "written", revision)...)
	})
}

// leads tells whether this VM is the first by name among those that reach the
// store.
func (v *VM) leads(now time.Time) bool {
	return v.first(now, func(sassafrastray.VM) bool { return true })
}

// first tells whether this VM is the first by name that reaches the store among
// itself and some of the others.
func (v *VM) first(now time.Time, among func(sassafrastray.VM) bool) bool {
	if v.mirror.Failing(now) > 0 || v.self.State != sassafrastray.Live {
		return false
	}
	for _, m := range v.members.View(now) {
		b := v.beats[m.VM.Name]
		if b != nil && !m.Suspect && b.Store && m.VM.State == sassafrastray.Live && m.VM.Name < v.self.Name && among(m.VM) {
			return false
		}
	}
	return true
}

package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-json"

	"sassafrastray"
	"sassafrastray/internal/fleet/duty"
	"sassafrastray/internal/limit/usage"
	"sassafrastray/internal/operator/message"
)

// dutyTimeout bounds a call to the store for the record of the duty.
const dutyTimeout = 2 * time.Second

// advanceDuty advances the state machine of the duty and carries out what it asks for.
func (v *VM) advanceDuty(now time.Time) {
	u := v.usage
	in := duty.Input{
		Candidates: names(v.candidates(now)),
		Fleet:      names(v.knownVMs()),
		Suspect:    func(name sassafrastray.VMName) bool { return v.suspect(name, now) },
		Counts: func(window int64) (usage.Counts, int, int) {
			return v.totalUsage(window, now)
		},
	}
	if now.Sub(u.startedAt) >= usageWarmUp {
		in.FleetTime = u.counts.now()
	}
	for _, e := range u.machine.Tick(in, now) {
		switch e := e.(type) {
		case duty.Read:
			v.readDuty(now)
		case duty.Write:
			v.writeDuty(e, now)
		case duty.Send:
			v.sendReport(e, now)
		case duty.Note:
			v.noteDuty(e)
		}
	}
	u.metrics.update(u.machine.Status(now))
}

func (v *VM) readDuty(now time.Time) {
	u := v.usage
	done := func(rec *duty.Record, at sassafrastray.Position, err error, now time.Time) {
		v.metrics.store.WithLabelValues("duty", sassafrastray.Outcome(err)).Inc()
		u.machine.ReadDone(rec, at, err, now)
	}
	if !v.spawn(func() {
		ctx, cancel := context.WithTimeout(v.ctx, dutyTimeout)
		defer cancel()
		rec, at, err := v.loadDuty(ctx)
		v.post(func(now time.Time) {
			done(rec, at, err, now)
			v.advanceDuty(now)
		})
	}) {
		done(nil, sassafrastray.Position{}, sassafrastray.ErrUnavailable, now)
	}
}

// loadDuty reads and decodes the record. It returns nil if there is none.
func (v *VM) loadDuty(ctx context.Context) (*duty.Record, sassafrastray.Position, error) {
	b, at, err := v.usage.opt.Store.ReadDuty(ctx, sassafrastray.DutyUsageReport)
	if err != nil {
		return nil, at, err
	}
	rec := &duty.Record{}
	if err := json.Unmarshal(b, rec); err != nil {
		v.log.Error("the record of a duty can't be read", "duty", sassafrastray.DutyUsageReport, "revision", at.Revision, "error", err.Error())
		return nil, at, errors.Mark(err, sassafrastray.ErrUnavailable)
	}
	return rec, at, nil
}

func (v *VM) writeDuty(w duty.Write, now time.Time) {
	u := v.usage
	done := func(at sassafrastray.Position, err error, now time.Time) {
		v.metrics.store.WithLabelValues("duty", sassafrastray.Outcome(err)).Inc()
		u.machine.WriteDone(w.ID, at, err, now)
	}
	b, err := json.Marshal(w.Record)
	if err != nil {
		done(w.At, errors.Mark(err, sassafrastray.ErrUnavailable), now)
		return
	}
	if !v.spawn(func() {
		ctx, cancel := context.WithTimeout(v.ctx, dutyTimeout)
		defer cancel()
		at, err := u.opt.Store.WriteDuty(ctx, sassafrastray.DutyUsageReport, b, w.At)
		v.post(func(now time.Time) {
			done(at, err, now)
			v.advanceDuty(now)
		})
	}) {
		done(w.At, sassafrastray.ErrUnavailable, now)
	}
}

// sendReport sends a report. The time is checked right before the call, since a process
// that was paused must not send any more.
func (v *VM) sendReport(s duty.Send, now time.Time) {
	u := v.usage
	r := sassafrastray.UsageReport{Holder: v.self.Name, Generation: s.Report.Generation, Window: s.Report.Window, Counts: s.Report.Counts}
	done := func(outcome duty.Outcome, err error, now time.Time) {
		u.metrics.reports.WithLabelValues(outcomeLabel(outcome)).Inc()
		if outcome != duty.Sent {
			v.log.Warn(message.UsageSendFailed, "window", r.Window, "generation", r.Generation, "outcome", outcomeLabel(outcome), "error", errorText(err))
		}
		u.machine.SendDone(s.ID, outcome, now)
	}
	if !v.spawn(func() {
		outcome, err := v.callReporter(r, s.NotAfter)
		v.post(func(now time.Time) {
			done(outcome, err, now)
			v.advanceDuty(now)
		})
	}) {
		done(duty.Expired, errors.New("too many calls are under way"), now)
	}
}

// callReporter sends a report before a time of the VM's clock. The bound of the call goes by
// the monotonic clock, which stands still while the machine is suspended, so the VM's clock
// is compared again right before the report is written.
func (v *VM) callReporter(r sassafrastray.UsageReport, notAfter time.Time) (duty.Outcome, error) {
	left := notAfter.Sub(v.clock.Now())
	if left <= 0 {
		return duty.Expired, errors.New("the time to send has passed")
	}
	ctx, cancel := context.WithTimeout(v.ctx, left)
	defer cancel()
	var late atomic.Bool
	err := v.usage.opt.Reporter.ReportUsage(ctx, r, func() bool {
		inTime := v.clock.Now().Before(notAfter)
		if !inTime {
			late.Store(true)
		}
		return inTime
	})
	// A call with most of its time left that makes no connection tells of the platform, one
	// with less, or of a VM that ends, only of the time.
	hurried := left < v.opt.Bounds.Lease/6 && ctx.Err() != nil || v.ctx.Err() != nil
	switch {
	case (late.Load() || hurried) && errors.Is(err, sassafrastray.ErrUnavailable):
		return duty.Expired, err
	case err == nil:
		return duty.Sent, nil
	case errors.Is(err, sassafrastray.ErrLimited):
		return duty.Limited, err
	case errors.Is(err, sassafrastray.ErrUnavailable):
		return duty.Unreached, err
	case errors.Is(err, sassafrastray.ErrUnknown):
		return duty.Failed, err
	}
	return duty.Rejected, err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// noteDuty logs an event of the duty.
func (v *VM) noteDuty(n duty.Note) {
	args := []any{"holder", n.Holder, "generation", n.Generation}
	if n.Window != 0 {
		args = append(args, "window", n.Window, "age", n.Age)
	}
	if n.Event == duty.Decided {
		args = append(args, "covered", n.Covered, "missing", n.Missing)
		v.usage.metrics.covered.Set(float64(n.Covered))
		v.usage.metrics.missing.Set(float64(n.Missing))
	}
	if n.Reason != "" {
		args = append(args, "reason", n.Reason)
	}
	text, ok := dutyMessages[n.Event]
	if !ok {
		text = "duty: " + string(n.Event)
	}
	switch n.Event {
	case duty.Retried:
		// The failed call has a line of its own.
		v.log.Debug(text, args...)
	case duty.Lost, duty.GivenUp, duty.Rollback:
		v.log.Warn(text, args...)
	default:
		v.log.Info(text, args...)
	}
}

var dutyMessages = map[duty.Event]string{
	duty.Taken: message.DutyTaken, duty.Lost: message.DutyLost, duty.Released: message.DutyReleased, duty.Decided: message.UsageDecided,
	duty.Reported: message.UsageReported, duty.Retried: message.UsageRetried, duty.GivenUp: message.UsageGivenUp, duty.Rollback: message.DutyRollback,
}

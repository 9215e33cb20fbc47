package vm

import (
	"context"
	"strings"
	"time"

	"sassafrastray"
	"sassafrastray/internal/rollout/evidence"
	"sassafrastray/internal/rollout/move"
)

// stepMoves passes an event to the mover and runs the resulting effects.
func (v *VM) stepMoves(ev move.Event, now time.Time) {
	for _, e := range v.mover.Step(ev, now) {
		v.runMoveEffect(e)
	}
}

func (v *VM) runMoveEffect(e move.Effect) {
	switch e := e.(type) {
	case move.Get:
		v.callStore("get", func(ctx context.Context) error {
			o, err := v.platform.Get(ctx, e.Key)
			v.post(func(now time.Time) {
				v.stepMoves(move.Got{Service: e.Service, Token: e.Token, Object: o, Err: err}, now)
			})
			return err
		})
	case move.Put:
		v.callStore("put", func(ctx context.Context) error {
			version, err := v.platform.Put(ctx, e.Key, e.Value, e.Version)
			v.post(func(now time.Time) {
				v.stepMoves(move.Wrote{Service: e.Service, Token: e.Token, Version: version, Err: err}, now)
			})
			return err
		})
	case move.Raised:
		v.samples.do(func(l *evidence.Ledger, now time.Time) { l.ShareRaised(e.Service, now) })
	case move.Log:
		v.log.Info("move", "service", e.Service, "move", e.Move, "decision", e.Decision, "share", e.Share, "reason", e.Reason)
		v.metrics.moveShare.WithLabelValues(string(e.Service)).Set(float64(e.Share) / 1000)
	}
}

// watchMoves watches the records of moves in the store until the VM stops.
func (v *VM) watchMoves() {
	v.watchLoop(move.Prefix, func(objects []sassafrastray.Object, _ time.Time) bool {
		for _, o := range objects {
			service := sassafrastray.ServiceName(strings.TrimPrefix(o.Key, move.Prefix))
			v.post(func(now time.Time) { v.stepMoves(move.Watched{Service: service, Object: o}, now) })
		}
		return true
	})
}

// judgeMoves judges the evidence on each new version once a second.
func (v *VM) judgeMoves(now time.Time) {
	if v.conf.current == nil || !v.isDue("judge", time.Second, now) {
		return
	}
	for i := range v.conf.current.Services {
		s := &v.conf.current.Services[i]
		if s.Move == nil {
			continue
		}
		var verdict evidence.Verdict
		v.samples.do(func(l *evidence.Ledger, now time.Time) {
			verdict = l.Judge(s.Name, s.Move.From, s.Move.To, now)
		})
		v.stepMoves(move.Judged{
			Service: s.Name, Move: s.Move.Name, Verdict: verdict, Headroom: v.headroom(s, now),
		}, now)
	}
}

// headroom returns the share of the service's traffic, in thousandths, that the
// new version's backend servers could take. It is nil if no load of the new
// version is known.
func (v *VM) headroom(s *sassafrastray.Service, now time.Time) *int {
	used, free, seen := 0, 0, false
	for _, l := range v.loads(now) {
		if l.Service != s.Name {
			continue
		}
		used += l.Used
		if l.Version == s.Move.To {
			free += l.Slots
			seen = true
		}
	}
	if !seen {
		return nil
	}
	share := 1000
	if used > 0 {
		share = min(share, 1000*free/used)
	}
	return &share
}

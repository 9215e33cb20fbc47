package evidence

import (
	"fmt"
	"math"
	"time"

	"sassafrastray"
)

// Kinds of verdicts.
const (
	// Unknown means that there is too little evidence to tell.
	Unknown Kind = "unknown"
	// Good means that every busy route of the new version has enough samples
	// and none is worse than the old version.
	Good Kind = "good"
	// Bad means that a route fails or is slow more often than on the old
	// version.
	Bad Kind = "bad"
	// Suspect means that a route fails or is slow very often, while the old
	// version receives no requests, so that it may be no better. Giving the
	// old version a part of the requests tells.
	Suspect Kind = "suspect"
)

const (
	// suspicion is the score from which a version is not called good.
	suspicion = 3
	// busy is the least part of a service's requests, as a divisor, that
	// makes a route busy.
	busy = 50
	// busyLeast is the number of requests in the windows from which a route
	// is busy whatever the others get.
	busyLeast = 300
	// silence is how many windows may pass without a sample of the new
	// version before it is no longer called good.
	silence = 5
)

type (
	// Kind is what a Verdict says.
	Kind string

	// Verdict is the judgement on a new version.
	Verdict struct {
		Kind Kind
		// Route is the route that Reason speaks of, if it is about one.
		Route  sassafrastray.RouteName
		Reason string
		// Samples is the number of the new version's requests since its
		// share last rose and its caches are warm, on the busy route that
		// has fewest.
		Samples int
	}
)

// worse tells whether a route's verdict goes before another's.
func (k Kind) worse(o Kind) bool {
	return k == Suspect && o != Suspect || k == Unknown && o == Good
}

// Judge compares the versions from and to of a service.
func (l *Ledger) Judge(service sassafrastray.ServiceName, from, to sassafrastray.VersionName, now time.Time) Verdict {
	w := l.moves[service]
	if w == nil || w.from != from || w.to != to {
		return Verdict{Kind: Unknown, Reason: "not a move under watch"}
	}
	idx := l.index(now)
	views := l.views(service, w, idx)
	limit := l.limit(len(w.routes) + 1)
	var all scope
	for _, v := range views {
		v.learn()
		l.excuse(w, v, idx)
		v.samples = v.since()
		if v.total > 0 {
			all = append(all, v)
		}
	}
	worst := l.judgeAll(w, all, limit)
	for _, v := range all {
		next := l.judgeRoute(w, v, limit, idx)
		if next.Kind == Bad {
			return next
		}
		if v.busy {
			least := min(v.samples, worst.Samples)
			if next.Kind.worse(worst.Kind) {
				worst = next
			}
			worst.Samples = least
		}
	}
	if worst.Samples == math.MaxInt {
		return Verdict{Kind: Unknown, Reason: "no requests"}
	}
	return worst
}

// limit is the score at which a version is bad. Each of the two tests of each
// scope may raise a false alarm in any window, so all of them share Alarms.
func (l *Ledger) limit(scopes int) float64 {
	tests := 2 * scopes * l.opt.Looks
	return math.Log(float64(tests) / l.opt.Alarms)
}

// judgeAll judges all routes together, which finds a version that is bad on
// all of them sooner than its single routes do.
func (l *Ledger) judgeAll(w *watched, all scope, limit float64) Verdict {
	out := Verdict{Kind: Good, Reason: "no worse than the old version", Samples: math.MaxInt}
	if len(all) < 2 {
		return out
	}
	s := all.score(w)
	switch {
	case s.failing >= limit:
		out = Verdict{Kind: Bad, Reason: "the new version fails more often on its routes together"}
	case s.slowing >= limit:
		out = Verdict{Kind: Bad, Reason: "the new version is slow more often on its routes together"}
	}
	return out
}

// judgeRoute judges one route.
func (l *Ledger) judgeRoute(w *watched, v *view, limit float64, idx int64) Verdict {
	s := scope{v}.score(w)
	switch {
	case s.failing >= limit:
		return v.blame(Bad, "fails", failures)
	case s.slowing >= limit:
		return v.blame(Bad, "is slow", slowness)
	case s.failingAlone >= limit:
		return v.blame(Suspect, "fails", failures)
	case s.slowingAlone >= limit:
		return v.blame(Suspect, "is slow", slowness)
	}
	return l.good(w, v, s.max(), idx)
}

// good tells whether a busy route without an alarm is good.
func (l *Ledger) good(w *watched, v *view, score float64, idx int64) Verdict {
	out := Verdict{Kind: Unknown, Route: v.name, Samples: v.samples}
	switch {
	case v.route.cold == idx:
		out.Reason = "caches may be cold"
	case v.samples < l.opt.Samples:
		out.Reason = fmt.Sprintf("%d of %d samples", v.samples, l.opt.Samples)
	case v.newest <= idx-silence:
		out.Reason = "no recent samples"
	case v.slower(w):
		out.Reason = "slower than the old version"
	case score >= suspicion:
		out.Reason = "may be worse than the old version"
	default:
		out.Kind = Good
	}
	return out
}

// excuse marks the present window as one whose slowness says nothing, while
// the version has just received more traffic or its latency still falls.
func (l *Ledger) excuse(w *watched, v *view, idx int64) {
	age := time.Duration(idx-w.raised) * Window
	if age < l.opt.Warm || age < l.opt.Excuse && v.route.cold >= idx-1 && v.falling() {
		v.route.cold = idx
	}
}

// blame returns a verdict with a reason that gives the rates of late.
func (v *view) blame(kind Kind, what string, of metric) Verdict {
	now, before := v.rate(of, spans-lately, nil)
	return Verdict{
		Kind: kind, Route: v.name, Samples: v.samples,
		Reason: fmt.Sprintf("the new version %s on %.1f%% of requests, the old one on %.1f%%", what, 100*now, 100*before),
	}
}

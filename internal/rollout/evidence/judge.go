package evidence

import (
	"fmt"
	"math"
	"time"

	"sassafrastray"
)

// Kinds of verdicts.
const (
	// Unknown means that there is too little evidence for a verdict.
	Unknown Kind = "unknown"
	// Good means that every busy route of the new version has enough samples
	// and none is worse than the old version.
	Good Kind = "good"
	// Bad means that a route of the new version, or all its routes together,
	// fail or are slow more often than on the old version.
	Bad Kind = "bad"
	// Suspect means that a route fails or is slow very often while the old
	// version receives hardly any requests, so the old version may be no better.
	// To decide whether the new version is bad, a part of the requests has to be
	// sent to the old one.
	Suspect Kind = "suspect"
)

const (
	// suspectScore is the score from which a version is not called good.
	suspectScore = 3
	// A route is busy if it receives at least 1/busyDivisor of the service's
	// requests.
	busyDivisor = 50
	// busyRequests is the number of requests over all spans from which a route
	// is busy, whatever its part of the service's requests.
	busyRequests = 300
	// maxSilentWindows is the number of windows without a request to the new
	// version after which it is no longer called good.
	maxSilentWindows = 5
)

type (
	// Kind is the kind of a Verdict.
	Kind string

	// Verdict is the result of judging a new version.
	Verdict struct {
		Kind Kind
		// Route is the route that Reason is about, or empty if it is about all.
		Route  sassafrastray.RouteName
		Reason string
		// Samples is the number of requests to the new version since its share
		// last rose and its caches became warm, on the busy route that has the
		// fewest.
		Samples int
	}
)

// worse reports whether a route's verdict takes precedence over another
// route's.
func (k Kind) worse(o Kind) bool {
	return k == Suspect && o != Suspect || k == Unknown && o == Good
}

// Judge returns the verdict on a service's new version, named by to, compared
// with its old version, named by from.
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
		v.updateBaseline()
		l.updateWarmUp(w, v, idx)
		v.samples = v.warmSamples()
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

// limit returns the score from which a version is bad. Both tests (failures and
// slow requests) of each scope may raise a false alarm in any window, so the
// false alarm probability is divided among all of them.
func (l *Ledger) limit(scopes int) float64 {
	tests := 2 * scopes * l.opt.MoveWindows
	return math.Log(float64(tests) / l.opt.FalseAlarmProbability)
}

// judgeAll judges all routes together, which detects a version that is bad on
// all of them sooner than judging each route alone does.
func (l *Ledger) judgeAll(w *watchedService, all scope, limit float64) Verdict {
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
func (l *Ledger) judgeRoute(w *watchedService, v *view, limit float64, idx int64) Verdict {
	s := scope{v}.score(w)
	switch {
	case s.failing >= limit:
		return v.verdict(Bad, "fails", failures)
	case s.slowing >= limit:
		return v.verdict(Bad, "is slow", slowness)
	case s.failingAlone >= limit:
		return v.verdict(Suspect, "fails", failures)
	case s.slowingAlone >= limit:
		return v.verdict(Suspect, "is slow", slowness)
	}
	return l.judgeWithoutAlarm(w, v, s.max(), idx)
}

// judgeWithoutAlarm returns the verdict on a route whose scores are all below
// the limit: good, or unknown with the reason.
func (l *Ledger) judgeWithoutAlarm(w *watchedService, v *view, score float64, idx int64) Verdict {
	out := Verdict{Kind: Unknown, Route: v.name, Samples: v.samples}
	switch {
	case v.route.lastCold == idx:
		out.Reason = "caches may be cold"
	case v.samples < l.opt.MinSamples:
		out.Reason = fmt.Sprintf("%d of %d samples", v.samples, l.opt.MinSamples)
	case v.newest <= idx-maxSilentWindows:
		out.Reason = "no recent samples"
	case v.slower(w):
		out.Reason = "slower than the old version"
	case score >= suspectScore:
		out.Reason = "may be worse than the old version"
	default:
		out.Kind = Good
	}
	return out
}

// updateWarmUp marks the current window as one whose slow requests are ignored,
// while the new version's share has just risen or its latency is still falling.
func (l *Ledger) updateWarmUp(w *watchedService, v *view, idx int64) {
	age := time.Duration(idx-w.raised) * Window
	if age < l.opt.WarmUp || age < l.opt.MaxWarmUp && v.route.lastCold >= idx-1 && v.falling() {
		v.route.lastCold = idx
	}
}

// verdict returns a verdict whose reason gives both versions' recent rates.
func (v *view) verdict(kind Kind, what string, m metric) Verdict {
	newRate, oldRate := v.rate(m, spanCount-reasonWindows, nil)
	return Verdict{
		Kind: kind, Route: v.name, Samples: v.samples,
		Reason: fmt.Sprintf("the new version %s on %.1f%% of requests, the old one on %.1f%%", what, 100*newRate, 100*oldRate),
	}
}

package evidence

import (
	"fmt"
	"maps"
	"math"
	"slices"
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
)

const (
	// fewServers is the number of the new version's backend servers below
	// which one of them can't be told from the version.
	fewServers = 3
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
		// share last rose, on the busy route that has fewest.
		Samples int
	}
)

// Judge compares the versions from and to of a service.
func (l *Ledger) Judge(service sassafrastray.ServiceName, from, to sassafrastray.VersionName, now time.Time) Verdict {
	w := l.moves[service]
	if w == nil || w.from != from || w.to != to {
		return Verdict{Kind: Unknown, Reason: "not a move under watch"}
	}
	idx := l.index(now)
	views := l.views(service, w, idx)
	worst := Verdict{Kind: Good, Reason: "no worse than the old version", Samples: math.MaxInt}
	limit := l.limit(len(w.routes))
	for _, name := range slices.Sorted(maps.Keys(views)) {
		v := l.judgeRoute(w, views[name], limit, idx)
		v.Route = name
		if v.Kind == Bad {
			return v
		}
		if v.Samples < 0 {
			continue
		}
		if v.Kind == Unknown && worst.Kind != Unknown {
			v.Samples = min(v.Samples, worst.Samples)
			worst = v
		}
		worst.Samples = min(worst.Samples, v.Samples)
	}
	if worst.Samples == math.MaxInt {
		return Verdict{Kind: Unknown, Reason: "no requests"}
	}
	return worst
}

// limit is the score at which a route is bad. Each of the two tests of each
// route may raise a false alarm in any window, so all of them share Alarms.
func (l *Ledger) limit(routes int) float64 {
	tests := 2 * max(routes, 1) * l.opt.Looks
	return math.Log(float64(tests) / l.opt.Alarms)
}

// judgeRoute judges one route. Samples is negative if the route is not busy
// enough to be waited for.
func (l *Ledger) judgeRoute(w *watched, v *view, limit float64, idx int64) Verdict {
	v.settle()
	r := w.routes[v.route]
	v.learn(r)
	l.excuse(w, r, v, idx)
	failing, slowing := v.score(r)
	for _, skip := range v.suspects(w, failing >= suspicion || slowing >= suspicion) {
		f, s := v.without(skip).score(r)
		failing, slowing = min(failing, f), min(slowing, s)
	}
	switch {
	case failing >= limit:
		return v.bad("fails", failedOf)
	case slowing >= limit:
		return v.bad("is slow", v.slowOf(r))
	}
	if !v.busy {
		return Verdict{Kind: Good, Samples: -1}
	}
	return l.good(v, r, max(failing, slowing), idx)
}

// good tells whether a busy route without an alarm is good.
func (l *Ledger) good(v *view, r *route, score float64, idx int64) Verdict {
	out := Verdict{Kind: Unknown, Samples: v.samples}
	switch {
	case v.samples < l.opt.Samples:
		out.Reason = fmt.Sprintf("%d of %d samples", v.samples, l.opt.Samples)
	case v.newest <= idx-silence:
		out.Reason = "no recent samples"
	case r.cold == idx && v.slower(r):
		out.Reason = "caches are cold"
	case score >= suspicion:
		out.Reason = "may be worse than the old version"
	default:
		out.Kind = Good
	}
	return out
}

// excuse marks the present window as one whose slowness says nothing, while
// the version has just received more traffic or its latency still falls.
func (l *Ledger) excuse(w *watched, r *route, v *view, idx int64) {
	age := time.Duration(idx-w.raised) * Window
	if age < l.opt.Warm || age < l.opt.Excuse && r.cold >= idx-1 && v.falling(idx) {
		r.cold = idx
	}
}

func (v *view) bad(what string, of hits) Verdict {
	now, before := v.rate(of)
	return Verdict{
		Kind: Bad, Samples: v.samples,
		Reason: fmt.Sprintf("the new version %s on %.1f%% of requests, the old one on %.1f%%", what, 100*now, 100*before),
	}
}

package evidence

import (
	"maps"
	"slices"

	"sassafrastray"
)

const (
	// spans is how many spans of time a view has: minutes, then windows.
	spans = minutes + windows
	// slowTail is the part of the old version's requests, as a divisor,
	// that are slower than its usual latency.
	slowTail = 10
	// slowMargin is how many buckets above the usual latency a request is
	// slow while the old version is there to compare with, and
	// lonelyMargin how many when it is not.
	slowMargin   = 1
	lonelyMargin = 2
	// baselineLeast is how many requests of the old version make a baseline.
	baselineLeast = 200
	// fallingBuckets is by how much the mean latency, in buckets, must have
	// fallen over trend windows to count as falling.
	fallingBuckets = 0.5
	trend          = 3
	// slowerFactor and slowerLeast are how much larger the part of slow
	// requests is on a version that is clearly slower.
	slowerFactor = 2
	slowerLeast  = 0.05
	// lately is how many windows the rates in a verdict's reason span.
	lately = 10
)

type (
	// view is one route's counts of all VMs, span by span, oldest first.
	view struct {
		name   sassafrastray.RouteName
		route  *route
		oldest int64 // the oldest window
		raised int64
		// fromAll and toAll are the requests of both versions.
		fromAll, toAll [spans]int
		parts          []*part
		samples        int
		newest         int64
		total          int
		busy           bool
	}

	// part is one VM's counts of a route.
	part struct {
		from  *series
		to    []served
		pairs [metrics][spans]pair
	}

	// served is a part of the new version's counts: those of one backend
	// server.
	served struct {
		backend sassafrastray.BackendName
		series  *series
	}

	// baseline is what is known of the old version, for windows in which it
	// receives no requests.
	baseline struct {
		known bool
		// failed is the part of requests that failed.
		failed float64
		// usual is the bucket that all but the slow tail stay within.
		usual int
	}
)

// views gathers the counts of a service's routes over all sources, in the
// order of the routes' names.
func (l *Ledger) views(service sassafrastray.ServiceName, w *watched, idx int64) []*view {
	byName := map[sassafrastray.RouteName]*view{}
	for name, r := range w.routes {
		byName[name] = &view{name: name, route: r, oldest: idx - windows + 1, raised: w.raised}
	}
	l.gather(l.own, service, w, byName)
	for _, name := range slices.Sorted(maps.Keys(l.peers)) {
		l.gather(l.peers[name], service, w, byName)
	}
	var out []*view
	all := 0
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, byName[name])
		all += byName[name].total
	}
	for _, v := range out {
		v.busy = v.total > 0 && (v.total*busy >= all || v.total >= busyLeast)
	}
	return out
}

// gather adds one source's counts to the views.
func (l *Ledger) gather(src *source, service sassafrastray.ServiceName, w *watched, out map[sassafrastray.RouteName]*view) {
	parts := map[sassafrastray.RouteName]*part{}
	for k, s := range src.series {
		v := out[k.route]
		if k.service != service || v == nil {
			continue
		}
		s.sweep(v.oldest - 1)
		p := parts[k.route]
		if p == nil {
			p = &part{}
			parts[k.route] = p
		}
		if k.version == w.from {
			p.from = s
			v.collect(&v.fromAll, s)
			continue
		}
		p.to = append(p.to, served{k.backend, s})
		v.newest = max(v.newest, v.collect(&v.toAll, s))
	}
	for name, p := range parts {
		v := out[name]
		v.parts = append(v.parts, p)
	}
}

// collect adds a series to the requests of a view, and returns the index of
// the newest window with a request.
func (v *view) collect(into *[spans]int, s *series) int64 {
	var newest int64
	for i := range into {
		c := v.cell(s, i)
		if c == nil {
			continue
		}
		into[i] += int(c.ok + c.failed)
		v.total += int(c.ok + c.failed)
		if i >= minutes {
			newest = c.index
		}
	}
	return newest
}

// first returns the first window of a span. A minute that is still being
// filled begins as early as a full one.
func (v *view) first(span int) int64 {
	if span >= minutes {
		return v.oldest + int64(span-minutes)
	}
	return ((v.oldest-1)/windows - int64(minutes-1-span)) * windows
}

// cell returns a series' cell for a span, or nil if it counts nothing.
func (v *view) cell(s *series, span int) *cell {
	if s == nil {
		return nil
	}
	if span >= minutes {
		return s.held(v.first(span))
	}
	return s.heldMinute(v.first(span) / windows)
}

// sum adds up one version's cells over spans from one to before another.
func (v *view) sum(old bool, start, end int) sum {
	var out sum
	add := func(s *series) {
		for i := start; i < end; i++ {
			if c := v.cell(s, i); c != nil {
				out.plus(c)
			}
		}
	}
	for _, p := range v.parts {
		if old {
			add(p.from)
			continue
		}
		for _, b := range p.to {
			add(b.series)
		}
	}
	return out
}

// learn updates the route's baseline while the old version has requests, and
// counts what is compared with it.
func (v *view) learn() {
	all := v.sum(true, minutes, spans)
	if all.ok+all.failed < baselineLeast {
		all = v.sum(true, 0, spans)
	}
	if n := all.ok + all.failed; n >= baselineLeast && all.ok > 0 {
		v.route.base = baseline{known: true, failed: float64(all.failed) / float64(n), usual: all.quantile()}
	}
	for i := range v.parts {
		v.parts[i].count(v)
	}
}

// falling tells whether the new version's mean latency has fallen over the
// last windows.
func (v *view) falling() bool {
	recent, before := v.sum(false, spans-trend, spans), v.sum(false, spans-2*trend, spans-trend)
	return recent.mean() < before.mean()-fallingBuckets
}

// warm tells whether a span began after the last raise, with warm caches.
func (v *view) warm(span int) bool { return v.first(span) > max(v.raised, v.route.cold) }

// since counts the new version's requests in warm spans.
func (v *view) since() int {
	n := 0
	for span := range spans {
		if v.warm(span) {
			n += v.toAll[span]
		}
	}
	return n
}

// slower tells whether the new version is clearly slower with warm caches
// than the old version is, also without each of the suspects.
func (v *view) slower(w *watched) bool {
	if !v.slowerWithout(nil) {
		return false
	}
	for _, skip := range (scope{v}).suspects(w) {
		if !v.slowerWithout(skip) {
			return false
		}
	}
	return true
}

func (v *view) slowerWithout(skip []sassafrastray.BackendName) bool {
	start := 0
	for start < spans && !v.warm(start) {
		start++
	}
	now, _ := v.rate(slowness, start, skip)
	_, before := v.rate(slowness, 0, nil)
	return v.route.base.known && now > slowerFactor*before+slowerLeast
}

// rate returns the hits' part of the new and of the old version's requests
// from a span on, without the backend servers in skip.
func (v *view) rate(of metric, start int, skip []sassafrastray.BackendName) (now, before float64) {
	var all pair
	for i := range v.parts {
		for span := start; span < spans; span++ {
			all.plus(v.parts[i].without(v, span, of, skip))
		}
	}
	return all.newHits / max(all.newAll, 1), all.oldHits / max(all.oldAll, 1)
}

package evidence

import (
	"maps"
	"slices"

	"sassafrastray"
)

const (
	// spanCount is the number of time spans in a view: first the minutes, then
	// the windows.
	spanCount = minuteCount + windowCount
	// The slowest 1/slowTailDivisor of the old version's requests are above its
	// usual latency.
	slowTailDivisor = 10
	// slowMarginBuckets is the number of buckets above the usual latency beyond
	// which a request is slow, and aloneMarginBuckets the same while there is
	// no old version to compare with.
	slowMarginBuckets  = 1
	aloneMarginBuckets = 2
	// minBaselineRequests is the number of requests to the old version that a
	// baseline needs.
	minBaselineRequests = 200
	// fallingBuckets is the least decrease of the mean latency, in buckets,
	// from one period of trendWindows windows to the next that counts as
	// falling.
	fallingBuckets = 0.5
	trendWindows   = 3
	// A version is clearly slower if its part of slow requests is above
	// slowerFactor times the old version's plus slowerMargin.
	slowerFactor = 2
	slowerMargin = 0.05
	// reasonWindows is the number of windows over which a verdict's reason
	// gives the rates.
	reasonWindows = 10
)

type (
	// view holds one route's counts of all VMs by span, oldest first.
	view struct {
		name   sassafrastray.RouteName
		route  *route
		oldest int64 // the oldest window in the ring
		raised int64
		// fromRequests and toRequests are the numbers of requests to the old
		// and to the new version by span.
		fromRequests, toRequests [spanCount]int
		parts                    []*part
		samples                  int
		newest                   int64
		total                    int
		busy                     bool
	}

	// part holds one VM's counts of a route.
	part struct {
		from  *series
		to    []serverSeries
		pairs [metricCount][spanCount]pair
	}

	// serverSeries holds the new version's counts on one backend server.
	serverSeries struct {
		backend sassafrastray.BackendName
		series  *series
	}

	// baseline describes the old version, for windows in which it receives no
	// requests.
	baseline struct {
		known bool
		// failed is the fraction of requests that failed.
		failed float64
		// usual is the bucket that all but the slowest 1/slowTailDivisor of the
		// requests are within.
		usual int
	}
)

// views returns the counts of a service's routes over all sources, in the order
// of the routes' names.
func (l *Ledger) views(service sassafrastray.ServiceName, w *watchedService, idx int64) []*view {
	byName := map[sassafrastray.RouteName]*view{}
	for name, r := range w.routes {
		byName[name] = &view{name: name, route: r, oldest: idx - windowCount + 1, raised: w.raised}
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
		v.busy = v.total > 0 && (v.total*busyDivisor >= all || v.total >= busyRequests)
	}
	return out
}

// gather adds one source's counts to the views.
func (l *Ledger) gather(src *source, service sassafrastray.ServiceName, w *watchedService, out map[sassafrastray.RouteName]*view) {
	parts := map[sassafrastray.RouteName]*part{}
	for k, s := range src.series {
		v := out[k.route]
		if k.service != service || v == nil {
			continue
		}
		s.rollUp(v.oldest - 1)
		p := parts[k.route]
		if p == nil {
			p = &part{}
			parts[k.route] = p
		}
		if k.version == w.from {
			p.from = s
			v.collect(&v.fromRequests, s)
			continue
		}
		p.to = append(p.to, serverSeries{k.backend, s})
		v.newest = max(v.newest, v.collect(&v.toRequests, s))
	}
	for name, p := range parts {
		v := out[name]
		v.parts = append(v.parts, p)
	}
}

// collect adds a series to the numbers of requests by span in into, and returns
// the index of the newest window with a request.
func (v *view) collect(into *[spanCount]int, s *series) int64 {
	var newest int64
	for i := range into {
		c := v.cell(s, i)
		if c == nil {
			continue
		}
		into[i] += int(c.ok + c.failed)
		v.total += int(c.ok + c.failed)
		if i >= minuteCount {
			newest = c.index
		}
	}
	return newest
}

// firstWindow returns the first window of a span. A minute that is still being
// filled begins as early as a full one.
func (v *view) firstWindow(span int) int64 {
	if span >= minuteCount {
		return v.oldest + int64(span-minuteCount)
	}
	return ((v.oldest-1)/windowCount - int64(minuteCount-1-span)) * windowCount
}

// cell returns a series' cell for a span, or nil if it has no requests.
func (v *view) cell(s *series, span int) *cell {
	if s == nil {
		return nil
	}
	if span >= minuteCount {
		return s.findWindow(v.firstWindow(span))
	}
	return s.findMinute(v.firstWindow(span) / windowCount)
}

// sum returns the total of one version's cells in the spans from start to
// before end.
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

// updateBaseline updates the route's baseline if the old version has enough
// requests, and computes the pairs that are compared.
func (v *view) updateBaseline() {
	all := v.sum(true, minuteCount, spanCount)
	if all.ok+all.failed < minBaselineRequests {
		all = v.sum(true, 0, spanCount)
	}
	if n := all.ok + all.failed; n >= minBaselineRequests && all.ok > 0 {
		v.route.base = baseline{known: true, failed: float64(all.failed) / float64(n), usual: all.quantile()}
	}
	for i := range v.parts {
		v.parts[i].computePairs(v)
	}
}

// falling reports whether the new version's mean latency is lower over the
// latest windows than over those before.
func (v *view) falling() bool {
	recent, before := v.sum(false, spanCount-trendWindows, spanCount), v.sum(false, spanCount-2*trendWindows, spanCount-trendWindows)
	return recent.mean() < before.mean()-fallingBuckets
}

// warm reports whether a span began after the last raise and with warm caches.
func (v *view) warm(span int) bool { return v.firstWindow(span) > max(v.raised, v.route.lastCold) }

// warmSamples returns the number of requests to the new version in warm spans.
func (v *view) warmSamples() int {
	n := 0
	for span := range spanCount {
		if v.warm(span) {
			n += v.toRequests[span]
		}
	}
	return n
}

// slower reports whether the new version is, with warm caches, clearly slower
// than the old one, also without each of the suspects.
func (v *view) slower(w *watchedService) bool {
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
	for start < spanCount && !v.warm(start) {
		start++
	}
	newRate, _ := v.rate(slowness, start, skip)
	_, oldRate := v.rate(slowness, 0, nil)
	return v.route.base.known && newRate > slowerFactor*oldRate+slowerMargin
}

// rate returns the hits as a fraction of the new and of the old version's
// requests from the span start on, without the backend servers in skip.
func (v *view) rate(m metric, start int, skip []sassafrastray.BackendName) (newRate, oldRate float64) {
	var all pair
	for i := range v.parts {
		for span := start; span < spanCount; span++ {
			all.plus(v.parts[i].pairWithout(v, span, m, skip))
		}
	}
	return all.newHits / max(all.newAll, 1), all.oldHits / max(all.oldAll, 1)
}

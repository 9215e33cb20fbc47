package evidence

import (
	"math"
	"slices"

	"sassafrastray"
)

const (
	// slowTail is the part of the old version's requests, as a divisor,
	// that are slower than its usual latency.
	slowTail = 10
	// slowMargin is how many buckets above the usual latency a request is
	// slow while the old version is there to compare with, and
	// lonelyMargin how many when it is not.
	slowMargin   = 1
	lonelyMargin = 4
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
	// maxSuspects bounds how many backend servers are left out in turn.
	maxSuspects = 4
)

type (
	// view is one route's counts of all VMs, window by window, oldest first.
	view struct {
		route  sassafrastray.RouteName
		oldest int64
		from   [windows]cell
		to     [windows]cell
		// backends holds the new version's counts by backend server.
		backends map[sassafrastray.BackendName]*[windows]cell
		samples  int
		newest   int64
		total    int
		busy     bool
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

// views gathers the counts of a service's routes over all sources.
func (l *Ledger) views(service sassafrastray.ServiceName, w *watched, idx int64) map[sassafrastray.RouteName]*view {
	out := map[sassafrastray.RouteName]*view{}
	l.gather(l.own, service, w, idx, out)
	for _, p := range l.peers {
		l.gather(p, service, w, idx, out)
	}
	all := 0
	for _, v := range out {
		all += v.total
	}
	for _, v := range out {
		v.busy = v.total > 0 && (v.total*busy >= all || v.total >= busyLeast)
	}
	return out
}

func (l *Ledger) gather(src *source, service sassafrastray.ServiceName, w *watched, idx int64, out map[sassafrastray.RouteName]*view) {
	for k, s := range src.series {
		if k.service != service {
			continue
		}
		v := out[k.route]
		if v == nil {
			v = &view{route: k.route, oldest: idx - windows + 1, backends: map[sassafrastray.BackendName]*[windows]cell{}}
			out[k.route] = v
		}
		if k.version == w.from {
			v.collect(&v.from, s)
			continue
		}
		v.samples += s.since(w.raised, idx)
		if v.backends[k.backend] == nil {
			v.backends[k.backend] = &[windows]cell{}
		}
		v.collect(v.backends[k.backend], s)
	}
}

// collect adds a series to the windows of a view.
func (v *view) collect(into *[windows]cell, s *series) {
	for i := range s.ring {
		if c := &s.ring[i]; c.index >= v.oldest && c.index < v.oldest+windows && c.ok+c.failed > 0 {
			into[c.index-v.oldest].plus(c)
			v.total += int(c.ok + c.failed)
		}
	}
}

// settle sums the new version over its backend servers.
func (v *view) settle() {
	for _, b := range v.backends {
		for i := range b {
			v.to[i].plus(&b[i])
			if b[i].ok+b[i].failed > 0 {
				v.newest = max(v.newest, v.oldest+int64(i))
			}
		}
	}
}

// without returns the view without the new version's backend servers in skip.
func (v *view) without(skip []sassafrastray.BackendName) *view {
	rest := &view{route: v.route, oldest: v.oldest, from: v.from, backends: map[sassafrastray.BackendName]*[windows]cell{}}
	for name, b := range v.backends {
		if !slices.Contains(skip, name) {
			rest.backends[name] = b
		}
	}
	rest.settle()
	return rest
}

// suspects returns the sets of backend servers that are left out in turn: the
// single servers with most failures and slow requests, and all servers of one
// failure domain. A version is bad only if it looks bad without each of them.
func (v *view) suspects(w *watched, needed bool) [][]sassafrastray.BackendName {
	if !needed || len(v.backends) < fewServers {
		return nil
	}
	var names []sassafrastray.BackendName
	domains := map[sassafrastray.DomainName][]sassafrastray.BackendName{}
	for name := range v.backends {
		names = append(names, name)
		domains[w.domains[name]] = append(domains[w.domains[name]], name)
	}
	weight := v.weights()
	slices.SortFunc(names, func(a, b sassafrastray.BackendName) int { return weight[b] - weight[a] })
	var out [][]sassafrastray.BackendName
	for _, n := range names[:min(len(names), maxSuspects)] {
		out = append(out, []sassafrastray.BackendName{n})
	}
	if len(domains) >= fewServers {
		for _, d := range domains {
			out = append(out, d)
		}
	}
	return out
}

// weights ranks backend servers by failures and by requests that are slow
// even for the new version.
func (v *view) weights() map[sassafrastray.BackendName]int {
	var all cell
	for i := range v.to {
		all.plus(&v.to[i])
	}
	cut := all.quantile() + slowMargin
	out := map[sassafrastray.BackendName]int{}
	for name, b := range v.backends {
		for i := range b {
			out[name] += int(b[i].failed) + b[i].above(cut)
		}
	}
	return out
}

// learn updates the route's baseline while the old version has requests.
func (v *view) learn(r *route) {
	var all cell
	for i := range v.from {
		all.plus(&v.from[i])
	}
	n := int(all.ok + all.failed)
	if n < baselineLeast || all.ok == 0 {
		return
	}
	r.base = baseline{known: true, failed: float64(all.failed) / float64(n), usual: all.quantile()}
}

// falling tells whether the new version's mean latency has fallen over the
// last windows.
func (v *view) falling(idx int64) bool {
	last := int(idx - v.oldest)
	recent, before := mean(v.to[last-trend+1:last+1]), mean(v.to[last-2*trend+1:last-trend+1])
	return recent < before-fallingBuckets
}

// slower tells whether the new version was clearly slower of late than the
// old version is.
func (v *view) slower(r *route) bool {
	of := v.slowOf(r)
	var hits, all int
	for i := len(v.to) - trend; i < len(v.to); i++ {
		h, n := of(&v.to[i], false)
		hits, all = hits+h, all+n
	}
	_, before := v.rate(of)
	return r.base.known && float64(hits) > (slowerFactor*before+slowerLeast)*float64(all)
}

// mean returns the mean bucket of the cells' latencies.
func mean(cells []cell) float64 {
	n, sum := 0.0, 0.0
	for i := range cells {
		for b, c := range cells[i].latency {
			n += float64(c)
			sum += float64(c) * float64(b)
		}
	}
	return sum / math.Max(n, 1)
}

// quantile returns the bucket above which only the slow tail lies.
func (c *cell) quantile() int {
	rest := int(c.ok) / slowTail
	for b := buckets - 1; b > 0; b-- {
		rest -= int(c.latency[b])
		if rest < 0 {
			return b
		}
	}
	return 0
}

// above counts the requests in buckets above cut.
func (c *cell) above(cut int) int {
	n := 0
	for b := min(cut+1, buckets); b < buckets; b++ {
		n += int(c.latency[b])
	}
	return n
}

func (c *cell) plus(o *cell) {
	c.ok += o.ok
	c.failed += o.failed
	for b := range c.latency {
		c.latency[b] += o.latency[b]
	}
}

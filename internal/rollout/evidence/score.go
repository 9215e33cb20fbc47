package evidence

import "math"

const (
	// lonely is the part of the old version's requests in a window, as a
	// divisor, below which the window is compared with the baseline.
	lonely = 50
	// failedCeiling is the least part of failures, without an old version to
	// compare with, that a version is suspected from; failedFactor raises it
	// with the baseline.
	failedCeiling = 0.1
	failedFactor  = 4
	// slowCeiling is the same for slow requests.
	slowCeiling = 0.5
	// farther is by how much the alternative's odds exceed the ceiling's.
	farther = 9
	// highest bounds the failures ceiling.
	highest = 0.7
)

// odds are the odds ratios that the test looks for. A difference well below
// the least is not called bad, however sure it is.
var odds = [...]float64{2, 4, 16, 64}

type (
	// pair is one window's hits (failures or slow requests) and requests.
	pair struct {
		oldHits, oldAll, newHits, newAll float64
	}

	// hits returns the hits and the requests that they are counted among.
	hits func(c *cell, alone bool) (int, int)
)

func failedOf(c *cell, _ bool) (int, int) { return int(c.failed), int(c.ok + c.failed) }

// slowOf returns the hits function of slow requests. Failed requests have no
// latency.
func (v *view) slowOf(r *route) hits {
	return func(c *cell, alone bool) (int, int) {
		margin := slowMargin
		if alone {
			margin = lonelyMargin
		}
		return c.above(r.base.usual + margin), int(c.ok)
	}
}

// score returns how strongly the view speaks for a version that fails more,
// and for one that is slower.
func (v *view) score(r *route) (failing, slowing float64) {
	failing = v.detect(failedOf, 0, math.Min(highest, math.Max(failedCeiling, failedFactor*r.base.failed)))
	if r.base.known {
		slowing = v.detect(v.slowOf(r), r.cold+1, slowCeiling)
	}
	return failing, slowing
}

// detect runs a cumulative sum of log likelihood ratios over the windows from
// the window start on, once for each odds ratio, and returns the highest. The
// sum restarts whenever it falls below zero, so that a version that turns bad
// late is found as soon as one that was bad at once.
func (v *view) detect(of hits, start int64, ceiling float64) float64 {
	best := 0.0
	for _, ratio := range odds {
		sum := 0.0
		for i := range v.to {
			if v.oldest+int64(i) < start {
				continue
			}
			sum = math.Max(0, sum+v.window(i, of, ratio, ceiling))
		}
		best = math.Max(best, sum-math.Log(float64(len(odds))))
	}
	return best
}

// window returns the log likelihood ratio of one window.
func (v *view) window(i int, of hits, ratio, ceiling float64) float64 {
	from, to := &v.from[i], &v.to[i]
	oldAll, newAll := from.ok+from.failed, to.ok+to.failed
	if newAll == 0 {
		return 0
	}
	if oldAll*lonely < newAll {
		h, n := of(to, true)
		return alone(float64(h), float64(n), ceiling)
	}
	var p pair
	h, n := of(from, false)
	p.oldHits, p.oldAll = float64(h), float64(n)
	h, n = of(to, false)
	p.newHits, p.newAll = float64(h), float64(n)
	return p.ratio(ratio)
}

// ratio returns the log likelihood ratio of the hits' split between the
// versions, for the odds ratio against none. Given the sum of hits, the split
// is hypergeometric if the versions are alike, whatever the rate of hits is,
// so trouble that strikes both versions does not count. The binomial bound on
// the hypergeometric distribution's moments makes the ratio's expectation at
// most one for like versions and for better ones.
func (p pair) ratio(odds float64) float64 {
	if p.newAll == 0 {
		return 0
	}
	part := p.newAll / (p.newAll + p.oldAll)
	return p.newHits*math.Log(odds) - (p.newHits+p.oldHits)*math.Log1p(part*(odds-1))
}

// alone returns the log likelihood ratio of n requests with h hits for a rate
// far above the ceiling against the ceiling.
func alone(h, n, ceiling float64) float64 {
	o := farther * ceiling / (1 - ceiling)
	higher := o / (1 + o)
	return h*math.Log(higher/ceiling) + (n-h)*math.Log((1-higher)/(1-ceiling))
}

// rate returns the hits' part of the new and of the old version's requests.
func (v *view) rate(of hits) (now, before float64) {
	var a, b [2]int
	for i := range v.to {
		h, n := of(&v.to[i], false)
		a[0], a[1] = a[0]+h, a[1]+n
		h, n = of(&v.from[i], false)
		b[0], b[1] = b[0]+h, b[1]+n
	}
	return float64(a[0]) / math.Max(float64(a[1]), 1), float64(b[0]) / math.Max(float64(b[1]), 1)
}

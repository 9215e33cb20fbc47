package evidence

import (
	"math"
	"slices"

	"sassafrastray"
)

// Metrics.
const (
	failures metric = iota
	slowness
	metrics
)

const (
	// lonely is the part of the old version's requests in a window, as a
	// divisor, below which the window is compared with the baseline.
	lonely = 50
	// both is the same for one VM to be compared within itself.
	both = 10
	// failedCeiling is the least part of failures, without an old version to
	// compare with, that a version is suspected from; failedFactor raises it
	// with the baseline.
	failedCeiling = 0.1
	failedFactor  = 4
	// slowCeiling is the same for slow requests.
	slowCeiling = 0.2
	// farther is by how much the alternative's odds exceed the ceiling's.
	farther = 4
	// highest bounds the failures ceiling.
	highest = 0.7
)

// odds are the odds ratios that the test looks for. A difference well below
// the least is not called bad, however sure it is.
var odds = [...]float64{2, 4, 16, 64}

type (
	// pair is the hits (failures or slow requests) and requests of both
	// versions, in one window of one VM or of several.
	pair struct {
		oldHits, oldAll, newHits, newAll float64
	}

	// stratum is what is compared of one window: pairs, or the new version
	// alone if the old one has hardly any requests.
	stratum struct {
		pairs []pair
		alone pair
	}

	// scores are how strongly the evidence speaks for a new version that
	// fails or is slow more often than the old one, and for one that does so
	// very often while the old one has no requests.
	scores struct {
		failing, slowing, failingAlone, slowingAlone float64
	}

	// metric is what is compared between the versions.
	metric int
)

// hits returns a cell's hits and the requests that they are counted among.
// Without the old version, more must be wrong for a slow request. Failed
// requests have no latency.
func (v *view) hits(of metric, c *cell, alone bool) (int, int) {
	switch {
	case of == failures:
		return int(c.failed), int(c.ok + c.failed)
	case alone:
		return c.above(v.route.base.usual + lonelyMargin), int(c.ok)
	}
	return c.above(v.route.base.usual + slowMargin), int(c.ok)
}

// scoreWithout returns the scores without the backend servers in skip.
func (s scope) scoreWithout(skip []sassafrastray.BackendName) scores {
	var failed, slow [spans]stratum
	for _, v := range s {
		v.strata(&failed, failures, 0, skip)
		if v.route.base.known {
			v.strata(&slow, slowness, v.route.cold+1, skip)
		}
	}
	out := scores{failing: detect(&failed), slowing: detect(&slow)}
	if len(s) == 1 {
		base := s[0].route.base
		out.failingAlone = detectAlone(&failed, math.Min(highest, math.Max(failedCeiling, failedFactor*base.failed)))
		out.slowingAlone = detectAlone(&slow, slowCeiling)
	}
	return out
}

// min keeps the lower of each score.
func (s *scores) min(o scores) {
	s.failing, s.slowing = math.Min(s.failing, o.failing), math.Min(s.slowing, o.slowing)
	s.failingAlone, s.slowingAlone = math.Min(s.failingAlone, o.failingAlone), math.Min(s.slowingAlone, o.slowingAlone)
}

func (s *scores) max() float64 {
	return math.Max(math.Max(s.failing, s.slowing), math.Max(s.failingAlone, s.slowingAlone))
}

// strata adds the view's spans that begin with the window start or later.
// Minutes must have begun after the last raise too, since the share must not
// change within them. Each VM that sends to both versions is compared within
// itself, so that trouble on one VM's way to all backend servers does not
// count. The other VMs are compared together.
func (v *view) strata(out *[spans]stratum, of metric, start int64, skip []sassafrastray.BackendName) {
	for span := range spans {
		first := v.first(span)
		if v.toAll[span] == 0 || first < start || span < minutes && first <= v.raised {
			continue
		}
		var rest pair
		for i := range v.parts {
			p := v.parts[i].without(v, span, of, skip)
			switch {
			case v.alone(span):
				out[span].alone.plus(p)
			case p.newAll > 0 && p.oldAll*both >= p.newAll:
				out[span].pairs = append(out[span].pairs, p)
			default:
				rest.plus(p)
			}
		}
		out[span].pairs = append(out[span].pairs, rest)
	}
}

// alone tells whether the old version has hardly any requests in a span.
func (v *view) alone(span int) bool { return v.fromAll[span]*lonely < v.toAll[span] }

// count fills in the pairs of a part.
func (p *part) count(v *view) {
	for of := range p.pairs {
		for span := range spans {
			p.pairs[of][span] = pair{}
			if c := v.cell(p.from, span); c != nil {
				p.pairs[of][span].old(v.hits(metric(of), c, false))
			}
		}
	}
	for _, b := range p.to {
		for span := range spans {
			if c := v.cell(b.series, span); c != nil {
				p.pairs[failures][span].new(v.hits(failures, c, v.alone(span)))
				p.pairs[slowness][span].new(v.hits(slowness, c, v.alone(span)))
			}
		}
	}
}

// without returns the pair of one span without the backend servers in skip.
func (p *part) without(v *view, span int, of metric, skip []sassafrastray.BackendName) pair {
	out := p.pairs[of][span]
	if len(skip) == 0 {
		return out
	}
	for _, b := range p.to {
		if c := v.cell(b.series, span); c != nil && slices.Contains(skip, b.backend) {
			h, n := v.hits(of, c, v.alone(span))
			out.new(-h, -n)
		}
	}
	return out
}

func (p *pair) old(hits, all int) {
	p.oldHits, p.oldAll = p.oldHits+float64(hits), p.oldAll+float64(all)
}

func (p *pair) new(hits, all int) {
	p.newHits, p.newAll = p.newHits+float64(hits), p.newAll+float64(all)
}

func (p *pair) plus(o pair) {
	p.oldHits, p.oldAll = p.oldHits+o.oldHits, p.oldAll+o.oldAll
	p.newHits, p.newAll = p.newHits+o.newHits, p.newAll+o.newAll
}

// detect runs a cumulative sum of log likelihood ratios over the windows, once
// for each odds ratio, and returns the highest. The sum restarts whenever it
// falls below zero, so that a version that turns bad late is found as soon as
// one that was bad at once.
func detect(strata *[spans]stratum) float64 {
	best := 0.0
	for _, ratio := range odds {
		sum := 0.0
		for _, s := range strata {
			add := 0.0
			for _, p := range s.pairs {
				add += p.ratio(ratio)
			}
			sum = math.Max(0, sum+add)
		}
		best = math.Max(best, sum-math.Log(float64(len(odds))))
	}
	return best
}

// detectAlone is detect for the windows without the old version.
func detectAlone(strata *[spans]stratum, ceiling float64) float64 {
	sum := 0.0
	for _, s := range strata {
		sum = math.Max(0, sum+alone(s.alone.newHits, s.alone.newAll, ceiling))
	}
	return sum
}

// ratio returns the log likelihood ratio of the hits' split between the
// versions, for the odds ratio against none. Given the sum of hits, the split
// is hypergeometric if the versions are alike, whatever the rate of hits is,
// so trouble that strikes both versions does not count. The binomial bound on
// the hypergeometric distribution's moments makes the ratio's expectation at
// most one for like versions and for better ones.
func (p pair) ratio(odds float64) float64 {
	if p.newAll == 0 || p.newHits+p.oldHits == 0 {
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

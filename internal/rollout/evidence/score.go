package evidence

import (
	"math"
	"slices"

	"sassafrastray"
)

// Metrics that are compared between the versions. The constant metricCount is
// their number.
const (
	failures metric = iota
	slowness
	metricCount
)

const (
	// A window is compared with the baseline if the old version received less
	// than 1/aloneDivisor of the new version's requests in it.
	aloneDivisor = 50
	// A VM's versions are compared on that VM alone if its old version received
	// at least 1/pairedDivisor of its new version's requests.
	pairedDivisor = 10
	// failedCeiling is the least failure rate from which a version is suspect
	// without an old version to compare with. The ceiling is failedFactor times
	// the baseline's failure rate if that is higher.
	failedCeiling = 0.1
	failedFactor  = 4
	// slowCeiling is the rate of slow requests from which a version is suspect
	// without an old version to compare with.
	slowCeiling = 0.2
	// aloneOddsRatio is the ratio of the alternative hypothesis's odds to the
	// ceiling's.
	aloneOddsRatio = 4
	// maxFailedCeiling bounds the ceiling of the failure rate.
	maxFailedCeiling = 0.7
)

// oddsRatios are the odds ratios that the test looks for. A difference well
// below the lowest is not called bad, however certain it is.
var oddsRatios = [...]float64{2, 4, 16, 64}

type (
	// pair holds both versions' requests and hits (failures or slow requests)
	// in one window, of one VM or of several.
	pair struct {
		oldHits, oldAll, newHits, newAll float64
	}

	// stratum holds what is compared in one window: pairs, or the new version
	// alone if the old one has hardly any requests.
	stratum struct {
		pairs []pair
		alone pair
	}

	// scores are the log likelihood ratios for a new version that fails or is
	// slow more often than the old one, and for one that does so very often
	// while the old one has hardly any requests.
	scores struct {
		failing, slowing, failingAlone, slowingAlone float64
	}

	// metric selects what is compared between the versions.
	metric int
)

// hits returns the number of a cell's hits and of the requests that they are
// counted among. If the old version has hardly any requests, as alone says, a
// request must be slower to count as slow. Failed requests have no latency.
func (v *view) hits(m metric, c *cell, alone bool) (int, int) {
	switch {
	case m == failures:
		return int(c.failed), int(c.ok + c.failed)
	case alone:
		return c.above(v.route.base.usual + aloneMarginBuckets), int(c.ok)
	}
	return c.above(v.route.base.usual + slowMarginBuckets), int(c.ok)
}

// scoreWithout returns the scores without the backend servers in skip.
func (s scope) scoreWithout(skip []sassafrastray.BackendName) scores {
	var failed, slow [spanCount]stratum
	for _, v := range s {
		v.strata(&failed, failures, 0, skip)
		if v.route.base.known {
			v.strata(&slow, slowness, v.route.lastCold+1, skip)
		}
	}
	out := scores{failing: cusum(&failed), slowing: cusum(&slow)}
	if len(s) == 1 {
		base := s[0].route.base
		out.failingAlone = cusumAlone(&failed, math.Min(maxFailedCeiling, math.Max(failedCeiling, failedFactor*base.failed)))
		out.slowingAlone = cusumAlone(&slow, slowCeiling)
	}
	return out
}

// min sets each score to the lower of the two.
func (s *scores) min(o scores) {
	s.failing, s.slowing = math.Min(s.failing, o.failing), math.Min(s.slowing, o.slowing)
	s.failingAlone, s.slowingAlone = math.Min(s.failingAlone, o.failingAlone), math.Min(s.slowingAlone, o.slowingAlone)
}

func (s *scores) max() float64 {
	return math.Max(math.Max(s.failing, s.slowing), math.Max(s.failingAlone, s.slowingAlone))
}

// strata adds the view's spans that begin in the window start or later. Spans
// of a minute must also begin after the last raise, since the share must not
// change within them. Each VM that sends to both versions is compared within
// itself, so that network faults between one VM and all backend servers do not
// count. The other VMs are compared together.
func (v *view) strata(out *[spanCount]stratum, m metric, start int64, skip []sassafrastray.BackendName) {
	for span := range spanCount {
		first := v.firstWindow(span)
		if v.toRequests[span] == 0 || first < start || span < minuteCount && first <= v.raised {
			continue
		}
		var rest pair
		for i := range v.parts {
			p := v.parts[i].pairWithout(v, span, m, skip)
			switch {
			case v.alone(span):
				out[span].alone.plus(p)
			case p.newAll > 0 && p.oldAll*pairedDivisor >= p.newAll:
				out[span].pairs = append(out[span].pairs, p)
			default:
				rest.plus(p)
			}
		}
		out[span].pairs = append(out[span].pairs, rest)
	}
}

// alone reports whether the old version has hardly any requests in a span.
func (v *view) alone(span int) bool { return v.fromRequests[span]*aloneDivisor < v.toRequests[span] }

// computePairs computes the pairs of a part.
func (p *part) computePairs(v *view) {
	for m := range p.pairs {
		for span := range spanCount {
			p.pairs[m][span] = pair{}
			if c := v.cell(p.from, span); c != nil {
				p.pairs[m][span].old(v.hits(metric(m), c, false))
			}
		}
	}
	for _, b := range p.to {
		for span := range spanCount {
			if c := v.cell(b.series, span); c != nil {
				p.pairs[failures][span].new(v.hits(failures, c, v.alone(span)))
				p.pairs[slowness][span].new(v.hits(slowness, c, v.alone(span)))
			}
		}
	}
}

// pairWithout returns the pair of one span without the backend servers in skip.
func (p *part) pairWithout(v *view, span int, m metric, skip []sassafrastray.BackendName) pair {
	out := p.pairs[m][span]
	if len(skip) == 0 {
		return out
	}
	for _, b := range p.to {
		if c := v.cell(b.series, span); c != nil && slices.Contains(skip, b.backend) {
			h, n := v.hits(m, c, v.alone(span))
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

// cusum runs a cumulative sum (CUSUM) test of log likelihood ratios over the
// spans, once for each odds ratio, and returns the highest score. The sum
// restarts whenever it falls below zero, so that a version that turns bad late
// is detected as soon as one that was bad from the start.
func cusum(strata *[spanCount]stratum) float64 {
	best := 0.0
	for _, ratio := range oddsRatios {
		sum := 0.0
		for _, s := range strata {
			add := 0.0
			for _, p := range s.pairs {
				add += p.logLikelihoodRatio(ratio)
			}
			sum = math.Max(0, sum+add)
		}
		best = math.Max(best, sum-math.Log(float64(len(oddsRatios))))
	}
	return best
}

// cusumAlone is cusum for the spans in which the old version has hardly any
// requests.
func cusumAlone(strata *[spanCount]stratum, ceiling float64) float64 {
	sum := 0.0
	for _, s := range strata {
		sum = math.Max(0, sum+aloneLogLikelihoodRatio(s.alone.newHits, s.alone.newAll, ceiling))
	}
	return sum
}

// logLikelihoodRatio returns the log likelihood ratio of the hits' split
// between the versions, for the given odds ratio against an odds ratio of one.
// Given the sum of hits, the split is hypergeometric if the versions are alike,
// whatever the rate of hits is, so faults that affect both versions do not
// count. The binomial bound on the hypergeometric distribution's moments makes
// the expectation of the likelihood ratio at most one if the new version is
// like the old one or better.
func (p pair) logLikelihoodRatio(odds float64) float64 {
	if p.newAll == 0 || p.newHits+p.oldHits == 0 {
		return 0
	}
	part := p.newAll / (p.newAll + p.oldAll)
	return p.newHits*math.Log(odds) - (p.newHits+p.oldHits)*math.Log1p(part*(odds-1))
}

// aloneLogLikelihoodRatio returns the log likelihood ratio of h hits among n
// requests, for a rate far above the ceiling against the ceiling.
func aloneLogLikelihoodRatio(h, n, ceiling float64) float64 {
	o := aloneOddsRatio * ceiling / (1 - ceiling)
	higher := o / (1 + o)
	return h*math.Log(higher/ceiling) + (n-h)*math.Log((1-higher)/(1-ceiling))
}

package evidence

type (
	// sum is the total of the cells of many VMs and windows.
	sum struct {
		ok, failed int
		latency    [bucketCount]int
	}
)

func (s *sum) plus(c *cell) {
	s.ok += int(c.ok)
	s.failed += int(c.failed)
	for b, n := range c.latency {
		s.latency[b] += int(n)
	}
}

// quantile returns the bucket above which at most 1/slowTailDivisor of the
// latencies lie.
func (s *sum) quantile() int {
	rest := s.ok / slowTailDivisor
	for b := bucketCount - 1; b > 0; b-- {
		rest -= s.latency[b]
		if rest < 0 {
			return b
		}
	}
	return 0
}

// mean returns the mean bucket of the latencies.
func (s *sum) mean() float64 {
	total := 0
	for b, n := range s.latency {
		total += b * n
	}
	return float64(total) / float64(max(s.ok, 1))
}

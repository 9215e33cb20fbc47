package trace

import "slices"

// ordered returns the steps, each after all that caused it: the lines of one run
// in their order, and a line of another VM before what rests on it. Wall clocks
// decide only among lines that neither rule orders.
func (c *collector) ordered() []Step {
	rest := slices.Clone(c.order)
	var steps []Step
	for len(rest) > 0 {
		best := -1
		for i, l := range rest {
			if c.blocked(l, rest) {
				continue
			}
			if best < 0 || l.sooner(rest[best]) {
				best = i
			}
		}
		if best < 0 {
			// Lines that claim to cause each other can't all be right; the
			// clocks are what is left.
			best = 0
			for i, l := range rest {
				if l.sooner(rest[best]) {
					best = i
				}
			}
		}
		steps = append(steps, Step{*rest[best], c.roles[rest[best]]})
		rest = slices.Delete(rest, best, best+1)
	}
	return steps
}

// blocked tells whether another of the lines has to come first.
func (c *collector) blocked(l *Line, rest []*Line) bool {
	return slices.ContainsFunc(rest, func(o *Line) bool {
		return o != l && (o.sameRun(l) && o.before(l) || o.causes(l))
	})
}

func (l *Line) sooner(o *Line) bool {
	if n := l.Time.Compare(o.Time); n != 0 {
		return n < 0
	}
	return l.VM < o.VM
}

package trace

import "slices"

// ordered returns the steps in causal order: the lines of one run by their numbers,
// and a line of another VM before the lines that it caused. Wall clocks decide
// only among lines that neither rule orders.
func (c *collector) ordered() []Step {
	rest := slices.Clone(c.order)
	var steps []Step
	for len(rest) > 0 {
		best := -1
		for i, l := range rest {
			if c.blocked(l, rest) {
				continue
			}
			if best < 0 || l.earlier(rest[best]) {
				best = i
			}
		}
		if best < 0 {
			// The remaining lines form a cycle of causes, so some of them
			// are wrong. Only their clocks can order them.
			best = 0
			for i, l := range rest {
				if l.earlier(rest[best]) {
					best = i
				}
			}
		}
		steps = append(steps, Step{*rest[best], c.roles[rest[best]]})
		rest = slices.Delete(rest, best, best+1)
	}
	return steps
}

// blocked reports whether another of the lines has to come first.
func (c *collector) blocked(l *Line, rest []*Line) bool {
	return slices.ContainsFunc(rest, func(o *Line) bool {
		return o != l && (o.sameRun(l) && o.before(l) || o.causes(l))
	})
}

// earlier compares by wall clock, and by the VM's name if the clocks agree.
func (l *Line) earlier(o *Line) bool {
	if n := l.Time.Compare(o.Time); n != 0 {
		return n < 0
	}
	return l.VM < o.VM
}

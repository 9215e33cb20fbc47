package trace

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/operator/message"
)

// Roles of the lines of an explanation.
const (
	RoleRequest Role = "request" // the line is about the request itself
	RoleBelief  Role = "belief"  // the VM assumed it when it decided
	RoleSource  Role = "source"  // another VM's line that caused a RoleBelief line
	RoleLater   Role = "later"   // what the VM learned only after the request
)

// maxLaterDelay bounds the time between a request and a later line about its
// backend server: entries of backend servers need this long to expire and to
// reach all VMs.
const maxLaterDelay = 5 * time.Second

type (
	// Role is the reason why a line belongs to an explanation.
	Role string

	// Step is one line of an explanation.
	Step struct {
		Line
		Role Role
	}

	// Explanation holds the lines about a request and those about the state that
	// its VM assumed, each after the lines that caused it.
	Explanation struct {
		ID    string
		Cause string
		Steps []Step
		// Servers are the backend servers that the request was sent to.
		Servers []Server
		// Skipped and Missing are copied from the Log.
		Skipped, Missing int
	}

	// Server counts the tries of other requests at a backend server.
	Server struct {
		Name          string
		Tries, Failed int
	}
)

// ErrNotFound means that no line names the request.
var ErrNotFound = errors.New("no line names the request")

// Explain returns the explanation of the request with the id. It returns
// ErrNotFound if no line names the request.
func (l *Log) Explain(id string) (*Explanation, error) {
	e := &Explanation{ID: id, Skipped: l.Skipped, Missing: l.Missing}
	var own []*Line
	for i := range l.Lines {
		if l.Lines[i].text("request") == id {
			own = append(own, &l.Lines[i])
		}
	}
	if len(own) == 0 {
		return nil, errors.Wrapf(ErrNotFound, "request %s", id)
	}
	c := &collector{log: l, roles: make(map[*Line]Role)}
	for _, line := range own {
		c.add(line, RoleRequest)
	}
	for _, line := range own {
		c.addBeliefs(line)
	}
	c.addSources()
	e.Steps = c.ordered()
	e.Servers = l.countTries(id, own)
	e.Cause = cause(e)
	return e, nil
}

// collector gathers the lines of an explanation.
type collector struct {
	log   *Log
	roles map[*Line]Role
	order []*Line
}

// add adds a line that is not nil, unless it was added before.
func (c *collector) add(l *Line, r Role) {
	if l == nil {
		return
	}
	if _, ok := c.roles[l]; !ok {
		c.roles[l] = r
		c.order = append(c.order, l)
	}
}

// last returns the latest matching line before own in the same run, or nil.
func (c *collector) last(own *Line, match func(*Line) bool) *Line {
	return c.best(own, func(l *Line) bool { return l.before(own) && match(l) }, func(l, best *Line) bool { return best.before(l) })
}

// next returns the first matching line after own in the same run, or nil.
func (c *collector) next(own *Line, match func(*Line) bool) *Line {
	return c.best(own, func(l *Line) bool { return own.before(l) && match(l) }, func(l, best *Line) bool { return l.before(best) })
}

// best returns the matching line of own's run that is better than all others, or
// nil.
func (c *collector) best(own *Line, match func(*Line) bool, better func(l, best *Line) bool) *Line {
	var best *Line
	for i := range c.log.Lines {
		l := &c.log.Lines[i]
		if l.sameRun(own) && match(l) && (best == nil || better(l, best)) {
			best = l
		}
	}
	return best
}

func withMessage(names ...string) func(*Line) bool {
	return func(l *Line) bool { return slices.Contains(names, l.Message) }
}

// addOpenState adds the latest line with one of the two messages if it is begin,
// so that the state had begun and not ended. It reports whether it added one.
func (c *collector) addOpenState(own *Line, begin, end string) bool {
	l := c.last(own, withMessage(begin, end))
	if l == nil || l.Message != begin {
		return false
	}
	c.add(l, RoleBelief)
	return true
}

// addBeliefs adds the lines about the state that the VM assumed when it wrote own.
func (c *collector) addBeliefs(own *Line) {
	config, service := own.number("config"), own.text("service")
	c.add(c.last(own, func(l *Line) bool {
		return l.Message == message.ConfigApplied && (config == 0 || l.number("config") == config)
	}), RoleBelief)
	if c.addOpenState(own, message.StoreUnreachable, message.StoreReachable) {
		c.add(c.last(own, withMessage(message.StoreCopyReceived)), RoleBelief)
	}
	c.addOpenState(own, message.Draining, message.Serving)
	c.addOpenState(own, message.PartitionBegun, message.PartitionEnded)
	c.add(c.last(own, withMessage(message.VMStalled)), RoleBelief)
	if service != "" {
		c.add(c.last(own, func(l *Line) bool { return l.Message == message.Rollout && l.text("service") == service }), RoleBelief)
	}
	if own.text("reason") == "quota" {
		c.addSilentPeers(own)
	}
	if name := own.text("backend"); name != "" {
		c.addServerState(own, name)
	}
}

// addSilentPeers adds the lines about VMs that were silent, because their shares
// of a quota stay reserved.
func (c *collector) addSilentPeers(own *Line) {
	peers := make(map[string]bool)
	for i := range c.log.Lines {
		l := &c.log.Lines[i]
		if l.sameRun(own) && l.Message == message.VMSilent {
			peers[l.text("peer")] = true
		}
	}
	for peer := range peers {
		l := c.last(own, func(l *Line) bool {
			return (l.Message == message.VMSilent || l.Message == message.VMHeardAgain) && l.text("peer") == peer
		})
		if l != nil && l.Message == message.VMSilent {
			c.add(l, RoleBelief)
		}
	}
}

// addServerState adds what the VM knew of a backend server, and what it learned
// about it soon after.
func (c *collector) addServerState(own *Line, name string) {
	c.add(c.last(own, func(l *Line) bool {
		return l.Message == message.ServersChanged && (l.listContains("added", name) || l.listContains("leaving", name) || l.listContains("removed", name))
	}), RoleBelief)
	c.add(c.last(own, func(l *Line) bool {
		return (l.Message == message.ServerExcluded || l.Message == message.ServerReadmitted) && l.text("backend") == name
	}), RoleBelief)
	if own.Message == message.Answered {
		return
	}
	soon := func(l *Line) bool { return l.Time.Sub(own.Time) < maxLaterDelay }
	c.add(c.next(own, func(l *Line) bool {
		return l.Message == message.ServersChanged && (l.listContains("leaving", name) || l.listContains("removed", name)) && soon(l)
	}), RoleLater)
	c.add(c.next(own, func(l *Line) bool { return l.Message == message.ServerExcluded && l.text("backend") == name && soon(l) }), RoleLater)
}

// addSources adds the lines of other VMs that caused the lines collected so far.
func (c *collector) addSources() {
	for _, line := range slices.Clone(c.order) {
		for i := range c.log.Lines {
			if l := &c.log.Lines[i]; l.causes(line) {
				c.add(l, RoleSource)
			}
		}
	}
}

// causes reports whether l is a line of another VM that led to o.
func (l *Line) causes(o *Line) bool {
	if l.sameRun(o) {
		return false
	}
	switch {
	case o.Message == message.Rollout && l.Message == message.RolloutWritten:
		return l.number("written") == o.number("revision") && l.text("service") == o.text("service")
	case o.Message == message.StoreCopyReceived && l.Message == message.ConfigApplied:
		return l.VM == o.text("from") && l.number("revision") == o.number("revision")
	case o.Message == message.StoreCopyReceived && l.Message == message.ServersChanged:
		return l.VM == o.text("from") && l.number("revision") == o.number("revision")
	case l.text("request") != "" && l.text("request") == o.text("request"):
		// The VM that received the request from the caller decides first where
		// to send it; then another VM places it.
		return (l.Message == message.Routed || l.Message == message.Retried) && o.Message == message.Placed
	}
	return false
}

// countTries counts the tries of other requests, and those that failed, at the
// backend servers in the own lines.
func (l *Log) countTries(id string, own []*Line) []Server {
	var out []Server
	for _, o := range own {
		name := o.text("backend")
		if name == "" || slices.ContainsFunc(out, func(s Server) bool { return s.Name == name }) {
			continue
		}
		s := Server{Name: name}
		for i := range l.Lines {
			line := &l.Lines[i]
			if line.text("backend") != name || line.text("request") == id {
				continue
			}
			switch line.Message {
			case message.Answered:
				s.Tries++
			case message.TryFailed:
				s.Tries++
				s.Failed++
			}
		}
		out = append(out, s)
	}
	return out
}

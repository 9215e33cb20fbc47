package trace

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/operator/message"
)

// Roles of lines in a story.
const (
	Own    Role = "request" // the line is about the request itself
	Belief Role = "belief"  // the VM held it when it decided
	Source Role = "source"  // another VM's line that the belief came from
	Later  Role = "later"   // what the VM learned only after the request
)

// laterTime is how long after a request what its VM learned may still bear on
// it: the time that entries of backend servers take to lapse and to spread.
const laterTime = 5 * time.Second

type (
	// Role tells why a line belongs to a story.
	Role string

	// Step is one line of a story.
	Step struct {
		Line
		Role Role
	}

	// Story is what the logs tell of a request: its lines and what they rest
	// on, each after what caused it.
	Story struct {
		ID    string
		Cause string
		Steps []Step
		// Servers are those that the request was sent to.
		Servers []Server
		// Skipped and Missing are those of the Log.
		Skipped, Missing int
	}

	// Server is how other requests fared at a backend server.
	Server struct {
		Name          string
		Tries, Failed int
	}
)

// ErrUnknown says that no line names the request.
var ErrUnknown = errors.New("no line names the request")

// Story returns the story of the request with the id. It returns ErrUnknown if
// there is none.
func (l *Log) Story(id string) (*Story, error) {
	s := &Story{ID: id, Skipped: l.Skipped, Missing: l.Missing}
	var own []*Line
	for i := range l.Lines {
		if l.Lines[i].text("request") == id {
			own = append(own, &l.Lines[i])
		}
	}
	if len(own) == 0 {
		return nil, errors.Wrapf(ErrUnknown, "request %s", id)
	}
	c := &collector{log: l, roles: make(map[*Line]Role)}
	for _, line := range own {
		c.add(line, Own)
	}
	for _, line := range own {
		c.beliefs(line)
	}
	c.sources()
	s.Steps = c.ordered()
	s.Servers = l.servers(id, own)
	s.Cause = cause(s)
	return s, nil
}

// collector gathers the lines of a story.
type collector struct {
	log   *Log
	roles map[*Line]Role
	order []*Line
}

// add takes a line in, unless it is in already.
func (c *collector) add(l *Line, r Role) {
	if l == nil {
		return
	}
	if _, ok := c.roles[l]; !ok {
		c.roles[l] = r
		c.order = append(c.order, l)
	}
}

// last returns the latest line of own's run before it that matches, or nil.
func (c *collector) last(own *Line, match func(*Line) bool) *Line {
	return c.best(own, func(l *Line) bool { return l.before(own) && match(l) }, func(l, best *Line) bool { return best.before(l) })
}

// next returns the first line of own's run after it that matches, or nil.
func (c *collector) next(own *Line, match func(*Line) bool) *Line {
	return c.best(own, func(l *Line) bool { return own.before(l) && match(l) }, func(l, best *Line) bool { return l.before(best) })
}

// best returns the line of own's run that matches and is better than all others.
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

func said(names ...string) func(*Line) bool {
	return func(l *Line) bool { return slices.Contains(names, l.Message) }
}

// open adds the latest of two messages if it is the first of them: the state
// that it begins had not ended. It reports whether that is so.
func (c *collector) open(own *Line, begin, end string) bool {
	l := c.last(own, said(begin, end))
	if l == nil || l.Message != begin {
		return false
	}
	c.add(l, Belief)
	return true
}

// beliefs adds what the VM held when it wrote the line.
func (c *collector) beliefs(own *Line) {
	config, service := own.number("config"), own.text("service")
	c.add(c.last(own, func(l *Line) bool {
		return l.Message == message.Configured && (config == 0 || l.number("config") == config)
	}), Belief)
	if c.open(own, message.StoreAway, message.StoreBack) {
		c.add(c.last(own, said(message.StoreCopied)), Belief)
	}
	c.open(own, message.Draining, message.Serving)
	c.add(c.last(own, said(message.StoodStill)), Belief)
	if service != "" {
		c.add(c.last(own, func(l *Line) bool { return l.Message == message.Rollout && l.text("service") == service }), Belief)
	}
	if own.text("reason") == "quota" {
		c.silences(own)
	}
	if name := own.text("backend"); name != "" {
		c.server(own, name)
	}
}

// silences adds the VMs that were not heard of, because their parts of a rate
// stay reserved.
func (c *collector) silences(own *Line) {
	peers := make(map[string]bool)
	for i := range c.log.Lines {
		l := &c.log.Lines[i]
		if l.sameRun(own) && l.Message == message.VMSilent {
			peers[l.text("peer")] = true
		}
	}
	for peer := range peers {
		l := c.last(own, func(l *Line) bool {
			return (l.Message == message.VMSilent || l.Message == message.VMHeard) && l.text("peer") == peer
		})
		if l != nil && l.Message == message.VMSilent {
			c.add(l, Belief)
		}
	}
}

// server adds what the VM knew of a backend server, and what it learned next.
func (c *collector) server(own *Line, name string) {
	c.add(c.last(own, func(l *Line) bool {
		return l.Message == message.ServersChanged && (l.names("added", name) || l.names("leaving", name) || l.names("removed", name))
	}), Belief)
	c.add(c.last(own, func(l *Line) bool {
		return (l.Message == message.ServerLeftOut || l.Message == message.ServerUsed) && l.text("backend") == name
	}), Belief)
	if own.Message == message.Answered {
		return
	}
	soon := func(l *Line) bool { return l.Time.Sub(own.Time) < laterTime }
	c.add(c.next(own, func(l *Line) bool {
		return l.Message == message.ServersChanged && (l.names("leaving", name) || l.names("removed", name)) && soon(l)
	}), Later)
	c.add(c.next(own, func(l *Line) bool { return l.Message == message.ServerLeftOut && l.text("backend") == name && soon(l) }), Later)
}

// sources adds the lines of other VMs from which beliefs came.
func (c *collector) sources() {
	for _, belief := range slices.Clone(c.order) {
		for i := range c.log.Lines {
			if l := &c.log.Lines[i]; l.causes(belief) {
				c.add(l, Source)
			}
		}
	}
}

// causes tells whether a line of another VM is what the line rests on.
func (l *Line) causes(o *Line) bool {
	if l.sameRun(o) {
		return false
	}
	switch {
	case o.Message == message.Rollout && l.Message == message.RolloutWritten:
		return l.number("written") == o.number("revision") && l.text("service") == o.text("service")
	case o.Message == message.StoreCopied && l.Message == message.Configured:
		return l.VM == o.text("from") && l.number("revision") == o.number("revision")
	case o.Message == message.StoreCopied && l.Message == message.ServersChanged:
		return l.VM == o.text("from") && l.number("revision") == o.number("revision")
	case l.text("request") != "" && l.text("request") == o.text("request"):
		// The VM that the caller spoke to decides first, on where to go.
		return (l.Message == message.Routed || l.Message == message.Retried) && o.Message == message.Placed
	}
	return false
}

// servers counts how other requests fared at the backend servers of the own
// lines.
func (l *Log) servers(id string, own []*Line) []Server {
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

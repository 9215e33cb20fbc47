package connection

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// minPause and maxPause bound the time before accepting is tried again after an
	// error.
	minPause = 5 * time.Millisecond
	maxPause = time.Second
)

// acceptor accepts the connections of a group.
type acceptor struct {
	net.Listener
	group *Group
}

// Listener returns a listener whose connections belong to the group. Accept only fails
// if the listener is closed.
func (g *Group) Listener(ln net.Listener) net.Listener {
	return &acceptor{Listener: ln, group: g}
}

// Accept waits for a connection that the group has room for.
func (l *acceptor) Accept() (net.Conn, error) {
	pause := minPause
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.group.acceptFailed(err, pause)
			time.Sleep(pause)
			pause = min(2*pause, maxPause)
			continue
		}
		pause = minPause
		if l.group.admit(c) {
			return c, nil
		}
		c.Close()
	}
}

// acceptFailed records an error of accepting. The connection that is closed for it may be
// what was missing.
func (g *Group) acceptFailed(err error, pause time.Duration) {
	b := g.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.errors.WithLabelValues(string(g.purpose)).Inc()
	if now := b.clock.Now(); now.Sub(g.lastErrorLog) >= logInterval {
		g.lastErrorLog = now
		b.log.Error(message.AcceptFailed, "purpose", g.purpose, "error", err.Error(), "pause", pause, "open", len(g.members), "bound", g.bound(), "servers", b.servers)
	}
	g.closeOne()
}

// Attach makes the server tell the group what its connections do. A request that the
// group has no room for is passed to refuse instead, and its connection closed.
func (g *Group) Attach(s *fasthttp.Server, refuse fasthttp.RequestHandler) {
	handle := s.Handler
	s.ConnState = g.setState
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		if !g.begin(ctx.Conn()) {
			refuse(ctx)
			ctx.SetConnectionClose()
			return
		}
		handle(ctx)
		if g.isCrowded() {
			ctx.SetConnectionClose()
		}
	}
}

func (g *Group) setState(c net.Conn, s fasthttp.ConnState) {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	m := g.members[c]
	if m == nil {
		return
	}
	if m.in == nil {
		g.handled--
		m.in = &g.unused
	}
	switch s {
	case fasthttp.StateActive:
		g.move(m, &g.headers)
	case fasthttp.StateIdle:
		g.move(m, &g.unused)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		g.remove(m)
	}
}

// begin records that a request of the connection is handled from now on, and reports
// whether there is room for it.
func (g *Group) begin(c net.Conn) bool {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	m := g.members[c]
	if m == nil || m.in == nil {
		return m != nil
	}
	g.move(m, nil)
	g.handled++
	if !m.refused && g.mostHandled > 0 && g.handled > g.mostHandled {
		g.count("refused")
		return false
	}
	return !m.refused
}

func (g *Group) isCrowded() bool {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	return float64(len(g.members)) >= crowded*float64(g.bound())
}

// peek reports whether the connection is open and has unread bytes.
func peek(c net.Conn) (open, readable bool) { return upstream.Peek(c) }

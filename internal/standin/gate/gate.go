// Package gate has a listener that can be shut and opened again.
package gate

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Gate is a listener. While it is shut, the machine refuses connections to its
// address, and those that it accepted are closed.
type Gate struct {
	addr netip.AddrPort

	mu     sync.Mutex
	opened *sync.Cond
	ln     net.Listener
	closed bool
	conns  map[*Conn]struct{}
}

// New returns an open gate. Port 0 takes a free one, which the gate keeps.
func New(addr netip.AddrPort) (*Gate, error) {
	g := &Gate{addr: addr, conns: map[*Conn]struct{}{}}
	g.opened = sync.NewCond(&g.mu)
	if err := g.Open(); err != nil {
		return nil, err
	}
	g.addr = netip.AddrPortFrom(addr.Addr(), uint16(g.ln.Addr().(*net.TCPAddr).Port))
	return g, nil
}

// Open listens again.
func (g *Gate) Open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ln != nil || g.closed {
		return nil
	}
	ln, err := net.Listen("tcp", g.addr.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	g.ln = ln
	g.opened.Broadcast()
	return nil
}

// Shut stops listening and closes the connections.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut()
}

func (g *Gate) shut() {
	if g.ln != nil {
		g.ln.Close()
		g.ln = nil
	}
	for c := range g.conns {
		c.Conn.Close()
	}
	clear(g.conns)
}

// Accept returns the next connection; it waits while the gate is shut.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		for g.ln == nil && !g.closed {
			g.opened.Wait()
		}
		ln := g.ln
		g.mu.Unlock()
		if ln == nil {
			return nil, net.ErrClosed
		}
		nc, err := ln.Accept()
		if c, err := g.admit(ln, nc, err); c != nil || err != nil {
			return c, err
		}
	}
}

// admit returns the connection, or the error of accepting it. It returns
// neither if the gate has been shut since.
func (g *Gate) admit(ln net.Listener, nc net.Conn, err error) (net.Conn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ln != ln {
		if err == nil {
			nc.Close()
		}
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}
	c := &Conn{nc, g}
	g.conns[c] = struct{}{}
	return c, nil
}

// Close shuts the gate for good.
func (g *Gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.shut()
	g.opened.Broadcast()
	return nil
}

// Addr returns the address.
func (g *Gate) Addr() net.Addr { return net.TCPAddrFromAddrPort(g.addr) }

// AddrPort returns the address.
func (g *Gate) AddrPort() netip.AddrPort { return g.addr }

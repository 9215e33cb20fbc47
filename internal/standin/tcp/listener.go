// Package tcp has a TCP listener that can be suspended and resumed, and whose
// connections report when the client closes them.
package tcp

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Listener is a TCP listener that can be suspended. Suspending it closes the
// connections that it accepted, and until it is resumed the operating system
// refuses new connections to its address.
type Listener struct {
	addr netip.AddrPort

	mu sync.Mutex
	// resumed is signaled when the listener is resumed or closed.
	resumed *sync.Cond
	// ln is nil while the listener is suspended or closed.
	ln     net.Listener
	closed bool
	conns  map[*Conn]struct{}
}

// Listen returns a listener on the address. Port 0 selects a free port, which is
// used again when the listener is resumed.
func Listen(addr netip.AddrPort) (*Listener, error) {
	l := &Listener{addr: addr, conns: map[*Conn]struct{}{}}
	l.resumed = sync.NewCond(&l.mu)
	if err := l.Resume(); err != nil {
		return nil, err
	}
	l.addr = netip.AddrPortFrom(addr.Addr(), uint16(l.ln.Addr().(*net.TCPAddr).Port))
	return l, nil
}

// Resume listens again. It has no effect on a listener that is not suspended or
// that is closed.
func (l *Listener) Resume() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil || l.closed {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	l.ln = ln
	l.resumed.Broadcast()
	return nil
}

// Suspend stops listening and closes all accepted connections.
func (l *Listener) Suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspend()
}

// suspend implements Suspend. The caller holds mu.
func (l *Listener) suspend() {
	if l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	for c := range l.conns {
		c.Conn.Close()
	}
	clear(l.conns)
}

// Accept implements net.Listener. While the listener is suspended, it waits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		for l.ln == nil && !l.closed {
			l.resumed.Wait()
		}
		ln := l.ln
		l.mu.Unlock()
		if ln == nil {
			return nil, net.ErrClosed
		}
		nc, err := ln.Accept()
		if c, err := l.register(ln, nc, err); c != nil || err != nil {
			return c, err
		}
	}
}

// register returns the result of accepting from ln and keeps track of the
// connection. It returns nil twice if Suspend or Close has closed ln meanwhile, so
// that the caller checks the state of the listener again.
func (l *Listener) register(ln net.Listener, nc net.Conn, err error) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != ln {
		if err == nil {
			nc.Close()
		}
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}
	c := &Conn{nc, l}
	l.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener. It also closes all accepted connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.suspend()
	l.resumed.Broadcast()
	return nil
}

// Addr implements net.Listener. The port stays the same while suspended.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// AddrPort returns the address as a netip.AddrPort.
func (l *Listener) AddrPort() netip.AddrPort { return l.addr }

// Package upstream exchanges requests and answers with backend servers and
// with other VMs over pooled connections.
//
// It never repeats a request by itself: whether a request may be tried again
// is decided by the caller from the result of the exchange. A connection whose
// exchange did not end cleanly is closed and never used again.
package upstream

import (
	"bufio"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

const (
	// bufferSize is the size of a connection's read and write buffers in
	// bytes. It bounds the size of an answer's header.
	bufferSize = 16 << 10

	// provedFor is the default of Options.Proved.
	provedFor = time.Second

	// spare is how long before the other side closes an idle connection it
	// is no longer used.
	spare = time.Second

	// userTimeout is how long sent bytes may stay unacknowledged before the
	// kernel gives the connection up.
	userTimeout = 6 * time.Second

	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 4
)

type (
	// Options bound a Pool.
	Options struct {
		// Dial bounds the time to open a connection.
		Dial time.Duration
		// Idle is how long an unused connection is kept.
		Idle time.Duration
		// MaxIdle is how many unused connections are kept per address.
		MaxIdle int
		// ID is the header that carries a request's id in both directions;
		// empty means Request-Id.
		ID string
		// Proved is how long after its last clean answer a connection may carry
		// a request that must not be executed twice; zero means a second.
		Proved time.Duration
		// Strays is how many answers to other requests may be dropped before
		// the one that belongs to the request.
		Strays int
		// Unframed accepts answers whose end is that of their connection.
		Unframed bool
	}

	// Pool keeps connections by address.
	Pool struct {
		clock sassafrastray.Clock
		opt   Options

		mu   sync.Mutex
		idle map[netip.AddrPort][]*conn
		// suspect holds, by address, the time of the latest silence.
		// Connections opened before it are not used again.
		suspect map[netip.AddrPort]time.Time
	}

	// conn is one connection with its buffers.
	conn struct {
		net.Conn
		address netip.AddrPort
		r       *bufio.Reader
		w       *bufio.Writer
		opened  time.Time
		used    time.Time
		// idle is how long the other side keeps the connection without a
		// request, if it says so.
		idle time.Duration

		// wrote is set before the first byte of an exchange is handed to the
		// kernel, whether or not the kernel accepts it.
		wrote    bool
		writeErr error
		readErr  error
	}
)

// New returns a Pool without connections.
func New(clock sassafrastray.Clock, opt Options) *Pool {
	if opt.ID == "" {
		opt.ID = idHeader
	}
	if opt.Proved == 0 {
		opt.Proved = provedFor
	}
	return &Pool{
		clock: clock, opt: opt,
		idle:    make(map[netip.AddrPort][]*conn),
		suspect: make(map[netip.AddrPort]time.Time),
	}
}

// Write passes bytes on and notes that bytes may have left.
func (c *conn) Write(b []byte) (int, error) {
	c.wrote = true
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read notes why reading failed, which the HTTP parser's errors hide.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// get returns a connection to the address. With proved set, a pooled
// connection is used only if it carried an answer a moment ago and shows no
// sign of being closed.
func (p *Pool) get(address netip.AddrPort, proved bool, deadline time.Time) (*conn, error) {
	now := p.clock.Now()
	p.mu.Lock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		age := now.Sub(c.used)
		old := age > p.idleFor(c) || (proved && age > p.opt.Proved) || c.opened.Before(p.suspect[address])
		if old || !quiet(c.Conn) {
			c.Close()
			continue
		}
		p.mu.Unlock()
		c.wrote, c.writeErr, c.readErr = false, nil, nil
		return c, nil
	}
	p.mu.Unlock()
	return p.dial(address, now, deadline)
}

// idleFor returns how long the connection may stay unused.
func (p *Pool) idleFor(c *conn) time.Duration {
	if c.idle > 0 {
		return min(p.opt.Idle, max(0, c.idle-spare))
	}
	return p.opt.Idle
}

func (p *Pool) dial(address netip.AddrPort, now, deadline time.Time) (*conn, error) {
	d := net.Dialer{
		Timeout: min(p.opt.Dial, deadline.Sub(now)),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	if d.Timeout <= 0 {
		return nil, errors.New("dial: deadline passed")
	}
	nc, err := d.Dial("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	c := &conn{Conn: nc, address: address, opened: now, used: now}
	c.r = bufio.NewReaderSize(c, bufferSize)
	c.w = bufio.NewWriterSize(c, bufferSize)
	return c, nil
}

// put keeps a connection whose exchange ended cleanly.
func (p *Pool) put(c *conn) {
	c.used = p.clock.Now()
	if c.r.Buffered() > 0 || c.w.Buffered() > 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= p.opt.MaxIdle || c.opened.Before(p.suspect[c.address]) {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// silent notes that a connection gave no answer in time. All unused
// connections to the address that are as old as it are closed, because
// whatever lost track of one may have lost track of them too. The address
// itself is not blamed: new connections to it are opened as before.
func (p *Pool) silent(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect[c.address] = p.clock.Now()
	for _, i := range p.idle[c.address] {
		i.Close()
	}
	delete(p.idle, c.address)
}

// Sweep closes connections that were unused for too long and forgets
// silences that no connection is old enough to share.
func (p *Pool) Sweep() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.used) > p.idleFor(c) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, a)
			continue
		}
		p.idle[a] = kept
	}
	for a, t := range p.suspect {
		if now.Sub(t) > time.Hour {
			delete(p.suspect, a)
		}
	}
}

// Close closes all unused connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, a)
	}
}

// Package upstream exchanges requests and responses with backend servers and
// with other VMs over pooled connections.
//
// It never retries a request itself: the caller decides from the outcome of an
// exchange whether to send the request again. A connection whose exchange did
// not end cleanly is closed and never reused.
package upstream

import (
	"bufio"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"sassafrastray"
)

const (
	// bufferSize is the size of the read and write buffers of a connection in
	// bytes. It also bounds the size of a response header.
	bufferSize = 16 << 10

	// defaultFreshFor is the default of Options.FreshFor.
	defaultFreshFor = time.Second

	// idleCloseMargin is the time before the other side closes an idle connection
	// in which it is no longer reused.
	idleCloseMargin = time.Second

	// maxIdleTimeout bounds how long an unused connection is kept that the other side keeps
	// open for longer.
	maxIdleTimeout = time.Minute

	// rememberedIDs is the number of requests whose IDs a connection remembers.
	rememberedIDs = 4

	// userTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	userTimeout = 6 * time.Second

	// The user timeout also ends keep-alive probes, so all of them are sent within it.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// errFull means that the process may have no further connection.
var errFull = errors.New("no descriptor is free")

type (
	// Descriptors bounds the connections of pools.
	Descriptors interface {
		// Acquire takes a descriptor. It returns false if none is free.
		Acquire() bool
		// Release returns a descriptor.
		Release()
	}

	// Options are the limits and protocol settings of a Pool.
	Options struct {
		// DialTimeout bounds the time to open a connection.
		DialTimeout time.Duration
		// MaxDials bounds the connections that are being opened at the same time. Further
		// calls wait. Zero means no bound.
		MaxDials int
		// IdleTimeout is how long an unused connection is kept if the other side does not
		// state how long it keeps it.
		IdleTimeout time.Duration
		// MaxIdlePerAddress is how many unused connections are kept per address.
		MaxIdlePerAddress int
		// IDHeader is the header that carries the ID of a request in both
		// directions; empty means Request-Id. A connection is only reused after a
		// response with the ID of its request, and not for a request without one.
		IDHeader string
		// FreshFor is how long after its last complete response a connection may
		// carry a request that must not be executed twice if the other side does not
		// state how long it keeps it; zero means one second.
		FreshFor time.Duration
		// MaxDiscarded is how many responses to other requests an exchange may
		// discard before the one that belongs to its request.
		MaxDiscarded int
		// Dialed, if set, is called after each attempt to open a connection, with the
		// time when it began.
		Dialed func(to netip.AddrPort, from time.Time, err error)
		// Descriptors, if set, bounds the connections.
		Descriptors Descriptors
		// AllowUnframed accepts responses without a length, which end with their
		// connection.
		AllowUnframed bool
	}

	// Pool holds unused connections by address. It is safe for concurrent use.
	Pool struct {
		clock sassafrastray.Clock
		opt   Options

		mu   sync.Mutex
		idle map[netip.AddrPort][]*conn
		// timedOutAt holds, by address, when an exchange last timed out without a
		// response. Connections opened before that are not reused.
		timedOutAt map[netip.AddrPort]time.Time
		// dials has an entry for each connection that is being opened. It is nil if their
		// number is not bounded.
		dials chan struct{}
	}

	// conn is a connection with its buffers.
	conn struct {
		net.Conn
		address  netip.AddrPort
		r        *bufio.Reader
		w        *bufio.Writer
		opened   time.Time
		lastUsed time.Time
		// peerIdleTimeout is how long the other side keeps the connection open
		// without a request, or zero if it did not say.
		peerIdleTimeout time.Duration

		// wrote is set before the first byte of an exchange is passed to the
		// kernel, whether or not the kernel accepts it.
		wrote    bool
		writeErr error
		readErr  error

		// reused means that the connection carried another request before, and
		// answered that a response was read from it.
		reused, answered bool
		// carried holds hashes of the IDs of its latest requests, and next is the
		// place of the next one.
		carried [rememberedIDs]uint64
		next    int

		// release, if set, is called when the connection is closed.
		release func()
	}
)

// New returns an empty Pool.
func New(clock sassafrastray.Clock, opt Options) *Pool {
	if opt.IDHeader == "" {
		opt.IDHeader = IDHeader
	}
	if opt.FreshFor == 0 {
		opt.FreshFor = defaultFreshFor
	}
	p := &Pool{
		clock: clock, opt: opt,
		idle:       make(map[netip.AddrPort][]*conn),
		timedOutAt: make(map[netip.AddrPort]time.Time),
	}
	if opt.MaxDials > 0 {
		p.dials = make(chan struct{}, opt.MaxDials)
	}
	return p
}

// Close closes the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.release != nil {
		c.release()
	}
	return err
}

// Write writes to the connection and records that bytes may have been sent.
func (c *conn) Write(b []byte) (int, error) {
	c.wrote = true
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read records why reading failed, which the errors of the HTTP parser hide.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// get returns a connection for the call. A pooled connection is used only if it is
// open and has nothing to read, and if its last response ended recently enough. A
// request without an ID and one that the connection has carried before need another
// one: a late response could not be told from the one that is waited for.
func (p *Pool) get(call Call, id []byte) (*conn, error) {
	address, now := call.Address, p.clock.Now()
	if len(id) == 0 {
		return p.dial(address, now, call.Deadline)
	}
	hash := xxhash.Sum64(id)
	p.mu.Lock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		stale := now.Sub(c.lastUsed) > p.idleTimeout(c, call.RequireFresh) || c.opened.Before(p.timedOutAt[address])
		if !stale && slices.Contains(c.carried[:], hash) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		p.idle[address] = list
		if stale || !reusable(c.Conn) {
			c.Close()
			continue
		}
		p.mu.Unlock()
		c.wrote, c.writeErr, c.readErr, c.reused = false, nil, nil, true
		c.remember(hash)
		return c, nil
	}
	p.mu.Unlock()
	c, err := p.dial(address, now, call.Deadline)
	if err == nil {
		c.remember(hash)
	}
	return c, err
}

// remember records the ID of a request that the connection carries.
func (c *conn) remember(hash uint64) {
	c.carried[c.next] = hash
	c.next = (c.next + 1) % len(c.carried)
}

// idleTimeout returns how long the connection may stay unused. If the other side states when
// it closes the connection, it may carry any request until then: keep-alive probes find a
// connection that has gone silent.
func (p *Pool) idleTimeout(c *conn, requireFresh bool) time.Duration {
	switch {
	case c.peerIdleTimeout > 0:
		return min(maxIdleTimeout, max(0, c.peerIdleTimeout-idleCloseMargin))
	case requireFresh:
		return min(p.opt.IdleTimeout, p.opt.FreshFor)
	default:
		return p.opt.IdleTimeout
	}
}

func (p *Pool) dial(address netip.AddrPort, now, deadline time.Time) (*conn, error) {
	if !p.awaitDial(deadline.Sub(now)) {
		return nil, errors.New("dial: too many connections are being opened")
	}
	defer p.endDial()
	d := net.Dialer{
		Timeout: min(p.opt.DialTimeout, deadline.Sub(p.clock.Now())),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	if d.Timeout <= 0 {
		return nil, errors.New("dial: deadline passed")
	}
	release, ok := p.acquire()
	if !ok {
		return nil, errFull
	}
	nc, err := d.Dial("tcp", address.String())
	if errors.IsAny(err, syscall.EMFILE, syscall.ENFILE) {
		err = errors.Mark(err, errFull)
	}
	if p.opt.Dialed != nil && !errors.Is(err, errFull) {
		p.opt.Dialed(address, now, err)
	}
	if err != nil {
		release()
		return nil, errors.Wrap(err, "dial")
	}
	c := &conn{Conn: nc, address: address, opened: now, lastUsed: now, release: release}
	c.r = bufio.NewReaderSize(c, bufferSize)
	c.w = bufio.NewWriterSize(c, bufferSize)
	return c, nil
}

// awaitDial waits until fewer than MaxDials connections are being opened. It returns false
// if that takes longer than limit.
func (p *Pool) awaitDial(limit time.Duration) bool {
	if p.dials == nil {
		return true
	}
	select {
	case p.dials <- struct{}{}:
		return true
	default:
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case p.dials <- struct{}{}:
		return true
	case <-t.C:
		return false
	}
}

func (p *Pool) endDial() {
	if p.dials != nil {
		<-p.dials
	}
}

// acquire takes a descriptor for a connection. If none is free, it closes an unused one.
func (p *Pool) acquire() (release func(), ok bool) {
	d := p.opt.Descriptors
	if d == nil {
		return func() {}, true
	}
	for !d.Acquire() {
		if !p.closeUnused() {
			return nil, false
		}
	}
	return sync.OnceFunc(d.Release), true
}

// closeUnused closes one unused connection. It returns false if there is none.
func (p *Pool) closeUnused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		if len(list) == 0 {
			continue
		}
		list[0].Close()
		if p.idle[a] = list[1:]; len(list) == 1 {
			delete(p.idle, a)
		}
		return true
	}
	return false
}

// Refuses reports whether no connection to the address can be opened.
func (p *Pool) Refuses(address netip.AddrPort, deadline time.Time) bool {
	now := p.clock.Now()
	c, err := p.dial(address, now, deadline)
	if err != nil {
		return now.Before(deadline) && !errors.Is(err, errFull)
	}
	p.put(c)
	return false
}

// put returns a connection whose exchange ended cleanly to the pool.
func (p *Pool) put(c *conn) {
	c.lastUsed = p.clock.Now()
	if c.r.Buffered() > 0 || c.w.Buffered() > 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= p.opt.MaxIdlePerAddress || c.opened.Before(p.timedOutAt[c.address]) {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// recordTimeout records that an exchange timed out without a response. It closes all
// unused connections to the address, because whatever lost the state of one
// connection may have lost theirs too. The address itself stays in use: new
// connections to it are opened as before.
func (p *Pool) recordTimeout(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timedOutAt[c.address] = p.clock.Now()
	for _, i := range p.idle[c.address] {
		i.Close()
	}
	delete(p.idle, c.address)
}

// Sweep closes connections that were unused for too long, and those that can't be used
// again: one whose other side sends bytes without a request holds a socket buffer full of
// them. It also forgets timeouts that are so old that any connection opened before them is
// likely to be closed.
func (p *Pool) Sweep() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.lastUsed) > p.idleTimeout(c, false) || !reusable(c.Conn) {
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
	for a, t := range p.timedOutAt {
		if now.Sub(t) > time.Hour {
			delete(p.timedOutAt, a)
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

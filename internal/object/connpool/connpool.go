// Package connpool makes HTTP calls to one address over a pool of connections,
// with one call at a time on each. It does not retry failed calls and reports
// whether any byte of a failed call may have been sent. When a connection fails, it
// also closes the idle connections that the same fault may have broken.
package connpool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"sassafrastray/internal/traffic/head"
)

const (
	// maxIdle bounds the idle connections that a pool keeps, and maxIdleTime how long it
	// keeps one.
	maxIdle     = 8
	maxIdleTime = 10 * time.Second

	// maxResponseBytes bounds the size of a response's body.
	maxResponseBytes = 256 << 20

	// TCP keep-alive probes detect a dead connection on which a watch waits,
	// within the seconds allowed for a configuration to take effect.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2

	// userTimeout is how long sent data may remain unacknowledged.
	userTimeout = 3 * time.Second
)

var (
	errCanceled   = errors.New("call canceled")
	errNotAllowed = errors.New("the call may not be sent any more")
)

type (
	// Pool is a pool of connections to one address. It is safe for concurrent
	// use.
	Pool struct {
		addr netip.AddrPort
		// discards is whether a connection that closes discards what is not sent.
		discards bool
		mu       sync.Mutex
		idle     []*clientConn
		lastCall uint64
	}

	// clientConn is one connection with its buffers.
	clientConn struct {
		addr netip.AddrPort
		r    *bufio.Reader
		w    *bufio.Writer
		// sent tells whether any byte of the current call may have been sent.
		sent atomic.Bool
		// mayWrite, if set, is asked before each write of the current call.
		mayWrite func() bool
		discards bool
		// lastAnswered is the number of the last call that got a response, and answeredAt
		// its time.
		lastAnswered uint64
		answeredAt   time.Time
		// ctx ends when the connection is aborted.
		ctx    context.Context
		cancel context.CancelFunc

		mu   sync.Mutex
		conn net.Conn
	}

	// trackedConn records in its owner that bytes were written.
	trackedConn struct {
		net.Conn
		owner *clientConn
	}
)

// New returns a pool for the address. It opens connections on demand.
func New(addr netip.AddrPort) *Pool { return &Pool{addr: addr} }

// NewDiscarding returns a pool as New does whose connections discard unsent bytes when they
// are closed. The kernel would transmit those of an aborted call later.
func NewDiscarding(addr netip.AddrPort) *Pool { return &Pool{addr: addr, discards: true} }

// Do sends the request on a connection that no other call uses at the same time,
// and reads the whole response before the context's deadline and limit. It reports
// whether any byte of the request may have been sent. A connection whose call
// failed is closed.
func (p *Pool) Do(
	ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, limit time.Duration,
) (sent bool, err error) {
	return p.DoWhile(ctx, nil, req, resp, limit)
}

// DoWhile is Do for a call of which no byte is written once mayWrite returns false.
func (p *Pool) DoWhile(
	ctx context.Context, mayWrite func() bool, req *fasthttp.Request, resp *fasthttp.Response, limit time.Duration,
) (sent bool, err error) {
	if d, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(d))
	}
	if err := ctx.Err(); err != nil || limit <= 0 {
		return false, errors.CombineErrors(err, context.DeadlineExceeded)
	}
	c, call := p.acquire()
	c.mayWrite = mayWrite
	stop := context.AfterFunc(ctx, c.abort)
	err = c.exchange(req, resp, limit)
	if !stop() && err == nil {
		err = errCanceled
	}
	if err != nil {
		c.abort()
		p.closeUnverified(call)
		return c.sent.Load(), errors.Wrapf(err, "call %v", p.addr)
	}
	if resp.ConnectionClose() {
		c.abort()
		return true, nil
	}
	p.release(c, call)
	return true, nil
}

// acquire returns an idle connection or a new one, and the number of the call. It
// discards the idle connections that are not reusable, for example because the
// server has closed them.
func (p *Pool) acquire() (*clientConn, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCall++
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if c.reusable() {
			c.sent.Store(false)
			return c, p.lastCall
		}
		c.abort()
	}
	return newClientConn(p.addr, p.discards), p.lastCall
}

// release returns a connection to the pool after call got a response on it. It
// closes the connection if the pool already has maxIdle idle ones.
func (p *Pool) release(c *clientConn, call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		c.abort()
		return
	}
	c.lastAnswered, c.answeredAt = call, time.Now()
	p.idle = append(p.idle, c)
}

// closeUnverified closes the idle connections whose last answered call was started
// before call, which failed: what broke its connection may have broken them too.
func (p *Pool) closeUnverified(call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.lastAnswered < call {
			c.abort()
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections. It does not affect calls in progress.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.abort()
	}
	p.idle = nil
}

// newClientConn returns a clientConn whose first call opens the connection.
func newClientConn(addr netip.AddrPort, discards bool) *clientConn {
	c := &clientConn{addr: addr, discards: discards}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// exchange writes the request and reads the response, both within limit.
func (c *clientConn) exchange(req *fasthttp.Request, resp *fasthttp.Response, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	if c.conn == nil {
		if err := c.dial(limit); err != nil {
			return err
		}
	}
	if err := c.conn.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	req.URI().DisablePathNormalizing = true
	if err := req.Write(c.w); err != nil {
		return errors.Wrap(err, "write request")
	}
	if err := c.w.Flush(); err != nil {
		return errors.Wrap(err, "write request")
	}
	if err := head.Read(c.r, &resp.Header); err != nil {
		return errors.Wrap(err, "read response")
	}
	if !head.HasBody(resp.StatusCode()) {
		return nil
	}
	return errors.Wrap(c.readBody(resp), "read response")
}

// readBody reads the body into the response. It requires a content length, because a
// truncated body without one would not be noticed.
func (c *clientConn) readBody(resp *fasthttp.Response) error {
	n := resp.Header.ContentLength()
	if n < 0 || n > maxResponseBytes {
		return errors.Newf("response with content length %d", n)
	}
	b := make([]byte, n)
	_, err := io.ReadFull(c.r, b)
	resp.SetBodyRaw(b)
	return err
}

// dial opens the connection.
func (c *clientConn) dial(limit time.Duration) error {
	d := net.Dialer{
		Timeout: limit, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	conn, err := d.DialContext(c.ctx, "tcp", c.addr.String())
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	if tcp, ok := conn.(*net.TCPConn); ok && c.discards {
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return errors.Wrap(err, "set linger")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		conn.Close()
		return errCanceled
	}
	c.conn = conn
	c.r, c.w = bufio.NewReader(conn), bufio.NewWriter(&trackedConn{conn, c})
	return nil
}

// reusable reports whether the connection is open and has no unread data. Data on
// an idle connection belongs to no call, so the next call would read it as its
// response.
func (c *clientConn) reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	sc, ok := c.conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 || time.Since(c.answeredAt) > maxIdleTime {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var (
		b       [1]byte
		peekErr error
	)
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}

// abort closes the connection and ends the call in progress, including one that
// is still dialing.
func (c *clientConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
	if c.conn != nil {
		c.conn.Close()
	}
}

// Write records that bytes were sent, before it returns. It writes nothing if the call may
// not be sent any more.
func (c *trackedConn) Write(b []byte) (int, error) {
	if may := c.owner.mayWrite; may != nil && !may() {
		return 0, errNotAllowed
	}
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.owner.sent.Store(true)
	}
	return n, err
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long the kernel
// retransmits unacknowledged data.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var setErr error
	err := rc.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, setErr)
}

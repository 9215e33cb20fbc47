// Package lane carries calls to one address over connections of its own, one
// call at a time each. It never repeats a call, tells whether a byte of a
// failed one may have left, and gives up the connections that may have gone
// silent together with one that did.
package lane

import (
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
)

const (
	// maxIdle bounds the idle connections that a pool keeps.
	maxIdle = 8

	// maxAnswer is the size of the largest answer in bytes.
	maxAnswer = 256 << 20

	// Probes of the kernel find a connection that went silent while a watch
	// waits on it, within the seconds that a configuration may take.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2

	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
)

var errCut = errors.New("the call's context ended")

type (
	// Pool hands out connections to one address, each to one call at a time.
	Pool struct {
		addr  netip.AddrPort
		mu    sync.Mutex
		idle  []*lane
		calls uint64
	}

	// lane is one connection and the HTTP client that uses it.
	lane struct {
		http fasthttp.HostClient
		// sent tells whether a byte of the present call may have left.
		sent atomic.Bool
		// proved is the number of the last call that was answered.
		proved uint64
		// open ends when the lane is cut off.
		open  context.Context
		close context.CancelFunc

		mu   sync.Mutex
		conn net.Conn
	}

	// laneConn notes writes in its lane.
	laneConn struct {
		net.Conn
		lane *lane
	}
)

// New returns a pool without connections to the address.
func New(addr netip.AddrPort) *Pool { return &Pool{addr: addr} }

// Do sends the request on a connection of its own and reads the whole answer
// before the context's deadline and limit. It reports whether a byte of the
// request may have left. A connection whose call failed is closed.
func (p *Pool) Do(
	ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, limit time.Duration,
) (sent bool, err error) {
	if d, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(d))
	}
	if err := ctx.Err(); err != nil || limit <= 0 {
		return false, errors.CombineErrors(err, context.DeadlineExceeded)
	}
	l, call := p.take()
	stop := context.AfterFunc(ctx, l.cutOff)
	err = l.http.DoTimeout(req, resp, limit)
	if err == nil {
		err = readBody(resp)
	}
	if !stop() && err == nil {
		err = errCut
	}
	if err != nil {
		l.cutOff()
		p.suspect(call)
		return l.sent.Load(), errors.Wrap(err, "call store")
	}
	p.give(l, call)
	return true, nil
}

// readBody reads the body, which is a stream, into the response. Its length
// has to be known, for the library takes the end of the connection for the end
// of a body without one.
func readBody(resp *fasthttp.Response) error {
	n := resp.Header.ContentLength()
	if n < 0 || n > maxAnswer {
		_ = resp.CloseBodyStream()
		return errors.Newf("answer of length %d", n)
	}
	b := make([]byte, n)
	_, err := io.ReadFull(resp.BodyStream(), b)
	if cerr := resp.CloseBodyStream(); err == nil {
		err = cerr
	}
	resp.SetBodyRaw(b)
	return errors.Wrap(err, "read answer")
}

// take returns an idle lane or a new one, and the number of the call. It closes
// the idle lanes that the store has closed in the meantime.
func (p *Pool) take() (*lane, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	for n := len(p.idle); n > 0; n = len(p.idle) {
		l := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if l.quiet() {
			l.sent.Store(false)
			return l, p.calls
		}
		l.cutOff()
	}
	return newLane(p.addr), p.calls
}

// give makes a lane idle after call was answered on it.
func (p *Pool) give(l *lane, call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		l.cutOff()
		return
	}
	l.proved = call
	p.idle = append(p.idle, l)
}

// suspect closes the idle lanes that were last answered before call, which
// failed: what broke its connection may have broken them too.
func (p *Pool) suspect(call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, l := range p.idle {
		if l.proved < call {
			l.cutOff()
		} else {
			kept = append(kept, l)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections. Calls that are under way end by themselves.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		l.cutOff()
	}
	p.idle = nil
}

// newLane returns a lane whose connection is opened by its first call.
func newLane(addr netip.AddrPort) *lane {
	l := &lane{}
	l.open, l.close = context.WithCancel(context.Background())
	l.http = fasthttp.HostClient{
		Addr:                      addr.String(),
		DialTimeout:               l.dial,
		MaxConns:                  1,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
	return l
}

func (l *lane) dial(addr string, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: limit, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	conn, err := d.DialContext(l.open, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open.Err() != nil {
		conn.Close()
		return nil, errCut
	}
	l.conn = conn
	return &laneConn{conn, l}, nil
}

// quiet tells whether the connection is open and nothing has arrived on it. An
// idle connection that is not quiet cannot carry another call.
func (l *lane) quiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sc, ok := l.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var (
		b    [1]byte
		perr error
	)
	err = raw.Control(func(fd uintptr) {
		_, _, perr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(perr, unix.EAGAIN)
}

// cutOff closes the lane for good, and with it the call that is under way.
func (l *lane) cutOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.close()
	if l.conn != nil {
		l.conn.Close()
	}
}

// Write notes that bytes have left before it returns.
func (c *laneConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.lane.sent.Store(true)
	}
	return n, err
}

// setUserTimeout bounds how long the kernel repeats unacknowledged bytes.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var set error
	err := rc.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, set)
}

package caller

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/outcome"
	"sassafrastray/internal/standin/pattern"
)

const (
	// maxConns bounds the open connections to one address.
	maxConns = 1 << 14
	// idleTimeout is shorter than the usual idle timeout of servers, so that
	// callers seldom reuse a connection that the server is closing.
	idleTimeout = 10 * time.Second
)

type (
	// clientPool holds an HTTP client for each address. The clients do not
	// retry requests.
	clientPool struct {
		mu      sync.Mutex
		clients map[netip.AddrPort]*fasthttp.HostClient
	}

	// earlyResponseConn ignores write errors after the peer has closed its
	// end, so that a response can still be read: a server that refuses an
	// upload early closes the connection, and its response may have arrived
	// before the reset.
	earlyResponseConn struct {
		net.Conn
		peerClosed bool
	}

	// dialError is the error of a connection that could not be opened.
	dialError struct{ error }
)

// get returns the client for an address, and creates it if needed.
func (p *clientPool) get(addr netip.AddrPort) *fasthttp.HostClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		p.clients = map[netip.AddrPort]*fasthttp.HostClient{}
	}
	h := p.clients[addr]
	if h == nil {
		h = &fasthttp.HostClient{
			Addr:                      addr.String(),
			DialTimeout:               dial,
			MaxConns:                  maxConns,
			MaxIdleConnDuration:       idleTimeout,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			StreamResponseBody:        true,
			DisablePathNormalizing:    true,
			NoDefaultUserAgentHeader:  true,
		}
		p.clients[addr] = h
	}
	return h
}

func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.clients {
		h.CloseIdleConnections()
	}
}

func dial(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, dialError{err}
	}
	return &earlyResponseConn{Conn: conn}, nil
}

// Write implements net.Conn. It discards the data once the peer has closed its
// end.
func (c *earlyResponseConn) Write(b []byte) (int, error) {
	if c.peerClosed {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		c.peerClosed = true
		return len(b), nil
	}
	return n, err
}

// failureOutcome returns the outcome of a request that failed with err: it was not
// sent, its response is late or incomplete, or the body fails its check.
func failureOutcome(err error) outcome.Outcome {
	var (
		d  dialError
		ne net.Error
	)
	o := outcome.Outcome{Class: outcome.Broken, Detail: err.Error()}
	switch {
	case errors.As(err, &d):
		o.Class, o.Result = outcome.Unreached, sassafrastray.ResultNotRun
	case errors.Is(err, errWrongResponse), errors.Is(err, pattern.ErrMismatch):
		o.Class = outcome.Wrong
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &ne) && ne.Timeout():
		o.Class = outcome.Late
	}
	return o
}

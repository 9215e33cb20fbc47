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
	// maxConns bounds the connections to one address.
	maxConns = 1 << 14
	// idleTimeout is shorter than what servers commonly allow, so that
	// callers seldom use a connection that is being closed.
	idleTimeout = 10 * time.Second
)

type (
	// links are the HTTP clients by address. They send each request once.
	links struct {
		mu      sync.Mutex
		clients map[netip.AddrPort]*fasthttp.HostClient
	}

	// patientConn is a connection that can still be read when the other end
	// takes no more. A server that refuses an upload early closes its end;
	// the refusal may have arrived before the reset.
	patientConn struct {
		net.Conn
		deaf bool
	}

	// dialError marks a connection that was never opened.
	dialError struct{ error }
)

// to returns the client of an address.
func (l *links) to(addr netip.AddrPort) *fasthttp.HostClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clients == nil {
		l.clients = map[netip.AddrPort]*fasthttp.HostClient{}
	}
	h := l.clients[addr]
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
		l.clients[addr] = h
	}
	return h
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.clients {
		h.CloseIdleConnections()
	}
}

func dial(addr string, limit time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return nil, dialError{err}
	}
	return &patientConn{Conn: conn}, nil
}

// Write drops what the other end does not take any more.
func (c *patientConn) Write(b []byte) (int, error) {
	if c.deaf {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		c.deaf = true
		return len(b), nil
	}
	return n, err
}

// failure returns the outcome of a request that got no whole answer, or of a
// body that fails its check.
func failure(err error) outcome.Outcome {
	var (
		d  dialError
		ne net.Error
	)
	o := outcome.Outcome{Class: outcome.Broken, Detail: err.Error()}
	switch {
	case errors.As(err, &d):
		o.Class, o.Result = outcome.Unreached, sassafrastray.ResultNotRun
	case errors.Is(err, errWrong), errors.Is(err, pattern.ErrDiffers):
		o.Class = outcome.Wrong
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &ne) && ne.Timeout():
		o.Class = outcome.Late
	}
	return o
}

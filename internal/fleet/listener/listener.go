// Package listener opens and serves the HTTP listeners of a VM.
package listener

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray/internal/fleet/connection"
	"sassafrastray/internal/traffic/upload"
)

// chunked is the length by which fasthttp marks a body in chunks.
const chunked = -1

type (
	// Spec describes one listener.
	Spec struct {
		Name    string
		Address netip.AddrPort
		Server  *fasthttp.Server
		// Group bounds the connections. Requests that it has no room for are passed to
		// Refuse.
		Group  *connection.Group
		Refuse fasthttp.RequestHandler
		// KeepAlive is the time without traffic after which a connection is probed, and
		// the time between two probes.
		KeepAlive time.Duration
		// Optional listeners are skipped if they can't be opened.
		Optional bool
	}

	// Set holds the open listeners of a VM.
	Set struct {
		log    *slog.Logger
		open   []opened
		failed chan error
	}

	opened struct {
		Spec
		ln net.Listener
	}
)

// Open opens all listeners before any of them serves, so that an address in use is
// an error rather than a VM that works only in part. Listeners without an address
// are skipped.
func Open(specs []Spec, log *slog.Logger) (*Set, error) {
	s := &Set{log: log, failed: make(chan error, len(specs))}
	for _, spec := range specs {
		if !spec.Address.IsValid() {
			continue
		}
		lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: spec.KeepAlive > 0, Idle: spec.KeepAlive, Interval: spec.KeepAlive}}
		ln, err := lc.Listen(context.Background(), "tcp", spec.Address.String())
		if err != nil && spec.Optional {
			log.Warn("optional listener could not be opened", "listener", spec.Name, "error", err.Error())
			continue
		}
		if err != nil {
			for _, o := range s.open {
				o.ln.Close()
			}
			return nil, errors.Wrapf(err, "%s listener", spec.Name)
		}
		spec.Group.Attach(spec.Server, spec.Refuse)
		s.open = append(s.open, opened{spec, spec.Group.Listener(ln)})
	}
	return s, nil
}

// Serve answers requests in the background. The returned channel receives the errors
// of listeners that fail.
func (s *Set) Serve() <-chan error {
	for _, o := range s.open {
		go func() {
			if err := o.Server.Serve(o.ln); err != nil {
				s.failed <- errors.Wrapf(err, "%s listener", o.Name)
			}
		}()
	}
	return s.failed
}

// Unavailable refuses a request for which its listener has no room.
func Unavailable(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusServiceUnavailable) }

// Shutdown closes the listeners and waits until active requests have ended or ctx is
// done.
func (s *Set) Shutdown(ctx context.Context) {
	for _, o := range s.open {
		if err := o.Server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			s.log.Warn("listener not shut down in time", "listener", o.Name, "error", err.Error())
		}
	}
}

// ReadBody reads the whole body of a message of another VM. It returns an error if the
// body is larger than limit bytes, ends early or comes in chunks, which VMs don't send: a
// field of their trailer would become one of the header.
func ReadBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, error) {
	switch n := ctx.Request.Header.ContentLength(); {
	case n > limit:
		return nil, errors.Newf("body of %d bytes, %d allowed", n, limit)
	case n == chunked:
		return nil, errors.New("body without a length")
	}
	if !ctx.Request.IsBodyStream() {
		return ctx.Request.Body(), nil
	}
	b, err := io.ReadAll(io.LimitReader(upload.New(&ctx.Request), int64(limit)+1))
	if err == nil && len(b) > limit {
		err = errors.Newf("body of more than %d bytes", limit)
	}
	return b, errors.Wrap(err, "read body")
}

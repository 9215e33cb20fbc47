// Package backend runs simulated backend servers over HTTP, many in one process, with
// a control interface that injects faults.
package backend

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"path"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/execlog"
	"sassafrastray/internal/standin/server"
	"sassafrastray/internal/standin/tcp"
)

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 16 << 10

type (
	// Fleet holds the backend servers of one process and the log of what they
	// executed.
	Fleet struct {
		clock   sassafrastray.Clock
		log     *slog.Logger
		dialect sassafrastray.Dialect

		// mu guards the log of executions and the state of all servers.
		mu         sync.Mutex
		executions *execlog.Log
		hosts      []*host
	}

	// host is one backend server and its listener.
	host struct {
		fleet    *Fleet
		listener *tcp.Listener
		state    *server.Server
		// lastResponse is the proper JSON response to the last request that got a
		// wrong one. The next wrong response sends it.
		lastResponse jsonResponse
	}
)

// New returns a fleet that listens on the servers' addresses. Each server has its
// own random generator, seeded from r.
func New(clock sassafrastray.Clock, log *slog.Logger, r *rand.Rand, servers []server.Settings) (*Fleet, error) {
	f := &Fleet{clock: clock, log: log, dialect: DefaultDialect, executions: execlog.New()}
	for _, s := range servers {
		ln, err := tcp.Listen(s.Listen)
		if err != nil {
			f.close()
			return nil, errors.Wrapf(err, "server %s", s.Name)
		}
		s.Listen = ln.AddrPort()
		state := server.New(s, rand.New(rand.NewPCG(r.Uint64(), r.Uint64())), clock.Now())
		f.hosts = append(f.hosts, &host{fleet: f, listener: ln, state: state})
	}
	return f, nil
}

// SetDialect sets the dialect of the servers. It must be called before Serve.
func (f *Fleet) SetDialect(d sassafrastray.Dialect) { f.dialect = d }

// Serve serves requests, and the control interface on the address control, until the
// context ends.
func (f *Fleet) Serve(ctx context.Context, control netip.AddrPort) error {
	ln, err := tcp.Listen(control)
	if err != nil {
		f.close()
		return errors.Wrap(err, "control address")
	}
	f.ServeOn(ctx, ln)
	return nil
}

// ServeOn is like Serve with an open listener for the control interface. It closes
// the listener.
func (f *Fleet) ServeOn(ctx context.Context, control *tcp.Listener) {
	context.AfterFunc(ctx, func() {
		f.close()
		_ = control.Close()
	})
	var all sync.WaitGroup
	for _, h := range f.hosts {
		all.Go(func() {
			s := &fasthttp.Server{
				Handler: h.handle, StreamRequestBody: true, ReadBufferSize: maxHeaderBytes,
				NoDefaultServerHeader: true, Logger: debugLogger{f.log},
			}
			_ = s.Serve(h.listener)
		})
	}
	f.log.Info("serving", "servers", len(f.hosts), "control", control.AddrPort())
	_ = (&fasthttp.Server{Handler: f.Control, NoDefaultServerHeader: true}).Serve(control)
	all.Wait()
}

// Servers returns the settings of the servers whose names match the pattern,
// with the addresses that they listen on.
func (f *Fleet) Servers(pattern string) []server.Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []server.Settings
	for _, h := range f.match(pattern) {
		found = append(found, h.state.Settings)
	}
	return found
}

// match returns the servers whose names match the pattern.
func (f *Fleet) match(pattern string) []*host {
	var found []*host
	for _, h := range f.hosts {
		if ok, _ := path.Match(pattern, string(h.state.Name)); ok {
			found = append(found, h)
		}
	}
	return found
}

func (f *Fleet) close() {
	for _, h := range f.hosts {
		_ = h.listener.Close()
	}
}

// debugLogger logs the HTTP library's errors at debug level, since the injected faults
// break connections all the time.
type debugLogger struct{ log *slog.Logger }

func (l debugLogger) Printf(format string, args ...any) {
	l.log.Debug("HTTP server error", "format", format, "args", args)
}

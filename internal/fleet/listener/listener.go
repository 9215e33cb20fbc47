// Package listener opens and serves the HTTP listeners of a VM.
package listener

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

type (
	// Spec describes one listener.
	Spec struct {
		Name    string
		Address netip.AddrPort
		Server  *fasthttp.Server
		// Optional listeners that can't be opened are left out.
		Optional bool
	}

	// Set is the open listeners of a VM.
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

// Open opens all listeners before anything is served, so that an address in
// use is an error and not a VM that works in part. A listener without an
// address is left out.
func Open(specs []Spec, log *slog.Logger) (*Set, error) {
	s := &Set{log: log, failed: make(chan error, len(specs))}
	for _, spec := range specs {
		if !spec.Address.IsValid() {
			continue
		}
		ln, err := net.Listen("tcp", spec.Address.String())
		if err != nil && spec.Optional {
			log.Warn("not listening", "listener", spec.Name, "error", err.Error())
			continue
		}
		if err != nil {
			for _, o := range s.open {
				o.ln.Close()
			}
			return nil, errors.Wrapf(err, "%s listener", spec.Name)
		}
		s.open = append(s.open, opened{spec, ln})
	}
	return s, nil
}

// Serve answers requests in the background. The channel gets the error of a
// listener that fails.
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

// Shutdown closes the listeners and waits until what runs has ended, or ctx.
func (s *Set) Shutdown(ctx context.Context) {
	for _, o := range s.open {
		if err := o.Server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			s.log.Warn("listener not shut down in time", "listener", o.Name, "error", err.Error())
		}
	}
}

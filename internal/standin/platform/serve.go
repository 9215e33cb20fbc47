package platform

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/fault"
	"sassafrastray/internal/standin/tcp"
)

// maxBodyBytes is above the size of the largest object, so that the handler
// itself rejects objects that are too large, with status 413.
const maxBodyBytes = 2 * sassafrastray.MaxObjectBytes

// Serve serves clients at listen and the control interface at control until the
// context ends. It returns an error if it can't listen at one of them.
func (p *Platform) Serve(ctx context.Context, listen, control netip.AddrPort) error {
	ln, err := tcp.Listen(listen)
	if err != nil {
		return errors.Wrap(err, "clients' address")
	}
	controlLn, err := tcp.Listen(control)
	if err != nil {
		_ = ln.Close()
		return errors.Wrap(err, "control address")
	}
	p.ServeOn(ctx, ln, controlLn)
	return nil
}

// ServeOn is Serve on existing listeners. It closes them when the context ends.
func (p *Platform) ServeOn(ctx context.Context, clients, control *tcp.Listener) {
	p.mu.Lock()
	p.listener = clients
	p.mu.Unlock()
	context.AfterFunc(ctx, func() {
		_ = clients.Close()
		_ = control.Close()
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = (&fasthttp.Server{Handler: p.Control, NoDefaultServerHeader: true}).Serve(control)
	}()
	p.log.Info("serving", "clients", clients.AddrPort(), "control", control.AddrPort())
	server := &fasthttp.Server{Handler: p.Handle, MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true}
	_ = server.Serve(clients)
	<-done
}

// applyMode suspends the clients' listener in mode Refuse and resumes it in the
// other modes. The caller holds p.mu.
func (p *Platform) applyMode(m fault.Mode) error {
	if p.listener == nil {
		return nil
	}
	if m == fault.Refuse {
		p.listener.Suspend()
		return nil
	}
	return p.listener.Resume()
}

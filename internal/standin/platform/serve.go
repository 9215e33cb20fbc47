package platform

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/fault"
	"sassafrastray/internal/standin/gate"
)

// maxBody leaves room above the largest object, so that the handler itself
// declines what is too large.
const maxBody = 2 * sassafrastray.MaxObjectBytes

// Serve answers clients at listen and control calls at control until the
// context ends.
func (p *Platform) Serve(ctx context.Context, listen, control netip.AddrPort) error {
	g, err := gate.New(listen)
	if err != nil {
		return errors.Wrap(err, "clients' address")
	}
	cg, err := gate.New(control)
	if err != nil {
		_ = g.Close()
		return errors.Wrap(err, "control address")
	}
	p.ServeOn(ctx, g, cg)
	return nil
}

// ServeOn is Serve on listeners that exist. It closes them.
func (p *Platform) ServeOn(ctx context.Context, clients, control *gate.Gate) {
	p.mu.Lock()
	p.gate = clients
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
	server := &fasthttp.Server{Handler: p.Handle, MaxRequestBodySize: maxBody, NoDefaultServerHeader: true}
	_ = server.Serve(clients)
	<-done
}

// move opens or shuts the clients' listener as the mode asks. The lock is
// held.
func (p *Platform) move(m fault.Mode) error {
	if p.gate == nil {
		return nil
	}
	if m == fault.Refuse {
		p.gate.Shut()
		return nil
	}
	return p.gate.Open()
}

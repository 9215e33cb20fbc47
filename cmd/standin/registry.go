package main

import (
	"context"
	"log/slog"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray/internal/standin/registry"
)

type registryCmd struct {
	Listen  []netip.AddrPort `help:"Addresses for the store's clients; faults may be limited to some of them." default:"127.0.0.1:7000"`
	Control netip.AddrPort   `help:"Address for control calls." default:"127.0.0.1:7001"`
}

func (c *registryCmd) Run(log *slog.Logger) error {
	r := registry.New()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := make(chan error, 1+len(c.Listen))
	handlers := map[netip.AddrPort]fasthttp.RequestHandler{c.Control: r.Control}
	for _, address := range c.Listen {
		handlers[address] = r.Handle
	}
	for address, handle := range handlers {
		go func() {
			s := &fasthttp.Server{Handler: handle, NoDefaultServerHeader: true}
			failed <- errors.Wrapf(s.ListenAndServe(address.String()), "listen at %s", address)
		}()
	}
	log.Info("serving", "store", c.Listen, "control", c.Control)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

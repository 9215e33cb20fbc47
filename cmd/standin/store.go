package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/standin/platform"
	"sassafrastray/internal/standin/vmlist"
)

type storeCmd struct {
	Listen  netip.AddrPort `help:"Address for the store's clients." default:"127.0.0.1:7000"`
	Control netip.AddrPort `help:"Address for control calls." default:"127.0.0.1:7001"`
	VMs     string         `help:"JSON file with the first list of VMs." name:"vms" type:"existingfile"`
	Lag     time.Duration  `help:"Time until a change of the list of VMs becomes visible." default:"2s"`
	Seed    uint64         `help:"Seed of the random faults." default:"1"`
}

func (c *storeCmd) Run(log *slog.Logger) error {
	vms, err := c.vms()
	if err != nil {
		return err
	}
	p := platform.New(sassafrastray.SystemClock{}, log, rand.New(rand.NewPCG(c.Seed, 0)), vmlist.New(vms, c.Lag))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return p.Serve(ctx, c.Listen, c.Control)
}

func (c *storeCmd) vms() ([]sassafrastray.VM, error) {
	if c.VMs == "" {
		return nil, nil
	}
	b, err := os.ReadFile(c.VMs)
	if err != nil {
		return nil, errors.Wrap(err, "read list of VMs")
	}
	return platform.ParseVMs(b)
}

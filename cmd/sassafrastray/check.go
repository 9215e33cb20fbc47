package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/object/store"
	"sassafrastray/internal/operator/config"
	"sassafrastray/internal/operator/document"
	"sassafrastray/internal/operator/publish"
)

// checkCmd validates operators' files without publishing them.
type checkCmd struct {
	Dir     string         `arg:"" help:"Directory with fleet.yaml and the services' files."`
	Store   netip.AddrPort `help:"Address of the object store, to check the change too."`
	Timeout time.Duration  `help:"How long to retry while the store is unavailable." default:"10s"`
}

// Help returns the long usage text.
func (checkCmd) Help() string {
	return `Reads all files and prints every problem with its file, line and field.
Warnings are printed too and do not fail the check. Nothing is written
anywhere. With --store the files are also checked as a change to the
configuration in force, as publish does.`
}

// Run checks the files.
func (c *checkCmd) Run(std *streams) error {
	var previous *config.Previous
	if c.Store.IsValid() {
		var err error
		if previous, err = c.previous(); err != nil {
			return err
		}
	}
	cfg, r := config.Check(c.Dir, time.Now(), previous)
	printReport(std, r)
	if r.Failed() {
		return errors.Newf("%s: %d problems", c.Dir, r.ErrorCount())
	}
	fmt.Fprintf(std.out, "%s: ok: %d services, %d teams, %d blocks\n",
		c.Dir, len(cfg.Services), len(cfg.Fleet.Teams), len(cfg.Fleet.Blocks))
	return nil
}

func (c *checkCmd) previous() (*config.Previous, error) {
	client := store.New(c.Store, "", "check")
	defer client.Close()
	ctx, stop := context.WithTimeout(context.Background(), c.Timeout)
	defer stop()
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	base, err := publish.New(client, sleep, seed, "").Base(ctx)
	if err != nil {
		return nil, errors.Newf("the configuration in force can't be read: %v", err)
	}
	return base.Previous(), nil
}

func printReport(std *streams, r *document.Report) {
	for _, p := range r.Sorted() {
		fmt.Fprintln(std.err, p)
	}
}

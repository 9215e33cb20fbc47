package main

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/platform/config"
	"sassafrastray/internal/platform/document"
)

// checkCmd validates operators' files without publishing them.
type checkCmd struct {
	Dir string `arg:"" help:"Directory with fleet.yaml and the services' files."`
}

// Help returns the long usage text.
func (checkCmd) Help() string {
	return `Reads all files and prints every problem with its file, line and field.
Warnings are printed too and do not fail the check. Nothing is sent anywhere.`
}

// Run checks the files.
func (c *checkCmd) Run(std *streams) error {
	cfg, r := config.Check(c.Dir, time.Now(), nil)
	printReport(std, r)
	if r.Failed() {
		return errors.Newf("%s: %d problems", c.Dir, r.Count())
	}
	fmt.Fprintf(std.out, "%s: ok: %d services, %d teams, %d blocks\n",
		c.Dir, len(cfg.Services), len(cfg.Fleet.Teams), len(cfg.Fleet.Blocks))
	return nil
}

func printReport(std *streams, r *document.Report) {
	for _, p := range r.Sorted() {
		fmt.Fprintln(std.err, p)
	}
}

package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/operator/trace"
)

// explainCmd prints what VMs decided about a request, and why.
type explainCmd struct {
	ID     string   `arg:"" help:"Id of the request, as its caller sent it."`
	Files  []string `arg:"" optional:"" help:"Log files of the VMs; none or - means standard input."`
	Output string   `short:"o" enum:"text,json" default:"text" help:"Format of the output: text or json."`
}

const explainUsage = `Explains one request from the log lines of VMs.

The lines are JSON objects, as steer and serve write them, perhaps behind a
prefix that a log collector added. Give the files of all VMs, in any order. The
output has the request's own lines, the lines about the state that its VM assumed
when it decided (belief), the lines of other VMs that led to that state (source),
and what the VM learned only afterwards (later). They are in causal order, since
the VMs' clocks may differ. The exit code is 1 if no line names the request.`

// Help returns the text that --help shows.
func (explainCmd) Help() string { return explainUsage }

// Run reads the files and prints the explanation.
func (c explainCmd) Run(std *streams) error {
	var log trace.Log
	files := c.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		if err := read(&log, name, std); err != nil {
			return err
		}
	}
	e, err := log.Explain(c.ID)
	if errors.Is(err, trace.ErrNotFound) && log.Missing > 0 {
		return errors.Wrapf(err, "%d lines read, %d left out or lost by the VMs", len(log.Lines), log.Missing)
	}
	if err != nil {
		return errors.Wrapf(err, "%d lines read", len(log.Lines))
	}
	if c.Output == "json" {
		return e.JSON(std.out)
	}
	return e.Text(std.out)
}

func read(log *trace.Log, name string, std *streams) error {
	if name == "-" {
		return errors.Wrap(log.Read(std.in), "standard input")
	}
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "log file")
	}
	if err := log.Read(f); err != nil {
		_ = f.Close()
		return errors.Wrap(err, name)
	}
	return errors.Wrap(f.Close(), "log file")
}

package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/operator/trace"
)

// explainCmd tells what VMs decided about a request, and why.
type explainCmd struct {
	ID     string   `arg:"" help:"Id of the request, as its caller sent it."`
	Files  []string `arg:"" optional:"" help:"Log files of the VMs; none or - means standard input."`
	Output string   `short:"o" enum:"text,json" default:"text" help:"Form of the output: text or json."`
}

const explainUsage = `Explains one request from the log lines of VMs.

The lines are JSON objects, as steer and serve write them, perhaps behind a
prefix that a collector added. Give the files of all VMs, in any order: the story
has the request's own lines, what its VM believed when it decided, the lines of
other VMs from which that came, and what the VM learned only afterwards. Its
order is that of cause and effect, since the VMs' clocks may differ. The exit code
is 1 if no line names the request.`

// Help returns the text that --help shows.
func (explainCmd) Help() string { return explainUsage }

// Run reads the files and prints the story.
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
	s, err := log.Explain(c.ID)
	if errors.Is(err, trace.ErrNotFound) && log.Missing > 0 {
		return errors.Wrapf(err, "%d lines read, %d left out or lost by the VMs", len(log.Lines), log.Missing)
	}
	if err != nil {
		return errors.Wrapf(err, "%d lines read", len(log.Lines))
	}
	if c.Output == "json" {
		return s.JSON(std.out)
	}
	return s.Text(std.out)
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

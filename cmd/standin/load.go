package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/standin/audit"
	"sassafrastray/internal/standin/caller"
	"sassafrastray/internal/standin/chart"
	"sassafrastray/internal/standin/execlog"
	"sassafrastray/internal/standin/load"
	"sassafrastray/internal/standin/report"
	"sassafrastray/internal/standin/scenario"
	"sassafrastray/internal/standin/server"
)

type loadCmd struct {
	Case     string           `arg:"" help:"YAML file of the case." type:"existingfile"`
	VMs      []netip.AddrPort `help:"VMs to ask first, instead of the case's." name:"vms"`
	Direct   string           `help:"YAML file of servers, or directory of operators' files, to send requests to directly." type:"path"`
	Backends []netip.AddrPort `help:"Control addresses of the backend servers, to compare with what they executed."`
	Scale    float64          `help:"Factor on the lengths of all phases." default:"1"`
	Seed     uint64           `help:"Seed of the schedule, instead of the case's."`
	Workers  int              `help:"Maximum number of concurrent requests." default:"20000"`
	JSON     string           `help:"File for the report as JSON." name:"json"`
	Plot     string           `help:"File for the chart, .svg or .png."`
}

// sender sends requests, through the VMs or directly.
type sender interface {
	load.Sender
	Close()
}

// errViolated is the error of a run in which a guarantee was violated.
var errViolated = errors.New("a guarantee was violated: a response did not match its request, or the audit found a fault")

func (c *loadCmd) Run(std *streams, log *slog.Logger) error {
	cs, err := c.scenario()
	if err != nil {
		return err
	}
	s, path, err := c.sender(cs)
	if err != nil {
		return err
	}
	defer s.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	prefix := cs.Name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	run := load.New(cs, s, load.SystemPacer{}, log, prefix, c.Workers)
	if err := run.Do(ctx); err != nil {
		return err
	}
	r := report.New(cs, path, run.Results(), run.Lag())
	if vmCaller, ok := s.(*caller.Caller); ok {
		r.Lookups.Done, r.Lookups.Failed = vmCaller.Lookups()
	}
	if err := c.audit(r, run); err != nil {
		return err
	}
	return c.write(r, std)
}

func (c *loadCmd) scenario() (*scenario.Case, error) {
	b, err := os.ReadFile(c.Case)
	if err != nil {
		return nil, errors.Wrap(err, "read case")
	}
	cs, err := scenario.Parse(c.Case, b)
	if err != nil {
		return nil, err
	}
	cs.Scale(c.Scale)
	if c.Seed != 0 {
		cs.Seed = c.Seed
	}
	return cs, nil
}

func (c *loadCmd) sender(cs *scenario.Case) (sender, report.Path, error) {
	clock := sassafrastray.SystemClock{}
	if c.Direct == "" {
		seeds := c.VMs
		if len(seeds) == 0 {
			seeds = cs.VMAddrs()
		}
		if len(seeds) == 0 {
			return nil, "", errors.New("neither the case nor a flag names a VM")
		}
		return caller.New(clock, seeds), report.ThroughVMs, nil
	}
	servers, err := readServers(c.Direct)
	if err != nil {
		return nil, "", err
	}
	return caller.NewDirect(clock, servers), report.Direct, nil
}

// readServers returns the backend servers of a YAML file or of a directory of
// operators' files. Of the latter it leaves out the versions that receive no
// traffic.
func readServers(path string) ([]server.Settings, error) {
	if st, err := os.Stat(path); err == nil && st.IsDir() {
		return currentServers(path)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read servers")
	}
	return server.Parse(b)
}

// audit compares the results with what the backend servers report as executed.
func (c *loadCmd) audit(r *report.Report, run *load.Run) error {
	if len(c.Backends) == 0 {
		return nil
	}
	var entries []execlog.Entry
	for _, b := range c.Backends {
		e, err := audit.Fetch(b)
		if err != nil {
			return err
		}
		entries = append(entries, e...)
	}
	findings := run.Auditor().Audit(entries)
	r.Audit = &findings
	return nil
}

func (c *loadCmd) write(r *report.Report, std *streams) error {
	fmt.Fprint(std.out, r.Text())
	if c.JSON != "" {
		if err := os.WriteFile(c.JSON, r.JSON(), 0o644); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	if c.Plot != "" {
		if err := chart.Write(r, c.Plot); err != nil {
			return err
		}
	}
	if r.Total.Wrong > 0 || (r.Audit != nil && r.Audit.Violated()) {
		return errViolated
	}
	return nil
}

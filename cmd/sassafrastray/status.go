package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray/internal/fleet/vm"
)

// statusCmd prints the fleet's status as one VM sees it.
type statusCmd struct {
	VM   netip.AddrPort `arg:"" help:"Operations address of any VM."`
	JSON bool           `help:"Print the VM's answer as JSON."`
}

const (
	statusUsage = `Shows the fleet as one VM sees it.

For each VM: its failure domain, the configuration in force there, its state,
the time since it was last heard of, and the time since its configuration was
last confirmed as the newest. For each service with a move: whether it is running, done or
reverted, and why. For each quota: what this VM holds, lends and borrows.`

	statusTimeout = 5 * time.Second
)

// Help returns the text that --help shows.
func (statusCmd) Help() string { return statusUsage }

// Run prints the status.
func (c statusCmd) Run(std *streams) error {
	code, body, err := fetch(context.Background(), c.VM, statusPath, statusTimeout)
	if err != nil {
		return errors.Wrapf(err, "status of %v", c.VM)
	}
	if code != fasthttp.StatusOK {
		return errors.Newf("status of %v: %d: %s", c.VM, code, body)
	}
	if c.JSON {
		fmt.Fprintf(std.out, "%s\n", body)
		return nil
	}
	var s vm.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return errors.Wrapf(err, "status of %v", c.VM)
	}
	return printStatus(std.out, &s)
}

func printStatus(out io.Writer, s *vm.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "vm %s\tconfiguration %d\tplace %s\n\n", s.VM, s.Config, s.Place)
	fmt.Fprintln(w, "VM\tDOMAIN\tCONFIG\tSTATE\tHEARD\tCONFIRMED")
	for _, f := range s.VMs {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", f.Name, f.Domain, f.Config, f.State, seconds(f.Age), seconds(f.Confirmed))
	}
	if len(s.Moves) > 0 {
		fmt.Fprintln(w, "\nSERVICE\tMOVE\tSTATE\tSHARE\tREASON")
	}
	for _, m := range s.Moves {
		state := string(m.State)
		if state == "" {
			state = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f%%\t%s\n", m.Service, m.Move, state, float64(m.Share)/10, m.Reason)
	}
	fmt.Fprintln(w, "\nQUOTA\tRATE\tBURST\tBASE\tLENT\tBORROWED\tDEMAND")
	for _, q := range s.Quotas {
		fmt.Fprintf(w, "%s\t%.2f\t%.0f\t%d\t%d\t%d\t%.2f\n", q.Key, q.Rate, q.Burst, q.Base, q.Lent, q.Borrowed, q.Demand)
	}
	return errors.Wrap(w.Flush(), "print status")
}

// seconds formats a duration in seconds. A negative one means never.
func seconds(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs", d.Seconds())
}

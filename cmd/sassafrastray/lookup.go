package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/traffic/lookup"
)

// lookupCmd asks a VM for the answer to a caller's look-up.
type lookupCmd struct {
	Service string         `arg:"" help:"Service that the caller looks up."`
	VM      netip.AddrPort `help:"Operations address of the VM to ask." name:"vm" required:""`
	From    netip.Addr     `help:"Address of the caller; by default this machine's."`
	Team    string         `help:"Team whose key the caller sends."`
	Explain bool           `help:"Also print the reasons."`
	JSON    bool           `help:"Print JSON." name:"json"`
}

// Help returns the long usage text.
func (lookupCmd) Help() string {
	return `Prints the VMs that a caller is told to use, with their weights. With --explain
it prints the block that holds the caller, the regions in the order in which
they are tried, and for each VM why it is named or not.`
}

// Run asks the VM.
func (c *lookupCmd) Run(std *streams) error {
	q := url.Values{lookup.ParamService: {c.Service}}
	if c.From.IsValid() {
		q.Set(lookup.ParamFrom, c.From.String())
	}
	if c.Team != "" {
		q.Set(lookup.ParamTeam, c.Team)
	}
	if c.Explain {
		q.Set(lookup.ParamExplain, "1")
	}
	body, err := get(context.Background(), c.VM, lookup.Path+"?"+q.Encode())
	if err != nil {
		return err
	}
	if c.JSON {
		fmt.Fprintf(std.out, "%s\n", body)
		return nil
	}
	var e lookup.Explanation
	if c.Explain {
		err = json.Unmarshal(body, &e)
	} else {
		err = json.Unmarshal(body, &e.Answer)
	}
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	c.print(std, e)
	return nil
}

func (c *lookupCmd) print(std *streams, e lookup.Explanation) {
	fmt.Fprintf(std.out, "service %s, configuration %d, to be kept for %v\n",
		e.Answer.Service, e.Answer.Config, time.Duration(e.Answer.TTL)*time.Second)
	for _, v := range e.Answer.VMs {
		fmt.Fprintf(std.out, "%s %v weight %d\n", v.Name, v.Address, v.Weight)
	}
	if !c.Explain {
		return
	}
	block := e.Block
	if block == "" {
		block = "no block, so the answering VM's region counts"
	}
	fmt.Fprintf(std.out, "caller %v: %s, nearest region %s\n", e.Caller, block, e.Near)
	if e.Team != "" {
		fmt.Fprintf(std.out, "team %s: its burst is small, so it is steered to few VMs\n", e.Team)
	}
	for _, r := range e.Regions {
		delay := r.Delay.String()
		if r.Delay < 0 {
			delay = "no link"
		}
		fmt.Fprintf(std.out, "region %s (%s)\n", r.Region, delay)
		for _, v := range r.VMs {
			mark := "-"
			if v.Named {
				mark = "+"
			}
			fmt.Fprintf(std.out, "  %s %s: %s\n", mark, v.Name, v.Why)
		}
	}
}

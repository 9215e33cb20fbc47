package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray/internal/fleet/edge"
	"sassafrastray/internal/traffic/admission"
	"sassafrastray/internal/traffic/ingress"
	"sassafrastray/internal/traffic/placement"
)

// whereCmd asks a VM where a request would go.
type whereCmd struct {
	VM       netip.AddrPort `help:"Address of the VM's metrics listener." name:"vm" required:""`
	Host     string         `help:"Host of the request."`
	Path     string         `help:"Path of the request."`
	Route    string         `help:"Route of the request, in place of host and path."`
	Team     string         `help:"Team that sends the request."`
	Object   string         `help:"Object of the request."`
	Priority *int           `help:"Priority in place of that of the route and the team."`
	Left     time.Duration  `help:"Time that the caller allows; by default that of the route."`
	JSON     bool           `help:"Print the VM's answer as JSON." name:"json"`
}

const whereUsage = `Shows where a request would go now, and why, without sending it.

A VM that runs steer answers with the code that decides on requests, on a copy of
its state: the route, the service, the server that would be chosen or the refusal,
and the servers that may take the request. The draws of a choice are random, so
the next request may go to another server. The VM answers three questions a second.`

// reasonTexts explain the reasons of choices and refusals.
var reasonTexts = map[placement.Reason]string{
	placement.Preferred:                  "the object's first server of the region",
	placement.Spread:                     "another server of the region than the object's first, or any if there is no object",
	placement.Away:                       "the object is in the share of other regions",
	placement.Detour:                     "the object's region is too slow or has no usable server",
	placement.Home:                       "its rules allow other regions only",
	placement.Busy:                       "the request would wait too long",
	placement.Limited:                    "all servers have had what their limits allow",
	placement.Paused:                     "all servers want no requests for a while",
	placement.None:                       "no server may take the request",
	placement.Reason(admission.Deadline): "the response would come after the deadline",
	placement.Reason(admission.Late):     "the response would come after the objective because of the queue",
	placement.Reason(admission.Level):    "the region has no room for this share of the requests",
}

// Help returns the text that --help shows.
func (whereCmd) Help() string { return whereUsage }

// Run asks the VM and prints the answer.
func (c *whereCmd) Run(std *streams) error {
	q := url.Values{}
	for name, value := range map[string]string{
		edge.ParamHost: c.Host, edge.ParamPath: c.Path, edge.ParamRoute: c.Route, edge.ParamTeam: c.Team, edge.ParamObject: c.Object,
	} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if c.Priority != nil {
		q.Set(edge.ParamPriority, strconv.Itoa(*c.Priority))
	}
	if c.Left != 0 {
		q.Set(edge.ParamLeft, c.Left.String())
	}
	code, body, err := fetch(context.Background(), c.VM, edge.WherePath+"?"+q.Encode(), requestTimeout)
	if err != nil {
		return errors.Wrapf(err, "ask %v", c.VM)
	}
	if code != fasthttp.StatusOK {
		return errors.Newf("%v answered %d: %s", c.VM, code, body)
	}
	if c.JSON {
		fmt.Fprintf(std.out, "%s\n", body)
		return nil
	}
	var f ingress.Forecast
	if err := json.Unmarshal(body, &f); err != nil {
		return errors.Wrapf(err, "answer of %v", c.VM)
	}
	return printForecast(std.out, &f)
}

func printForecast(out io.Writer, f *ingress.Forecast) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "vm\t%s of region %s, configuration %d\n", f.VM, f.Region, f.Config)
	fmt.Fprintf(w, "route\t%s, priority %d, objective %s, time left %s\n", f.Route, f.Priority, milliseconds(f.Objective), milliseconds(f.Left))
	if f.Team != "" {
		fmt.Fprintf(w, "team\t%s\n", f.Team)
	}
	fmt.Fprintf(w, "service\t%s\n", f.Service)
	for _, p := range f.Parts {
		fmt.Fprintf(w, "split\t%s weight %d\n", p.Service, p.Weight)
	}
	if f.Object != "" {
		fmt.Fprintf(w, "object\t%s\n", f.Object)
	}
	switch {
	case f.Only != "":
		fmt.Fprintf(w, "version\tonly %s\n", f.Only)
	case f.Except != "":
		fmt.Fprintf(w, "version\tnot %s\n", f.Except)
	}
	p := &f.Placement
	why := string(p.Reason)
	if text := reasonTexts[p.Reason]; text != "" {
		why += ": " + text
	}
	switch {
	case p.Sent:
		fmt.Fprintf(w, "server\t%s\n", p.Server)
		fmt.Fprintf(w, "reason\t%s\n", why)
	default:
		fmt.Fprintf(w, "refused\t%s\n", why)
		fmt.Fprintf(w, "Retry-After\t%s\n", milliseconds(p.Retry))
		if p.Server != "" {
			fmt.Fprintf(w, "best server\t%s\n", p.Server)
		}
	}
	fmt.Fprintf(w, "other regions\t%.1f%% of the service's objects\n", 100*p.Away)
	for _, l := range p.Levels {
		level := "nothing decided yet"
		if l.Level >= 0 {
			level = fmt.Sprintf("level %.2f", l.Level)
		}
		fmt.Fprintf(w, "admission\tregion %s: %s, load %.2f requests per slot\n", l.Region, level, l.Load)
	}
	for _, n := range f.Notes {
		fmt.Fprintf(w, "note\t%s\n", n)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print forecast")
	}
	return printOptions(out, p)
}

// printOptions prints the servers that may take the request and those that may not.
func printOptions(out io.Writer, p *placement.Forecast) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(p.Options) > 0 {
		fmt.Fprintln(w, "\nSERVER\tDOMAIN\tREGION\tVERSION\tLOAD\tWAIT\tWORK\tEXPECTED\tOBJECT\tREPORT")
	}
	for i := range p.Options {
		o := &p.Options[i]
		mark, object, age := "", "-", "none"
		if o.Chosen {
			mark = "*"
		}
		if o.Knows != "" {
			object = string(o.Knows)
		}
		if o.Age >= 0 {
			age = milliseconds(o.Age)
		}
		fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\t%.1f/%d\t%s\t%s\t%s\t%s\t%s\n", o.Server, mark, o.Domain, o.Region, o.Version,
			o.Load, o.Slots, milliseconds(o.Wait), milliseconds(o.Work), milliseconds(o.Expected), object, age)
	}
	if more := p.Candidates - len(p.Options); more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
	if len(p.Excluded) > 0 {
		fmt.Fprintln(w, "\nLEFT OUT\tCOUNT\tSERVERS")
	}
	for _, e := range p.Excluded {
		names := make([]string, len(e.Names))
		for i, n := range e.Names {
			names[i] = string(n)
		}
		if e.Count > len(names) {
			names = append(names, "...")
		}
		fmt.Fprintf(w, "%s\t%d\t%s\n", e.Reason, e.Count, strings.Join(names, ", "))
	}
	return errors.Wrap(w.Flush(), "print forecast")
}

// milliseconds formats a duration in whole milliseconds.
func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

package platform

import (
	"io"
	"net"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/fault"
)

// Control answers calls that switch faults and read counts. Bodies are JSON
// or YAML, with durations such as 200ms. A PUT replaces, a GET shows:
//
//	/control/faults  the fault.Plan
//	/control/cut     names of failure domains that are cut off
//	/control/vms     the list of VMs, which shows after its lag
//	/control/lag     the lag of later lists
//	/control/calls   counts by kind and client; DELETE resets them
func (p *Platform) Control(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	var err error
	switch {
	case ctx.IsPut():
		err = p.set(path, ctx.PostBody())
	case ctx.IsDelete() && path == "/control/calls":
		p.mu.Lock()
		p.calls.Reset()
		p.mu.Unlock()
	case ctx.IsGet():
		p.show(ctx, path)
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// set replaces one part of the state and wakes the waiting calls.
func (p *Platform) set(path string, body []byte) error {
	p.log.Info("control", "path", path, "body", string(body))
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.wake()
	switch path {
	case "/control/faults":
		var plan fault.Plan
		if err := decode(body, &plan); err != nil {
			return err
		}
		if err := p.faults.Set(plan); err != nil {
			return err
		}
		return p.move(plan.Mode)
	case "/control/cut":
		var domains []sassafrastray.DomainName
		err := decode(body, &domains)
		p.faults.Cut(domains)
		return err
	case "/control/vms":
		vms, err := ParseVMs(body)
		if err == nil {
			p.roster.Set(vms, p.clock.Now())
		}
		return err
	case "/control/lag":
		var lag time.Duration
		err := decode(body, &lag)
		p.roster.SetLag(lag)
		return err
	default:
		return errNoControl
	}
}

func (p *Platform) show(ctx *fasthttp.RequestCtx, path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch path {
	case "/control/faults":
		writeJSON(ctx, p.faults.Plan())
	case "/control/cut":
		writeJSON(ctx, p.faults.Cuts())
	case "/control/vms":
		writeJSON(ctx, p.roster.VMs(p.clock.Now()))
	case "/control/calls":
		writeJSON(ctx, p.calls)
	default:
		ctx.Error(errNoControl.Error(), fasthttp.StatusNotFound)
	}
}

func decode(body []byte, v any) error { return yaml.UnmarshalWithOptions(body, v, yaml.Strict()) }

// fail treats a call that is not served.
func fail(ctx *fasthttp.RequestCtx, v fault.Verdict) {
	switch v {
	case fault.Decline:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case fault.Limit:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	case fault.Close:
		hangUp(ctx)
	case fault.Ignore:
		ignore(ctx)
	default:
		panic("fault: call is to be served")
	}
}

// hangUp closes the connection without an answer.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// ignore keeps the connection without an answer until the client closes it.
func ignore(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
}

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

// Control handles requests on the control interface, which sets faults and
// reads counts. Bodies are JSON or YAML, with durations such as 200ms. A PUT
// replaces the state, a GET returns it:
//
//	/control/faults  the fault.Settings
//	/control/cut     names of failure domains that are cut off
//	/control/vms     the list of VMs; clients see a new list after the lag
//	/control/lag     the lag of lists set from now on; PUT only
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
		p.writeState(ctx, path)
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// set replaces one part of the state and notifies the waiting calls.
func (p *Platform) set(path string, body []byte) error {
	p.log.Info("control request", "path", path, "body", string(body))
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.notifyWaiters()
	switch path {
	case "/control/faults":
		var settings fault.Settings
		if err := decode(body, &settings); err != nil {
			return err
		}
		if err := p.faults.Set(settings); err != nil {
			return err
		}
		return p.applyMode(settings.Mode)
	case "/control/cut":
		var domains []sassafrastray.DomainName
		err := decode(body, &domains)
		p.faults.Partition(domains)
		return err
	case "/control/vms":
		vms, err := ParseVMs(body)
		if err == nil {
			p.vms.Set(vms, p.clock.Now())
		}
		return err
	case "/control/lag":
		var lag time.Duration
		err := decode(body, &lag)
		p.vms.SetLag(lag)
		return err
	default:
		return errUnknownControl
	}
}

func (p *Platform) writeState(ctx *fasthttp.RequestCtx, path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch path {
	case "/control/faults":
		writeJSON(ctx, p.faults.Settings())
	case "/control/cut":
		writeJSON(ctx, p.faults.Partitioned())
	case "/control/vms":
		writeJSON(ctx, p.vms.VMs(p.clock.Now()))
	case "/control/calls":
		writeJSON(ctx, p.calls)
	default:
		ctx.Error(errUnknownControl.Error(), fasthttp.StatusNotFound)
	}
}

func decode(body []byte, v any) error { return yaml.UnmarshalWithOptions(body, v, yaml.Strict()) }

// fail ends a call without executing it, in the way that the action requires.
func fail(ctx *fasthttp.RequestCtx, action fault.Action) {
	switch action {
	case fault.Reject:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case fault.Throttle:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	case fault.Close:
		closeUnanswered(ctx)
	case fault.Hang:
		holdUnanswered(ctx)
	default:
		panic("platform: fail called with an action that executes the call")
	}
}

// closeUnanswered closes the connection without a response.
func closeUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// holdUnanswered keeps the connection open without a response until the client
// closes it.
func holdUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
}

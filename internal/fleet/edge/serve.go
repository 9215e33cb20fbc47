package edge

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"sassafrastray"
	"sassafrastray/internal/fleet/connection"
	"sassafrastray/internal/fleet/directory"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/fleet/listener"
	"sassafrastray/internal/fleet/replica"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/operator/crash"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/traffic/entry"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/relay"
)

const (
	// maxBufferedBody is the number of body bytes that the HTTP servers read before
	// they call a handler; the rest is streamed.
	maxBufferedBody = 16 << 10

	// maxHeaderSize bounds a request's header in bytes. It is above the limit that
	// configurations set.
	maxHeaderSize = 24 << 10

	// headerTimeout bounds the reading of a request's header, idleTimeout the time
	// between two requests of a connection.
	headerTimeout = 4 * time.Second
	idleTimeout   = 20 * time.Second

	// lookupTTL is how long callers cache the answer to a look-up, and thus for how
	// long they may still use a VM that failed.
	lookupTTL = 2 * time.Second

	// acceptFraction is the fraction of the grace period after which a stopping VM
	// closes its listeners. drainReserve is the part at its end that is left
	// for the rest of the shutdown.
	acceptFraction = 0.45
	drainReserve   = 700 * time.Millisecond
	// answerReserve is the time between the end of a request and that of the drain in
	// which the caller gets the answer.
	answerReserve = 200 * time.Millisecond
	drainPoll     = 50 * time.Millisecond
)

// Run serves until ctx ends, then drains and returns. It returns an error if a
// listener can't be opened or fails.
func (v *VM) Run(ctx context.Context) error {
	if ctx.Err() != nil {
		v.log.Info("stopped before it served")
		return nil
	}
	ls, err := v.listen()
	if err != nil {
		return err
	}
	failed := ls.Serve()
	stopDisconnects := make(chan struct{})
	go v.disconnects.Run(stopDisconnects)
	v.loops.Add(2 + len(replica.Topics))
	// The first read tells how many VMs share the quotas.
	v.isDue("list", vmListInterval, v.clock.Now())
	v.readVMs()
	go v.control()
	go v.register()
	for _, t := range replica.Topics {
		go v.followTopic(t)
	}
	v.log.Info(message.Serving, "domain", v.opt.VM.Domain, "callers", v.opt.VM.CallerAddress, "inner", v.opt.VM.PeerAddress)
	select {
	case <-ctx.Done():
		v.drain(ls)
		v.flushUsage()
	case err = <-failed:
	}
	v.stop()
	v.loops.Wait()
	close(stopDisconnects)
	v.workers.Release()
	v.log.Info("stopped")
	return err
}

// listen opens the VM's listeners. The metrics listener is optional, so that a VM
// without it still serves.
func (v *VM) listen() (*listener.Set, error) {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(v.registry, promhttp.HandlerOpts{}))
	spec := func(name string, address netip.AddrPort, p connection.Purpose, h, refuse fasthttp.RequestHandler) listener.Spec {
		return listener.Spec{Name: name, Address: address, Server: v.newServer(name, h), Group: v.connections.Group(p), Refuse: refuse, KeepAlive: idleTimeout / 4}
	}
	specs := []listener.Spec{
		spec("callers", v.opt.VM.CallerAddress, connection.Callers, v.handler.Handle, v.handler.RefuseBusy),
		spec("inner", v.opt.VM.PeerAddress, connection.Peers, v.handleInner, listener.Unavailable),
		spec("ready", v.opt.Ready, connection.Operations, v.handleReady, listener.Unavailable),
		spec("lookups", v.opt.Lookups, connection.Operations, v.handleLookup, listener.Unavailable),
		spec("metrics", v.opt.Metrics, connection.Operations, v.withWhere(metrics), listener.Unavailable),
	}
	specs[len(specs)-1].Optional = true
	return listener.Open(specs, v.log)
}

func (v *VM) newServer(name string, h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: crash.Handler(v.log, name, h), ErrorHandler: entry.HandleMalformed, Name: "sassafrastray",
		StreamRequestBody: true, MaxRequestBodySize: maxBufferedBody, DisablePreParseMultipartForm: true,
		ReadBufferSize: maxHeaderSize, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		NoDefaultDate: true, NoDefaultServerHeader: true, NoDefaultContentType: true,
		CloseOnShutdown: true, Logger: discardLogger{},
	}
}

// discardLogger drops the messages of the HTTP servers: callers cause all of them,
// and each request has its own log line.
type discardLogger struct{}

// Printf drops one message.
func (discardLogger) Printf(string, ...any) {}

// handleInner handles a message of another VM, or a request that it relays.
func (v *VM) handleInner(ctx *fasthttp.RequestCtx) {
	if relay.IsRelayed(&ctx.Request.Header) {
		v.handler.HandleRelayed(ctx)
		return
	}
	gossip.Handle(ctx, v)
}

func (v *VM) handleReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != v.opt.ReadyPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !v.ready.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// handleLookup answers a caller's look-up with the addresses of VMs to use.
func (v *VM) handleLookup(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != v.opt.LookupPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	view := v.lookupView.Load()
	if view == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	host, region := v.opt.ParseLookup(ctx.QueryArgs())
	if region == "" {
		region = v.opt.Region
	}
	var homes []sassafrastray.RegionName
	if view.hosts != nil {
		for _, r := range view.hosts.Routes(host) {
			homes = append(homes, r.Regions...)
		}
	}
	addresses := directory.Select(view.vms, region, homes, view.large)
	if len(addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	b, err := v.opt.EncodeAddresses(addresses, min(lookupTTL, v.opt.Bounds.LookupTTL))
	if err != nil {
		v.log.Error("encoding the answer to a look-up failed", "error", err.Error())
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// updateLookups replaces the view of the fleet that look-ups read, and updates the
// VM's readiness.
func (v *VM) updateLookups(now time.Time) {
	ready := v.self.State == sassafrastray.VMLive && v.replica.Complete()
	if v.ready.Swap(ready) != ready {
		v.log.Info("readiness", "ready", ready)
	}
	view := &lookupView{hosts: v.handler.Hosts(), large: v.members.Large()}
	if v.self.State == sassafrastray.VMLive {
		view.vms = append(view.vms, directory.VM{
			Address: v.self.CallerAddress, Domain: v.self.Domain, Region: v.opt.Region, Ready: ready, Size: v.self.Cores, Partitioned: v.partition.Partitioned(),
		})
	}
	for _, m := range v.members.View(now) {
		h := v.heartbeats[m.VM.Name]
		if m.VM.State != sassafrastray.VMLive || h == nil {
			continue
		}
		view.vms = append(view.vms, directory.VM{
			Address: m.VM.CallerAddress, Domain: m.VM.Domain, Region: v.opt.Regions[m.VM.Domain], Ready: h.Ready, Suspect: m.Suspect, Size: m.VM.Cores, Partitioned: h.Partitioned,
		})
	}
	slices.SortFunc(view.vms, func(a, b directory.VM) int { return a.Address.Compare(b.Address) })
	v.lookupView.Store(view)
	v.updateHelpers(now)
	v.applySelection(directory.Select(view.vms, v.opt.Region, nil, view.large), ready)
}

// logSilence logs VMs that became suspect and those that were heard from again.
func (v *VM) logSilence(now time.Time) {
	for _, m := range v.members.View(now) {
		h := v.heartbeats[m.VM.Name]
		if h == nil || !v.members.IsDirect(m.VM) || v.silent[m.VM.Name] == m.Suspect {
			continue
		}
		v.silent[m.VM.Name] = m.Suspect
		if m.Suspect {
			v.log.Warn(message.VMSilent, "peer", m.VM.Name, "domain", m.VM.Domain)
		} else {
			v.log.Info(message.VMHeardAgain, "peer", m.VM.Name, "domain", m.VM.Domain, "config", h.Config)
		}
	}
}

// applySelection updates quotas and placement with the VMs of the region that
// look-ups return.
func (v *VM) applySelection(selected []netip.AddrPort, ready bool) {
	own := slices.Contains(selected, v.self.CallerAddress)
	peers := len(selected)
	if own {
		peers--
	}
	v.placement.do(func(t *placement.Table, _ time.Time) { t.SetRegionPeers(peers) })
	if idle := ready && !own; idle != v.idle {
		v.idle = idle
		v.log.Info("named to callers", "named", !idle)
		v.quotas.do(func(l *ratelimit.Limiter, _ time.Time) { l.SetIdle(idle) })
	}
}

// drain removes the VM from the look-ups at once, serves requests that still arrive,
// and waits for active requests to end.
func (v *VM) drain(ls *listener.Set) {
	began := v.clock.Now()
	end := began.Add(v.opt.Bounds.GracePeriod - drainReserve)
	v.log.Info(message.Draining, "until", end)
	v.ready.Store(false)
	v.handler.Leave(v.trafficClock.Now().Add(v.opt.Bounds.GracePeriod - drainReserve - answerReserve))
	v.post(func(now time.Time) {
		v.self.State = sassafrastray.VMLeaving
		if v.usage != nil {
			v.usage.machine.Release(now)
		}
		v.updateLookups(now)
		v.sendHeartbeatsTo(v.members.UrgentTargets(), now)
	})
	time.Sleep(time.Duration(acceptFraction * float64(v.opt.Bounds.GracePeriod)))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(end.Sub(v.clock.Now())))
		defer cancel()
		ls.Shutdown(ctx)
	}()
	for v.clock.Now().Before(end) {
		select {
		case <-closed:
			if v.handler.Active() == 0 {
				return
			}
		default:
		}
		time.Sleep(drainPoll)
	}
	if n := v.handler.Active(); n > 0 {
		v.log.Error("drain time over with requests under way", "requests", n)
	}
}

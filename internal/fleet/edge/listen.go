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
	"sassafrastray/internal/fleet/directory"
	"sassafrastray/internal/fleet/listener"
	"sassafrastray/internal/fleet/mirror"
	"sassafrastray/internal/fleet/neighbor"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/traffic/entry"
	"sassafrastray/internal/traffic/placement"
)

const (
	// prefetch is how much of a body the HTTP servers read before they call
	// a handler; the rest is streamed. In bytes.
	prefetch = 16 << 10

	// headerSize bounds a request's header in bytes. It lies above the limit
	// that configurations set.
	headerSize = 24 << 10

	// headTimeout bounds the reading of a request's header, idleTimeout the
	// time between two requests of a connection.
	headTimeout = 4 * time.Second
	idleTimeout = 20 * time.Second

	// ttl is how long callers keep the answer to a look-up. A VM that died is
	// named for that long.
	ttl = 2 * time.Second

	// stopAccepting is the part of the grace period after which a stopping VM
	// closes its listeners, and spareTime what it leaves at its end.
	stopAccepting = 0.45
	spareTime     = 700 * time.Millisecond
	drainPoll     = 50 * time.Millisecond
)

// Run serves until ctx ends, then drains and returns. It returns an error if
// the VM can't start.
func (v *VM) Run(ctx context.Context) error {
	ls, err := v.listen()
	if err != nil {
		return err
	}
	failed := ls.Serve()
	stopHangups := make(chan struct{})
	go v.hangups.Run(stopHangups)
	v.loops.Add(2 + len(mirror.Followed))
	go v.control()
	go v.register()
	for _, t := range mirror.Followed {
		go v.follow(t)
	}
	v.log.Info(message.Serving, "domain", v.opt.VM.Domain, "callers", v.opt.VM.Callers, "inner", v.opt.VM.Inner)
	select {
	case <-ctx.Done():
		v.drain(ls)
	case err = <-failed:
	}
	v.stop()
	v.loops.Wait()
	close(stopHangups)
	v.work.Release()
	v.log.Info("stopped")
	return err
}

// listen opens the VM's listeners. A VM whose metrics can't be read still
// serves.
func (v *VM) listen() (*listener.Set, error) {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(v.registry, promhttp.HandlerOpts{}))
	return listener.Open([]listener.Spec{
		{Name: "callers", Address: v.opt.VM.Callers, Server: v.server(v.handler.Handle)},
		{Name: "inner", Address: v.opt.VM.Inner, Server: v.server(func(ctx *fasthttp.RequestCtx) { neighbor.Handle(ctx, v) })},
		{Name: "ready", Address: v.opt.Ready, Server: v.server(v.answerReady)},
		{Name: "lookups", Address: v.opt.Lookups, Server: v.server(v.answerLookup)},
		{Name: "metrics", Address: v.opt.Metrics, Server: v.server(metrics), Optional: true},
	}, v.log)
}

func (v *VM) server(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: h, ErrorHandler: entry.Malformed, Name: "sassafrastray",
		StreamRequestBody: true, MaxRequestBodySize: prefetch, DisablePreParseMultipartForm: true,
		ReadBufferSize: headerSize, ReadTimeout: headTimeout, IdleTimeout: idleTimeout,
		NoDefaultDate: true, NoDefaultServerHeader: true, NoDefaultContentType: true,
		CloseOnShutdown: true, TCPKeepalive: true, TCPKeepalivePeriod: idleTimeout / 4,
		Logger: quiet{},
	}
}

// quiet drops what the HTTP server has to say: callers cause all of it, and
// each request has a line of its own.
type quiet struct{}

// Printf drops one message.
func (quiet) Printf(string, ...any) {}

func (v *VM) answerReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != v.opt.ReadyPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !v.ready.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// answerLookup tells a caller which VMs to use.
func (v *VM) answerLookup(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != v.opt.LookupPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	n := v.named.Load()
	if n == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	host, region := v.opt.Question(ctx.QueryArgs())
	if region == "" {
		region = v.opt.Region
	}
	var homes []sassafrastray.RegionName
	if n.hosts != nil {
		for _, r := range n.hosts.Routes(host) {
			homes = append(homes, r.Regions...)
		}
	}
	addresses := directory.Name(n.vms, region, homes)
	if len(addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	b, err := v.opt.Answer(addresses, min(ttl, v.opt.Bounds.TTL))
	if err != nil {
		v.log.Error("look-up not answered", "error", err.Error())
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// name gives look-ups a new view of the fleet, and says whether the VM is
// ready.
func (v *VM) name(now time.Time) {
	ready := v.self.State == sassafrastray.Live && v.mirror.Complete()
	if v.ready.Swap(ready) != ready {
		v.log.Info("readiness", "ready", ready)
	}
	n := &naming{hosts: v.handler.Hosts()}
	if v.self.State == sassafrastray.Live {
		n.vms = append(n.vms, directory.VM{
			Address: v.self.Callers, Domain: v.self.Domain, Region: v.opt.Region, Ready: ready, Size: v.self.Size,
		})
	}
	for _, m := range v.members.View(now) {
		b := v.beats[m.VM.Name]
		if m.VM.State != sassafrastray.Live || b == nil {
			continue
		}
		n.vms = append(n.vms, directory.VM{
			Address: m.VM.Callers, Domain: m.VM.Domain, Region: v.opt.Regions[m.VM.Domain], Ready: b.Ready, Suspect: m.Suspect, Size: m.VM.Size,
		})
	}
	slices.SortFunc(n.vms, func(a, b directory.VM) int { return a.Address.Compare(b.Address) })
	v.named.Store(n)
	v.noteNamed(directory.Name(n.vms, v.opt.Region, nil), ready)
}

// noteSilence writes which VMs are not heard of any more, and which are again.
func (v *VM) noteSilence(now time.Time) {
	for _, m := range v.members.View(now) {
		b := v.beats[m.VM.Name]
		if b == nil || !v.members.Near(m.VM) || v.silent[m.VM.Name] == m.Suspect {
			continue
		}
		v.silent[m.VM.Name] = m.Suspect
		if m.Suspect {
			v.log.Warn(message.VMSilent, "peer", m.VM.Name, "domain", m.VM.Domain)
		} else {
			v.log.Info(message.VMHeard, "peer", m.VM.Name, "domain", m.VM.Domain, "config", b.Config)
		}
	}
}

// noteNamed tells the quotas and placement which VMs of the region callers are
// sent to.
func (v *VM) noteNamed(named []netip.AddrPort, ready bool) {
	own := slices.Contains(named, v.self.Callers)
	mates := len(named)
	if own {
		mates--
	}
	v.places.do(func(t *placement.Table, _ time.Time) { t.SetRegionPeers(mates) })
	if idle := ready && !own; idle != v.idle {
		v.idle = idle
		v.log.Info("named to callers", "named", !idle)
		v.quotas.do(func(b *ratelimit.Limiter, _ time.Time) { b.SetIdle(idle) })
	}
}

// drain takes the VM out of the look-ups at once, serves those who still come,
// and lets what is under way end.
func (v *VM) drain(ls *listener.Set) {
	began := v.clock.Now()
	end := began.Add(v.opt.Bounds.Grace - spareTime)
	v.log.Info(message.Draining, "until", end)
	v.ready.Store(false)
	v.handler.Leave()
	v.post(func(now time.Time) {
		v.self.State = sassafrastray.Leaving
		v.name(now)
		v.beatTo(v.members.Urgent(), now)
	})
	time.Sleep(time.Duration(stopAccepting * float64(v.opt.Bounds.Grace)))
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

package vm

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/connection"
	"sassafrastray/internal/fleet/listener"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/limit/place"
	"sassafrastray/internal/operator/crash"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/traffic/entry"
)

const (
	// maxBufferedBody is the number of body bytes that the HTTP servers read
	// before they call a handler; the rest is streamed.
	maxBufferedBody = 8 << 10

	// idleTimeout is how long a server keeps an idle connection open.
	idleTimeout = 2 * time.Minute

	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 15 * time.Second

	// releaseTimeout bounds the wait until the place is released in the store,
	// and the shutdown of the listeners.
	releaseTimeout = 3 * time.Second

	// listenerLinger is how long listeners stay open after the last request
	// ended, and the interval at which a draining VM checks for requests in
	// flight.
	listenerLinger = 100 * time.Millisecond
)

// Run serves until ctx ends, then drains and returns. It returns an error if
// the VM can't open its listeners or one of them fails.
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
	v.loops.Add(3)
	go v.control()
	go v.watchConfig()
	go v.watchMoves()
	v.log.Info(message.Serving, "domain", v.self.Domain, "callers", v.self.CallerAddress,
		"inner", v.self.PeerAddress, "operations", v.settings.Operations)
	select {
	case <-ctx.Done():
		v.drain()
	case err = <-failed:
	}
	v.shutdown(ls)
	close(stopDisconnects)
	return err
}

// listen opens the VM's listeners.
func (v *VM) listen() (*listener.Set, error) {
	inner := peer.NewServer(v.self, peer.NewToken([]byte(v.settings.Secret)), v, v.faults)
	spec := func(p connection.Purpose, address netip.AddrPort, h, refuse fasthttp.RequestHandler) listener.Spec {
		return listener.Spec{Name: string(p), Address: address, Server: v.server(string(p), h), Group: v.connections.Group(p), Refuse: refuse, KeepAlive: idleTimeout / 8}
	}
	return listener.Open([]listener.Spec{
		spec(connection.Callers, v.settings.Callers, v.handler.Handle, entry.RefuseBusy),
		spec(connection.Peers, v.settings.Inner, inner.Handle, listener.Unavailable),
		spec(connection.Operations, v.settings.Operations, v.operations(), listener.Unavailable),
	}, v.log)
}

// Forward answers a request that another VM accepted.
func (v *VM) Forward(ctx *fasthttp.RequestCtx) { v.handler.Forward(ctx) }

func (v *VM) server(name string, h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: crash.Handler(v.log, name, h), ErrorHandler: entry.HandleMalformed, Name: "sassafrastray",
		StreamRequestBody: true, MaxRequestBodySize: maxBufferedBody,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               v.settings.Limits.Header,
		ReadTimeout:                  headerTimeout, IdleTimeout: idleTimeout,
		NoDefaultDate: true, NoDefaultServerHeader: true,
		CloseOnShutdown: true, Logger: debugLogger{v},
	}
}

// debugLogger writes the HTTP server's messages to the debug log, since callers
// cause nearly all of them.
type debugLogger struct{ v *VM }

// Printf logs one message.
func (l debugLogger) Printf(format string, args ...any) {
	l.v.log.Debug("http server", "message", errors.Newf(format, args...).Error())
}

// drain removes the VM from the look-ups, waits until callers have had time to
// notice, and waits for the requests in flight.
func (v *VM) drain() {
	end := v.clock.Now().Add(v.settings.Timing.Drain)
	v.log.Info(message.Draining, "until", end)
	v.post(func(now time.Time) {
		v.state, v.extraRoundsLeft = sassafrastray.VMLeaving, extraRounds
		v.publish(now)
		v.sendHeartbeats(v.members.Tick(now), now)
	})
	time.Sleep(min(v.settings.Timing.TTL+time.Second, end.Sub(v.clock.Now())))
	for v.handler.Active() > 0 && v.clock.Now().Before(end) {
		time.Sleep(listenerLinger)
	}
	time.Sleep(listenerLinger)
	if n := v.handler.Active(); n > 0 {
		v.log.Error("drain time over with requests under way", "requests", n)
	}
	v.releasePlace()
}

// releasePlace releases the VM's place, so that another VM can take it at once.
func (v *VM) releasePlace() {
	v.post(func(now time.Time) { v.stepPlace(place.Leave{}, now) })
	for end := v.clock.Now().Add(releaseTimeout); v.clock.Now().Before(end); time.Sleep(listenerLinger) {
		answer := make(chan place.State, 1)
		v.post(func(time.Time) { answer <- v.place.State() })
		if <-answer == place.Stopped {
			return
		}
	}
	v.log.Warn("place not released; another VM can take it when its record has expired")
}

func (v *VM) shutdown(ls *listener.Set) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	ls.Shutdown(ctx)
	v.stop()
	v.loops.Wait()
	v.workers.Release()
	v.pool.Close()
	v.probes.Close()
	v.log.Info("stopped", "vm", v.self.Name)
}

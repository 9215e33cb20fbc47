package vm

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/listener"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/limit/place"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/traffic/entry"
)

const (
	// prefetch is how much of a body the HTTP servers read before they call
	// a handler; the rest is streamed. In bytes.
	prefetch = 8 << 10

	// idleTimeout is how long a server keeps a connection without requests.
	idleTimeout = 2 * time.Minute

	// headTimeout bounds the reading of a request's header.
	headTimeout = 15 * time.Second

	// releaseWait bounds the wait for the place's return to the store.
	releaseWait = 3 * time.Second

	// cutWait is how long listeners stay open after the last request ended.
	cutWait = 100 * time.Millisecond
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
	v.loops.Add(3)
	go v.control()
	go v.watchConfig()
	go v.watchMoves()
	v.log.Info(message.Serving, "domain", v.self.Domain, "callers", v.self.CallerAddress,
		"inner", v.self.PeerAddress, "operations", v.set.Operations)
	select {
	case <-ctx.Done():
		v.drain()
	case err = <-failed:
	}
	v.shutdown(ls)
	close(stopHangups)
	return err
}

// listen opens the VM's listeners.
func (v *VM) listen() (*listener.Set, error) {
	inner := peer.NewServer(v.self, peer.NewToken([]byte(v.set.Secret)), v, v.faults)
	return listener.Open([]listener.Spec{
		{Name: "callers", Address: v.set.Callers, Server: v.server(v.handler.Handle)},
		{Name: "inner", Address: v.set.Inner, Server: v.server(inner.Handle)},
		{Name: "operations", Address: v.set.Operations, Server: v.server(v.operations())},
	}, v.log)
}

// Forward answers a request that another VM accepted.
func (v *VM) Forward(ctx *fasthttp.RequestCtx) { v.handler.Forward(ctx) }

func (v *VM) server(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: h, ErrorHandler: entry.Malformed, Name: "sassafrastray",
		StreamRequestBody: true, MaxRequestBodySize: prefetch,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               v.set.Limits.Header,
		Concurrency:                  v.set.Limits.Connections,
		ReadTimeout:                  headTimeout, IdleTimeout: idleTimeout,
		NoDefaultDate: true, NoDefaultServerHeader: true,
		CloseOnShutdown: true, TCPKeepalive: true, TCPKeepalivePeriod: idleTimeout / 8,
		Logger: quiet{v},
	}
}

// quiet sends what the HTTP server has to say to the debug log. Callers cause
// nearly all of it.
type quiet struct{ v *VM }

// Printf logs one message.
func (q quiet) Printf(format string, args ...any) {
	q.v.log.Debug("http server", "message", errors.Newf(format, args...).Error())
}

// drain takes the VM out of the look-ups, waits until callers can have
// noticed, and lets what is under way end.
func (v *VM) drain() {
	end := v.clock.Now().Add(v.set.Timing.Drain)
	v.log.Info(message.Draining, "until", end)
	v.post(func(now time.Time) {
		v.state, v.news = sassafrastray.VMLeaving, extraRounds
		v.publish(now)
		v.beat(v.members.Tick(now), now)
	})
	time.Sleep(min(v.set.Timing.TTL+time.Second, end.Sub(v.clock.Now())))
	for v.handler.Active() > 0 && v.clock.Now().Before(end) {
		time.Sleep(cutWait)
	}
	time.Sleep(cutWait)
	if n := v.handler.Active(); n > 0 {
		v.log.Error("drain time over with requests under way", "requests", n)
	}
	v.giveBack()
}

// giveBack returns the VM's place, so that another VM can take it at once.
func (v *VM) giveBack() {
	v.post(func(now time.Time) { v.stepPlace(place.Leave{}, now) })
	for end := v.clock.Now().Add(releaseWait); v.clock.Now().Before(end); time.Sleep(cutWait) {
		answer := make(chan place.State, 1)
		v.post(func(time.Time) { answer <- v.place.State() })
		if <-answer == place.Stopped {
			return
		}
	}
	v.log.Warn("place not given back; it passes on when its record is old")
}

func (v *VM) shutdown(ls *listener.Set) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseWait)
	defer cancel()
	ls.Shutdown(ctx)
	v.stop()
	v.loops.Wait()
	v.work.Release()
	v.pool.Close()
	v.probes.Close()
	v.log.Info("stopped", "vm", v.self.Name)
}

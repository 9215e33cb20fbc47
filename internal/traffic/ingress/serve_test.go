package ingress

import (
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/limit/allotment"
	"sassafrastray/internal/operator/apikey"
	"sassafrastray/internal/rollout/canary"
	"sassafrastray/internal/traffic/entry"
	"sassafrastray/internal/traffic/hangup"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/retry"
	"sassafrastray/internal/traffic/route"
	"sassafrastray/internal/traffic/split"
	"sassafrastray/internal/traffic/upstream"
)

type (
	// plan is a Placement that names servers in turn, and then none.
	plan struct {
		mu      sync.Mutex
		servers []sassafrastray.BackendServer
		open    int
		ends    []placement.End
	}

	// free admits and allows everything, and has no rollouts.
	free struct{}
)

func (p *plan) Pick(placement.Request) (placement.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.servers) == 0 {
		return placement.Choice{Reason: placement.Busy, Wait: time.Second}, false
	}
	c := placement.Choice{Server: p.servers[0], Reason: placement.Preferred, Expected: 10 * time.Millisecond}
	p.servers = p.servers[1:]
	p.open++
	return c, true
}

func (p *plan) Done(_ placement.Choice, e placement.End, _ time.Duration, _ *sassafrastray.BackendLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.ends = append(p.ends, e)
}

func (free) Take(sassafrastray.TeamName) allotment.Verdict { return allotment.Verdict{OK: true} }
func (free) Refund(sassafrastray.TeamName)                 {}
func (free) Request(sassafrastray.ServiceName)             {}
func (free) Affords(sassafrastray.ServiceName) bool        { return true }
func (free) Next(a retry.Attempt) retry.Decision {
	return retry.Decision{Retry: a.Number < a.MaxAttempts && (a.Idempotent || a.Result == sassafrastray.NotRun), Exclude: a.Exclude}
}

func (free) Draw(sassafrastray.ServiceName) (only, except sassafrastray.VersionName, narrow bool) {
	return "", "", false
}

func (free) Saw(sassafrastray.ServiceName, sassafrastray.RouteName, sassafrastray.VersionName, canary.End) {
}

// backend serves answers after a delay and counts them.
type backend struct {
	address netip.AddrPort
	mu      sync.Mutex
	ran     int
}

func newBackend(t *testing.T, delay time.Duration, status int) *backend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	b := &backend{address: netip.MustParseAddrPort(ln.Addr().String())}
	go func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
			b.mu.Lock()
			b.ran++
			b.mu.Unlock()
			time.Sleep(delay)
			ctx.Response.Header.Set("Id", string(ctx.Request.Header.Peek("Id")))
			if status == fasthttp.StatusServiceUnavailable {
				ctx.Response.Header.Set("Shed", "1")
			}
			ctx.SetStatusCode(status)
			ctx.SetBodyString("done")
		})
	}()
	return b
}

// handler returns a handler with one idempotent and one other route, over the
// servers in turn.
func handler(p *plan) *Handler {
	h := New(Deps{
		Clock: sassafrastray.SystemClock{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Dialect: sassafrastray.Dialect{
			ID: "Id", Deadline: "Deadline", Object: "Object", Key: "Key", Team: "Team", Expect: "Expect", NotRun: "Shed", Load: "Load",
			ParseDeadline:  func([]byte) (time.Duration, bool) { return 0, false },
			FormatDeadline: func(d time.Duration) string { return d.String() },
			FormatWait:     func(d time.Duration) string { return d.String() },
			ParseLoad:      func([]byte) (sassafrastray.BackendLoad, bool) { return sassafrastray.BackendLoad{}, false },
		},
		Pool:      upstream.New(sassafrastray.SystemClock{}, upstream.Options{Dial: time.Second, Idle: time.Second, MaxIdle: 4, ID: "Id"}),
		Placement: p, Quotas: free{}, Retries: free{}, Rollouts: free{}, Splits: split.New(), Hangups: hangup.New(),
		Metrics: entry.NewMetrics(prometheus.NewRegistry()),
	})
	targets := []sassafrastray.Target{{Service: "s", Weight: 1}}
	c := &sassafrastray.Config{Number: 1, Routes: []sassafrastray.Route{
		{Name: "read", Host: "h", Path: "/read/", Open: true, Idempotent: true, Timeout: time.Second, Attempts: 2, Targets: targets},
		{Name: "write", Host: "h", Path: "/write/", Open: true, Timeout: time.Second, Attempts: 2, Targets: targets},
	}}
	h.Update(&Snapshot{Config: c, Hosts: route.NewHosts(c), Keys: apikey.NewTable(c)})
	return h
}

// TestSecondTry checks when the first try is given up for another: only for an
// idempotent request, only if a server holds a place for the other, and not on a
// VM that is stopping. What was held and not used is given back.
func TestSecondTry(t *testing.T) {
	const late, soon = 800 * time.Millisecond, time.Millisecond
	for _, c := range []struct {
		name    string
		path    string
		servers []time.Duration
		first   int
		leaving bool
		status  int
		ran     []int
	}{
		{"another is free", "/read/", []time.Duration{late, soon}, 200, false, 200, []int{1, 1}},
		{"no other is free", "/read/", []time.Duration{late}, 200, false, 200, []int{1}},
		{"the VM is stopping", "/read/", []time.Duration{late, soon}, 200, true, 200, []int{1, 0}},
		{"not idempotent", "/write/", []time.Duration{late, soon}, 200, false, 200, []int{1, 0}},
		{"failed, another is free", "/read/", []time.Duration{soon, soon}, 500, false, 200, []int{1, 1}},
		{"failed, no other is free", "/read/", []time.Duration{soon}, 500, false, 500, []int{1}},
		{"failed, not idempotent", "/write/", []time.Duration{soon, soon}, 500, false, 500, []int{1, 0}},
		{"declined, not idempotent", "/write/", []time.Duration{soon, soon}, 503, false, 200, []int{1, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &plan{}
			var backends []*backend
			for i, d := range c.servers {
				status := 200
				if i == 0 {
					status = c.first
				}
				b := newBackend(t, d, status)
				backends = append(backends, b)
				p.servers = append(p.servers, sassafrastray.BackendServer{Name: sassafrastray.BackendName('a' + rune(i)), Address: b.address})
			}
			h := handler(p)
			if c.leaving {
				h.Leave()
			}
			var ctx fasthttp.RequestCtx
			server, client := net.Pipe()
			defer server.Close()
			defer client.Close()
			ctx.Init2(server, nil, false)
			ctx.Request.Header.SetRequestURI(c.path + "x")
			ctx.Request.Header.SetHost("h")
			ctx.Request.Header.Set("Id", "r1")
			h.Handle(&ctx)
			if got := ctx.Response.StatusCode(); got != c.status {
				t.Errorf("status %d, want %d: %s", got, c.status, ctx.Response.Body())
			}
			for i, b := range backends {
				b.mu.Lock()
				if b.ran != c.ran[i] {
					t.Errorf("server %d ran %d requests, want %d", i, b.ran, c.ran[i])
				}
				b.mu.Unlock()
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.open != 0 {
				t.Errorf("%d places are still held, ends %v", p.open, p.ends)
			}
		})
	}
}

package ingress

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"sassafrastray"
	"sassafrastray/internal/traffic/placement"
)

// limitedBackend is a backend server that names a limit of requests per second in its
// answers, and records when requests arrive.
type limitedBackend struct {
	address  netip.AddrPort
	mu       sync.Mutex
	arrivals []time.Time
}

func newLimitedBackend(t *testing.T, limit string) *limitedBackend {
	b := &limitedBackend{}
	b.address = serveRequests(t, func(ctx *fasthttp.RequestCtx) {
		b.mu.Lock()
		b.arrivals = append(b.arrivals, time.Now())
		b.mu.Unlock()
		if limit != "" {
			ctx.Response.Header.Set("Server-Limit", limit)
		}
	})
	return b
}

// mostIn returns the greatest number of arrivals within the period, from one second after
// the first arrival on.
func (b *limitedBackend) mostIn(period time.Duration) (most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, from := range b.arrivals {
		if from.Sub(b.arrivals[0]) < time.Second {
			continue
		}
		n := 0
		for _, at := range b.arrivals[i:] {
			if at.Sub(from) <= period {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestServerLimitIsKept guards against a backend server that gets more requests than it
// says it takes: it names two a second, while another one could take all.
func TestServerLimitIsKept(t *testing.T) {
	limited, free := newLimitedBackend(t, "2"), newLimitedBackend(t, "")
	h := newHandler(nil)
	h.Placement = newTable([]sassafrastray.BackendServer{
		{Name: "limited", Service: "s", Address: limited.address, Slots: 4, Version: "v1"},
		{Name: "free", Service: "s", Address: free.address, Slots: 4, Version: "v1"},
	})
	server, client := net.Pipe()
	defer server.Close()
	defer client.Close()
	pace := rate.NewLimiter(50, 1)
	for i := range 250 {
		time.Sleep(pace.Reserve().Delay())
		ctx := &fasthttp.RequestCtx{}
		ctx.Init2(server, nil, false)
		ctx.Request.Header.SetRequestURI("/read/x")
		ctx.Request.Header.SetHost("h")
		ctx.Request.Header.Set("Id", fmt.Sprintf("%016x", i))
		h.Handle(ctx)
		if code := ctx.Response.StatusCode(); code != fasthttp.StatusOK {
			t.Fatalf("request %d: status %d: %s", i, code, ctx.Response.Body())
		}
	}
	if n := limited.mostIn(4 * time.Second); n > 4*2*3/2+5 {
		t.Errorf("%d requests within 4 s, want at most 17", n)
	}
}

// table is a placement.Table with a lock.
type table struct {
	mu sync.Mutex
	*placement.Table
}

func newTable(servers []sassafrastray.BackendServer) *table {
	t := &table{Table: placement.New(placement.Options{Self: "vm"}, rand.New(rand.NewPCG(1, 2)))}
	t.Update(servers, nil, time.Now())
	return t
}

// Pick chooses a server.
func (t *table) Pick(r placement.Request) (placement.Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Table.Pick(r, time.Now())
}

// Takes reports whether a server takes requests.
func (t *table) Takes(c placement.Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Table.Takes(c, time.Now())
}

// Named returns a choice of the server with a name.
func (t *table) Named(name sassafrastray.BackendName) placement.Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Table.Named(name)
}

// SetLimit records a limit.
func (t *table) SetLimit(c placement.Choice, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Table.SetLimit(c, perSecond, time.Now())
}

// EndLimit ends a limit.
func (t *table) EndLimit(c placement.Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Table.EndLimit(c, time.Now())
}

// SetLeaving records that a server leaves.
func (t *table) SetLeaving(c placement.Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Table.SetLeaving(c)
}

// SetPause records a pause.
func (t *table) SetPause(c placement.Choice, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Table.SetPause(c, d, time.Now())
}

// Done ends a request.
func (t *table) Done(c placement.Choice, e placement.End, took time.Duration, load *sassafrastray.BackendLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Table.Done(c, e, took, load, time.Now())
}

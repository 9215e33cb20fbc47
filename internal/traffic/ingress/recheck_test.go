package ingress

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/retry"
)

// newsAfterPick is a Placement that learns something right after its first choice, as
// when a connection takes long to open.
type newsAfterPick struct {
	*table
	picked atomic.Bool
	news   func(c placement.Choice)
}

func (p *newsAfterPick) Pick(r placement.Request) (placement.Choice, bool) {
	c, ok := p.table.Pick(r)
	if !p.picked.Swap(true) {
		p.news(c)
	}
	return c, ok
}

// policy is a Retries with the real policy.
type policy struct{ *retry.Policy }

func (p policy) Next(a retry.Attempt) retry.Decision { return p.Policy.Next(a, time.Now()) }

// TestServerChangesBeforeTheSend guards against a request that is sent to a backend server
// which no longer takes it, because that became known while the request waited for a
// connection. It goes to the other server, also if it must not run twice.
func TestServerChangesBeforeTheSend(t *testing.T) {
	for _, c := range []struct {
		name string
		// news is what becomes known of the chosen server, besides which there is
		// another one.
		news  func(t *table, chosen placement.Choice, other []sassafrastray.BackendServer)
		moved bool
	}{
		{"nothing", func(*table, placement.Choice, []sassafrastray.BackendServer) {}, false},
		{"its entry says that it leaves", func(t *table, chosen placement.Choice, other []sassafrastray.BackendServer) {
			chosen.Server.Leaving = true
			t.Update(append(other, chosen.Server), nil, time.Now())
		}, true},
		{"its answer to another request says that it leaves", func(t *table, chosen placement.Choice, _ []sassafrastray.BackendServer) {
			t.SetLeaving(chosen)
		}, true},
		{"it is gone", func(t *table, _ placement.Choice, other []sassafrastray.BackendServer) {
			t.Update(other, nil, time.Now())
		}, true},
		{"its failure domain is evacuated", func(t *table, chosen placement.Choice, other []sassafrastray.BackendServer) {
			t.Update(append(other, chosen.Server), map[sassafrastray.DomainName]bool{chosen.Server.Domain: true}, time.Now())
		}, true},
		{"it names a pause", func(t *table, chosen placement.Choice, _ []sassafrastray.BackendServer) {
			t.SetPause(chosen, 10*time.Second)
		}, true},
	} {
		for _, path := range []string{"/read/x", "/write/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				backends := []*backend{newBackend(t, 0, 200), newBackend(t, 0, 200)}
				list := []sassafrastray.BackendServer{
					{Name: "a", Service: "s", Address: backends[0].address, Slots: 4, Version: "v1", Domain: "d-1"},
					{Name: "b", Service: "s", Address: backends[1].address, Slots: 4, Version: "v1", Domain: "d-2"},
				}
				chosen := 0
				p := &newsAfterPick{table: newTable(list)}
				p.news = func(first placement.Choice) {
					chosen = slices.IndexFunc(list, func(b sassafrastray.BackendServer) bool { return b.Name == first.Server.Name })
					c.news(p.table, first, []sassafrastray.BackendServer{list[1-chosen]})
				}
				h := newHandler(nil)
				h.Placement, h.Retries = p, policy{retry.New(rand.New(rand.NewPCG(1, 2)), retry.Defaults())}
				var ctx fasthttp.RequestCtx
				server, client := net.Pipe()
				defer server.Close()
				defer client.Close()
				ctx.Init2(server, nil, false)
				ctx.Request.Header.SetRequestURI(path)
				ctx.Request.Header.SetHost("h")
				ctx.Request.Header.Set("Id", "r1")
				h.Handle(&ctx)
				if got := ctx.Response.StatusCode(); got != 200 {
					t.Errorf("status %d: %s", got, ctx.Response.Body())
				}
				for i, b := range backends {
					want := 0
					if (i == chosen) != c.moved {
						want = 1
					}
					b.mu.Lock()
					if b.ran != want {
						t.Errorf("server %d ran %d requests, want %d; server %d was chosen first", i, b.ran, want, chosen)
					}
					b.mu.Unlock()
				}
			})
		}
	}
}

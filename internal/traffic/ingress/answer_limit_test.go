package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/tools/txtar"

	"sassafrastray"
	"sassafrastray/internal/traffic/placement"
)

// limitList is a serverList that records the limits that servers named.
type limitList struct {
	serverList
	mu     sync.Mutex
	limits []string
}

// SetLimit records a limit.
func (p *limitList) SetLimit(_ placement.Choice, perSecond float64) {
	p.record(fmt.Sprintf("named %v", perSecond))
}

// EndLimit records an answer without a limit.
func (p *limitList) EndLimit(placement.Choice) { p.record("ended") }

func (p *limitList) record(l string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = append(p.limits, l)
}

// serveOnce answers the first request of each connection with the given bytes, in which
// ID stands for the request's ID, and closes the connection.
func serveOnce(t *testing.T, answer string) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			if req.Read(bufio.NewReader(c)) == nil {
				fmt.Fprint(c, strings.ReplaceAll(answer, "Id: ID", "Id: "+string(req.Header.Peek("Id"))))
			}
			c.Close()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// TestLimitsInAnswers checks which answers of a backend server set or end its limit: only
// its own, that belong to the request and, to end it, only those of requests that ran.
func TestLimitsInAnswers(t *testing.T) {
	a, err := txtar.ParseFile("testdata/limits.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range a.Files {
		t.Run(f.Name, func(t *testing.T) {
			want, answer, _ := strings.Cut(string(f.Data), "\n")
			answer = strings.Replace(strings.ReplaceAll(strings.TrimSuffix(answer, "\n"), "\n", "\r\n"), "\r\n\r\n\r\n", "\r\n\r\n", 1)
			p := &limitList{}
			p.servers = []sassafrastray.BackendServer{
				{Name: "a", Address: serveOnce(t, answer)}, {Name: "b", Address: newBackend(t, time.Millisecond, 200).address},
			}
			h := newHandler(&p.serverList)
			h.Placement = p
			server, client := net.Pipe()
			defer server.Close()
			defer client.Close()
			var ctx fasthttp.RequestCtx
			ctx.Init2(server, nil, false)
			ctx.Request.Header.SetRequestURI("/read/x")
			ctx.Request.Header.SetHost("h")
			ctx.Request.Header.Set("Id", "r1")
			h.Handle(&ctx)
			p.mu.Lock()
			defer p.mu.Unlock()
			if got := strings.Join(p.limits, ", "); got != want {
				t.Errorf("%q, want %q (status %d)", got, want, ctx.Response.StatusCode())
			}
		})
	}
}

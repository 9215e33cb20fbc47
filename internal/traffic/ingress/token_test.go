package ingress

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/operator/apikey"
	"sassafrastray/internal/traffic/retry"
	"sassafrastray/internal/traffic/route"
)

// tokenCount is a Quotas that counts the tokens that were taken and not returned.
type tokenCount struct{ taken int }

func (c *tokenCount) Take(sassafrastray.TeamName) ratelimit.Verdict {
	c.taken++
	return ratelimit.Verdict{OK: true}
}

func (c *tokenCount) Refund(sassafrastray.TeamName) { c.taken-- }

// teamKey is a key of the team of newTeamHandler.
const teamKey = "sk_0123456789abcdef-team"

// newTeamHandler returns a Handler with routes of a team.
func newTeamHandler(p *serverList) *Handler {
	h := newHandler(p)
	targets := []sassafrastray.Target{{Service: "s", Weight: 1}}
	c := &sassafrastray.Config{
		Number: 1,
		Fleet:  sassafrastray.Fleet{Teams: []sassafrastray.Team{{Name: "team", Keys: []sassafrastray.KeyDigest{apikey.Digest(teamKey)}}}},
		Routes: []sassafrastray.Route{
			{Name: "read", Host: "h", Path: "/read/", Idempotent: true, MaxAttempts: 2, Targets: targets},
			{Name: "write", Host: "h", Path: "/write/", MaxAttempts: 2, Targets: targets},
		},
	}
	h.Update(&Snapshot{
		Config: c, Hosts: route.NewHosts(c), Keys: apikey.NewTable(c),
		Teams: map[sassafrastray.TeamName]*sassafrastray.Team{"team": &c.Fleet.Teams[0]},
	})
	h.Retries = policy{retry.New(rand.New(rand.NewPCG(1, 2)), retry.Options{Ratio: 1, Reserve: 5, MaxAttempts: 4})}
	return h
}

// TestTokenIsKeptByARequestThatRuns guards against a team that gets more than its rate: a
// request whose first try reached no server got its token back, and ran at the next one.
// A request that reaches none gets it back once.
func TestTokenIsKeptByARequestThatRuns(t *testing.T) {
	closed := func() netip.AddrPort {
		ln := newListener(t)
		defer ln.Close()
		return netip.MustParseAddrPort(ln.Addr().String())
	}
	for _, c := range []struct {
		name    string
		servers []netip.AddrPort
		status  int
		taken   int
	}{
		{"the first server answers", []netip.AddrPort{newBackend(t, 0, 200).address}, 200, 1},
		{"the first server refuses the connection", []netip.AddrPort{closed(), newBackend(t, 0, 200).address}, 200, 1},
		{"two servers refuse it", []netip.AddrPort{closed(), closed(), newBackend(t, 0, 200).address}, 200, 1},
		{"the first server sheds it", []netip.AddrPort{newBackend(t, 0, 503).address, newBackend(t, 0, 200).address}, 200, 1},
		{"there is no server", nil, 503, 0},
		{"all servers shed it", []netip.AddrPort{newBackend(t, 0, 503).address, newBackend(t, 0, 503).address}, 503, 0},
		{"all servers refuse it", []netip.AddrPort{closed(), closed()}, 503, 0},
	} {
		for _, path := range []string{"/read/x", "/write/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				p := &serverList{}
				for i, a := range c.servers {
					p.servers = append(p.servers, sassafrastray.BackendServer{Name: sassafrastray.BackendName('a' + rune(i)), Address: a})
				}
				h, quota := newTeamHandler(p), &tokenCount{}
				h.Quotas = quota
				var ctx fasthttp.RequestCtx
				server, client := net.Pipe()
				defer server.Close()
				defer client.Close()
				ctx.Init2(server, nil, false)
				ctx.Request.Header.SetRequestURI(path)
				ctx.Request.Header.SetHost("h")
				ctx.Request.Header.Set("Id", "r1")
				ctx.Request.Header.Set("Key", teamKey)
				h.Handle(&ctx)
				if got := ctx.Response.StatusCode(); got != c.status {
					t.Errorf("status %d, want %d: %s", got, c.status, ctx.Response.Body())
				}
				if quota.taken != c.taken {
					t.Errorf("%d tokens are taken, want %d", quota.taken, c.taken)
				}
			})
		}
	}
}

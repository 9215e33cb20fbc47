package lookup

import (
	"encoding/json"
	"net/netip"

	"github.com/valyala/fasthttp"

	"sassafrastray"
)

// Path and parameters of a look-up over HTTP.
const (
	Path         = "/lookup"
	ParamService = "service"
	// ParamFrom and ParamTeam are the address and the team to answer for in
	// place of the caller's own, and ParamExplain asks for an Explanation.
	// Operators alone may use them.
	ParamFrom    = "from"
	ParamTeam    = "team"
	ParamExplain = "explain"
)

// Handle answers a look-up. Team is the one whose key came with it, if any.
// Operator tells that the request came in at the operations address.
func Handle(ctx *fasthttp.RequestCtx, s *Snapshot, team sassafrastray.TeamName, operator bool) {
	args := ctx.QueryArgs()
	service := sassafrastray.ServiceName(args.Peek(ParamService))
	caller := remote(ctx)
	if from := args.Peek(ParamFrom); operator && len(from) > 0 {
		a, err := netip.ParseAddr(string(from))
		if err != nil {
			ctx.Error("from is not an IP address", fasthttp.StatusBadRequest)
			return
		}
		caller = a
	}
	if name := args.Peek(ParamTeam); operator && len(name) > 0 {
		team = sassafrastray.TeamName(name)
	}
	if operator && args.Has(ParamExplain) {
		explain(ctx, s, service, team, caller)
		return
	}
	b, ok := s.AnswerTeam(service, team, caller)
	if !ok {
		decline(ctx, s, service)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

func explain(ctx *fasthttp.RequestCtx, s *Snapshot, service sassafrastray.ServiceName, team sassafrastray.TeamName, caller netip.Addr) {
	e, ok := s.Explain(service, team, caller)
	if !ok {
		decline(ctx, s, service)
		return
	}
	b, err := json.Marshal(e)
	if err != nil {
		panic("explanation of a look-up cannot be encoded: " + err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

func decline(ctx *fasthttp.RequestCtx, s *Snapshot, service sassafrastray.ServiceName) {
	if _, ok := s.services[service]; !ok {
		ctx.Error("no such service", fasthttp.StatusNotFound)
		return
	}
	ctx.Error("no live VM", fasthttp.StatusServiceUnavailable)
}

func remote(ctx *fasthttp.RequestCtx) netip.Addr {
	a, _ := netip.AddrFromSlice(ctx.RemoteIP())
	return a.Unmap()
}

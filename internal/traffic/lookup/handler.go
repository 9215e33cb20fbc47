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
	// ParamFrom and ParamTeam set the address and the team to answer for in
	// place of the caller's own, and ParamExplain asks for an Explanation.
	// Only operators may use them.
	ParamFrom    = "from"
	ParamTeam    = "team"
	ParamExplain = "explain"
)

// Handle answers a look-up. team is the team whose key the request presented,
// if any. operator says that the request arrived at the operations address.
func Handle(ctx *fasthttp.RequestCtx, s *Snapshot, team sassafrastray.TeamName, operator bool) {
	args := ctx.QueryArgs()
	service := sassafrastray.ServiceName(args.Peek(ParamService))
	caller := callerAddr(ctx)
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
		writeNoAnswer(ctx, s, service)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

func explain(ctx *fasthttp.RequestCtx, s *Snapshot, service sassafrastray.ServiceName, team sassafrastray.TeamName, caller netip.Addr) {
	e, ok := s.Explain(service, team, caller)
	if !ok {
		writeNoAnswer(ctx, s, service)
		return
	}
	b, err := json.Marshal(e)
	if err != nil {
		panic("explanation of a look-up cannot be encoded: " + err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

func writeNoAnswer(ctx *fasthttp.RequestCtx, s *Snapshot, service sassafrastray.ServiceName) {
	if _, ok := s.services[service]; !ok {
		ctx.Error("no such service", fasthttp.StatusNotFound)
		return
	}
	ctx.Error("no live VM", fasthttp.StatusServiceUnavailable)
}

func callerAddr(ctx *fasthttp.RequestCtx) netip.Addr {
	a, _ := netip.AddrFromSlice(ctx.RemoteIP())
	return a.Unmap()
}

package peer

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/operator/config"
)

type (
	// Service is what a VM does with messages from other VMs.
	Service interface {
		// Beat takes in a heartbeat and returns the VM's own.
		Beat(h *Heartbeat) *Heartbeat
		// Config returns the encoded configuration, if it is newer than the
		// given one.
		Config(have config.Stamp) ([]byte, bool)
		// Quota takes in a message about quota loans and returns the answers.
		Quota(m quota.Message) []quota.Message
		// Forward answers a request that another VM accepted from a caller.
		Forward(ctx *fasthttp.RequestCtx)
	}

	// Server answers the inner protocol.
	Server struct {
		self    sassafrastray.VM
		token   Token
		service Service
		faults  *Faults
	}
)

// NewServer returns a server that hands messages to the service.
func NewServer(self sassafrastray.VM, token Token, service Service, faults *Faults) *Server {
	return &Server{self: self, token: token, service: service, faults: faults}
}

// Handle answers one request of the inner protocol.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	if !s.token.Valid(h.Peek(TokenHeader)) {
		ctx.Error("not a VM of this system", fasthttp.StatusForbidden)
		return
	}
	if s.faults.Parted(s.self.Domain, sassafrastray.DomainName(h.Peek(DomainHeader))) {
		// The message would not have arrived; neither does an answer.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	switch string(ctx.Path()) {
	case BeatPath:
		s.beat(ctx)
	case ConfigPath:
		s.config(ctx)
	case QuotaPath:
		s.quota(ctx)
	case ForwardPath:
		s.service.Forward(ctx)
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

func (s *Server) beat(ctx *fasthttp.RequestCtx) {
	var h Heartbeat
	if !decode(ctx, &h) {
		return
	}
	reply(ctx, s.service.Beat(&h))
	if b := ctx.Response.Body(); h.Relay != nil && len(b) > packAbove {
		ctx.SetBody(pack(b))
		ctx.Response.Header.SetContentEncoding(encoding)
	}
}

func (s *Server) config(ctx *fasthttp.RequestCtx) {
	var have config.Stamp
	if !decode(ctx, &have) {
		return
	}
	b, ok := s.service.Config(have)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	ctx.SetBody(b)
}

func (s *Server) quota(ctx *fasthttp.RequestCtx) {
	var m quota.Message
	if decode(ctx, &m) {
		reply(ctx, s.service.Quota(m))
	}
}

// decode reads a message, or answers that it can't be read.
func decode(ctx *fasthttp.RequestCtx, v any) bool {
	body := ctx.PostBody()
	var err error
	if string(ctx.Request.Header.ContentEncoding()) == encoding {
		body, err = unpack(body)
	}
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		ctx.Error("message: "+err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func reply(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error("encode: "+err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

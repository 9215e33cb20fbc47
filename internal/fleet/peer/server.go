package peer

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/deflate"
	"sassafrastray/internal/fleet/listener"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/operator/config"
	"sassafrastray/internal/traffic/upstream"
)

type (
	// Handler processes the messages that a VM receives from other VMs.
	Handler interface {
		// HandleHeartbeat applies a heartbeat and returns the VM's own.
		HandleHeartbeat(h *Heartbeat) *Heartbeat
		// NewerConfig returns the encoded configuration if it is newer than the
		// given one, and false otherwise.
		NewerConfig(have config.Stamp) ([]byte, bool)
		// HandleQuota handles a message about quota loans and returns the
		// answers.
		HandleQuota(m quota.Message) []quota.Message
		// Forward answers a request that another VM accepted from a caller.
		Forward(ctx *fasthttp.RequestCtx)
	}

	// Server serves the inner protocol.
	Server struct {
		self    sassafrastray.VM
		token   Token
		handler Handler
		faults  *Faults
	}
)

// NewServer returns a server that passes messages to the handler.
func NewServer(self sassafrastray.VM, token Token, handler Handler, faults *Faults) *Server {
	return &Server{self: self, token: token, handler: handler, faults: faults}
}

// Handle answers one request of the inner protocol.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	defer upstream.EchoID(ctx)
	h := &ctx.Request.Header
	if !s.token.Valid(h.Peek(TokenHeader)) {
		ctx.Error("not a VM of this system", fasthttp.StatusForbidden)
		return
	}
	if s.faults.Partitioned(s.self.Domain, sassafrastray.DomainName(h.Peek(DomainHeader))) {
		// On a real network the message would be lost, so it gets no answer.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	switch string(ctx.Path()) {
	case HeartbeatPath:
		s.heartbeat(ctx)
	case ConfigPath:
		s.config(ctx)
	case QuotaPath:
		s.quota(ctx)
	case ForwardPath:
		s.handler.Forward(ctx)
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

func (s *Server) heartbeat(ctx *fasthttp.RequestCtx) {
	var h Heartbeat
	if !decode(ctx, &h) {
		return
	}
	reply(ctx, s.handler.HandleHeartbeat(&h))
	if b := ctx.Response.Body(); h.Relay != nil && len(b) > minCompressSize {
		ctx.SetBody(deflate.Compress(b))
		ctx.Response.Header.SetContentEncoding(deflate.Encoding)
	}
}

func (s *Server) config(ctx *fasthttp.RequestCtx) {
	var have config.Stamp
	if !decode(ctx, &have) {
		return
	}
	b, ok := s.handler.NewerConfig(have)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	ctx.SetBody(b)
}

func (s *Server) quota(ctx *fasthttp.RequestCtx) {
	var m quota.Message
	if decode(ctx, &m) {
		reply(ctx, s.handler.HandleQuota(m))
	}
}

// decode decodes a message. If it fails it answers the request with an error
// and returns false.
func decode(ctx *fasthttp.RequestCtx, v any) bool {
	body, err := listener.ReadBody(ctx, maxMessageSize)
	if err == nil && string(ctx.Request.Header.ContentEncoding()) == deflate.Encoding {
		body, err = deflate.Decompress(body, maxMessageSize)
	}
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		ctx.Error("message: "+err.Error(), fasthttp.StatusBadRequest)
		ctx.SetConnectionClose()
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

package entry

import (
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/traffic/problem"
)

// Headers that the system sets on answers. A backend server's own are
// replaced.
const (
	resultHeader  = "Result"
	reasonHeader  = "Reason"
	idHeader      = "Request-Id"
	teamHeader    = "Team"
	timeoutHeader = "Request-Timeout"
	shedHeader    = "Shed"
	drainHeader   = "Drain"
	loadHeader    = "Load"
	backendHeader = peer.BackendHeader
)

type (
	// refusal is an answer that the system gives by itself.
	refusal struct {
		reason sassafrastray.Reason
		result sassafrastray.Result
		// wait is when a repeated request may fare better, if known.
		wait   time.Duration
		detail string
	}
)

func notRun(reason sassafrastray.Reason, detail string) *refusal {
	return &refusal{reason: reason, result: sassafrastray.ResultNotRun, detail: detail}
}

func unknown(reason sassafrastray.Reason, detail string) *refusal {
	return &refusal{reason: reason, result: sassafrastray.ResultUnknown, detail: detail}
}

// Malformed answers what the HTTP server could not read as a request.
func Malformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	reason := sassafrastray.ReasonMalformed
	if errors.As(err, &small) {
		reason = sassafrastray.ReasonHeader
	}
	notRun(reason, "").write(ctx, "")
	ctx.SetConnectionClose()
}

// write makes the refusal the answer of ctx.
func (r *refusal) write(ctx *fasthttp.RequestCtx, id string) {
	problem.New(r.reason, r.result, r.detail, id).Write(ctx)
	h := &ctx.Response.Header
	h.Set(resultHeader, string(r.result))
	h.Set(reasonHeader, string(r.reason))
	if id != "" {
		h.Set(idHeader, id)
	}
	if r.wait > 0 {
		h.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(r.wait.Seconds()))))
	}
	if r.reason == sassafrastray.ReasonKey {
		h.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
}

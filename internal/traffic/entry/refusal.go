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
	"sassafrastray/internal/traffic/upstream"
)

// Headers that the system sets on responses, and replaces when a backend
// server's response has them.
const (
	resultHeader  = "Result"
	reasonHeader  = "Reason"
	idHeader      = upstream.IDHeader
	teamHeader    = "Team"
	timeoutHeader = "Request-Timeout"
	shedHeader    = "Shed"
	drainHeader   = "Drain"
	loadHeader    = "Load"
	backendHeader = peer.BackendHeader
)

type (
	// refusal is an error response that the system itself generates.
	refusal struct {
		reason sassafrastray.Reason
		result sassafrastray.Result
		// retryAfter is the time after which a retry may succeed, or zero if
		// that is unknown.
		retryAfter time.Duration
		detail     string
	}
)

// notRun returns a refusal of a request that has not run.
func notRun(reason sassafrastray.Reason, detail string) *refusal {
	return &refusal{reason: reason, result: sassafrastray.ResultNotRun, detail: detail}
}

// unknown returns a refusal of a request that may have run.
func unknown(reason sassafrastray.Reason, detail string) *refusal {
	return &refusal{reason: reason, result: sassafrastray.ResultUnknown, detail: detail}
}

// HandleMalformed responds to input that the HTTP server could not parse as a request.
func HandleMalformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	reason := sassafrastray.ReasonMalformed
	if errors.As(err, &small) {
		reason = sassafrastray.ReasonHeader
	}
	notRun(reason, "").write(ctx, "")
	ctx.SetConnectionClose()
}

// RefuseBusy refuses a request of a caller for which the VM has no connection left.
func RefuseBusy(ctx *fasthttp.RequestCtx) {
	r := notRun(sassafrastray.ReasonBusy, "too many connections")
	r.retryAfter = time.Second
	r.write(ctx, "")
}

// write sets the refusal as the response of ctx. The id may be empty.
func (r *refusal) write(ctx *fasthttp.RequestCtx, id string) {
	problem.New(r.reason, r.result, r.detail, id).Write(ctx)
	h := &ctx.Response.Header
	h.Set(resultHeader, string(r.result))
	h.Set(reasonHeader, string(r.reason))
	if id != "" {
		h.Set(idHeader, id)
	}
	if r.retryAfter > 0 {
		h.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	if r.reason == sassafrastray.ReasonKey {
		h.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
}

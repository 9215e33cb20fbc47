package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/peer"
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

// problemType is the media type of RFC 9457.
const problemType = "application/problem+json"

type (
	// refusal is an answer that the system gives by itself.
	refusal struct {
		reason sassafrastray.Reason
		result sassafrastray.Result
		// wait is when a repeated request may fare better, if known.
		wait   time.Duration
		detail string
	}

	// problem is the body of a refusal.
	problem struct {
		Title   string               `json:"title"`
		Status  int                  `json:"status"`
		Detail  string               `json:"detail,omitempty"`
		Reason  sassafrastray.Reason `json:"reason"`
		Result  sassafrastray.Result `json:"result"`
		Request string               `json:"request,omitempty"`
	}
)

// statuses maps reasons to HTTP status codes.
var statuses = map[sassafrastray.Reason]int{
	sassafrastray.ReasonHost:     fasthttp.StatusNotFound,
	sassafrastray.ReasonPath:     fasthttp.StatusNotFound,
	sassafrastray.ReasonMethod:   fasthttp.StatusMethodNotAllowed,
	sassafrastray.ReasonKey:      fasthttp.StatusUnauthorized,
	sassafrastray.ReasonTeam:     fasthttp.StatusForbidden,
	sassafrastray.ReasonQuota:    fasthttp.StatusTooManyRequests,
	sassafrastray.ReasonBusy:     fasthttp.StatusServiceUnavailable,
	sassafrastray.ReasonDeadline: fasthttp.StatusGatewayTimeout,
	sassafrastray.ReasonBody:     fasthttp.StatusRequestEntityTooLarge,
	sassafrastray.ReasonBackend:  fasthttp.StatusBadGateway,
	sassafrastray.ReasonBroken:   fasthttp.StatusBadGateway,
	sassafrastray.ReasonLeaving:  fasthttp.StatusServiceUnavailable,
	sassafrastray.ReasonStale:    fasthttp.StatusServiceUnavailable,
	sassafrastray.ReasonLink:     fasthttp.StatusServiceUnavailable,
	sassafrastray.ReasonShed:     fasthttp.StatusServiceUnavailable,
	sassafrastray.ReasonHeader:   fasthttp.StatusRequestHeaderFieldsTooLarge,
	sassafrastray.ReasonForm:     fasthttp.StatusBadRequest,
	sassafrastray.ReasonVM:       fasthttp.StatusBadGateway,
	sassafrastray.ReasonGone:     fasthttp.StatusRequestTimeout,
}

// titles are the problem's titles, one for each reason.
var titles = map[sassafrastray.Reason]string{
	sassafrastray.ReasonHost:     "No service has this host",
	sassafrastray.ReasonPath:     "No route has this path",
	sassafrastray.ReasonMethod:   "The route does not allow this method",
	sassafrastray.ReasonKey:      "No key in force was presented",
	sassafrastray.ReasonTeam:     "The team may not call this service",
	sassafrastray.ReasonQuota:    "The team is above its rate",
	sassafrastray.ReasonBusy:     "No backend server is free in time",
	sassafrastray.ReasonDeadline: "The deadline passed",
	sassafrastray.ReasonBody:     "The body is too large",
	sassafrastray.ReasonBackend:  "No backend server could be reached",
	sassafrastray.ReasonBroken:   "The answer was not whole",
	sassafrastray.ReasonLeaving:  "The VM is stopping",
	sassafrastray.ReasonStale:    "The VM's configuration is too old",
	sassafrastray.ReasonLink:     "The link has no headroom",
	sassafrastray.ReasonShed:     "The backend server shed the request",
	sassafrastray.ReasonHeader:   "The request's header is too large",
	sassafrastray.ReasonForm:     "The request is not well-formed",
	sassafrastray.ReasonVM:       "No VM could take the request",
	sassafrastray.ReasonGone:     "The caller hung up",
}

func notRun(reason sassafrastray.Reason, detail string) *refusal {
	return &refusal{reason: reason, result: sassafrastray.NotRun, detail: detail}
}

func unknown(reason sassafrastray.Reason, detail string) *refusal {
	return &refusal{reason: reason, result: sassafrastray.Unknown, detail: detail}
}

// Malformed answers what the HTTP server could not read as a request.
func Malformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	reason := sassafrastray.ReasonForm
	if errors.As(err, &small) {
		reason = sassafrastray.ReasonHeader
	}
	notRun(reason, "").write(ctx, "")
	ctx.SetConnectionClose()
}

// write makes the refusal the answer of ctx.
func (r *refusal) write(ctx *fasthttp.RequestCtx, id string) {
	status := statuses[r.reason]
	b, err := json.Marshal(problem{
		Title: titles[r.reason], Status: status, Detail: r.detail,
		Reason: r.reason, Result: r.result, Request: id,
	})
	if err != nil {
		panic("entry: a problem can't be encoded: " + err.Error())
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetContentType(problemType)
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
	ctx.SetBody(b)
}

// Package problem writes the error responses that the system itself gives, as
// problem details of RFC 9457.
package problem

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"sassafrastray"
)

// mediaType is the media type of problem details.
const mediaType = "application/problem+json"

// Problem is the body of an error response. It says why the caller got no
// answer from a backend server.
type Problem struct {
	Title   string               `json:"title"`
	Status  int                  `json:"status"`
	Detail  string               `json:"detail,omitempty"`
	Reason  sassafrastray.Reason `json:"reason"`
	Result  sassafrastray.Result `json:"result"`
	Request string               `json:"request,omitempty"`
}

// statuses maps reasons to HTTP status codes.
var statuses = map[sassafrastray.Reason]int{
	sassafrastray.ReasonHost:        fasthttp.StatusNotFound,
	sassafrastray.ReasonPath:        fasthttp.StatusNotFound,
	sassafrastray.ReasonMethod:      fasthttp.StatusMethodNotAllowed,
	sassafrastray.ReasonKey:         fasthttp.StatusUnauthorized,
	sassafrastray.ReasonTeam:        fasthttp.StatusForbidden,
	sassafrastray.ReasonQuota:       fasthttp.StatusTooManyRequests,
	sassafrastray.ReasonBusy:        fasthttp.StatusServiceUnavailable,
	sassafrastray.ReasonDeadline:    fasthttp.StatusGatewayTimeout,
	sassafrastray.ReasonBody:        fasthttp.StatusRequestEntityTooLarge,
	sassafrastray.ReasonBackend:     fasthttp.StatusBadGateway,
	sassafrastray.ReasonBadResponse: fasthttp.StatusBadGateway,
	sassafrastray.ReasonLeaving:     fasthttp.StatusServiceUnavailable,
	sassafrastray.ReasonStaleConfig: fasthttp.StatusServiceUnavailable,
	sassafrastray.ReasonLink:        fasthttp.StatusServiceUnavailable,
	sassafrastray.ReasonShed:        fasthttp.StatusServiceUnavailable,
	sassafrastray.ReasonHeader:      fasthttp.StatusRequestHeaderFieldsTooLarge,
	sassafrastray.ReasonMalformed:   fasthttp.StatusBadRequest,
	sassafrastray.ReasonVM:          fasthttp.StatusBadGateway,
	sassafrastray.ReasonCallerGone:  fasthttp.StatusRequestTimeout,
	sassafrastray.ReasonHarmful:     fasthttp.StatusServiceUnavailable,
}

// titles maps reasons to the titles of their problems.
var titles = map[sassafrastray.Reason]string{
	sassafrastray.ReasonHost:        "No service has this host",
	sassafrastray.ReasonPath:        "No route has this path",
	sassafrastray.ReasonMethod:      "The route does not allow this method",
	sassafrastray.ReasonKey:         "No key in force was presented",
	sassafrastray.ReasonTeam:        "The team may not call this service",
	sassafrastray.ReasonQuota:       "The team is above its rate",
	sassafrastray.ReasonBusy:        "No backend server is free in time",
	sassafrastray.ReasonDeadline:    "The deadline passed",
	sassafrastray.ReasonBody:        "The body is too large",
	sassafrastray.ReasonBackend:     "No backend server could be reached",
	sassafrastray.ReasonBadResponse: "The answer was not whole",
	sassafrastray.ReasonLeaving:     "The VM is stopping",
	sassafrastray.ReasonStaleConfig: "The VM's configuration is too old",
	sassafrastray.ReasonLink:        "The link has no headroom",
	sassafrastray.ReasonShed:        "The backend server shed the request",
	sassafrastray.ReasonHeader:      "The request's header is too large",
	sassafrastray.ReasonMalformed:   "The request is not well-formed",
	sassafrastray.ReasonVM:          "No VM could take the request",
	sassafrastray.ReasonCallerGone:  "The caller hung up",
	sassafrastray.ReasonHarmful:     "Backend servers crashed that ran the request",
}

// New returns the problem for a reason, with the reason's title and status.
// request is the request's id, if it has one.
func New(reason sassafrastray.Reason, result sassafrastray.Result, detail, request string) *Problem {
	return &Problem{
		Title: titles[reason], Status: statuses[reason], Detail: detail, Reason: reason, Result: result, Request: request,
	}
}

// Status returns the HTTP status code for a reason, or 0 for an unknown reason.
func Status(reason sassafrastray.Reason) int { return statuses[reason] }

// Write replaces the response of ctx with the problem.
func (p *Problem) Write(ctx *fasthttp.RequestCtx) {
	b, err := json.Marshal(p)
	if err != nil {
		panic("problem: encoding failed: " + err.Error())
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType(mediaType)
	ctx.SetBody(b)
}

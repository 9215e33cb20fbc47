package edge

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"sassafrastray"
	"sassafrastray/internal/traffic/ingress"
	"sassafrastray/internal/traffic/placement"
)

// WherePath is the path of the metrics listener that tells where a request would go. The
// Param constants are the parameters of its query.
const (
	WherePath     = "/where"
	ParamHost     = "host"
	ParamPath     = "path"
	ParamRoute    = "route"
	ParamTeam     = "team"
	ParamObject   = "object"
	ParamPriority = "priority"
	ParamLeft     = "left"
)

const (
	// whereRate and whereBurst bound the questions that are answered a second and at once.
	// Each one copies the state of a service under the lock that choices hold.
	whereRate  = 3
	whereBurst = 3
)

// forecaster answers from copies of the VM's state.
type forecaster struct {
	v *VM
	// rng is not the random source of traffic.
	rng *rand.Rand
}

// Forecast returns what a choice of a server would be.
func (f forecaster) Forecast(r placement.Request) (out placement.Forecast) {
	f.v.placement.do(func(t *placement.Table, now time.Time) { out = t.Forecast(r, f.rng, now) })
	return out
}

// PeekVersion returns the constraint on the version of the service's next request.
func (f forecaster) PeekVersion(s sassafrastray.ServiceName) (only, except sassafrastray.VersionName, narrow bool) {
	f.v.rollouts.mu.Lock()
	defer f.v.rollouts.mu.Unlock()
	return f.v.rollouts.tracker.PeekVersion(s)
}

// PeekService returns the service of the route's next request.
func (f forecaster) PeekService(r *sassafrastray.Route) sassafrastray.ServiceName {
	return f.v.splits.Peek(r)
}

// withWhere returns a handler that answers where a request would go, and passes other paths
// to next.
func (v *VM) withWhere(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	limit := rate.NewLimiter(whereRate, whereBurst)
	return func(ctx *fasthttp.RequestCtx) {
		switch {
		case string(ctx.Path()) != WherePath:
			next(ctx)
		case !ctx.IsGet():
			ctx.Error("method: must be GET", fasthttp.StatusMethodNotAllowed)
		case !limit.AllowN(v.clock.Now(), 1):
			ctx.Error("too many questions; ask again in a second", fasthttp.StatusTooManyRequests)
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		default:
			v.handleWhere(ctx)
		}
	}
}

func (v *VM) handleWhere(ctx *fasthttp.RequestCtx) {
	q, err := parseQuestion(ctx.QueryArgs())
	var f ingress.Forecast
	if err == nil {
		f, err = v.handler.Forecast(q, forecaster{v, v.newRand()})
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	f.VM = v.opt.VM.Name
	b, err := json.Marshal(f)
	if err != nil {
		ctx.Error(errors.Wrap(err, "answer").Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// parseQuestion reads the parameters of a query.
func parseQuestion(a *fasthttp.Args) (ingress.Question, error) {
	q := ingress.Question{
		Host: string(a.Peek(ParamHost)), Path: string(a.Peek(ParamPath)), Route: sassafrastray.RouteName(a.Peek(ParamRoute)),
		Team: sassafrastray.TeamName(a.Peek(ParamTeam)), Object: string(a.Peek(ParamObject)),
	}
	for key := range a.All() {
		switch string(key) {
		case ParamHost, ParamPath, ParamRoute, ParamTeam, ParamObject, ParamPriority, ParamLeft:
		default:
			return q, &ingress.FieldError{Field: string(key), Fault: "is not known"}
		}
	}
	if v := string(a.Peek(ParamPriority)); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			return q, &ingress.FieldError{Field: ParamPriority, Fault: "must be 0 or a positive number"}
		}
		q.Priority = &n
	}
	if v := string(a.Peek(ParamLeft)); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return q, &ingress.FieldError{Field: ParamLeft, Fault: "must be a positive duration such as 800ms"}
		}
		q.TimeLeft = d
	}
	return q, nil
}

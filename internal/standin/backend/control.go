package backend

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/server"
)

const faultsPath = "/control/faults/"

// status describes a server in the control interface.
type status struct {
	server.Settings
	Health server.Health `json:"health"`
	Peak   int           `json:"peak"`
	Faults server.Faults `json:"plan"`
}

// Control serves the control interface, which sets faults and returns the recorded
// executions. Request bodies are JSON or YAML, with durations such as 200ms.
//
//	GET /control/servers         settings, health and faults of all servers
//	PUT /control/faults/PATTERN  sets the server.Faults of the servers that match
//	GET /control/executed        the executions, one JSON object per line
//	DELETE /control/executed     deletes them
//	GET /control/summary         the execlog.Summary
//	GET /control/burst?rate=R    the smallest burst of a token bucket of rate R
//	                             that would have admitted the executions;
//	                             the parameters service and team filter them
func (f *Fleet) Control(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	pattern, isFaults := strings.CutPrefix(path, faultsPath)
	switch {
	case ctx.IsPut() && isFaults:
		if err := f.SetFaults(pattern, ctx.PostBody()); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		}
	case ctx.IsGet() && path == "/control/servers":
		writeJSON(ctx, f.statuses())
	case ctx.IsGet() && path == "/control/executed":
		f.executed(ctx)
	case ctx.IsDelete() && path == "/control/executed":
		f.mu.Lock()
		f.executions.Reset()
		f.mu.Unlock()
	case ctx.IsGet() && path == "/control/summary":
		f.mu.Lock()
		s := f.executions.Summary()
		f.mu.Unlock()
		writeJSON(ctx, s)
	case ctx.IsGet() && path == "/control/burst":
		f.burst(ctx)
	default:
		ctx.Error("no such control", fasthttp.StatusNotFound)
	}
}

// SetFaults replaces the faults of the servers whose names match the pattern by
// those in the text, which is JSON or YAML. It returns an error if the text is
// invalid, no server matches, or a listener cannot be opened.
func (f *Fleet) SetFaults(pattern string, text []byte) error {
	var faults server.Faults
	if err := yaml.UnmarshalWithOptions(text, &faults, yaml.Strict()); err != nil {
		return errors.Wrap(err, "plan")
	}
	f.log.Info("setting faults", "servers", pattern, "plan", string(text))
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := f.match(pattern)
	if len(hosts) == 0 {
		return errors.Newf("no server matches %q", pattern)
	}
	for _, h := range hosts {
		if err := h.setFaults(faults); err != nil {
			return err
		}
	}
	return nil
}

// setFaults replaces the faults. A server that had crashed begins a cold start.
func (h *host) setFaults(faults server.Faults) error {
	now := h.fleet.clock.Now()
	crashed := h.state.Faults().Crash
	h.state.SetFaults(faults, now)
	if faults.Crash {
		h.listener.Suspend()
		return nil
	}
	if crashed {
		h.state.Restart(now)
	}
	return h.listener.Resume()
}

func (f *Fleet) statuses() []status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	all := make([]status, len(f.hosts))
	for i, h := range f.hosts {
		all[i] = status{h.state.Settings, h.state.Health(now), h.state.Peak(), h.state.Faults()}
	}
	return all
}

func (f *Fleet) executed(ctx *fasthttp.RequestCtx) {
	f.mu.Lock()
	entries := f.executions.Entries()
	f.mu.Unlock()
	ctx.SetContentType("application/jsonlines")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		enc := json.NewEncoder(w)
		for i := range entries {
			if enc.Encode(&entries[i]) != nil {
				return
			}
		}
	})
}

func (f *Fleet) burst(ctx *fasthttp.RequestCtx) {
	q := ctx.QueryArgs()
	rate, err := strconv.ParseFloat(string(q.Peek("rate")), 64)
	if err != nil {
		ctx.Error("rate is not a number", fasthttp.StatusBadRequest)
		return
	}
	service, team := sassafrastray.ServiceName(q.Peek("service")), sassafrastray.TeamName(q.Peek("team"))
	f.mu.Lock()
	burst := f.executions.NeededBurst(service, team, rate)
	f.mu.Unlock()
	writeJSON(ctx, struct {
		Burst float64 `json:"burst"`
	}{burst})
}

package vm

import (
	"encoding/json"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/traffic/scheduler"
	"sassafrastray/internal/traffic/upstream"
)

const (
	healthPath = "/health"

	// maxHealth is the size of the largest health report in bytes.
	maxHealth = 4 << 10
)

// health is a backend server's report of itself. Missing figures stay nil.
type health struct {
	State string `json:"state"`
	Slots *int   `json:"slots"`
	Used  *int   `json:"used"`
}

// states maps the words of health reports to the keeper's states.
var states = map[string]scheduler.State{
	"ok": scheduler.Ready, "cold": scheduler.Cold, "draining": scheduler.Draining, "failing": scheduler.Failing,
}

// probe asks the backend servers that this VM keeps how they are.
func (v *VM) probe(time.Time) {
	if v.conf.current == nil {
		return
	}
	var kept map[sassafrastray.BackendName]bool
	v.gate.Do(func(k *scheduler.Scheduler, _ time.Time) ([]scheduler.Start, []scheduler.Drop) {
		kept = k.Owned()
		return nil, nil
	})
	for _, s := range v.conf.current.Services {
		for _, b := range s.Backends {
			if kept[b.Name] && !v.probing[b.Name] {
				v.probing[b.Name] = v.spawn(func() { v.probeOne(b) })
			}
		}
	}
}

// probeOne reads one health report. A backend server that gives none is
// judged by its answers alone.
func (v *VM) probeOne(b sassafrastray.BackendServer) {
	at := v.clock.Now()
	h, ok := v.readHealth(b)
	v.post(func(time.Time) {
		delete(v.probing, b.Name)
		if !ok {
			return
		}
		v.gate.Do(func(k *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) {
			k.HandleReport(b.Name, scheduler.Report{At: at, State: states[h.State], Slots: figure(h.Slots), InFlight: figure(h.Used)}, now)
			return nil, nil
		})
	})
}

func (v *VM) readHealth(b sassafrastray.BackendServer) (health, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(healthPath)
	req.Header.SetHost(b.Address.String())
	x := v.probes.Start(upstream.Call{Address: b.Address, Deadline: v.clock.Now().Add(callTimeout), ProgressTimeout: callTimeout})
	if out := x.Do(req, resp); out.Failure != upstream.None {
		return health{}, false
	}
	var h health
	s := resp.BodyStream()
	if s == nil {
		return h, false
	}
	body, err := io.ReadAll(io.LimitReader(s, maxHealth))
	return h, err == nil && json.Unmarshal(body, &h) == nil
}

func figure(n *int) scheduler.OptionalInt {
	if n == nil {
		return scheduler.OptionalInt{}
	}
	return scheduler.Known(*n)
}

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

	// maxHealthSize is the size of the largest health report in bytes.
	maxHealthSize = 4 << 10
)

// health is a backend server's health report. Figures that it lacks stay nil.
type health struct {
	State string `json:"state"`
	Slots *int   `json:"slots"`
	Used  *int   `json:"used"`
}

// states maps the states in health reports to the scheduler's states.
var states = map[string]scheduler.State{
	"ok": scheduler.Ready, "cold": scheduler.Cold, "draining": scheduler.Draining, "failing": scheduler.Failing,
}

// probe requests a health report from each backend server that this VM owns.
func (v *VM) probe(time.Time) {
	if v.conf.current == nil {
		return
	}
	var owned map[sassafrastray.BackendName]bool
	v.slots.Do(func(s *scheduler.Scheduler, _ time.Time) ([]scheduler.Start, []scheduler.Drop) {
		owned = s.Owned()
		return nil, nil
	})
	for _, s := range v.conf.current.Services {
		for _, b := range s.Backends {
			if owned[b.Name] && !v.probing[b.Name] {
				v.probing[b.Name] = v.spawn(func() { v.probeOne(b) })
			}
		}
	}
}

// probeOne reads one health report. A backend server without a readable report
// is judged only by its answers to requests.
func (v *VM) probeOne(b sassafrastray.BackendServer) {
	at := v.clock.Now()
	h, ok := v.readHealth(b)
	v.post(func(time.Time) {
		delete(v.probing, b.Name)
		if !ok {
			return
		}
		v.slots.Do(func(s *scheduler.Scheduler, now time.Time) ([]scheduler.Start, []scheduler.Drop) {
			s.HandleReport(b.Name, scheduler.Report{At: at, State: states[h.State], Slots: optionalInt(h.Slots), InFlight: optionalInt(h.Used)}, now)
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
	req.Header.Set(upstream.IDHeader, upstream.NewID())
	x := v.probes.Start(upstream.Call{Address: b.Address, Deadline: v.clock.Now().Add(callTimeout), ProgressTimeout: callTimeout})
	if out := x.Do(req, resp); out.Failure != upstream.None {
		return health{}, false
	}
	var h health
	s := resp.BodyStream()
	if s == nil {
		return h, false
	}
	body, err := io.ReadAll(io.LimitReader(s, maxHealthSize))
	return h, err == nil && json.Unmarshal(body, &h) == nil
}

func optionalInt(n *int) scheduler.OptionalInt {
	if n == nil {
		return scheduler.OptionalInt{}
	}
	return scheduler.Known(*n)
}

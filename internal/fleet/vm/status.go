package vm

import (
	"encoding/json"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"sassafrastray"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/rollout/move"
	"sassafrastray/internal/traffic/lookup"
	"sassafrastray/internal/traffic/scheduler"
)

const namespace = "sassafrastray"

type (
	// Status is the VM's state as reported to operators.
	Status struct {
		VM     sassafrastray.VMName `json:"vm"`
		Config int64                `json:"config"`
		// VMs lists all VMs that this one knows, itself first.
		VMs    []MemberStatus      `json:"vms"`
		Moves  []move.Report       `json:"moves"`
		Place  string              `json:"place"`
		Ready  bool                `json:"ready"`
		Quotas []quota.LimitStatus `json:"quotas"`
		Loads  []scheduler.Load    `json:"loads"`
	}

	// MemberStatus is the state of one VM in a Status.
	MemberStatus struct {
		Name   sassafrastray.VMName     `json:"name"`
		Domain sassafrastray.DomainName `json:"domain"`
		// Config is the number of the configuration in force there, 0 if
		// unknown.
		Config int64  `json:"config"`
		State  string `json:"state"`
		// Age is the time since the VM's last heartbeat, and Confirmed the time
		// since its configuration was known to be the newest, both in
		// nanoseconds; negative means never.
		Age       time.Duration `json:"age"`
		Confirmed time.Duration `json:"confirmed"`
	}

	// cutRequest is the body of a request to cut off failure domains.
	cutRequest struct {
		Domains []sassafrastray.DomainName `json:"domains"`
	}

	metrics struct {
		store     *prometheus.CounterVec
		overflow  prometheus.Counter
		config    prometheus.Gauge
		members   prometheus.Gauge
		moveShare *prometheus.GaugeVec
	}
)

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total", Help: "Calls to the platform, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		overflow: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "control_overflows_total", Help: "Control calls not made because too many were under way.",
		}),
		config: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "config_number", Help: "Number of the configuration in force.",
		}),
		members: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "live_vms", Help: "Live VMs in this VM's view, itself included.",
		}),
		moveShare: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "move_share_ratio", Help: "Share of the new version on this VM.",
		}, []string{"service"}),
	}
	r.MustRegister(m.store, m.overflow, m.config, m.members, m.moveShare)
	return m
}

// operations returns the handler for operators' requests: metrics, liveness,
// readiness, status, look-ups, and, where the settings allow them, faults for
// experiments.
func (v *VM) operations() fasthttp.RequestHandler {
	prom := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(v.registry, promhttp.HandlerOpts{}))
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			prom(ctx)
		case "/live":
			v.answerLive(ctx)
		case "/ready":
			v.answerReady(ctx)
		case "/status":
			v.answerStatus(ctx)
		case lookup.Path:
			if l := v.handler.Lookups(); l != nil {
				lookup.Handle(ctx, l, "", true)
				return
			}
			ctx.Error("no configuration yet", fasthttp.StatusServiceUnavailable)
		case "/faults/cut":
			v.answerCut(ctx)
		default:
			ctx.Error("unknown path", fasthttp.StatusNotFound)
		}
	}
}

// answerLive reports whether the control goroutine responds.
func (v *VM) answerLive(ctx *fasthttp.RequestCtx) {
	if _, ok := v.report(); !ok {
		ctx.Error("the control loop does not answer", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("live\n")
}

// answerReady reports whether callers may be sent to this VM.
func (v *VM) answerReady(ctx *fasthttp.RequestCtx) {
	s, ok := v.report()
	switch {
	case !ok:
		ctx.Error("the control loop does not answer", fasthttp.StatusServiceUnavailable)
	case s.Config == 0:
		ctx.Error("no configuration yet", fasthttp.StatusServiceUnavailable)
	case s.VMs[0].State == string(sassafrastray.VMLeaving):
		ctx.Error("leaving", fasthttp.StatusServiceUnavailable)
	case !s.Ready:
		ctx.Error("no quota yet", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}

func (v *VM) answerStatus(ctx *fasthttp.RequestCtx) {
	s, ok := v.report()
	if !ok {
		ctx.Error("the control loop does not answer", fasthttp.StatusServiceUnavailable)
		return
	}
	b, err := json.Marshal(s)
	if err != nil {
		panic("vm: a status can't be encoded: " + err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// report asks the control goroutine for the VM's status. It returns false if
// there is no answer within callTimeout.
func (v *VM) report() (*Status, bool) {
	answer := make(chan *Status, 1)
	if !v.post(func(now time.Time) { answer <- v.statusNow(now) }) {
		return nil, false
	}
	t := time.NewTimer(callTimeout)
	defer t.Stop()
	select {
	case s := <-answer:
		return s, true
	case <-t.C:
		return nil, false
	}
}

func (v *VM) statusNow(now time.Time) *Status {
	s := &Status{VM: v.self.Name, Place: string(v.place.State()), Ready: v.ready(now), Moves: v.mover.Status(now)}
	own := MemberStatus{Name: v.self.Name, Domain: v.self.Domain, State: string(v.state), Confirmed: -1}
	if c := v.conf.current; c != nil {
		s.Config, own.Config = c.Number, c.Number
		own.Confirmed = now.Sub(v.conf.confirmed)
	}
	if p := v.place.Place(); p != nil {
		s.Place = p.String()
	}
	s.VMs = append(s.VMs, own)
	s.VMs = append(s.VMs, v.memberStatuses(now)...)
	v.quotas.do(func(l *quota.Limiter, _ time.Time) { s.Quotas = l.Status() })
	s.Loads = v.slots.Load()
	return s
}

// memberStatuses lists the other VMs, including the silent ones, so that
// operators see which VMs may lack a change.
func (v *VM) memberStatuses(now time.Time) []MemberStatus {
	var out []MemberStatus
	seen := make(map[sassafrastray.VMName]bool)
	for _, m := range v.members.View(now) {
		seen[m.VM.Name] = true
		f := MemberStatus{
			Name: m.VM.Name, Domain: m.VM.Domain, Config: m.Config, State: string(m.VM.State),
			Age: m.Age, Confirmed: -1,
		}
		if m.Suspect {
			f.State = "suspect"
		}
		if h := v.heartbeats[m.VM.Name]; h != nil && h.Config > 0 {
			f.Confirmed = h.ConfirmedAge() + m.Age
		}
		out = append(out, f)
	}
	for _, vm := range v.members.Known() {
		if !seen[vm.Name] {
			out = append(out, MemberStatus{Name: vm.Name, Domain: vm.Domain, State: "silent", Age: -1, Confirmed: -1})
		}
	}
	return out
}

// answerCut cuts off failure domains if the settings allow faults.
func (v *VM) answerCut(ctx *fasthttp.RequestCtx) {
	if v.faults == nil {
		ctx.Error("the settings don't allow faults", fasthttp.StatusForbidden)
		return
	}
	var r cutRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		ctx.Error("body: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	v.faults.Cut(r.Domains)
	v.log.Warn("fault: failure domains cut off", "domains", r.Domains)
}

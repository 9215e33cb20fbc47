package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"sassafrastray"
	"sassafrastray/internal/fleet/duty"
)

// usageMetrics are the metrics of usage reports, which exist only where they are on.
type usageMetrics struct {
	reports  *prometheus.CounterVec
	messages *prometheus.CounterVec
	received prometheus.Counter
	// holder has one series, whose label names the holder that the VM knows.
	holder     *prometheus.GaugeVec
	holds      prometheus.Gauge
	generation prometheus.Gauge
	decided    prometheus.Gauge
	finished   prometheus.Gauge
	pending    prometheus.Gauge
	covered    prometheus.Gauge
	missing    prometheus.Gauge
	offset     prometheus.Gauge
	named      sassafrastray.VMName
}

func newUsageMetrics(r prometheus.Registerer) *usageMetrics {
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: "usage", Name: name, Help: help})
		r.MustRegister(g)
		return g
	}
	counter := func(name, help string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: "usage", Name: name, Help: help}, []string{"outcome"})
		r.MustRegister(c)
		return c
	}
	m := &usageMetrics{
		reports:  counter("reports_total", "Calls that report usage to the platform, by outcome."),
		messages: counter("messages_total", "Messages with the VM's counts to other VMs, by outcome."),
		received: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: "usage", Name: "messages_received_total", Help: "Messages with the counts of other VMs.",
		}),
		holder: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: "usage", Name: "holder", Help: "1 for the VM that reports usage, as this VM knows it.",
		}, []string{"holder"}),
		holds:      gauge("holds", "1 while this VM reports usage, 0 otherwise."),
		generation: gauge("generation", "Generation of the VM that reports usage."),
		decided:    gauge("decided_window", "Latest window whose counts are decided."),
		finished:   gauge("finished_window", "Latest window up to which all are reported or given up."),
		pending:    gauge("pending_windows", "Windows that are decided and not reported yet."),
		covered:    gauge("covered_vms", "Processes whose counts are in the window that this VM decided last."),
		missing:    gauge("missing_vms", "Processes whose last counts are not in the window that this VM decided last."),
		offset:     gauge("clock_offset_seconds", "How far the VM's wall clock is ahead of the fleet's time."),
	}
	r.MustRegister(m.received, m.holder)
	return m
}

// update sets the metrics of the duty's state.
func (m *usageMetrics) update(s duty.Status) {
	if s.Holder != m.named {
		m.holder.Reset()
		m.named = s.Holder
	}
	if s.Holder != "" {
		m.holder.WithLabelValues(string(s.Holder)).Set(1)
	}
	m.holds.Set(0)
	if s.Holds {
		m.holds.Set(1)
	}
	m.generation.Set(float64(s.Generation))
	m.decided.Set(float64(s.Decided))
	m.finished.Set(float64(s.Finished))
	m.pending.Set(float64(s.Pending))
}

func outcomeLabel(o duty.Outcome) string {
	switch o {
	case duty.Sent:
		return "ok"
	case duty.Limited:
		return "limited"
	case duty.Unreached:
		return "unreached"
	case duty.Expired:
		return "expired"
	case duty.Rejected:
		return "rejected"
	default:
		return "failed"
	}
}

package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sassafrastray"
)

const namespace = "sassafrastray"

// latencyBuckets are the upper bounds of the latency histogram in seconds.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

// reportAgeBuckets are the upper bounds of the histogram of report ages in seconds.
var reportAgeBuckets = []float64{.05, .1, .2, .4, .7, 1, 1.5, 2, 4, 10}

// Metrics are the metrics of a VM's traffic. All label values come from the
// configuration and from fixed lists, never from callers, which bounds their
// number.
type Metrics struct {
	Requests *prometheus.CounterVec
	Latency  *prometheus.HistogramVec
	Sheds    *prometheus.CounterVec
	Retries  *prometheus.CounterVec
	Bytes    *prometheus.CounterVec
	// SendDelay is the time from the choice of a backend server until the first byte of the
	// request is sent there.
	SendDelay *prometheus.HistogramVec
	Choices   *prometheus.CounterVec
	Lookups   prometheus.Counter
	// Knowledge and ReportAge are only used where VMs share reports of runs.
	Knowledge *prometheus.CounterVec
	ReportAge prometheus.Histogram
	// Refusals and Level are of the admission by a region's load.
	Refusals *prometheus.CounterVec
	Level    *prometheus.GaugeVec
}

// NewMetrics returns the metrics and registers them with r. It panics if one is
// registered already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests that ended, by reason.",
		}, []string{"side", "service", "team", "reason"}),
		Latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_duration_seconds", Help: "Time from a request's header to the end of its answer.",
			Buckets: latencyBuckets,
		}, []string{"side", "service"}),
		Sheds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "backend_sheds_total", Help: "Requests that backend servers shed.",
		}, []string{"service"}),
		Retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total", Help: "Further tries of a request.",
		}, []string{"service"}),
		Bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answer_bytes_total", Help: "Bytes of answers' bodies passed on.",
		}, []string{"service"}),
		SendDelay: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "send_delay_seconds", Help: "Time from the choice of a backend server until the request is sent, with the time to open a connection, by the server's region.",
			Buckets: latencyBuckets,
		}, []string{"region"}),
		Choices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "choices_total", Help: "Choices of a VM for a request, by reason.",
		}, []string{"reason"}),
		Lookups: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "lookups_total", Help: "Look-ups answered.",
		}),
		Knowledge: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "object_choices_total", Help: "Choices of a backend server for an object, by whether it is expected to know the object.",
		}, []string{"knowledge"}),
		ReportAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "report_age_seconds", Help: "Age of the load reports by which backend servers were chosen for objects.",
			Buckets: reportAgeBuckets,
		}),
		Refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "admission_refusals_total", Help: "Requests refused because of the load of a region's backend servers, by reason.",
		}, []string{"service", "region", "reason"}),
		Level: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "admission_level", Help: "Share of the requests of priority 1 that the load of a region's backend servers allows, above 1 if less urgent ones are admitted too.",
		}, []string{"service", "region"}),
	}
	r.MustRegister(m.Requests, m.Latency, m.Sheds, m.Retries, m.Bytes, m.SendDelay, m.Choices, m.Lookups, m.Knowledge, m.ReportAge, m.Refusals, m.Level)
	return m
}

// recordEnd counts a request that has ended and observes its latency.
func (m *Metrics) recordEnd(in *inbound, reason sassafrastray.Reason, now time.Time) {
	side := "callers"
	if in.origin != "" {
		side = "inner"
	}
	service := string(serviceName(in.service))
	m.Requests.WithLabelValues(side, service, string(in.team), string(reason)).Inc()
	m.Latency.WithLabelValues(side, service).Observe(now.Sub(in.arrived).Seconds())
}

// RecordAdmission sets the level of a service in a region, and counts a refusal unless the
// reason is empty.
func (m *Metrics) RecordAdmission(s sassafrastray.ServiceName, region sassafrastray.RegionName, reason string, level float64) {
	m.Level.WithLabelValues(string(s), string(region)).Set(level)
	if reason != "" {
		m.Refusals.WithLabelValues(string(s), string(region), reason).Inc()
	}
}

func (m *Metrics) recordShed(in *inbound) {
	m.Sheds.WithLabelValues(string(in.service.Name)).Inc()
}

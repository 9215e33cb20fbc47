package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"sassafrastray/internal/traffic/placement"
)

const namespace = "sassafrastray"

type metrics struct {
	store         *prometheus.CounterVec
	heartbeats    *prometheus.CounterVec
	overflow      prometheus.Counter
	config        prometheus.Gauge
	configInForce prometheus.Gauge
	configBehind  prometheus.Gauge
	configWordAge prometheus.Gauge
	storeWordAge  *prometheus.GaugeVec
	// configConfirmedAge is the age of the VM's confirmation.
	configConfirmedAge prometheus.Gauge
	storeUnreachable   prometheus.Gauge
	era                prometheus.Gauge
	quarantined        prometheus.Gauge
	pauses             *prometheus.CounterVec
	partitioned        prometheus.Gauge
	quotaShare         *prometheus.GaugeVec
	quotaTokens        *prometheus.GaugeVec
	// runs counts the runs in heartbeats, and badRuns the messages whose runs could not
	// be decoded.
	runs    *prometheus.CounterVec
	badRuns prometheus.Counter
	// regionChoices counts requests by where they are sent, and awayShare is the share of
	// objects that go to other regions.
	regionChoices *prometheus.CounterVec
	awayShare     *prometheus.GaugeVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total", Help: "Calls to the platform's store, by topic and outcome.",
		}, []string{"topic", "outcome"}),
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "heartbeats_total", Help: "Heartbeats sent, by outcome.",
		}, []string{"outcome"}),
		overflow: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "control_overflows_total", Help: "Control calls not made because too many were under way.",
		}),
		config: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "config_number", Help: "Number of the latest configuration that the VM has.",
		}),
		storeUnreachable: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "store_away_seconds", Help: "How long the store has not been reached, 0 if it is.",
		}),
		era: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "store_era", Help: "How often the store has returned to an older copy of itself, as it says.",
		}),
	}
	m.quarantined = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "quarantined_requests", Help: "Requests that are kept from backend servers, which crash when they run them.",
	})
	m.pauses = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "server_pauses_total", Help: "Pauses that backend servers named, by service.",
	}, []string{"service"})
	m.partitioned = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "partitioned", Help: "1 while the VM is partitioned from all backend servers, 0 otherwise.",
	})
	m.quotaShare = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "quota_share", Help: "The VM's fraction of the quota of each team that sends requests.",
	}, []string{"team"})
	m.quotaTokens = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "quota_tokens", Help: "Tokens in the VM's bucket of each team that sends requests.",
	}, []string{"team"})
	m.runs = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "run_reports_total", Help: "Runs at backend servers that VMs of the region tell each other, by direction (sent, received).",
	}, []string{"direction"})
	m.badRuns = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "run_reports_undecodable_total", Help: "Messages of other VMs whose runs could not be decoded and were dropped.",
	})
	m.configInForce = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_in_force_number", Help: "Number of the configuration that requests are handled by.",
	})
	m.configBehind = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_behind_seconds", Help: "How long another VM has had a later configuration, 0 if none has.",
	})
	m.configWordAge = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_word_age_seconds", Help: "Time since the store last answered a read or watch of the configuration.",
	})
	m.storeWordAge = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "store_word_age_seconds", Help: "Time since the store last answered a read or watch of a topic that was read.",
	}, []string{"topic"})
	m.configConfirmedAge = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_confirmed_age_seconds", Help: "Time since the configuration was last known to be the latest one in the store.",
	})
	m.regionChoices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "region_choices_total", Help: "Requests by whether they go to the VM's region (near), to another one (away, detour) or must go there (home), and by outcome (sent, refused).",
	}, []string{"service", "region", "outcome"})
	m.awayShare = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "away_share", Help: "Share of a service's objects that go to other regions.",
	}, []string{"service"})
	r.MustRegister(m.regionChoices, m.awayShare, m.runs, m.badRuns, m.configConfirmedAge, m.storeWordAge, m.configInForce, m.configBehind, m.configWordAge, m.quotaShare, m.quotaTokens, m.partitioned, m.store, m.heartbeats, m.overflow, m.config, m.storeUnreachable, m.era, m.quarantined, m.pauses)
	return m
}

// countRegions counts the choices of a tally.
func (m *metrics) countRegions(c *placement.Tally) {
	service := string(c.Service)
	m.awayShare.WithLabelValues(service).Set(c.Share)
	for _, n := range []struct {
		region, outcome string
		count           int
	}{
		{"near", "sent", c.Near},
		{"away", "sent", c.Away},
		{"detour", "sent", c.Detours},
		{"home", "sent", c.Home},
		{"near", "refused", c.RefusedNear},
		{"away", "refused", c.RefusedAway},
		{"home", "refused", c.RefusedHome},
	} {
		m.regionChoices.WithLabelValues(service, n.region, n.outcome).Add(float64(n.count))
	}
}

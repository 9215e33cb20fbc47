package edge

import (
	"strconv"
	"time"

	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/quarantine"
)

// maxQuotaLines bounds the lines about quotas that a VM logs in each quotaLogInterval.
const (
	maxQuotaLines    = 8
	quotaLogInterval = 500 * time.Millisecond
)

// regionLogInterval is the time between two lines about the regions of a service's requests.
const regionLogInterval = time.Second

// logQuotas logs the VM's shares of the quotas of the teams that sent requests lately.
func (v *VM) logQuotas(now time.Time) {
	if !v.isDue("quotas", quotaLogInterval, now) {
		return
	}
	var statuses []ratelimit.Status
	v.quotas.do(func(l *ratelimit.Limiter, now time.Time) { statuses = l.Statuses(maxQuotaLines, now) })
	v.metrics.quotaShare.Reset()
	v.metrics.quotaTokens.Reset()
	for i := range statuses {
		s := &statuses[i]
		v.metrics.quotaShare.WithLabelValues(string(s.Team)).Set(s.Share)
		v.metrics.quotaTokens.WithLabelValues(string(s.Team)).Set(s.Tokens)
		v.log.Info(message.QuotaShare, "team", s.Team, "vms", s.VMs, "settled", s.Settled, "share", s.Share, "base", s.Base, "lent", s.Lent, "borrowed", s.Borrowed, "passed", s.Passed,
			"hub", s.Hub, "refill", s.Refill, "capacity", s.Capacity, "tokens", s.Tokens, "demand", s.Demand, "admitted", s.Admitted, "refused", s.Refused)
	}
}

// logRegions logs how the requests since the last call were divided between the VM's region
// and the others.
func (v *VM) logRegions(now time.Time) {
	if !v.isDue("regions", regionLogInterval, now) {
		return
	}
	var tallies []placement.Tally
	v.placement.do(func(t *placement.Table, _ time.Time) { tallies = t.Tallies() })
	for i := range tallies {
		c := &tallies[i]
		v.metrics.countRegions(c)
		v.log.Info(message.RegionShare, "service", c.Service, "share", c.Share, "nearLoad", c.NearLoad, "awayLoad", c.AwayLoad,
			"near", c.Near, "away", c.Away, "detours", c.Detours, "home", c.Home,
			"refusedNear", c.RefusedNear, "refusedAway", c.RefusedAway, "refusedHome", c.RefusedHome)
	}
}

// logQuarantine logs the requests that are kept from backend servers, the trials and the
// ends.
func (v *VM) logQuarantine(events []quarantine.Event) {
	for _, e := range events {
		args := []any{"fingerprint", strconv.FormatUint(uint64(e.Fingerprint), 16), "service", e.Service, "crashes", e.Crashes, "from", e.From}
		switch e.Kind {
		case quarantine.Begun:
			v.log.Warn(message.QuarantineBegun, append(args, "for", e.Term)...)
		case quarantine.Trial:
			v.log.Warn(message.QuarantineTrial, args...)
		case quarantine.Ended:
			v.log.Info(message.QuarantineEnded, args...)
		}
	}
}

// logServerEvents logs the backend servers that placement stopped or resumed using, and
// the limits that they name.
func (v *VM) logServerEvents(events []placement.Event) {
	for _, e := range events {
		switch {
		case e.Limit > 0:
			v.log.Warn(message.ServerLimited, "backend", e.Server, "service", e.Service, "limit", e.Limit)
		case e.LimitEnded:
			v.log.Info(message.ServerUnlimited, "backend", e.Server, "service", e.Service)
		case e.Leaving:
			v.log.Info(message.ServerLeaving, "backend", e.Server, "service", e.Service)
		case e.PausedFor > 0:
			v.log.Warn(message.ServerPaused, "backend", e.Server, "service", e.Service, "for", e.PausedFor)
			v.metrics.pauses.WithLabelValues(string(e.Service)).Inc()
		case e.BlockedFor > 0:
			v.log.Warn(message.ServerExcluded, "backend", e.Server, "service", e.Service, "end", e.End, "for", e.BlockedFor)
		default:
			v.log.Info(message.ServerReadmitted, "backend", e.Server, "service", e.Service)
		}
	}
}

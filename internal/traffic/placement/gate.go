package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
	"sassafrastray/internal/traffic/admission"
)

// setGate turns the admission by the region's load on or off.
func (t *Table) setGate(on bool) {
	switch {
	case !on:
		t.gate = nil
	case t.gate == nil:
		t.gate = admission.New(t.rng)
	}
}

// admit decides whether the request is sent to the candidate. It returns the refusal if it
// is not. Where VMs share no reports of runs, it goes by the wait at the candidate alone.
func (t *Table) admit(svc *service, r *Request, c candidate, now time.Time) (Choice, bool) {
	if t.gate == nil {
		if r.refuses(c) {
			return Choice{Reason: Busy, RetryAfter: t.retryAfter(c.wait)}, false
		}
		return Choice{}, true
	}
	region := c.server.region
	e := admission.Estimate{Wait: c.wait, Work: c.work, Distance: t.distance(region), Region: region}
	if e.Guessed = t.heard && now.Sub(svc.firstRequest) <= runTime; e.Guessed {
		e.RegionLoad = t.guessedLoad(svc, region, now)
	} else {
		e.RegionLoad = t.regionLoad(svc, region, now)
	}
	v := t.gate.Decide(admission.Request{
		Service: r.Service, Key: xxhash.Sum64String(r.Object), Priority: r.Priority, Objective: r.objective(), TimeLeft: r.TimeLeft, Admitted: len(r.Exclude) > 0,
	}, e, now)
	return Choice{Reason: Reason(v.Reason), RetryAfter: v.RetryAfter, Estimate: e, Verdict: v}, v.Admit
}

// regionLoad returns the number of requests per slot at the servers of the service in a region.
// Of another region, it is what the VMs there report, since this VM hears from few of its
// servers.
func (t *Table) regionLoad(svc *service, region sassafrastray.RegionName, now time.Time) float64 {
	if r, ok := svc.others[region]; ok && now.Sub(r.at) <= shareTime {
		return r.load
	}
	return t.observedLoad(svc, region, now)
}

// observedLoad returns the load of a region as the latest reports of its servers say. This VM's
// requests since the reports don't count, so that VMs with much and with little demand see the
// same load. Of another region, only the servers count that this VM heard of from their
// responses. A server that sheds may be full or faulty: if the region is full, the load of the
// others tells so.
func (t *Table) observedLoad(svc *service, region sassafrastray.RegionName, now time.Time) float64 {
	load, slots, shedding := 0.0, 0, false
	for _, s := range svc.servers[region] {
		o := &s.observed
		if o.at.IsZero() || now.Sub(o.at) >= reportExpiry || s.leaves() || s.evacuated || now.Before(s.blockedUntil) || s.isPaused(now) {
			continue
		}
		if o.count >= float64(s.Slots*(1+shedQueue)) {
			shedding = true
			continue
		}
		load, slots = load+o.count, slots+s.Slots
	}
	if slots == 0 && shedding {
		return 1 + shedQueue
	}
	return load / float64(max(1, slots))
}

// guessedLoad returns the number of requests per slot at the servers of the service in a region
// before the reports of the other VMs have arrived. Each of them is assumed to have sent as
// many as this VM to the servers without a report.
func (t *Table) guessedLoad(svc *service, region sassafrastray.RegionName, now time.Time) float64 {
	load, slots := 0.0, 0
	for _, s := range svc.servers[region] {
		if s.leaves() || s.evacuated || now.Before(s.blockedUntil) || s.isPaused(now) {
			continue
		}
		load, slots = load+s.tickLoad(t.regionPeers, now), slots+s.Slots
	}
	return load / float64(max(1, slots))
}

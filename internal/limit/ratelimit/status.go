package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"sassafrastray"
)

// Status is the state of one team's quota at a VM. The sum of Share over all VMs is at
// most 1.
type Status struct {
	Team sassafrastray.TeamName
	// VMs is the number of VMs that own a part of the quota, and Settled tells whether
	// no loan of an earlier process of this VM can be in use.
	VMs     int
	Settled bool
	// Share is the fraction of the quota that the VM holds: its Base without what is
	// Lent, and what is Borrowed without what is Passed on.
	Share, Base, Lent, Borrowed, Passed float64
	// Hub is the VM that holds the region's part of the quota, if it is too small to be
	// divided, or empty.
	Hub sassafrastray.Source
	// Refill is in tokens per second, Capacity and Tokens are those of the bucket.
	Refill, Capacity, Tokens float64
	// Demand is in requests per second.
	Demand float64
	// Admitted and Refused are the requests since the last Statuses.
	Admitted, Refused int
}

// Statuses returns the state of the teams that sent requests since the last call, by name,
// at most limit of them: first those of which most requests were refused.
func (l *Limiter) Statuses(limit int, now time.Time) []Status {
	var out []Status
	l.expireLoans(now)
	d := &l.ledger
	for name, t := range l.teams {
		if t.counts == (counts{}) {
			continue
		}
		t.decay(now)
		t.refillTo(now)
		out = append(out, Status{
			Team: name, VMs: d.vms, Settled: d.settled, Share: t.share, Base: d.base, Lent: d.lent[name], Borrowed: d.borrowed[name], Passed: d.passed[name],
			Hub: t.hub, Refill: t.refill, Capacity: t.capacity, Tokens: t.tokens, Demand: t.demand(), Admitted: t.counts.admitted, Refused: t.counts.refused,
		})
		t.counts = counts{}
	}
	slices.SortFunc(out, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Team, b.Team))
	})
	return out[:min(len(out), limit)]
}

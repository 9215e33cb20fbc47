package keeper

import (
	"time"

	"sassafrastray"
)

// Load is how busy the backend servers are that one VM keeps for a version of
// a service in one failure domain. Heartbeats carry it.
type Load struct {
	Service sassafrastray.ServiceName `json:"service"`
	Version sassafrastray.VersionName `json:"version"`
	Domain  sassafrastray.DomainName  `json:"domain"`
	// Slots is how many requests may run at once, Used how many run.
	Slots int `json:"slots"`
	Used  int `json:"used"`
	// Queued is how many requests wait, and Wait how long a new one of a
	// team that has none waiting would. Teams lists those that have some.
	Queued int           `json:"queued"`
	Wait   time.Duration `json:"wait"`
	Teams  []TeamLoad    `json:"teams,omitempty"`
	// Mean is the measured service time, 0 if unknown.
	Mean time.Duration `json:"mean"`
}

// TeamLoad is how long a new request of a team would wait.
type TeamLoad struct {
	Team sassafrastray.TeamName `json:"team"`
	Wait time.Duration          `json:"wait"`
}

// Load returns the load of everything that the VM keeps.
func (k *Keeper) Load() []Load {
	var ls []Load
	total := 0
	for _, p := range k.order {
		from := len(ls)
		ls = k.appendLoad(ls, p)
		for _, l := range ls[from:] {
			total += l.Slots
		}
	}
	if k.share.bounded && total > k.share.slots {
		for i := range ls {
			ls[i].Slots = ls[i].Slots * k.share.slots / total
		}
	}
	return ls
}

// appendLoad appends the lines of one pool. Those who wait are spread over
// the failure domains by slots, so that the lines add up.
func (k *Keeper) appendLoad(ls []Load, p *pool) []Load {
	from := len(ls)
	total := 0
	for _, b := range p.backends {
		if !b.kept {
			continue
		}
		i := from
		for i < len(ls) && ls[i].Domain != b.domain {
			i++
		}
		if i == len(ls) {
			ls = append(ls, Load{Service: p.key.service, Version: p.key.version, Domain: b.domain})
		}
		ls[i].Used += b.used
		if b.open() && !b.down {
			n := max(b.used, b.capacity()-len(b.handover)-len(b.linger))
			ls[i].Slots += n
			total += n
		}
	}
	wait, teams := k.currentWait(p, total)
	queued, before := p.queued, 0
	for i := from; i < len(ls); i++ {
		l := &ls[i]
		l.Mean, l.Wait, l.Teams = time.Duration(p.service), wait, teams
		if i == len(ls)-1 {
			l.Queued = queued - before
			break
		}
		l.Queued = queued * l.Slots / max(1, total)
		before += l.Queued
	}
	return ls
}

// currentWait returns how long a request of a team that has none waiting would
// wait, and of each team that has some.
func (k *Keeper) currentWait(p *pool, slots int) (time.Duration, []TeamLoad) {
	used := 0
	for _, b := range p.backends {
		if b.kept {
			used += b.used
		}
	}
	capacity := k.capacity(p)
	var teams []TeamLoad
	for _, t := range p.order {
		if t.queued > 0 {
			teams = append(teams, TeamLoad{Team: t.name, Wait: p.waitOf(t, capacity)})
		}
	}
	if len(teams) == 0 && used < slots && k.share.free(1) > 0 {
		return 0, nil
	}
	return p.wait(len(teams), capacity), teams
}

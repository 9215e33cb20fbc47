package scheduler

import (
	"time"

	"sassafrastray"
)

// Load is the utilization of the backend servers that one VM owns, for one version
// of a service in one failure domain. VMs send it in heartbeats.
type Load struct {
	Service sassafrastray.ServiceName `json:"service"`
	Version sassafrastray.VersionName `json:"version"`
	Domain  sassafrastray.DomainName  `json:"domain"`
	// Slots is how many requests may run concurrently, and Used how many do.
	Slots int `json:"slots"`
	Used  int `json:"used"`
	// Queued is how many requests wait. Wait is the expected time in the queue
	// of a new request of a team without waiting requests; Teams lists the
	// teams that have some.
	Queued int           `json:"queued"`
	Wait   time.Duration `json:"wait"`
	Teams  []TeamLoad    `json:"teams,omitempty"`
	// Mean is the mean service time, 0 if it is unknown.
	Mean time.Duration `json:"mean"`
}

// TeamLoad is the expected time in the queue of a new request of a team.
type TeamLoad struct {
	Team sassafrastray.TeamName `json:"team"`
	Wait time.Duration          `json:"wait"`
}

// Load returns the load of all backend servers that the VM owns. If the region
// bounds its slots, the entries are scaled down to this VM's share.
func (s *Scheduler) Load() []Load {
	var ls []Load
	total := 0
	for _, p := range s.poolList {
		from := len(ls)
		ls = s.appendLoad(ls, p)
		for _, l := range ls[from:] {
			total += l.Slots
		}
	}
	if s.share.bounded && total > s.share.slots {
		for i := range ls {
			ls[i].Slots = ls[i].Slots * s.share.slots / total
		}
	}
	return ls
}

// appendLoad appends the entries of one pool. Waiting requests are distributed
// over the failure domains in proportion to their slots, so that the entries add
// up to the length of the queue.
func (s *Scheduler) appendLoad(ls []Load, p *pool) []Load {
	from := len(ls)
	total := 0
	for _, b := range p.backends {
		if !b.owned {
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
	wait, teams := s.currentWait(p, total)
	queued, before := p.queued, 0
	for i := from; i < len(ls); i++ {
		l := &ls[i]
		l.Mean, l.Wait, l.Teams = time.Duration(p.serviceTime), wait, teams
		if i == len(ls)-1 {
			l.Queued = queued - before
			break
		}
		l.Queued = queued * l.Slots / max(1, total)
		before += l.Queued
	}
	return ls
}

// currentWait returns the expected time in the queue of a request of a team without
// waiting requests, and of each team that has some.
func (s *Scheduler) currentWait(p *pool, slots int) (time.Duration, []TeamLoad) {
	used := 0
	for _, b := range p.backends {
		if b.owned {
			used += b.used
		}
	}
	capacity := s.capacity(p)
	var teams []TeamLoad
	for _, t := range p.teamList {
		if t.queued > 0 {
			teams = append(teams, TeamLoad{Team: t.name, Wait: p.waitOf(t, capacity)})
		}
	}
	if len(teams) == 0 && used < slots && s.share.free(1) > 0 {
		return 0, nil
	}
	return p.wait(len(teams), capacity), teams
}

package lookup

import (
	"net/netip"
	"time"

	"sassafrastray"
)

type (
	// Explanation is an answer with the data that it is derived from.
	Explanation struct {
		Answer Answer     `json:"answer"`
		Caller netip.Addr `json:"caller"`
		// Block is the address block that contains the caller. It is empty
		// if there is none, and Near is then the region of the answering VM.
		Block string                   `json:"block,omitempty"`
		Near  sassafrastray.RegionName `json:"near"`
		// Team is the team whose small burst limits the answer to few VMs.
		// It is empty if the answer does not depend on the team.
		Team sassafrastray.TeamName `json:"team,omitempty"`
		// Chosen is the region of the VMs in the answer.
		Chosen sassafrastray.RegionName `json:"chosen"`
		// Regions are all regions in the order in which they are tried.
		Regions []Candidate `json:"regions"`
	}

	// Candidate is a region that may serve a caller.
	Candidate struct {
		Region sassafrastray.RegionName `json:"region"`
		// Delay is the delay of the link from the caller's region, in
		// nanoseconds, or -1 if there is no link.
		Delay time.Duration   `json:"delay"`
		VMs   []VMExplanation `json:"vms"`
	}

	// VMExplanation says whether a VM is named in the answer, and why.
	VMExplanation struct {
		Name  sassafrastray.VMName `json:"name"`
		Named bool                 `json:"named"`
		Why   string               `json:"why"`
	}
)

// Explain returns the answer for a team's caller with its explanation. It
// returns false if there is no such service.
func (s *Snapshot) Explain(service sassafrastray.ServiceName, team sassafrastray.TeamName, caller netip.Addr) (Explanation, bool) {
	i, ok := s.services[service]
	if !ok {
		return Explanation{}, false
	}
	e := Explanation{Caller: caller, Near: s.region(caller)}
	if b, ok := s.in.Table.Block(caller); ok {
		e.Block = b.Prefix.String()
	}
	vms, chosen := s.choose(service, e.Near)
	e.Chosen = chosen
	if a := s.in.Config.Services[i].Allowance(team); a != nil {
		if subset, steered := steer(vms, team, a.Burst); steered {
			vms, e.Team = subset, team
		}
	}
	e.Answer = Answer{service, s.in.Config.Number, s.ttl(), vms}
	named := map[sassafrastray.VMName]bool{}
	for _, v := range vms {
		named[v.Name] = true
	}
	for _, r := range s.order(e.Near) {
		e.Regions = append(e.Regions, s.candidate(e.Near, r, chosen, named))
	}
	return e, true
}

func (s *Snapshot) candidate(near, r, chosen sassafrastray.RegionName, named map[sassafrastray.VMName]bool) Candidate {
	c := Candidate{Region: r, Delay: -1}
	if l := s.in.Config.Link(near, r); l != nil {
		c.Delay = l.Delay
	} else if near == r {
		c.Delay = 0
	}
	for _, m := range s.members[r] {
		c.VMs = append(c.VMs, VMExplanation{m.VM.Name, named[m.VM.Name], m.reason(r == chosen, named[m.VM.Name])})
	}
	return c
}

// reason tells an operator why a VM is named or not. chosen says that its region is
// the one of the answer.
func (m Member) reason(chosen, named bool) string {
	switch {
	case named && m.Suspect:
		return "suspect, but no region has a VM that is not"
	case named && m.Weight <= 0:
		return "no headroom, but nor have the others of its region"
	case named:
		return "live"
	case m.VM.State != sassafrastray.VMLive:
		return string(m.VM.State)
	case m.Suspect:
		return "suspect"
	case !chosen:
		return "a nearer region has VMs"
	case m.Weight <= 0:
		return "no headroom"
	}
	return "others are enough for the team's burst, or for the service"
}

package lookup

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

const (
	// burstPerVM is how many requests of a team's burst each VM in its answer
	// should take.
	burstPerVM = 8
	// primaryWeight is the weight of a team's only VM. Its standby has
	// weight 1.
	primaryWeight = 1000
)

// AnswerTeam returns the answer for a caller that presents a team's key. A team
// whose burst is small relative to the number of VMs gets only a few of them,
// so that its tokens are not split into tiny amounts. A team that may not call
// the service and the empty team get the answer for all callers.
func (s *Snapshot) AnswerTeam(service sassafrastray.ServiceName, team sassafrastray.TeamName, caller netip.Addr) ([]byte, bool) {
	i, ok := s.services[service]
	if !ok {
		return nil, false
	}
	a := s.in.Config.Services[i].Allowance(team)
	if team == "" || a == nil || a.Burst >= burstPerVM*maxVMs {
		return s.Answer(service, caller)
	}
	vms, _ := s.choose(service, s.region(caller))
	vms, _ = steer(vms, team, a.Burst)
	return s.encode(service, vms)
}

// steer returns those of the VMs that a team with the given burst should use,
// and whether it selected some of them or changed their weights. Rendezvous
// hashing keeps a team's VMs the same while others come and go. There are at
// least two, if vms has two, so that a caller needs no look-up when one of them
// fails.
func steer(vms []VM, team sassafrastray.TeamName, burst int) ([]VM, bool) {
	count := max(1, (burst+burstPerVM-1)/burstPerVM)
	if count >= len(vms) {
		return vms, false
	}
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b VM) int {
		return cmp.Or(cmp.Compare(teamRank(team, b), teamRank(team, a)), cmp.Compare(a.Name, b.Name))
	})
	if count == 1 {
		out = out[:2]
		out[0].Weight, out[1].Weight = primaryWeight, 1
		return out, true
	}
	return out[:count], true
}

// teamRank returns the rendezvous hash of a team and a VM.
func teamRank(team sassafrastray.TeamName, v VM) uint64 {
	return xxhash.Sum64String(string(team) + "\n" + string(v.Name))
}

package lookup

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

const (
	// burstPerVM is how much of a team's burst each VM that it is steered
	// to finds work for.
	burstPerVM = 8
	// mainWeight is the weight of a team's only VM beside that of the one
	// which stands in for it.
	mainWeight = 1000
)

// AnswerTeam returns the answer for a caller that shows a team's key. A team
// whose burst is small beside the number of VMs is steered to few of them, so
// that its tokens need not be spread thin. A team that may not call the service
// and one that is empty get what all callers get.
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

// steer leaves of the VMs those that a team with the given burst uses, and
// tells whether these are not all, or not all alike. Each team has its own, and keeps them while the others come and go. There are
// always two, if there are two at all, so that a caller needs no look-up when
// one of them fails.
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
		out[0].Weight, out[1].Weight = mainWeight, 1
		return out, true
	}
	return out[:count], true
}

func teamRank(team sassafrastray.TeamName, v VM) uint64 {
	return xxhash.Sum64String(string(team) + "\n" + string(v.Name))
}

package lookup

import (
	"cmp"
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

// maxVMs is the maximum number of VMs in an answer.
const maxVMs = 16

type (
	// Member is a VM as the answering VM sees it.
	Member struct {
		VM     sassafrastray.VM
		Region sassafrastray.RegionName
		// Weight is the VM's share of callers relative to the others in its
		// region, by headroom and health. A VM with weight 0 is left out
		// as long as its region has others.
		Weight int
		// Suspect says that no heartbeat of the VM arrived for a while.
		Suspect bool
	}

	// Input is the state of the fleet that answers depend on.
	Input struct {
		Config  *sassafrastray.Config
		Table   *Table
		Members []Member
		// TTL is how long callers keep an answer.
		TTL time.Duration
		// Home is the region of the answering VM. It is also assumed for
		// callers that are in no address block.
		Home sassafrastray.RegionName
	}

	// Snapshot holds the answers for one state of the fleet. It is safe for
	// use by several goroutines.
	Snapshot struct {
		in       Input
		services map[sassafrastray.ServiceName]int
		regions  map[sassafrastray.RegionName]int
		members  map[sassafrastray.RegionName][]Member
		// answers caches an encoded answer for each service and region. An
		// answer is encoded at its first look-up, since with many services
		// and regions only a few are ever asked for.
		answers []atomic.Pointer[[]byte]
	}

	// Answer is the body of the response to a look-up.
	Answer struct {
		Service sassafrastray.ServiceName `json:"service"`
		// Config is the number of the configuration in force.
		Config int64 `json:"config"`
		// TTL is how long to keep the answer, in seconds.
		TTL int  `json:"ttl"`
		VMs []VM `json:"vms"`
	}

	// VM is an entry VM that a caller may use.
	VM struct {
		Name    sassafrastray.VMName `json:"name"`
		Address netip.AddrPort       `json:"address"`
		// Weight is the VM's share of the caller's requests, relative to
		// the other weights.
		Weight int `json:"weight"`
	}
)

// Build returns a snapshot for a state of the fleet.
func Build(in Input) *Snapshot {
	s := &Snapshot{
		in:       in,
		services: map[sassafrastray.ServiceName]int{},
		regions:  map[sassafrastray.RegionName]int{},
		members:  map[sassafrastray.RegionName][]Member{},
	}
	for i := range in.Config.Services {
		s.services[in.Config.Services[i].Name] = i
	}
	for i, r := range in.Config.Fleet.Regions {
		s.regions[r.Name] = i
	}
	for _, m := range in.Members {
		s.members[m.Region] = append(s.members[m.Region], m)
	}
	s.answers = make([]atomic.Pointer[[]byte], len(s.services)*len(s.regions))
	return s
}

// Answer returns the encoded answer for a caller. It returns false if there is
// no such service or no live VM. The answer must not be changed.
func (s *Snapshot) Answer(service sassafrastray.ServiceName, caller netip.Addr) ([]byte, bool) {
	i, ok := s.services[service]
	if !ok {
		return nil, false
	}
	region := s.region(caller)
	j, ok := s.regions[region]
	if !ok {
		vms, _ := s.choose(service, region)
		return s.encode(service, vms)
	}
	slot := &s.answers[i*len(s.regions)+j]
	if b := slot.Load(); b != nil {
		return *b, true
	}
	vms, _ := s.choose(service, region)
	b, ok := s.encode(service, vms)
	if ok {
		slot.Store(&b)
	}
	return b, ok
}

// region returns the region nearest to the caller.
func (s *Snapshot) region(caller netip.Addr) sassafrastray.RegionName {
	if r, ok := s.in.Table.Region(caller); ok {
		return r
	}
	return s.in.Home
}

func (s *Snapshot) encode(service sassafrastray.ServiceName, vms []VM) ([]byte, bool) {
	if len(vms) == 0 {
		return nil, false
	}
	b, err := json.Marshal(Answer{service, s.in.Config.Number, s.ttl(), vms})
	if err != nil {
		panic("answer to a look-up cannot be encoded: " + err.Error())
	}
	return b, true
}

// ttl returns the time to keep an answer in whole seconds.
func (s *Snapshot) ttl() int { return int(math.Ceil(s.in.TTL.Seconds())) }

// choose returns the VMs for callers near a region, and the region of these
// VMs: the nearest one with a live VM that is not suspect or, if there is none,
// the nearest one with a live VM.
func (s *Snapshot) choose(service sassafrastray.ServiceName, near sassafrastray.RegionName) ([]VM, sassafrastray.RegionName) {
	// Usually the nearest region has VMs, which avoids sorting the regions.
	if vms := s.pick(service, near, false); len(vms) > 0 {
		return vms, near
	}
	order := s.order(near)
	for _, suspect := range []bool{false, true} {
		for _, r := range order {
			if vms := s.pick(service, r, suspect); len(vms) > 0 {
				return vms, r
			}
		}
	}
	return nil, ""
}

// order returns the regions by distance: near itself, then those with a link in
// the order of its delay, then the others by name.
func (s *Snapshot) order(near sassafrastray.RegionName) []sassafrastray.RegionName {
	var out []sassafrastray.RegionName
	for _, r := range s.in.Config.Fleet.Regions {
		out = append(out, r.Name)
	}
	// VMs may be in a region that was removed from the configuration.
	for r := range s.members {
		if _, ok := s.regions[r]; !ok {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b sassafrastray.RegionName) int {
		return cmp.Or(cmp.Compare(s.delay(near, a), s.delay(near, b)), cmp.Compare(a, b))
	})
	return out
}

func (s *Snapshot) delay(from, to sassafrastray.RegionName) time.Duration {
	if from == to {
		return -1
	}
	if l := s.in.Config.Link(from, to); l != nil {
		return l.Delay
	}
	return math.MaxInt64
}

// pick returns a region's live VMs, with or without the suspect ones, by name. VMs
// without weight are left out if others have one.
func (s *Snapshot) pick(service sassafrastray.ServiceName, r sassafrastray.RegionName, suspect bool) []VM {
	var all, weighted []VM
	for _, m := range s.members[r] {
		if m.VM.State != sassafrastray.VMLive || m.Suspect && !suspect {
			continue
		}
		v := VM{m.VM.Name, m.VM.CallerAddress, max(1, m.Weight)}
		all = append(all, v)
		if m.Weight > 0 {
			weighted = append(weighted, v)
		}
	}
	if len(weighted) > 0 {
		all = weighted
	}
	return limit(service, all)
}

// limit reduces vms to maxVMs, sorted by name. The selection differs between
// services, so that the services together use all VMs.
func limit(service sassafrastray.ServiceName, vms []VM) []VM {
	if len(vms) > maxVMs {
		slices.SortFunc(vms, func(a, b VM) int {
			return cmp.Or(cmp.Compare(rank(service, b), rank(service, a)), cmp.Compare(a.Name, b.Name))
		})
		vms = vms[:maxVMs]
	}
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}

// rank returns the rendezvous hash of a service and a VM.
func rank(service sassafrastray.ServiceName, v VM) uint64 {
	return xxhash.Sum64String(string(service) + "/" + string(v.Name))
}

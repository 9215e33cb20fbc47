// Package scheduler decides which requests run on the backend servers that one
// VM owns.
//
// Each backend server is owned by one of the live VMs of its failure domain.
// Only the scheduler of the owner dispatches requests to it and counts its
// slots. Requests that find no free slot wait in a short queue that is fair
// between teams. The package uses no locks, sockets or timers: callers
// synchronize access and call Tick often.
package scheduler

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sassafrastray"
)

type (
	// Options are the limits and times of a Scheduler.
	Options struct {
		// MaxTeamQueue and MaxTotalQueue bound the requests that wait for one
		// version of a service: those of one team, and those of all teams.
		MaxTeamQueue, MaxTotalQueue int
		// FallbackDelay is how long a failure domain must have had no live VM
		// before other VMs of its region take over its backend servers.
		FallbackDelay time.Duration
		// HandoverTimeout bounds how long the slots that a previous owner may
		// still use are counted as busy.
		HandoverTimeout time.Duration
		// RecoveryInterval is the time between two increases of a lowered limit.
		RecoveryInterval time.Duration
		// Linger is how long the slot of a request that timed out or was
		// cancelled is still counted as busy.
		Linger time.Duration
		// ReportTTL is how long a load report lowers a capacity.
		ReportTTL time.Duration
		// ShareDelay is how long an increase of the VM's share of the region's
		// slots is delayed, so that the VMs whose shares shrink apply the change
		// first.
		ShareDelay time.Duration
		// DrainHold is how much later than the last sign of draining a report must
		// have been measured to end the draining.
		DrainHold time.Duration
	}

	// Scheduler schedules requests on the backend servers that one VM owns. It
	// is not safe for concurrent use.
	Scheduler struct {
		self sassafrastray.VMName
		rng  *rand.Rand
		opt  Options

		config          *sassafrastray.Config
		live            []Member
		emptySince      map[sassafrastray.DomainName]time.Time // since when a failure domain has had no live VM
		fallbackPending bool                                   // FallbackDelay of a failure domain has not passed yet
		present         bool                                   // the VM itself is in the view
		share           share
		pools           map[poolKey]*pool
		poolList        []*pool // pools in order of creation
		firstPool       int     // index in poolList of the pool that starts requests first
		backends        map[sassafrastray.BackendName]*backend
		byName          []*backend        // all backend servers, sorted by name
		inFlight        map[uint64]flight // by request ID
		queued          map[uint64]*item  // by request ID
		starts          []Start
		drops           []Drop
		returnedDrops   []Drop
	}

	// flight is a dispatched request that occupies a slot.
	flight struct {
		backend *backend
		pool    *pool
		route   sassafrastray.RouteName
		started time.Time
	}
)

// DefaultOptions returns the options for fleets of the usual size.
func DefaultOptions() Options {
	return Options{
		MaxTeamQueue:     64,
		MaxTotalQueue:    256,
		FallbackDelay:    3 * time.Second,
		HandoverTimeout:  2 * time.Second,
		RecoveryInterval: time.Second,
		Linger:           100 * time.Millisecond,
		ReportTTL:        3 * time.Second,
		ShareDelay:       3 * time.Second,
		DrainHold:        5 * time.Second,
	}
}

// New returns the scheduler of the VM self. It owns nothing until Configure and
// SetMembers have been called.
func New(self sassafrastray.VMName, rng *rand.Rand, opt Options) *Scheduler {
	return &Scheduler{
		self:       self,
		rng:        rng,
		opt:        opt,
		emptySince: make(map[sassafrastray.DomainName]time.Time),
		pools:      make(map[poolKey]*pool),
		backends:   make(map[sassafrastray.BackendName]*backend),
		inFlight:   make(map[uint64]flight),
		queued:     make(map[uint64]*item),
	}
}

// Configure applies a configuration. Requests in flight keep their slots, even on
// backend servers that are no longer configured.
func (s *Scheduler) Configure(cfg *sassafrastray.Config, now time.Time) {
	first := s.config == nil
	s.config = cfg
	for _, b := range s.byName {
		b.removed = true
	}
	for _, p := range s.poolList {
		p.backends = p.backends[:0]
	}
	for i := range cfg.Services {
		svc := &cfg.Services[i]
		for j := range svc.Backends {
			s.configure(svc, &svc.Backends[j], first, now)
		}
	}
	s.poolList = slices.DeleteFunc(s.poolList, func(p *pool) bool {
		unused := len(p.backends) == 0 && p.queued == 0
		if unused {
			delete(s.pools, p.key)
		}
		return unused
	})
	s.byName = s.byName[:0]
	for _, b := range s.backends {
		s.byName = append(s.byName, b)
	}
	sort.Slice(s.byName, func(i, j int) bool { return s.byName[i].name < s.byName[j].name })
	s.assign(now)
}

// configure applies the configuration of one backend server. A changed address
// means a new process, which begins with a slow start.
func (s *Scheduler) configure(svc *sassafrastray.Service, c *sassafrastray.BackendServer, first bool, now time.Time) {
	b := s.backends[c.Name]
	if b == nil || b.address != c.Address {
		b = &backend{name: c.Name, address: c.Address, limit: c.Slots}
		if !first {
			b.slowStart(now, s.opt)
			b.added = true
		}
		s.backends[c.Name] = b
	}
	if b.limit == b.slots {
		b.limit = max(b.limit, c.Slots)
	}
	b.removed = false
	b.domain = c.Domain
	b.region = s.config.RegionOf(c.Domain)
	b.slots = c.Slots
	b.leaving = c.Leaving
	p := s.pool(poolKey{svc.Name, c.Version})
	p.backends = append(p.backends, b)
}

// pool returns the pool of one version of a service and creates it if necessary.
func (s *Scheduler) pool(key poolKey) *pool {
	p := s.pools[key]
	if p == nil {
		p = newPool(key)
		s.pools[key] = p
		s.poolList = append(s.poolList, p)
	}
	return p
}

// SetMembers sets the view of live VMs. A VM that is missing from its own view is
// leaving and owns nothing.
func (s *Scheduler) SetMembers(live []Member, now time.Time) {
	s.live = append(s.live[:0], live...)
	s.assign(now)
}

// Tick advances the time: busy slots expire, lowered limits recover, requests that
// can't be answered before their deadline are dropped, and waiting requests start.
// The slices are valid until the next call.
func (s *Scheduler) Tick(now time.Time) ([]Start, []Drop) {
	s.starts = s.starts[:0]
	if s.fallbackPending {
		s.assign(now)
	}
	s.share.tick(now)
	for name, b := range s.backends {
		b.tick(now, s.opt)
		if b.removed && b.used == 0 {
			delete(s.backends, name)
		}
	}
	for _, p := range s.poolList {
		s.sweep(p, now)
	}
	s.fillAll(now)
	s.returnedDrops, s.drops = s.drops, s.returnedDrops[:0]
	return s.starts, s.returnedDrops
}

// sweep drops the waiting requests that can no longer meet their deadline, and all
// of them if no backend server can serve them.
func (s *Scheduler) sweep(p *pool, now time.Time) {
	if p.queued == 0 {
		p.emptyAt = now
	}
	none := s.capacity(p) == 0
	for _, t := range p.teamList {
		for it := t.head; it != nil; {
			next := it.next
			if reason := p.dropReason(it, now); reason != sassafrastray.ReasonOK {
				s.drop(it, reason)
			} else if none || len(it.exclude) > 0 && !p.reachable(it.exclude) {
				s.drop(it, s.unavailableReason())
			}
			it = next
		}
	}
	p.prune()
	p.decayEstimates(now)
}

// unavailableReason returns the reason why this VM can't serve a request at all.
func (s *Scheduler) unavailableReason() sassafrastray.Reason {
	if !s.present {
		return sassafrastray.ReasonLeaving
	}
	return sassafrastray.ReasonBackend
}

// drop removes a waiting request; the next Tick returns it.
func (s *Scheduler) drop(it *item, reason sassafrastray.Reason) {
	it.team.pool.remove(it)
	delete(s.queued, it.id)
	s.drops = append(s.drops, Drop{ID: it.id, Reason: reason})
}

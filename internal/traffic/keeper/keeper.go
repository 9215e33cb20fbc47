// Package keeper decides which requests run on the backend servers that one
// VM keeps.
//
// Each backend server has one keeper among the live VMs of its failure domain.
// The keeper alone dispatches to it and counts its slots. Requests that find
// no slot wait in a short queue that is fair between teams. The package holds
// no lock, socket or timer: callers lock, and call Tick often.
package keeper

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sassafrastray"
)

type (
	// Options are the bounds and times of a Keeper.
	Options struct {
		// TeamQueue and TotalQueue bound the requests that wait for one
		// version of a service: of one team, and of all teams.
		TeamQueue, TotalQueue int
		// Fallback is how long a failure domain must have had no live VM
		// before VMs of its region keep its backend servers.
		Fallback time.Duration
		// Handover bounds how long the slots that an earlier keeper may
		// still use are counted as busy.
		Handover time.Duration
		// Recovery is the time between two raises of a lowered limit.
		Recovery time.Duration
		// Linger is how long the slot of a request that timed out or was
		// cancelled is still counted as busy.
		Linger time.Duration
		// ReportAge is how long a load report lowers a capacity.
		ReportAge time.Duration
		// ShareDelay is how long a raised share of the region's slots waits
		// until the VMs whose shares fell have heard of it.
		ShareDelay time.Duration
		// DrainHold is how much younger than the last sign of draining a
		// report must be to end the draining.
		DrainHold time.Duration
	}

	// Keeper decides for the backend servers that one VM keeps. It is not
	// safe for concurrent use.
	Keeper struct {
		self sassafrastray.VMName
		rng  *rand.Rand
		opt  Options

		config   *sassafrastray.Config
		live     []Member
		empty    map[sassafrastray.DomainName]time.Time
		waits    bool // a failure domain waits for its fallback
		present  bool // the VM itself is in the view
		share    share
		pools    map[poolKey]*pool
		order    []*pool
		turn     int
		backends map[sassafrastray.BackendName]*backend
		names    []*backend
		flights  map[uint64]flight
		queued   map[uint64]*item
		starts   []Start
		drops    []Drop
		spare    []Drop
	}

	// flight is a request that occupies a slot.
	flight struct {
		backend *backend
		pool    *pool
		route   sassafrastray.RouteName
		started time.Time
	}
)

// Defaults returns the options for the fleet's usual sizes.
func Defaults() Options {
	return Options{
		TeamQueue:  64,
		TotalQueue: 256,
		Fallback:   3 * time.Second,
		Handover:   2 * time.Second,
		Recovery:   time.Second,
		Linger:     100 * time.Millisecond,
		ReportAge:  3 * time.Second,
		ShareDelay: 3 * time.Second,
		DrainHold:  5 * time.Second,
	}
}

// New returns the keeper of the VM self. It keeps nothing until it has been
// given a configuration and a view.
func New(self sassafrastray.VMName, rng *rand.Rand, opt Options) *Keeper {
	return &Keeper{
		self:     self,
		rng:      rng,
		opt:      opt,
		empty:    make(map[sassafrastray.DomainName]time.Time),
		pools:    make(map[poolKey]*pool),
		backends: make(map[sassafrastray.BackendName]*backend),
		flights:  make(map[uint64]flight),
		queued:   make(map[uint64]*item),
	}
}

// Configure applies a configuration. Requests in flight keep their slots,
// also on backend servers that are no longer configured.
func (k *Keeper) Configure(cfg *sassafrastray.Config, now time.Time) {
	first := k.config == nil
	k.config = cfg
	for _, b := range k.names {
		b.gone = true
	}
	for _, p := range k.order {
		p.backends = p.backends[:0]
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		for j := range s.Backends {
			k.configure(s, &s.Backends[j], first, now)
		}
	}
	k.order = slices.DeleteFunc(k.order, func(p *pool) bool {
		unused := len(p.backends) == 0 && p.queued == 0
		if unused {
			delete(k.pools, p.key)
		}
		return unused
	})
	k.names = k.names[:0]
	for _, b := range k.backends {
		k.names = append(k.names, b)
	}
	sort.Slice(k.names, func(i, j int) bool { return k.names[i].name < k.names[j].name })
	k.assign(now)
}

// configure applies the configuration of one backend server. A process at
// another address is a new backend server that starts cold.
func (k *Keeper) configure(s *sassafrastray.Service, c *sassafrastray.BackendServer, first bool, now time.Time) {
	b := k.backends[c.Name]
	if b == nil || b.address != c.Address {
		b = &backend{name: c.Name, address: c.Address, limit: c.Slots}
		if !first {
			b.cold(now, k.opt)
			b.fresh = true
		}
		k.backends[c.Name] = b
	}
	if b.limit == b.slots {
		b.limit = max(b.limit, c.Slots)
	}
	b.gone = false
	b.domain = c.Domain
	b.region = k.config.RegionOf(c.Domain)
	b.slots = c.Slots
	b.leaving = c.Leaving
	p := k.pool(poolKey{s.Name, c.Version})
	p.backends = append(p.backends, b)
}

// pool returns the pool of one version of a service, new if need be.
func (k *Keeper) pool(key poolKey) *pool {
	p := k.pools[key]
	if p == nil {
		p = newPool(key)
		k.pools[key] = p
		k.order = append(k.order, p)
	}
	return p
}

// View tells the keeper which VMs are live. A VM that is not in its own view
// is leaving and keeps nothing.
func (k *Keeper) View(live []Member, now time.Time) {
	k.live = append(k.live[:0], live...)
	k.assign(now)
}

// Tick moves time on: slots that were held become free, lowered limits
// recover, requests that can't be served in time are dropped, and others
// start. The slices are valid until the next call.
func (k *Keeper) Tick(now time.Time) ([]Start, []Drop) {
	k.starts = k.starts[:0]
	if k.waits {
		k.assign(now)
	}
	k.share.tick(now)
	for name, b := range k.backends {
		b.tick(now, k.opt)
		if b.gone && b.used == 0 {
			delete(k.backends, name)
		}
	}
	for _, p := range k.order {
		k.sweep(p, now)
	}
	k.fillAll(now)
	k.spare, k.drops = k.drops, k.spare[:0]
	return k.starts, k.spare
}

// sweep drops the waiting requests whose deadline can't be met any more, and
// all of them if nothing can serve them.
func (k *Keeper) sweep(p *pool, now time.Time) {
	if p.queued == 0 {
		p.emptied = now
	}
	none := k.capacity(p) == 0
	for _, t := range p.order {
		for it := t.head; it != nil; {
			next := it.next
			if reason := p.hopeless(it, now); reason != sassafrastray.ReasonOK {
				k.drop(it, reason)
			} else if none || len(it.exclude) > 0 && !p.reachable(it.exclude) {
				k.drop(it, k.absent())
			}
			it = next
		}
	}
	p.prune()
	p.forget(now)
}

// absent is the reason why a request can't be served here at all.
func (k *Keeper) absent() sassafrastray.Reason {
	if !k.present {
		return sassafrastray.ReasonLeaving
	}
	return sassafrastray.ReasonBackend
}

// drop ends a waiting request; the next Tick returns it.
func (k *Keeper) drop(it *item, reason sassafrastray.Reason) {
	it.team.pool.remove(it)
	delete(k.queued, it.id)
	k.drops = append(k.drops, Drop{ID: it.id, Reason: reason})
}

package keeper

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

// Member is a live VM and where it is.
type Member struct {
	VM     sassafrastray.VMName
	Domain sassafrastray.DomainName
	Region sassafrastray.RegionName
}

// Of returns the VM that keeps a backend server: by rendezvous hashing among
// the live VMs of its failure domain or, if there are none, of its region. It
// reports false if the region has no live VM either.
func Of(
	name sassafrastray.BackendName, domain sassafrastray.DomainName,
	region sassafrastray.RegionName, live []Member,
) (sassafrastray.VMName, bool) {
	vm, ok := highest(name, live, func(m Member) bool { return m.Domain == domain })
	if ok {
		return vm, true
	}
	return highest(name, live, func(m Member) bool { return m.Region == region })
}

// highest returns the VM with the highest score among those that match.
func highest(name sassafrastray.BackendName, live []Member, match func(Member) bool) (sassafrastray.VMName, bool) {
	var (
		best  sassafrastray.VMName
		score uint64
		found bool
	)
	for _, m := range live {
		if !match(m) {
			continue
		}
		s := weigh(name, m.VM)
		if !found || s > score || s == score && m.VM < best {
			best, score, found = m.VM, s, true
		}
	}
	return best, found
}

// weigh hashes the pair of a backend server and a VM.
func weigh(name sassafrastray.BackendName, vm sassafrastray.VMName) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(name))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}

// assign decides anew which backend servers this VM keeps.
func (k *Keeper) assign(now time.Time) {
	if k.config == nil {
		return
	}
	k.present = false
	populated := make(map[sassafrastray.DomainName]bool)
	for _, m := range k.live {
		populated[m.Domain] = true
		k.present = k.present || m.VM == k.self
	}
	k.waits = false
	for _, b := range k.names {
		if populated[b.domain] {
			delete(k.empty, b.domain)
		} else if _, ok := k.empty[b.domain]; !ok {
			k.empty[b.domain] = now
		}
		k.keep(b, !b.gone && k.owns(b, populated[b.domain], now), now)
	}
	k.share.set(k.allowance(), now, k.opt.ShareDelay)
}

// owns reports whether this VM keeps b. VMs of other failure domains wait
// until b's own has had no live VM for some time, because a view that lags
// would make two keepers.
func (k *Keeper) owns(b *backend, populated bool, now time.Time) bool {
	if !populated && now.Before(k.empty[b.domain].Add(k.opt.Fallback)) {
		k.waits = true
		return false
	}
	vm, ok := Of(b.name, b.domain, b.region, k.live)
	return ok && vm == k.self
}

// keep takes or gives up a backend server. The earlier keeper may still use
// the slots of one that is taken, so they become free one after the other.
func (k *Keeper) keep(b *backend, kept bool, now time.Time) {
	switch {
	case kept && !b.kept:
		b.kept, b.taken = true, now
		if b.fresh {
			b.fresh = false
			break
		}
		n := max(0, b.slots-b.used)
		for i := range n {
			step := k.opt.Handover * time.Duration(i+1) / time.Duration(n)
			b.handover = append(b.handover, now.Add(step))
		}
	case !kept && b.kept:
		b.kept, b.lost = false, now
		b.handover = b.handover[:0]
	case !kept && b.fresh:
		// Another VM warms it up.
		b.fresh, b.limit = false, b.slots
	}
}

// Holding is what an earlier keeper still has in flight at a backend server,
// with the slots of cancelled requests that may still be busy.
type Holding struct {
	Backend sassafrastray.BackendName `json:"backend"`
	Used    int                       `json:"used"`
}

// Holdings returns the backend servers that this VM kept lately and no longer
// keeps, with its requests in flight there. Heartbeats carry them so that the
// new keeper need not wait.
func (k *Keeper) Holdings(now time.Time) []Holding {
	var hs []Holding
	for _, b := range k.names {
		recent := !b.lost.IsZero() && now.Before(b.lost.Add(2*k.opt.Handover))
		if !b.kept && (b.used > 0 || recent) {
			hs = append(hs, Holding{Backend: b.name, Used: b.used + len(b.linger)})
		}
	}
	return hs
}

// Heard takes the holdings of an earlier keeper, heard since this VM became
// the keeper.
func (k *Keeper) Heard(hs []Holding, now time.Time) {
	for _, h := range hs {
		if b := k.backends[h.Backend]; b != nil && b.kept && now.After(b.taken) {
			b.handover = b.handover.keep(h.Used)
		}
	}
}

// Kept returns the backend servers that the VM keeps.
func (k *Keeper) Kept() map[sassafrastray.BackendName]bool {
	kept := make(map[sassafrastray.BackendName]bool)
	for _, b := range k.names {
		if b.kept {
			kept[b.name] = true
		}
	}
	return kept
}

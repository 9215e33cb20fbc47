package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

// Member is a live VM with its location.
type Member struct {
	VM     sassafrastray.VMName
	Domain sassafrastray.DomainName
	Region sassafrastray.RegionName
}

// Owner returns the VM that owns a backend server: it is chosen by rendezvous
// hashing among the live VMs of the failure domain or, if there are none, of the
// region. It returns false if the region has no live VM either.
func Owner(
	name sassafrastray.BackendName, domain sassafrastray.DomainName,
	region sassafrastray.RegionName, live []Member,
) (sassafrastray.VMName, bool) {
	vm, ok := highest(name, live, func(m Member) bool { return m.Domain == domain })
	if ok {
		return vm, true
	}
	return highest(name, live, func(m Member) bool { return m.Region == region })
}

// highest returns the VM with the highest hash score among those that match.
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
		s := hashScore(name, m.VM)
		if !found || s > score || s == score && m.VM < best {
			best, score, found = m.VM, s, true
		}
	}
	return best, found
}

// hashScore hashes the pair of a backend server and a VM.
func hashScore(name sassafrastray.BackendName, vm sassafrastray.VMName) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(name))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}

// assign recomputes which backend servers this VM owns.
func (s *Scheduler) assign(now time.Time) {
	if s.config == nil {
		return
	}
	s.present = false
	populated := make(map[sassafrastray.DomainName]bool)
	for _, m := range s.live {
		populated[m.Domain] = true
		s.present = s.present || m.VM == s.self
	}
	s.fallbackPending = false
	for _, b := range s.byName {
		if populated[b.domain] {
			delete(s.emptySince, b.domain)
		} else if _, ok := s.emptySince[b.domain]; !ok {
			s.emptySince[b.domain] = now
		}
		s.setOwned(b, !b.removed && s.owns(b, populated[b.domain], now), now)
	}
	s.share.set(s.regionShare(), now, s.opt.ShareDelay)
}

// owns reports whether this VM owns b. VMs of other failure domains take over only
// after the failure domain of b has had no live VM for FallbackDelay, because a
// stale view would otherwise lead to two owners.
func (s *Scheduler) owns(b *backend, populated bool, now time.Time) bool {
	if !populated && now.Before(s.emptySince[b.domain].Add(s.opt.FallbackDelay)) {
		s.fallbackPending = true
		return false
	}
	vm, ok := Owner(b.name, b.domain, b.region, s.live)
	return ok && vm == s.self
}

// setOwned takes over or releases a backend server. After a takeover the previous
// owner may still use its slots, so they become free one after the other.
func (s *Scheduler) setOwned(b *backend, owned bool, now time.Time) {
	switch {
	case owned && !b.owned:
		b.owned, b.ownedAt = true, now
		if b.added {
			b.added = false
			break
		}
		n := max(0, b.slots-b.used)
		for i := range n {
			step := s.opt.HandoverTimeout * time.Duration(i+1) / time.Duration(n)
			b.handover = append(b.handover, now.Add(step))
		}
	case !owned && b.owned:
		b.owned, b.releasedAt = false, now
		b.handover = b.handover[:0]
	case !owned && b.added:
		// The VM that owns it does the slow start.
		b.added, b.limit = false, b.slots
	}
}

// Holding is the number of requests that a previous owner still has in flight at a
// backend server, including slots of cancelled requests that may still be busy.
type Holding struct {
	Backend sassafrastray.BackendName `json:"backend"`
	Used    int                       `json:"used"`
}

// Holdings returns the backend servers that this VM owned until recently, with its
// requests in flight there. VMs send them in heartbeats, so that the new owner can
// use the free slots before HandoverTimeout has passed.
func (s *Scheduler) Holdings(now time.Time) []Holding {
	var hs []Holding
	for _, b := range s.byName {
		recent := !b.releasedAt.IsZero() && now.Before(b.releasedAt.Add(2*s.opt.HandoverTimeout))
		if !b.owned && (b.used > 0 || recent) {
			hs = append(hs, Holding{Backend: b.name, Used: b.used + len(b.linger)})
		}
	}
	return hs
}

// ApplyHoldings applies the holdings of a previous owner, which become known at
// now. They are ignored for backend servers that this VM does not own or took over
// no earlier than now.
func (s *Scheduler) ApplyHoldings(hs []Holding, now time.Time) {
	for _, h := range hs {
		if b := s.backends[h.Backend]; b != nil && b.owned && now.After(b.ownedAt) {
			b.handover = b.handover.truncate(h.Used)
		}
	}
}

// Owned returns the names of the backend servers that the VM owns.
func (s *Scheduler) Owned() map[sassafrastray.BackendName]bool {
	owned := make(map[sassafrastray.BackendName]bool)
	for _, b := range s.byName {
		if b.owned {
			owned[b.name] = true
		}
	}
	return owned
}

package caller

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/arrival"
)

const (
	// lookupTimeout bounds one look-up request to one VM.
	lookupTimeout = 2 * time.Second
	// retryAfter is the delay until the next look-up after no VM responded.
	retryAfter = time.Second
)

type (
	// lookupCache holds the last look-up response for one team and service.
	lookupCache struct {
		// refreshMu is held during a look-up that requests wait for.
		refreshMu sync.Mutex

		mu      sync.Mutex
		targets []target
		// knownVMs are the VMs of the last response, including those that were
		// removed from targets since. The next look-up tries some of them and of
		// the seeds.
		knownVMs []netip.AddrPort
		expires  time.Time
		// lastFailure is the time of the last look-up to which no VM responded.
		lastFailure time.Time
		refreshing  bool
	}

	// target is an entry VM in a look-up response.
	target struct {
		Name    sassafrastray.VMName `json:"name"`
		Address netip.AddrPort       `json:"address"`
		Weight  int                  `json:"weight"`
	}

	// lookup is the response to a look-up. TTL is in seconds.
	lookup struct {
		Service sassafrastray.ServiceName `json:"service"`
		Config  int64                     `json:"config"`
		TTL     float64                   `json:"ttl"`
		VMs     []target                  `json:"vms"`
	}
)

// pick returns a VM chosen at random by weight. It does a look-up if none is
// cached, and refreshes an expired one in the background.
func (lc *lookupCache) pick(c *Caller, a arrival.Arrival, deadline time.Time) (netip.AddrPort, bool) {
	if vm, ok := lc.pickCached(c, a); ok {
		return vm, true
	}
	lc.refreshMu.Lock()
	defer lc.refreshMu.Unlock()
	if vm, ok := lc.pickCached(c, a); ok {
		return vm, true
	}
	if now := c.clock.Now(); !now.Before(deadline) || lc.failedSince(now.Add(-retryAfter)) {
		return netip.AddrPort{}, false
	}
	lc.refresh(c, a)
	return lc.pickCached(c, a)
}

// pickCached is like pick, but does not wait for a look-up.
func (lc *lookupCache) pickCached(c *Caller, a arrival.Arrival) (netip.AddrPort, bool) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	total := 0
	for _, t := range lc.targets {
		total += t.Weight
	}
	if total == 0 {
		return netip.AddrPort{}, false
	}
	if !lc.refreshing && !c.clock.Now().Before(lc.expires) {
		lc.refreshing = true
		go lc.refresh(c, a)
	}
	n := rand.IntN(total)
	for _, t := range lc.targets {
		if n -= t.Weight; n < 0 {
			return t.Address, true
		}
	}
	panic("caller: target weights do not add up to their total")
}

// remove removes a VM that refuses connections, until the next look-up.
func (lc *lookupCache) remove(vm netip.AddrPort) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lc.targets = slices.DeleteFunc(lc.targets, func(t target) bool { return t.Address == vm })
}

// refresh does a look-up at the known VMs and the seeds, in random order, until
// one responds or maxDials have been tried. If none responds, the cached look-up
// stays.
func (lc *lookupCache) refresh(c *Caller, a arrival.Arrival) {
	lc.mu.Lock()
	vms := append(slices.Clone(lc.knownVMs), c.seeds...)
	lc.mu.Unlock()
	slices.SortFunc(vms, netip.AddrPort.Compare)
	vms = slices.Compact(vms)
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, vm := range vms[:min(len(vms), maxDials)] {
		c.lookups.Add(1)
		l, err := c.fetch(vm, a)
		if err == nil && len(l.VMs) > 0 {
			lc.store(l, c.clock.Now())
			return
		}
		c.failedLookups.Add(1)
	}
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lc.refreshing, lc.lastFailure = false, c.clock.Now()
	lc.expires = lc.lastFailure.Add(retryAfter)
}

// failedSince reports whether a look-up has failed after t.
func (lc *lookupCache) failedSince(t time.Time) bool {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.lastFailure.After(t)
}

// store replaces the cached look-up.
func (lc *lookupCache) store(l lookup, now time.Time) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lc.targets, lc.knownVMs = l.VMs, nil
	for _, t := range l.VMs {
		lc.knownVMs = append(lc.knownVMs, t.Address)
	}
	lc.refreshing, lc.expires = false, now.Add(time.Duration(l.TTL*float64(time.Second)))
}

// fetch does one look-up at one VM.
func (c *Caller) fetch(vm netip.AddrPort, a arrival.Arrival) (lookup, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + vm.String() + "/lookup?service=" + url.QueryEscape(string(a.Service.Name)))
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+a.Team.Key)
	if err := c.clients.get(vm).DoTimeout(req, resp, lookupTimeout); err != nil {
		return lookup{}, errors.Wrap(err, "look-up")
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return lookup{}, errors.Newf("look-up: status %d", resp.StatusCode())
	}
	var l lookup
	err := json.NewDecoder(resp.BodyStream()).Decode(&l)
	return l, errors.Wrap(err, "look-up")
}

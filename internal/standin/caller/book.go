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
	// lookupTimeout bounds one look-up at one VM.
	lookupTimeout = 2 * time.Second
	// retryAfter is how long a caller waits before it asks again when no VM
	// answered.
	retryAfter = time.Second
)

type (
	// book is a cached look-up.
	book struct {
		// asking is held during a look-up that requests wait for.
		asking sync.Mutex

		mu      sync.Mutex
		choices []choice
		known   []netip.AddrPort
		expires time.Time
		// failed is when no VM answered last.
		failed time.Time
		busy   bool
	}

	// choice is a VM that the look-up names.
	choice struct {
		Name    sassafrastray.VMName `json:"name"`
		Address netip.AddrPort       `json:"address"`
		Weight  int                  `json:"weight"`
	}

	// lookup is the answer to a look-up. TTL is in seconds.
	lookup struct {
		Service sassafrastray.ServiceName `json:"service"`
		Config  int64                     `json:"config"`
		TTL     float64                   `json:"ttl"`
		VMs     []choice                  `json:"vms"`
	}
)

// pick returns a VM, chosen by weight. It asks for a look-up if there is none,
// and renews one that has expired in the background.
func (b *book) pick(c *Caller, a arrival.Arrival, deadline time.Time) (netip.AddrPort, bool) {
	if vm, ok := b.choose(c, a); ok {
		return vm, true
	}
	b.asking.Lock()
	defer b.asking.Unlock()
	if vm, ok := b.choose(c, a); ok {
		return vm, true
	}
	if now := c.clock.Now(); !now.Before(deadline) || b.failedSince(now.Add(-retryAfter)) {
		return netip.AddrPort{}, false
	}
	b.renew(c, a)
	return b.choose(c, a)
}

func (b *book) choose(c *Caller, a arrival.Arrival) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, ch := range b.choices {
		total += ch.Weight
	}
	if total == 0 {
		return netip.AddrPort{}, false
	}
	if !b.busy && !c.clock.Now().Before(b.expires) {
		b.busy = true
		go b.renew(c, a)
	}
	n := rand.IntN(total)
	for _, ch := range b.choices {
		if n -= ch.Weight; n < 0 {
			return ch.Address, true
		}
	}
	panic("caller: weights do not add up")
}

// drop removes a VM that refuses connections until the next look-up.
func (b *book) drop(vm netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.choices = slices.DeleteFunc(b.choices, func(ch choice) bool { return ch.Address == vm })
}

// renew asks the VMs that are known, in random order, until one answers. The
// old look-up stays if none does.
func (b *book) renew(c *Caller, a arrival.Arrival) {
	b.mu.Lock()
	ask := append(slices.Clone(b.known), c.seeds...)
	b.mu.Unlock()
	slices.SortFunc(ask, netip.AddrPort.Compare)
	ask = slices.Compact(ask)
	rand.Shuffle(len(ask), func(i, j int) { ask[i], ask[j] = ask[j], ask[i] })
	for _, vm := range ask[:min(len(ask), maxDials)] {
		c.lookups.Add(1)
		l, err := c.ask(vm, a)
		if err == nil && len(l.VMs) > 0 {
			b.fill(l, c.clock.Now())
			return
		}
		c.failures.Add(1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy, b.failed = false, c.clock.Now()
	b.expires = b.failed.Add(retryAfter)
}

func (b *book) failedSince(t time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed.After(t)
}

func (b *book) fill(l lookup, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.choices, b.known = l.VMs, nil
	for _, ch := range l.VMs {
		b.known = append(b.known, ch.Address)
	}
	b.busy, b.expires = false, now.Add(time.Duration(l.TTL*float64(time.Second)))
}

// ask does one look-up.
func (c *Caller) ask(vm netip.AddrPort, a arrival.Arrival) (lookup, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + vm.String() + "/lookup?service=" + url.QueryEscape(string(a.Service.Name)))
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+a.Team.Key)
	if err := c.links.to(vm).DoTimeout(req, resp, lookupTimeout); err != nil {
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

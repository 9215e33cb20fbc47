// Package caller simulates the callers: it looks up the entry VMs of a service,
// caches the response, sends requests to these VMs and checks the responses.
package caller

import (
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/arrival"
	"sassafrastray/internal/standin/outcome"
	"sassafrastray/internal/standin/scenario"
)

// HTTP header names.
const (
	headerOrder   = "Order-Id"
	headerResult  = "Result"
	headerReason  = "Reason"
	headerID      = "Request-Id"
	headerTeam    = "Team"
	headerTimeout = "Request-Timeout"
	headerShed    = "Shed"
)

// maxDials is the maximum number of addresses tried for a request. The next one
// is tried only if no connection could be opened, so that no byte was sent.
const maxDials = 3

type (
	// Caller sends the requests of all teams through entry VMs.
	Caller struct {
		clock   sassafrastray.Clock
		seeds   []netip.AddrPort
		clients clientPool

		mu     sync.Mutex
		caches map[cacheKey]*lookupCache

		lookups, failedLookups atomic.Int64
	}

	// cacheKey identifies the callers that share a cached look-up.
	cacheKey struct {
		team    sassafrastray.TeamName
		service sassafrastray.ServiceName
	}
)

// New returns a caller that does its first look-ups at the seeds.
func New(clock sassafrastray.Clock, seeds []netip.AddrPort) *Caller {
	return &Caller{clock: clock, seeds: seeds, caches: map[cacheKey]*lookupCache{}}
}

// Lookups returns how many look-ups were done and how many of them failed.
func (c *Caller) Lookups() (done, failed int64) { return c.lookups.Load(), c.failedLookups.Load() }

// Close closes the idle connections.
func (c *Caller) Close() { c.clients.close() }

// Send sends a request. Its timeout runs from start.
func (c *Caller) Send(a arrival.Arrival, order string, start time.Time) outcome.Outcome {
	deadline := start.Add(a.Kind.Timeout)
	lc := c.cache(a)
	var o outcome.Outcome
	for n := range maxDials {
		vm, ok := lc.pick(c, a, deadline)
		if !ok {
			return outcome.Outcome{
				Class: outcome.Unreached, Result: sassafrastray.ResultNotRun, Redials: n, Detail: "no VM is known",
			}
		}
		o = c.try(a, order, vm, deadline)
		o.Redials = n
		if o.Class != outcome.Unreached {
			return o
		}
		lc.remove(vm)
	}
	return o
}

// try sends the request to one VM.
func (c *Caller) try(a arrival.Arrival, order string, vm netip.AddrPort, deadline time.Time) outcome.Outcome {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	prepareRequest(req, a.Kind, vm, order)
	req.Header.SetHost(a.Service.Host)
	req.UseHostHeader = true
	if !a.Kind.Open {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+a.Team.Key)
	}
	if err := c.clients.get(vm).DoTimeout(req, resp, deadline.Sub(c.clock.Now())); err != nil {
		return failureOutcome(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	return readOutcome(resp, a.Kind, order)
}

// cache returns the cached look-up for the team and service of an arrival.
func (c *Caller) cache(a arrival.Arrival) *lookupCache {
	team, service := a.Names()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := cacheKey{team, service}
	lc := c.caches[k]
	if lc == nil {
		lc = &lookupCache{}
		c.caches[k] = lc
	}
	return lc
}

// prepareRequest fills in what requests through entry VMs and requests sent
// directly to backend servers have in common.
func prepareRequest(req *fasthttp.Request, k *scenario.Kind, to netip.AddrPort, order string) {
	req.Header.SetMethod(k.Method)
	req.SetRequestURI("http://" + to.String() + k.Path + query(k))
	req.Header.Set(headerOrder, order)
	if k.Size > 0 {
		req.SetBodyStream(uploadBody(k.Size), int(k.Size))
	}
}

// readOutcome reads the response and checks that it is complete and belongs to
// the request.
func readOutcome(resp *fasthttp.Response, k *scenario.Kind, order string) outcome.Outcome {
	o := outcome.Outcome{
		Status: resp.StatusCode(),
		Class:  outcome.ClassFromStatus(resp.StatusCode()),
		Result: sassafrastray.Result(resp.Header.Peek(headerResult)),
		Reason: sassafrastray.Reason(resp.Header.Peek(headerReason)),
	}
	// identity is what fasthttp reports as the length of a body that ends when the
	// connection closes.
	const identity = -2
	if resp.Header.ContentLength() == identity {
		o.Class, o.Detail = outcome.Broken, "response of unknown length"
		return o
	}
	body := resp.BodyStream()
	var err error
	if o.Class != outcome.OK {
		o.Bytes, err = io.Copy(io.Discard, body)
		o.Detail = "status " + o.Label()
	} else {
		o.Bytes, err = checkBody(body, k, order)
	}
	if err != nil {
		f := failureOutcome(err)
		o.Class, o.Detail = f.Class, f.Detail
	}
	return o
}

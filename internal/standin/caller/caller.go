// Package caller sends requests as real callers do: it asks a VM which VMs to
// use, caches the answer, sends the request there and checks what comes back.
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

// Names of headers.
const (
	headerOrder   = "Order-Id"
	headerResult  = "Result"
	headerReason  = "Reason"
	headerID      = "Request-Id"
	headerTeam    = "Team"
	headerTimeout = "Request-Timeout"
	headerShed    = "Shed"
)

// maxDials is how many addresses a request is tried at; it goes on to the next
// only if the connection was refused, so that no byte has left.
const maxDials = 3

type (
	// Caller sends the requests of all teams through entry VMs.
	Caller struct {
		clock sassafrastray.Clock
		seeds []netip.AddrPort
		links links

		mu    sync.Mutex
		books map[audience]*book

		lookups, failures atomic.Int64
	}

	// audience is who shares one cached look-up.
	audience struct {
		team    sassafrastray.TeamName
		service sassafrastray.ServiceName
	}
)

// New returns a caller that asks the seeds first.
func New(clock sassafrastray.Clock, seeds []netip.AddrPort) *Caller {
	return &Caller{clock: clock, seeds: seeds, books: map[audience]*book{}}
}

// Lookups returns how many look-ups were done and how many of them failed.
func (c *Caller) Lookups() (done, failed int64) { return c.lookups.Load(), c.failures.Load() }

// Close closes the idle connections.
func (c *Caller) Close() { c.links.close() }

// Send sends a request whose caller began to wait at start.
func (c *Caller) Send(a arrival.Arrival, order string, start time.Time) outcome.Outcome {
	deadline := start.Add(a.Kind.Timeout)
	b := c.book(a)
	var o outcome.Outcome
	for n := range maxDials {
		vm, ok := b.pick(c, a, deadline)
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
		b.drop(vm)
	}
	return o
}

// try sends the request to one VM.
func (c *Caller) try(a arrival.Arrival, order string, vm netip.AddrPort, deadline time.Time) outcome.Outcome {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	compose(req, a.Kind, vm, order)
	req.Header.SetHost(a.Service.Host)
	req.UseHostHeader = true
	if !a.Kind.Open {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+a.Team.Key)
	}
	if err := c.links.to(vm).DoTimeout(req, resp, deadline.Sub(c.clock.Now())); err != nil {
		return failure(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	return judge(resp, a.Kind, order)
}

func (c *Caller) book(a arrival.Arrival) *book {
	team, service := a.Who()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := audience{team, service}
	b := c.books[k]
	if b == nil {
		b = &book{}
		c.books[k] = b
	}
	return b
}

// compose writes a request without the headers that depend on the way it
// goes.
func compose(req *fasthttp.Request, k *scenario.Kind, to netip.AddrPort, order string) {
	req.Header.SetMethod(k.Method)
	req.SetRequestURI("http://" + to.String() + k.Path + query(k))
	req.Header.Set(headerOrder, order)
	if k.Size > 0 {
		req.SetBodyStream(upload(k.Size), int(k.Size))
	}
}

// judge reads the answer and checks that it is whole and the request's own.
func judge(resp *fasthttp.Response, k *scenario.Kind, order string) outcome.Outcome {
	o := outcome.Outcome{
		Status: resp.StatusCode(),
		Class:  outcome.Status(resp.StatusCode()),
		Result: sassafrastray.Result(resp.Header.Peek(headerResult)),
		Reason: sassafrastray.Reason(resp.Header.Peek(headerReason)),
	}
	const identity = -2
	if resp.Header.ContentLength() == identity {
		o.Class, o.Detail = outcome.Broken, "answer of unknown length"
		return o
	}
	body := resp.BodyStream()
	var err error
	if o.Class != outcome.OK {
		o.Bytes, err = io.Copy(io.Discard, body)
		o.Detail = "status " + o.Why()
	} else {
		o.Bytes, err = check(body, k, order)
	}
	if err != nil {
		f := failure(err)
		o.Class, o.Detail = f.Class, f.Detail
	}
	return o
}

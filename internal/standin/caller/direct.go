package caller

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/arrival"
	"sassafrastray/internal/standin/outcome"
	"sassafrastray/internal/standin/server"
)

// Direct sends requests directly to backend servers. All callers share one queue
// for each service and know every free slot, which no real system does. So its
// results depend on the servers alone, and bound those of requests through entry VMs.
type Direct struct {
	clock   sassafrastray.Clock
	clients clientPool
	// free holds the server address of each free slot of a service.
	free map[sassafrastray.ServiceName]chan netip.AddrPort
}

// NewDirect returns a Direct that sends to the given servers.
func NewDirect(clock sassafrastray.Clock, servers []server.Settings) *Direct {
	slots := map[sassafrastray.ServiceName][]netip.AddrPort{}
	for _, s := range servers {
		for range s.Slots {
			slots[s.Service] = append(slots[s.Service], s.Listen)
		}
	}
	d := &Direct{clock: clock, free: map[sassafrastray.ServiceName]chan netip.AddrPort{}}
	for name, addrs := range slots {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		ch := make(chan netip.AddrPort, len(addrs))
		for _, a := range addrs {
			ch <- a
		}
		d.free[name] = ch
	}
	return d
}

// Close closes the idle connections.
func (d *Direct) Close() { d.clients.close() }

// Send waits for a free slot and sends the request there.
func (d *Direct) Send(a arrival.Arrival, order string, start time.Time) outcome.Outcome {
	deadline := start.Add(a.Kind.Timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	free := d.free[a.Service.Name]
	select {
	case addr := <-free:
		defer func() { free <- addr }()
		return d.try(a, order, addr, deadline)
	case <-ctx.Done():
		return outcome.Outcome{Class: outcome.Late, Result: sassafrastray.ResultNotRun, Detail: "no free slot"}
	}
}

func (d *Direct) try(a arrival.Arrival, order string, addr netip.AddrPort, deadline time.Time) outcome.Outcome {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	prepareRequest(req, a.Kind, addr, order)
	left := deadline.Sub(d.clock.Now())
	req.Header.Set(headerID, order)
	req.Header.Set(headerTeam, string(a.Team.Name))
	req.Header.Set(headerTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	if err := d.clients.get(addr).DoTimeout(req, resp, left); err != nil {
		return failureOutcome(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	o := readOutcome(resp, a.Kind, order)
	if len(resp.Header.Peek(headerShed)) > 0 {
		o.Result, o.Reason = sassafrastray.ResultNotRun, sassafrastray.ReasonShed
	}
	return o
}

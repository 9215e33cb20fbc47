package backend

import (
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/gate"
	"sassafrastray/internal/standin/ledger"
	"sassafrastray/internal/standin/server"
)

// Names of headers.
const (
	headerOrder = "Order-Id"
	headerDrain = "Drain"
)

// Product is the dialect of the product's own interface.
var Product = sassafrastray.Dialect{
	ID: "Request-Id", Deadline: "Request-Timeout", Team: "Team", NotRun: "Shed", Load: "Load",
}

// maxDrain bounds the part of a body in bytes that a server reads after it has
// shed the request.
const maxDrain = 8 << 20

// execution is a request that has a slot.
type execution struct {
	host  *host
	entry *ledger.Entry
	work  server.Work
	// opened is when the connection was opened.
	opened time.Time
}

func (h *host) handle(ctx *fasthttp.RequestCtx) {
	now := h.fleet.clock.Now()
	h.fleet.mu.Lock()
	mute := h.state.Silenced(ctx.ConnTime())
	health := h.state.Health(now)
	h.fleet.mu.Unlock()
	switch {
	case mute:
		ignore(ctx)
	case h.misdirected(ctx):
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		h.mark(ctx)
	case string(ctx.Path()) == "/health":
		writeJSON(ctx, health)
		h.mark(ctx)
	default:
		x := h.admit(ctx, now)
		if x == nil {
			ctx.Response.Header.Set(h.fleet.dialect.NotRun, "1")
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			h.mark(ctx)
			drain(ctx)
			return
		}
		x.run(ctx)
	}
}

// admit takes a slot and records the execution, or returns nil if the server
// sheds the request.
func (h *host) admit(ctx *fasthttp.RequestCtx, now time.Time) *execution {
	e := h.fleet.entry(ctx)
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	work, ok := h.state.Admit(e.Path, now)
	if !ok {
		return nil
	}
	e.Server, e.Service, e.Version, e.Start = h.state.Name, h.state.Service, h.state.Version, now
	return &execution{host: h, entry: h.fleet.ledger.Start(e), work: work, opened: ctx.ConnTime()}
}

// mark sets the headers that each answer carries.
func (h *host) mark(ctx *fasthttp.RequestCtx) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	d := &h.fleet.dialect
	if id := ctx.Request.Header.Peek(d.ID); len(id) > 0 {
		ctx.Response.Header.SetBytesV(d.ID, id)
	}
	if id := ctx.Request.Header.Peek(headerOrder); len(id) > 0 {
		ctx.Response.Header.SetBytesV(headerOrder, id)
	}
	if h.state.Faults().Drain {
		ctx.Response.Header.Set(headerDrain, "1")
	}
	if l := h.state.Load(h.fleet.clock.Now()); l != "" {
		ctx.Response.Header.Set(d.Load, h.fleet.load(l))
	}
}

// misdirected tells whether the request is meant for another server.
func (h *host) misdirected(ctx *fasthttp.RequestCtx) bool {
	name := h.fleet.dialect.Expect
	if name == "" {
		return false
	}
	expected := ctx.Request.Header.Peek(name)
	return len(expected) > 0 && string(expected) != string(h.state.Name)
}

// load writes a report of the form used/slots as the dialect has it.
func (f *Fleet) load(report string) string {
	used, slots, _ := strings.Cut(report, "/")
	if f.dialect.ParseLoad == nil {
		return report
	}
	return used + ",0," + slots
}

// run reads the body, works, and answers. The slot is given back when the
// answer has been written, or when there is none.
func (x *execution) run(ctx *fasthttp.RequestCtx) {
	started := x.entry.Start
	b, err := readBody(ctx)
	if err != nil {
		x.end(ledger.Cancelled)
		hangUp(ctx)
		return
	}
	takes := x.work.Duration - x.host.fleet.clock.Now().Sub(started)
	limit, bounded := x.host.fleet.timeout(ctx)
	expired := bounded && limit < x.work.Duration
	if expired {
		takes = limit - x.host.fleet.clock.Now().Sub(started)
	}
	if !sleep(ctx, takes) {
		x.end(ledger.Cancelled)
		hangUp(ctx)
		return
	}
	if expired {
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		x.host.mark(ctx)
		x.end(ledger.Expired)
		return
	}
	x.answer(ctx, b)
}

// answer writes the answer with the faults that the work asks for.
func (x *execution) answer(ctx *fasthttp.RequestCtx, b body) {
	time.Sleep(x.work.Delay)
	x.host.fleet.mu.Lock()
	mute := x.host.state.Silenced(x.opened)
	x.host.fleet.mu.Unlock()
	if mute {
		x.end(ledger.Finished)
		ignore(ctx)
		return
	}
	end := ledger.Finished
	if x.work.Fail {
		end = ledger.Failed
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	x.host.mark(ctx)
	source, size := x.body(ctx, b)
	if x.work.Truncate {
		x.cut(ctx, source, size, end)
		return
	}
	ctx.SetBodyStream(&stream{Reader: source, x: x, end: end}, int(size))
}

// cut sends the header and the first half of the body, and closes the
// connection.
func (x *execution) cut(ctx *fasthttp.RequestCtx, source io.Reader, size int64, end ledger.End) {
	ctx.Response.Header.SetContentLength(int(size))
	head := append([]byte{}, ctx.Response.Header.Header()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		defer x.end(end)
		if _, err := c.Write(head); err == nil {
			_, _ = io.CopyN(c, source, size/2)
		}
	})
}

// end records the end of the execution and gives the slot back.
func (x *execution) end(end ledger.End) {
	f := x.host.fleet
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	x.entry.Finish(end, now)
	x.host.state.Release()
}

// swap keeps an answer and returns the one kept before, or the answer itself
// if there is none.
func (h *host) swap(a answer) answer {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	last := h.last
	h.last = a
	if last.ID == "" && last.Order == "" {
		return a
	}
	return last
}

// sleep waits for d. It reports whether the client's connection was still
// open at the end.
func sleep(ctx *fasthttp.RequestCtx, d time.Duration) bool {
	c, ok := ctx.Conn().(*gate.Conn)
	if !ok {
		panic("backend: connection from elsewhere than a gate")
	}
	closed, stop := c.Watch()
	defer stop()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-closed:
		return false
	case <-timer.C:
		return true
	}
}

// drain reads what is left of the body up to a bound. Without it the connection
// would be reset while the client still sends, and the answer might be lost.
func drain(ctx *fasthttp.RequestCtx) {
	if r := ctx.RequestBodyStream(); r != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDrain))
	}
}

// timeout reads how long the client waits.
func (f *Fleet) timeout(ctx *fasthttp.RequestCtx) (time.Duration, bool) {
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(f.dialect.Deadline)), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// hangUp closes the connection without an answer.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// ignore keeps the connection without an answer until the client closes it.
func ignore(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
}

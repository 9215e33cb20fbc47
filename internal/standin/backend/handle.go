package backend

import (
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/execlog"
	"sassafrastray/internal/standin/server"
	"sassafrastray/internal/standin/tcp"
)

// HTTP header names.
const (
	headerOrder = "Order-Id"
	headerDrain = "Drain"
)

// DefaultDialect is the dialect with the default header names.
var DefaultDialect = sassafrastray.Dialect{
	ID: "Request-Id", Deadline: "Request-Timeout", Team: "Team", NotRun: "Shed", Load: "Load",
}

// maxDiscardBytes bounds how much of the body a server reads after it has shed the
// request.
const maxDiscardBytes = 8 << 20

// execution is an admitted request, which holds a slot.
type execution struct {
	host  *host
	entry *execlog.Entry
	work  server.Work
	// opened is when the connection was opened.
	opened time.Time
}

func (h *host) handle(ctx *fasthttp.RequestCtx) {
	now := h.fleet.clock.Now()
	h.fleet.mu.Lock()
	silenced := h.state.Silenced(ctx.ConnTime())
	health := h.state.Health(now)
	h.fleet.mu.Unlock()
	switch {
	case silenced:
		holdUnanswered(ctx)
	case h.misdirected(ctx):
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		h.setHeaders(ctx)
	case string(ctx.Path()) == "/health":
		writeJSON(ctx, health)
		h.setHeaders(ctx)
	default:
		x := h.admit(ctx, now)
		if x == nil {
			ctx.Response.Header.Set(h.fleet.dialect.NotRun, "1")
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			h.setHeaders(ctx)
			h.setPause(ctx)
			discardBody(ctx)
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
	return &execution{host: h, entry: h.fleet.executions.Start(e), work: work, opened: ctx.ConnTime()}
}

// setHeaders sets the headers that every response carries.
func (h *host) setHeaders(ctx *fasthttp.RequestCtx) {
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
	if h.state.Faults().Leaving && d.Leaving != "" {
		ctx.Response.Header.Set(d.Leaving, "1")
	}
	if l := h.state.Load(h.fleet.clock.Now()); l != "" {
		ctx.Response.Header.Set(d.Load, h.fleet.formatLoad(l))
	}
}

// setPause names the pause in a response that sheds a request.
func (h *host) setPause(ctx *fasthttp.RequestCtx) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if p := h.state.Faults().Pause; p > 0 && h.fleet.dialect.Pause != "" {
		ctx.Response.Header.Set(h.fleet.dialect.Pause, strconv.FormatFloat(p, 'f', -1, 64))
	}
}

// misdirected reports whether the request names another server as its destination.
func (h *host) misdirected(ctx *fasthttp.RequestCtx) bool {
	name := h.fleet.dialect.Expect
	if name == "" {
		return false
	}
	expected := ctx.Request.Header.Peek(name)
	return len(expected) > 0 && string(expected) != string(h.state.Name)
}

// formatLoad converts a load report of the form used/slots to the dialect's form,
// which also counts waiting requests. There are none, since a full server sheds.
func (f *Fleet) formatLoad(report string) string {
	used, slots, _ := strings.Cut(report, "/")
	if f.dialect.ParseLoad == nil {
		return report
	}
	return used + ",0," + slots
}

// run reads the body, waits for the processing time, and responds. The slot is freed
// when the response has been written, or when there will be none.
func (x *execution) run(ctx *fasthttp.RequestCtx) {
	started := x.entry.Start
	b, err := readBody(ctx)
	if err != nil {
		x.finish(execlog.Canceled)
		closeUnanswered(ctx)
		return
	}
	remaining := x.work.Duration - x.host.fleet.clock.Now().Sub(started)
	limit, bounded := x.host.fleet.timeout(ctx)
	expired := bounded && limit < x.work.Duration
	if expired {
		remaining = limit - x.host.fleet.clock.Now().Sub(started)
	}
	if !sleep(ctx, remaining) {
		x.finish(execlog.Canceled)
		closeUnanswered(ctx)
		return
	}
	if expired {
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		x.host.setHeaders(ctx)
		x.finish(execlog.Expired)
		return
	}
	x.respond(ctx, b)
}

// respond writes the response with the faults that the work asks for.
func (x *execution) respond(ctx *fasthttp.RequestCtx, b body) {
	time.Sleep(x.work.Delay)
	x.host.fleet.mu.Lock()
	silenced := x.host.state.Silenced(x.opened)
	x.host.fleet.mu.Unlock()
	if silenced {
		x.finish(execlog.Finished)
		holdUnanswered(ctx)
		return
	}
	end := execlog.Finished
	if x.work.Fail {
		end = execlog.Failed
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	x.host.setHeaders(ctx)
	source, size := x.responseBody(ctx, b)
	if x.work.Truncate {
		x.truncate(ctx, source, size, end)
		return
	}
	ctx.SetBodyStream(&stream{Reader: source, x: x, end: end}, int(size))
}

// truncate sends the header and the first half of the body, and closes the
// connection.
func (x *execution) truncate(ctx *fasthttp.RequestCtx, source io.Reader, size int64, end execlog.EndState) {
	ctx.Response.Header.SetContentLength(int(size))
	head := append([]byte{}, ctx.Response.Header.Header()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		defer x.finish(end)
		if _, err := c.Write(head); err == nil {
			_, _ = io.CopyN(c, source, size/2)
		}
	})
}

// finish records how the execution ended and frees the slot.
func (x *execution) finish(end execlog.EndState) {
	f := x.host.fleet
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	x.entry.Finish(end, now)
	x.host.state.Release()
}

// swapResponse stores a response and returns the one stored before, or r itself if
// there was none.
func (h *host) swapResponse(r jsonResponse) jsonResponse {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	last := h.lastResponse
	h.lastResponse = r
	if last.ID == "" && last.Order == "" {
		return r
	}
	return last
}

// sleep waits for d, or until the client closes the connection. It reports whether
// the connection was still open at the end.
func sleep(ctx *fasthttp.RequestCtx, d time.Duration) bool {
	c, ok := ctx.Conn().(*tcp.Conn)
	if !ok {
		panic("backend: connection does not come from a tcp.Listener")
	}
	closed, stop := c.WatchClose()
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

// discardBody reads the rest of the body, up to maxDiscarded bytes. Otherwise the
// connection would be reset while the client still sends, and the response might be
// lost.
func discardBody(ctx *fasthttp.RequestCtx) {
	if r := ctx.RequestBodyStream(); r != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDiscardBytes))
	}
}

// timeout returns the client's timeout from the request header, if there is one.
func (f *Fleet) timeout(ctx *fasthttp.RequestCtx) (time.Duration, bool) {
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(f.dialect.Deadline)), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// closeUnanswered closes the connection without a response.
func closeUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// holdUnanswered keeps the connection open without a response until the client closes
// it.
func holdUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
}

package upstream

import (
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Failures of an exchange. Together with whether bytes left they tell the
// caller what became of the request.
const (
	None      Failure = ""
	Dial      Failure = "dial"      // no connection could be opened
	Silent    Failure = "silent"    // nothing was answered before the deadline
	Cut       Failure = "cut"       // the connection ended before the answer was whole
	Malformed Failure = "malformed" // the answer is not HTTP, or can't be delimited
	Crossed   Failure = "crossed"   // the answer belongs to another request
	Aborted   Failure = "aborted"   // Abort was called
	Body      Failure = "body"      // the request's own body could not be read
	Declined  Failure = "declined"  // Ready said no

	// stopped is a request whose rest was not written, as it was answered.
	stopped Failure = "stopped"
)

const (
	// salvage is how long an exchange whose request could not be written
	// waits for an answer that was sent before the connection broke.
	salvage = 50 * time.Millisecond

	// idHeader carries the request's id in both directions.
	idHeader = "Request-Id"

	// unframed is the library's length of an answer that ends with its
	// connection.
	unframed = -2

	// longBody is the size of a request's body in bytes above which the
	// answer is read while the body is written.
	longBody = 8 << 10
)

type (
	// Failure tells what went wrong in an exchange.
	Failure string

	// Call is one request to one address.
	Call struct {
		Address netip.AddrPort
		// Proved asks for a connection that is new or was just proved alive,
		// for requests that must not be executed twice.
		Proved bool
		// Deadline bounds the exchange up to the last byte of the answer.
		Deadline time.Time
		// Progress bounds each wait for a part of a body.
		Progress time.Duration
		// Body is the request's body if it is not held by the request
		// itself, and Size its length in bytes, or -1 if that is unknown.
		Body io.Reader
		Size int
		// Ready, if set, is asked when the connection stands and before the
		// first byte is written. If it says no, nothing is sent.
		Ready func() bool
	}

	// Exchange is one request and its answer. It is used once.
	Exchange struct {
		pool *Pool
		call Call

		mu      sync.Mutex
		conn    *conn
		aborted bool
		// stopped is set when the rest of the request is not wanted, expired
		// when the exchange has to end.
		stopped bool
		expired bool
	}

	// Outcome tells how far an exchange got.
	Outcome struct {
		Failure Failure
		// Sent is false only if not one byte of the request can have left.
		Sent bool
		// Err is the cause, for logs.
		Err error
	}

	// bodyReader remembers why the request's body could not be read, which
	// says nothing about the connection that it was written to.
	bodyReader struct {
		io.Reader
		err error
	}
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Start prepares an exchange. Nothing is sent before Do.
func (p *Pool) Start(call Call) *Exchange { return &Exchange{pool: p, call: call} }

// Abort breaks the exchange off from another goroutine: its connection is
// closed, which tells the other side that nobody waits for the answer.
func (e *Exchange) Abort() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.aborted = true
	if e.conn != nil {
		e.conn.Close()
	}
}

// Expire moves the exchange's deadline to now, from another goroutine.
func (e *Exchange) Expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expired = true
	if e.conn != nil {
		e.conn.SetDeadline(past)
	}
}

// deadline returns when the exchange has to end.
func (e *Exchange) deadline() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.expired {
		return past
	}
	return e.call.Deadline
}

// attach makes the connection known to Abort and Expire.
func (e *Exchange) attach(c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = c
	return !e.aborted
}

func (e *Exchange) isAborted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.aborted
}

// Do writes req and reads the answer's header into resp. If the outcome has no
// failure, resp's body is a stream that must be read to its end or closed; it
// fails with io.ErrUnexpectedEOF rather than end early. Closing it before its
// end closes the connection.
func (e *Exchange) Do(req *fasthttp.Request, resp *fasthttp.Response) Outcome {
	c, err := e.pool.get(e.call.Address, e.call.Proved, e.call.Deadline)
	if err != nil {
		return Outcome{Failure: Dial, Err: err}
	}
	if !e.attach(c) {
		c.Close()
		return Outcome{Failure: Aborted}
	}
	if e.call.Ready != nil && !e.call.Ready() {
		e.release(c, true)
		return Outcome{Failure: Declined}
	}
	// The answer is read into a response of its own, because the stream that
	// fasthttp attaches to a response can't be wrapped in place.
	raw := fasthttp.AcquireResponse()
	var out Outcome
	if e.call.Body == nil && len(req.Body()) > longBody {
		out = e.overlap(c, req, raw)
	} else {
		out = e.inTurn(c, req, raw)
	}
	if out.Failure != None {
		c.Close()
		fasthttp.ReleaseResponse(raw)
		return out
	}
	e.stream(c, req, raw, resp)
	return out
}

// inTurn writes the request and then reads the answer.
func (e *Exchange) inTurn(c *conn, req *fasthttp.Request, raw *fasthttp.Response) Outcome {
	out := e.write(c, req)
	if out.Failure == None {
		return e.read(c, req, raw)
	}
	if out.Failure == Cut && e.salvage(c, req, raw) {
		return Outcome{Sent: true}
	}
	return out
}

// overlap reads the answer while a long request is still being written, since a
// backend server may answer before it has read the body. The rest of the body
// is then not sent: its connection is closed, because whatever else was sent
// there would be taken for that rest.
func (e *Exchange) overlap(c *conn, req *fasthttp.Request, raw *fasthttp.Response) Outcome {
	written := make(chan Outcome, 1)
	go func() { written <- e.write(c, req) }()
	out := e.read(c, req, raw)
	select {
	case w := <-written:
		return overlapped(out, w, raw)
	default:
	}
	// The writer is stopped before the answer is passed on, as the request
	// belongs to the caller again then.
	e.stop(c)
	return overlapped(out, <-written, raw)
}

// overlapped joins the outcomes of reading and writing. An answer counts even
// if the request could not be written, but its connection is not kept.
func overlapped(read, wrote Outcome, raw *fasthttp.Response) Outcome {
	if wrote.Failure == None {
		return read
	}
	raw.SetConnectionClose()
	if read.Failure != None {
		if wrote.Failure != stopped {
			return wrote
		}
		read.Sent = wrote.Sent
	}
	return read
}

// stop ends the writing of the request.
func (e *Exchange) stop(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	c.SetWriteDeadline(past)
}

func (e *Exchange) isStopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

func (e *Exchange) write(c *conn, req *fasthttp.Request) Outcome {
	var body *bodyReader
	if e.call.Body != nil {
		body = &bodyReader{Reader: &requestBody{r: e.call.Body, c: c, wait: e.call.Progress, end: e.call.Deadline, now: e.pool.clock.Now}}
		req.SetBodyStream(body, e.call.Size)
	}
	c.SetDeadline(e.deadline())
	err := req.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	switch {
	case err == nil:
		return Outcome{Sent: true}
	case e.isAborted():
		return Outcome{Failure: Aborted, Sent: c.wrote, Err: err}
	case e.isStopped():
		return Outcome{Failure: stopped, Sent: c.wrote, Err: err}
	case body != nil && body.err != nil && c.writeErr == nil:
		return Outcome{Failure: Body, Sent: c.wrote, Err: body.err}
	case os.IsTimeout(err):
		e.pool.silent(c)
		return Outcome{Failure: Silent, Sent: c.wrote, Err: err}
	}
	return Outcome{Failure: Cut, Sent: c.wrote, Err: err}
}

// salvage reads an answer from a connection that could not take the whole
// request. A server that refuses an upload answers without reading it.
func (e *Exchange) salvage(c *conn, req *fasthttp.Request, resp *fasthttp.Response) bool {
	e.call.Deadline = e.pool.clock.Now().Add(salvage)
	out := e.read(c, req, resp)
	resp.SetConnectionClose()
	return out.Failure == None
}

// read reads the header of the request's answer. Answers to other requests that
// come before it are dropped, as many as the pool's options allow.
func (e *Exchange) read(c *conn, req *fasthttp.Request, resp *fasthttp.Response) Outcome {
	for strays := 0; ; strays++ {
		out := e.readOne(c, req, resp)
		if out.Failure != Crossed || strays >= e.pool.opt.Strays || !skip(resp) {
			return out
		}
	}
}

// skip reads the rest of an answer that belongs to another request.
func skip(resp *fasthttp.Response) bool {
	if resp.Header.ContentLength() == unframed || resp.ConnectionClose() {
		return false
	}
	if s := resp.BodyStream(); s != nil {
		if _, err := io.Copy(io.Discard, s); err != nil {
			return false
		}
	}
	resp.Reset()
	return true
}

func (e *Exchange) readOne(c *conn, req *fasthttp.Request, resp *fasthttp.Response) Outcome {
	c.SetReadDeadline(e.deadline())
	resp.StreamBody = true
	resp.SkipBody = req.Header.IsHead()
	err := resp.ReadLimitBody(c.r, 0)
	switch {
	case err == nil:
	case e.isAborted():
		return Outcome{Failure: Aborted, Sent: true, Err: err}
	case os.IsTimeout(c.readErr):
		e.pool.silent(c)
		return Outcome{Failure: Silent, Sent: true, Err: err}
	case c.readErr != nil:
		return Outcome{Failure: Cut, Sent: true, Err: err}
	default:
		return Outcome{Failure: Malformed, Sent: true, Err: err}
	}
	if id := resp.Header.Peek(e.pool.opt.ID); len(id) > 0 && string(id) != string(req.Header.Peek(e.pool.opt.ID)) {
		return Outcome{Failure: Crossed, Sent: true, Err: errors.Newf("answer for request %q", id)}
	}
	c.idle = keepFor(resp)
	if !e.pool.opt.Unframed && !resp.SkipBody && resp.Header.ContentLength() == unframed && bodyAllowed(resp.StatusCode()) {
		return Outcome{Failure: Malformed, Sent: true, Err: errors.New("answer has no length")}
	}
	return Outcome{Sent: true}
}

// keepFor returns how long the other side keeps an idle connection, or zero if
// it does not say.
func keepFor(resp *fasthttp.Response) time.Duration {
	for part := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		if n, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(n); err == nil && s > 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return 0
}

// bodyAllowed reports whether an answer with the status has a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// stream moves the answer from raw to resp and hands the connection over to
// resp's body.
func (e *Exchange) stream(c *conn, req *fasthttp.Request, raw, resp *fasthttp.Response) {
	keep := !raw.ConnectionClose() && !req.ConnectionClose()
	raw.Header.CopyTo(&resp.Header)
	size := raw.Header.ContentLength()
	if raw.SkipBody || raw.BodyStream() == nil || !bodyAllowed(raw.StatusCode()) {
		resp.SkipBody = raw.SkipBody
		fasthttp.ReleaseResponse(raw)
		e.release(c, keep)
		return
	}
	body := &answerBody{
		e: e, c: c, raw: raw, r: raw.BodyStream(), wait: e.call.Progress, end: e.call.Deadline,
		now: e.pool.clock.Now, keep: keep, size: size,
	}
	if size == unframed {
		// The library would take a broken connection for the body's end.
		body.r, body.keep, size = &untilEOF{c}, false, -1
		body.size = size
	}
	resp.SetBodyStream(body, size)
}

// release gives the connection back, or closes it.
func (e *Exchange) release(c *conn, keep bool) {
	e.mu.Lock()
	e.conn = nil
	keep = keep && !e.aborted
	e.mu.Unlock()
	if !keep {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	e.pool.put(c)
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

package ingress

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/quarantine"
	"sassafrastray/internal/traffic/relay"
	"sassafrastray/internal/traffic/upload"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// maxBufferedBody is the size in bytes of the largest body that is buffered
	// in memory, so that it can be sent again.
	maxBufferedBody = 1 << 20

	// defaultTimeout bounds a request whose caller sets no deadline.
	defaultTimeout = 30 * time.Second

	// progressTimeout bounds each wait for the next part of a body.
	progressTimeout = 10 * time.Second

	// busyRetryAfter is the Retry-After of a request for which no connection is left.
	busyRetryAfter = time.Second
)

// request is a caller's request in progress.
type request struct {
	ctx *fasthttp.RequestCtx
	// header is the header section of the request. Unlike that of ctx, it never gets
	// the fields of a trailer, which the HTTP server adds there after the body.
	header   *fasthttp.RequestHeader
	conn     net.Conn
	id       string
	route    *sassafrastray.Route
	service  sassafrastray.ServiceName
	team     sassafrastray.TeamName
	key      []byte
	regions  [2][]sassafrastray.RegionName // allowed by the route and by the team
	priority int
	object   string
	config   int64 // number of the configuration
	arrived  time.Time
	deadline time.Time
	verdict  ratelimit.Verdict
	// delay is how long the request waited for its token.
	delay time.Duration
	// pauses is the number of pauses of the process before the request was admitted.
	pauses uint64

	// stream is the body as it comes from the connection, or nil if the HTTP server
	// holds all of it.
	stream *upload.Reader
	// body is the whole body, or its beginning if rest is set.
	body []byte
	rest io.Reader
	// held is the number of bytes of the handler's memory that hold the body.
	held int
	// fingerprint identifies the request under other IDs, or is zero before it is
	// needed.
	fingerprint quarantine.Fingerprint
	// restUsed means that a Read of rest has started, so that the request
	// can't be sent again.
	restUsed bool

	tries int
	// sent is the number of tries that a server may have received.
	sent int
	// runs is the number of tries that a server may have run.
	runs   int
	choice placement.Choice
	// sentAt is when the first byte of the last try was sent, zero if it was not.
	sentAt time.Time
	// helper is the VM that the request was last relayed to.
	helper sassafrastray.VMName
	// relayed is set if another VM relays the request to this one.
	relayed *relay.Request

	mu       sync.Mutex
	gone     bool
	exchange *upstream.Exchange
}

// HandleDisconnect records that the caller has disconnected and aborts the current
// exchange.
func (q *request) HandleDisconnect() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gone = true
	if q.exchange != nil {
		q.exchange.Abort()
	}
}

// attach sets the exchange that HandleDisconnect aborts.
func (q *request) attach(x *upstream.Exchange) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.exchange = x
	if q.gone {
		x.Abort()
	}
}

func (q *request) isGone() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gone
}

func (q *request) routeName() sassafrastray.RouteName {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

// maxTries returns how many servers the request may be sent to, or zero if the route has
// no limit.
func (q *request) maxTries() int {
	n := q.route.MaxAttempts
	if q.relayed != nil && q.relayed.Tries > 0 && (n <= 0 || q.relayed.Tries < n) {
		n = q.relayed.Tries
	}
	return n
}

// triesLeft returns how many of them are left, at least one.
func (q *request) triesLeft() int {
	n := q.maxTries()
	if n <= 0 {
		return 0
	}
	return max(1, n-q.sent)
}

// receive creates a request from the headers that identify the request and set
// its object and deadline.
func (h *Handler) receive(ctx *fasthttp.RequestCtx) *request {
	now := h.Clock.Now()
	d := &ctx.Request.Header
	if ctx.Request.IsBodyStream() && d.ContentLength() < 0 {
		d = &fasthttp.RequestHeader{}
		ctx.Request.Header.CopyTo(d)
	}
	q := &request{
		ctx: ctx, header: d, conn: ctx.Conn(), arrived: now, id: string(d.Peek(h.Dialect.ID)),
		object: string(d.Peek(h.Dialect.Object)),
	}
	if ctx.Request.IsBodyStream() {
		q.stream = upload.New(&ctx.Request)
	}
	// A large answer before this request may have left a deadline.
	q.conn.SetWriteDeadline(time.Time{})
	limit, ok := h.Dialect.ParseDeadline(d.Peek(h.Dialect.Deadline))
	if !ok {
		limit = defaultTimeout
	}
	q.deadline = now.Add(limit)
	return q
}

// path returns the path of the request as the caller wrote it, without the query.
// For an absolute URI it returns the normalized path.
func (q *request) path() string {
	uri := string(q.header.RequestURI())
	if i := strings.IndexByte(uri, '?'); i >= 0 {
		uri = uri[:i]
	}
	if strings.Contains(uri, "://") {
		return string(q.ctx.Path())
	}
	return uri
}

// readBody buffers the request's body. Of a body larger than maxBufferedBody it
// buffers the beginning, and of one for which there is no memory nothing; the rest
// stays a stream. It refuses a body that is larger than limit, if that is set, or
// that ends early.
func (h *Handler) readBody(q *request, limit int64) *refusal {
	req := &q.ctx.Request
	size := q.header.ContentLength()
	if limit > 0 && int64(size) > limit {
		return notRun(sassafrastray.ReasonBody, "longer than allowed")
	}
	if q.stream == nil {
		q.body = req.Body()
		return nil
	}
	rest := &restBody{q: q, limit: limit, bounded: limit > 0, now: h.Clock.Now}
	held := maxBufferedBody
	if size >= 0 {
		held = min(size, maxBufferedBody)
	}
	if !h.memory.reserve(held) {
		q.rest = rest
		return nil
	}
	q.held = held
	q.conn.SetReadDeadline(q.deadline)
	b, err := readBlocks(q.stream, size, maxBufferedBody+1)
	q.conn.SetReadDeadline(time.Time{})
	if err != nil {
		return notRun(h.uploadFailure(q), "the body was cut short")
	}
	q.body = b.join()
	if len(q.body) > maxBufferedBody {
		rest.limit -= int64(len(q.body))
		q.rest = rest
	}
	return nil
}

// uploadFailure returns the reason why a body could not be read.
func (h *Handler) uploadFailure(q *request) sassafrastray.Reason {
	if h.Clock.Now().Before(q.deadline) {
		return sassafrastray.ReasonCallerGone
	}
	return sassafrastray.ReasonDeadline
}

// restBody reads the rest of a body after the part that is buffered.
type restBody struct {
	q       *request
	limit   int64
	bounded bool
	now     func() time.Time
	done    bool
}

func (b *restBody) Read(p []byte) (int, error) {
	b.q.restUsed = true
	b.q.conn.SetReadDeadline(earliest(b.now().Add(progressTimeout), b.q.deadline))
	n, err := b.q.stream.Read(p)
	b.limit -= int64(n)
	if b.bounded && b.limit < 0 {
		return 0, io.ErrUnexpectedEOF
	}
	b.done = err == io.EOF
	return n, err
}

// repeatable reports whether the body can be sent again.
func (q *request) repeatable() bool { return !q.restUsed }

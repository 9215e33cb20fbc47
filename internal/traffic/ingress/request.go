package ingress

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/limit/allotment"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// held is the size of the largest body that is held whole, so that it
	// can be sent again, in bytes.
	held = 1 << 20

	// usualTimeout bounds a request whose route and caller set no time.
	usualTimeout = 30 * time.Second

	// progress bounds each wait for a part of a body.
	progress = 10 * time.Second
)

// request is one request of a caller.
type request struct {
	ctx      *fasthttp.RequestCtx
	conn     net.Conn
	id       string
	route    *sassafrastray.Route
	service  sassafrastray.ServiceName
	team     sassafrastray.TeamName
	homes    [2][]sassafrastray.RegionName
	rank     int
	object   string
	config   int64
	arrived  time.Time
	deadline time.Time
	verdict  allotment.Verdict

	// body is the whole body, or its beginning if rest is set.
	body []byte
	rest io.Reader
	// restUsed tells that a part of rest was sent, so that the request can't
	// be sent again.
	restUsed bool

	tries  int
	choice placement.Choice

	mu      sync.Mutex
	gone    bool
	current *upstream.Exchange
}

// Hangup notes that nobody waits for the answer any more and breaks off the
// exchange under way.
func (q *request) Hangup() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gone = true
	if q.current != nil {
		q.current.Abort()
	}
}

// attach makes an exchange the one that a hang-up breaks off.
func (q *request) attach(x *upstream.Exchange) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.current = x
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

// receive reads what the request's header says.
func (h *Handler) receive(ctx *fasthttp.RequestCtx) *request {
	now := h.Clock.Now()
	d := &ctx.Request.Header
	q := &request{
		ctx: ctx, conn: ctx.Conn(), arrived: now, id: string(d.Peek(h.Dialect.ID)),
		object: string(d.Peek(h.Dialect.Object)),
	}
	limit, ok := h.Dialect.ParseDeadline(d.Peek(h.Dialect.Deadline))
	if !ok {
		limit = usualTimeout
	}
	q.deadline = now.Add(limit)
	return q
}

// path returns the path of the request as the caller wrote it.
func (q *request) path() string {
	uri := string(q.ctx.Request.Header.RequestURI())
	if i := strings.IndexByte(uri, '?'); i >= 0 {
		uri = uri[:i]
	}
	if strings.Contains(uri, "://") {
		return string(q.ctx.Path())
	}
	return uri
}

// readBody takes the request's body: whole, or up to what is held and the rest
// as a stream. It returns the refusal of a body that is too large or stops
// coming.
func (h *Handler) readBody(q *request, limit int64) *refusal {
	req := &q.ctx.Request
	size := req.Header.ContentLength()
	if limit > 0 && int64(size) > limit {
		return notRun(sassafrastray.ReasonBody, "longer than allowed")
	}
	if !req.IsBodyStream() {
		q.body = req.Body()
		return nil
	}
	stream := req.BodyStream()
	q.conn.SetReadDeadline(q.deadline)
	b, err := io.ReadAll(io.LimitReader(stream, held+1))
	q.conn.SetReadDeadline(time.Time{})
	if err != nil {
		return notRun(sassafrastray.ReasonCallerGone, "the body was cut short")
	}
	if len(b) <= held {
		q.body = b
		return nil
	}
	q.body = b
	q.rest = &restBody{q: q, r: stream, limit: limit - int64(len(b)), bounded: limit > 0, now: h.Clock.Now}
	return nil
}

// restBody reads what follows the held part of a body.
type restBody struct {
	q       *request
	r       io.Reader
	limit   int64
	bounded bool
	now     func() time.Time
	done    bool
}

func (b *restBody) Read(p []byte) (int, error) {
	b.q.restUsed = true
	b.q.conn.SetReadDeadline(b.now().Add(progress))
	n, err := b.r.Read(p)
	b.limit -= int64(n)
	if b.bounded && b.limit < 0 {
		return 0, io.ErrUnexpectedEOF
	}
	b.done = err == io.EOF
	return n, err
}

// repeatable tells whether the body can be sent again.
func (q *request) repeatable() bool { return !q.restUsed }

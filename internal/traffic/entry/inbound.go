package entry

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// replayable is the size of the largest body that is held in memory, so
	// that it can be sent again, in bytes.
	replayable = 8 << 10

	// progress bounds each wait for a part of a body.
	progress = 15 * time.Second
)

type (
	// inbound is a request that a VM works on, from a caller or from the VM
	// that accepted it from the caller.
	inbound struct {
		ctx      *fasthttp.RequestCtx
		conn     net.Conn
		id       string
		service  *sassafrastray.Service
		route    *sassafrastray.Route
		team     sassafrastray.TeamName
		weight   int
		digest   sassafrastray.KeyDigest
		version  sassafrastray.VersionName
		path     string
		config   int64 // number of the configuration that admitted it
		arrived  time.Time
		deadline time.Time
		// patience is the longest wait in a keeper's queue; zero means any.
		patience time.Duration
		avoid    []sassafrastray.BackendName
		// origin is the failure domain of the VM that forwarded the request,
		// or empty.
		origin sassafrastray.DomainName

		// stamp is the token of the team's quota that the request holds, and
		// taken when it got it; the zero time means that it holds none.
		stamp quota.Stamp
		taken time.Time

		small []byte
		large *requestBody
		// reported is set for a hop's answer that says which backend server
		// was tried.
		tried sassafrastray.BackendName

		mu      sync.Mutex
		gone    bool
		leave   chan struct{}
		current *upstream.Exchange
	}
)

// Hangup notes that nobody waits for the answer any more and breaks off the
// exchange under way.
func (in *inbound) Hangup() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.gone {
		return
	}
	in.gone = true
	close(in.leave)
	if in.current != nil {
		in.current.Abort()
	}
}

// attach makes an exchange the one that a hang-up breaks off.
func (in *inbound) attach(x *upstream.Exchange) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.current = x
	if in.gone {
		x.Abort()
	}
}

func (in *inbound) isGone() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.gone
}

// setBody takes the request's body: small ones whole, others as a stream.
func (in *inbound) setBody(now func() time.Time) *refusal {
	req := &in.ctx.Request
	size := req.Header.ContentLength()
	limit := in.route.BodyLimit
	if limit > 0 && int64(size) > limit {
		return notRun(sassafrastray.ReasonBody, "")
	}
	switch {
	case size == 0 || size == -2 || !req.IsBodyStream():
		in.small = req.Body()
		return nil
	case size > 0 && size <= replayable:
		b := make([]byte, size)
		in.conn.SetReadDeadline(now().Add(progress))
		if _, err := io.ReadFull(req.BodyStream(), b); err != nil {
			return notRun(sassafrastray.ReasonCallerGone, "body cut short")
		}
		in.conn.SetReadDeadline(time.Time{})
		in.small = b
		return nil
	}
	in.large = &requestBody{r: req.BodyStream(), conn: in.conn, limit: limit, progress: progress, now: now}
	return nil
}

// call fills in the body of an exchange.
func (in *inbound) call(c *upstream.Call, req *fasthttp.Request) {
	switch {
	case in.large != nil:
		c.Body, c.Size = in.large, in.ctx.Request.Header.ContentLength()
	case len(in.small) > 0:
		req.SetBodyRaw(in.small)
	}
}

// repeatable reports whether the body can be sent again.
func (in *inbound) repeatable() bool { return in.large == nil || !in.large.started }

// watchable reports whether the caller's connection has nothing to read while
// the caller waits, so that its closing can be seen.
func (in *inbound) watchable() bool { return in.large == nil }

// left returns the milliseconds until the deadline, at least 1.
func (in *inbound) left(now time.Time) int64 {
	return max(1, in.deadline.Sub(now).Milliseconds())
}

// cleanPath returns the path that routes are matched against.
func cleanPath(ctx *fasthttp.RequestCtx) string { return string(ctx.Path()) }

// cleanHost returns the host of a request without its port, in lower case.
func cleanHost(h []byte) string {
	if host, _, err := net.SplitHostPort(string(h)); err == nil {
		h = []byte(host)
	}
	return string(bytes.ToLower(h))
}

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
	"sassafrastray/internal/traffic/upload"
	"sassafrastray/internal/traffic/upstream"
)

const (
	// maxReplayableBody is the size in bytes of the largest body that is
	// buffered in memory, so that it can be sent again.
	maxReplayableBody = 8 << 10

	// progressTimeout bounds each wait for the next part of a body.
	progressTimeout = 15 * time.Second
)

type (
	// inbound is a request in progress, received from a caller or from the VM
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
		config   int64 // number of the configuration of the latest try
		arrived  time.Time
		deadline time.Time
		// maxWait is the longest expected wait that the request accepts in a
		// scheduler's queue; zero means any that its deadline allows.
		maxWait time.Duration
		exclude []sassafrastray.BackendName
		// origin is the failure domain of the VM that forwarded the request,
		// or empty.
		origin sassafrastray.DomainName

		// tokenStamp identifies the token of the team's quota that the request
		// holds, and tokenTaken is when it was taken, or zero if the request
		// holds none. On a public route, tokenTaken is set without a token.
		tokenStamp quota.Stamp
		tokenTaken time.Time

		bodyBytes  []byte
		bodyStream *requestBody
		// tried is the backend server of the latest try. If the request was
		// forwarded, it is the one that the other VM reported.
		tried sassafrastray.BackendName

		mu           sync.Mutex
		gone         bool
		disconnected chan struct{}
		exchange     *upstream.Exchange
	}
)

// HandleDisconnect records that the caller has disconnected and aborts the current
// exchange.
func (in *inbound) HandleDisconnect() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.gone {
		return
	}
	in.gone = true
	close(in.disconnected)
	if in.exchange != nil {
		in.exchange.Abort()
	}
}

// attach sets the exchange that HandleDisconnect aborts.
func (in *inbound) attach(x *upstream.Exchange) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.exchange = x
	if in.gone {
		x.Abort()
	}
}

func (in *inbound) isGone() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.gone
}

// setBody buffers a small request body in memory and keeps a larger one as a
// stream.
func (in *inbound) setBody(now func() time.Time) *refusal {
	req := &in.ctx.Request
	size := req.Header.ContentLength()
	limit := in.route.BodyLimit
	if limit > 0 && int64(size) > limit {
		return notRun(sassafrastray.ReasonBody, "")
	}
	switch {
	case size == 0 || size == -2 || !req.IsBodyStream():
		in.bodyBytes = req.Body()
		return nil
	case size > 0 && size <= maxReplayableBody:
		b := make([]byte, size)
		in.conn.SetReadDeadline(now().Add(progressTimeout))
		if _, err := io.ReadFull(upload.New(req), b); err != nil {
			return notRun(sassafrastray.ReasonCallerGone, "body cut short")
		}
		in.conn.SetReadDeadline(time.Time{})
		in.bodyBytes = b
		return nil
	}
	in.bodyStream = &requestBody{r: upload.New(req), conn: in.conn, limit: limit, progress: progressTimeout, deadline: in.deadline, now: now}
	return nil
}

// fillBody sets the body of the request that is sent.
func (in *inbound) fillBody(c *upstream.Call, req *fasthttp.Request) {
	switch {
	case in.bodyStream != nil:
		c.Body, c.Size = in.bodyStream, in.ctx.Request.Header.ContentLength()
	case len(in.bodyBytes) > 0:
		req.SetBodyRaw(in.bodyBytes)
	}
}

// repeatable reports whether the body can be sent again.
func (in *inbound) repeatable() bool { return in.bodyStream == nil || !in.bodyStream.started }

// watchable reports whether a disconnect of the caller can be detected: it can if
// no body remains to be read from the connection.
func (in *inbound) watchable() bool { return in.bodyStream == nil }

// remainingMillis returns the time until the deadline in milliseconds, at least 1.
func (in *inbound) remainingMillis(now time.Time) int64 {
	return max(1, in.deadline.Sub(now).Milliseconds())
}

// cleanPath returns the normalized path, which routes are matched against.
func cleanPath(ctx *fasthttp.RequestCtx) string { return string(ctx.Path()) }

// cleanHost returns the host of a request without its port, in lower case.
func cleanHost(h []byte) string {
	if host, _, err := net.SplitHostPort(string(h)); err == nil {
		h = []byte(host)
	}
	return string(bytes.ToLower(h))
}

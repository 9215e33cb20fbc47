package upstream

import (
	"bytes"
	"io"
	"math/rand/v2"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray/internal/traffic/head"
)

const (
	// IDHeader is the default of Options.IDHeader.
	IDHeader = "Request-Id"

	// maxDiscardedBytes and maxDiscardTime bound the reading of a response that
	// belongs to another request. The head of a response that was cut off would
	// otherwise claim the bytes of the one that is waited for.
	maxDiscardedBytes = 256 << 10
	maxDiscardTime    = 200 * time.Millisecond
)

var (
	// statusLine matches the beginning of a response, and httpVersion is a part of
	// it that is found faster.
	statusLine  = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)
	httpVersion = []byte("HTTP/1.")
)

// NewID returns an ID for a request that has none of its caller.
func NewID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// EchoID sets the ID of the request in the response, as every server of a Pool's
// requests has to do.
func EchoID(ctx *fasthttp.RequestCtx) {
	if id := ctx.Request.Header.Peek(IDHeader); len(id) > 0 {
		ctx.Response.Header.SetBytesV(IDHeader, id)
	}
}

// checkOwner returns an error unless the response belongs to the request with the ID.
// It does if it has this ID and no other. Without an ID only the first response on a
// connection does: no other request was sent there. The connection then closes after
// it, since a late copy of such a response could not be told from the next one.
func checkOwner(c *conn, resp *fasthttp.Response, id []byte, header string) error {
	ids := resp.Header.PeekAll(header)
	switch {
	case len(ids) == 0 && !c.answered:
		resp.SetConnectionClose()
		return nil
	case len(ids) != 1 || len(id) == 0 || !bytes.Equal(ids[0], id):
		return errors.Newf("response has the IDs %q", ids)
	}
	return nil
}

// containsHead reports whether the head of the response contains the status line of
// another one. The head of a late response that was cut off ends where the next
// response begins, and the parser takes both for one.
func containsHead(resp *fasthttp.Response) bool {
	if statusLine.Match(resp.Header.StatusMessage()) {
		return true
	}
	for _, value := range resp.Header.All() {
		if bytes.Contains(value, httpVersion) && statusLine.Match(value) {
			return true
		}
	}
	return false
}

// discardResponse reads the rest of a response that belongs to another request. It
// returns false if the connection can't be used afterwards.
func (e *Exchange) discardResponse(c *conn, resp *fasthttp.Response) bool {
	size, hasBody := resp.Header.ContentLength(), head.HasBody(resp.StatusCode())
	if hasBody && (size == unframedLength || size > maxDiscardedBytes) || resp.ConnectionClose() {
		return false
	}
	if s := resp.BodyStream(); s != nil && hasBody {
		c.SetReadDeadline(earlier(e.pool.clock.Now().Add(maxDiscardTime), e.deadline()))
		n, err := io.CopyN(io.Discard, s, maxDiscardedBytes+1)
		if err != io.EOF || n > maxDiscardedBytes {
			// Closing the stream would wait for the rest of the body.
			c.Close()
			return false
		}
	}
	resp.Reset()
	return true
}

// Discard ends a response whose body is not wanted. A short rest is read, so that the
// connection can be reused.
func Discard(resp *fasthttp.Response) {
	b, ok := resp.BodyStream().(*responseBody)
	if !ok {
		return
	}
	b.deadline = earlier(b.now().Add(maxDiscardTime), b.deadline)
	// The error is ignored: a body that can't be read closes its connection.
	_, _ = io.CopyN(io.Discard, b, maxDiscardedBytes)
	_ = b.Close()
}

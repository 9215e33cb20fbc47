package ingress

import (
	"io"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/traffic/hop"
	"sassafrastray/internal/traffic/relay"
	"sassafrastray/internal/traffic/upstream"
)

// readResponse buffers the response body, or the beginning of a large body of
// unknown length. It refuses the request if the body can't be read to its end. A body
// for which there is no memory is streamed.
func (h *Handler) readResponse(q *request, a *attempt) *refusal {
	stream, ok := a.resp.BodyStream().(io.ReadCloser)
	if !ok {
		return nil
	}
	size := a.resp.Header.ContentLength()
	if size < 0 {
		size = maxBufferedResponse
	}
	if size > maxBufferedResponse || size > smallResponse && !h.memory.reserve(size) {
		a.stream = stream
		return nil
	}
	if size > smallResponse {
		a.held = size
	}
	body, err := readBlocks(stream, a.resp.Header.ContentLength(), maxBufferedResponse)
	if err == nil && body.size() == maxBufferedResponse && a.resp.Header.ContentLength() < 0 {
		a.body, a.stream = body, stream
		return nil
	}
	if cerr := stream.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		h.discard(a)
		a.out.Failure = upstream.Cut
		reason := sassafrastray.ReasonBadResponse
		if q.isGone() {
			reason, a.out.Failure = sassafrastray.ReasonCallerGone, upstream.Aborted
		} else if !h.Clock.Now().Before(q.deadline) {
			reason, a.out.Failure = sassafrastray.ReasonDeadline, upstream.Silent
		}
		return &refusal{reason: reason, result: sassafrastray.ResultUnknown, detail: "the answer was not whole"}
	}
	a.body = body
	if unused := a.held - body.size(); a.held > 0 && unused > 0 {
		h.memory.release(unused)
		a.held = body.size()
	}
	return nil
}

// discard ends a response that is not used.
func (h *Handler) discard(a *attempt) {
	upstream.Discard(a.resp)
	h.releaseMemory(a)
}

func (h *Handler) releaseMemory(a *attempt) {
	h.memory.release(a.held)
	a.held = 0
}

// recordSize records the sizes of a request and its answer, where they are known.
func (h *Handler) recordSize(q *request, a *attempt) {
	bytes := a.body.size()
	if a.stream != nil {
		bytes = a.resp.Header.ContentLength()
	}
	h.sizes.record(q.route.Name, max(0, bytes)+max(0, q.header.ContentLength()))
}

// words returns the fields in which a server speaks of itself to this VM.
func (h *Handler) words(status int) []string {
	words := []string{h.Dialect.Load, h.Dialect.Leaving}
	if status == fasthttp.StatusServiceUnavailable {
		// The pause is between the server and this VM; other servers may be free.
		words = append(words, h.Dialect.Pause)
	}
	return words
}

// deliver passes a response on to the caller.
func (h *Handler) deliver(q *request, a *attempt) {
	h.recordSize(q, a)
	out := &q.ctx.Response
	closing := out.ConnectionClose()
	a.resp.Header.CopyTo(&out.Header)
	if q.relayed != nil {
		hop.RemoveHeaders(&out.Header)
		relay.Result{Backend: a.choice.Server.Name}.Write(&out.Header)
	} else {
		hop.RemoveHeaders(&out.Header, h.words(a.resp.StatusCode())...)
	}
	h.Metrics.Bytes.WithLabelValues(string(q.service)).Add(float64(a.body.size()))
	body := &callerBody{conn: q.conn, clock: h.Clock, deadline: q.deadline}
	size := a.resp.Header.ContentLength()
	switch {
	case a.stream != nil:
		body.Reader, body.pace = a.stream, h.pace
		if len(a.body) > 0 {
			body.Reader = io.MultiReader(a.body.reader(), a.stream)
		}
		body.end = func() error {
			h.releaseMemory(a)
			return a.stream.Close()
		}
		out.SetBodyStream(body, size)
	case a.held > 0:
		body.Reader = a.body.reader()
		body.end = func() error {
			h.releaseMemory(a)
			return nil
		}
		out.SetBodyStream(body, a.body.size())
	case a.resp.SkipBody:
		out.SkipBody = true
	default:
		out.SetBodyRaw(a.body.join())
	}
	if a.stream == nil {
		fasthttp.ReleaseResponse(a.resp)
	}
	if closing || q.rest != nil {
		q.ctx.SetConnectionClose()
	}
}

package entry

import (
	"io"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/traffic/upstream"
)

// deliver passes a response on to the caller or to the VM that forwarded the
// request. The body is streamed after the handler has returned. When the body has
// ended, done is called once, with whether it was complete.
func (h *Handler) deliver(in *inbound, resp *fasthttp.Response, done func(complete bool)) {
	out := &in.ctx.Response
	resp.Header.CopyTo(&out.Header)
	cleanResponseHeader(&out.Header)
	out.Header.Set(resultHeader, string(sassafrastray.ResultRan))
	out.Header.Set(idHeader, in.id)
	if in.origin != "" && in.tried != "" {
		out.Header.Set(backendHeader, string(in.tried))
	}
	if h.snap.Load().State == sassafrastray.VMLeaving || in.bodyStream != nil && !in.bodyStream.done {
		in.ctx.SetConnectionClose()
	}
	end := func(complete bool, n int64) {
		done(complete)
		fasthttp.ReleaseResponse(resp)
		h.Metrics.recordEnd(in, sassafrastray.ReasonOK, h.Clock.Now())
		h.Metrics.Bytes.WithLabelValues(string(in.service.Name)).Add(float64(n))
		h.finish(in)
	}
	stream, ok := resp.BodyStream().(io.ReadCloser)
	if !ok {
		out.SkipBody = resp.SkipBody
		end(true, 0)
		return
	}
	size := resp.Header.ContentLength()
	out.SetBodyStream(&responseBody{
		r: stream, conn: in.conn, size: int64(size), progress: progressTimeout, now: h.Clock.Now, pace: h.responsePacer(in), onEnd: end,
	}, size)
}

// discardResponse ends and releases a response whose body is not wanted.
func discardResponse(resp *fasthttp.Response) {
	upstream.Discard(resp)
	fasthttp.ReleaseResponse(resp)
}

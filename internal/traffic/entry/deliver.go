package entry

import (
	"io"

	"github.com/valyala/fasthttp"

	"sassafrastray"
)

// deliver passes an answer on to whoever waits for it. The answer's body is
// streamed after the handler has returned; done is called once when it has
// ended, with whether it was whole.
func (h *Handler) deliver(in *inbound, resp *fasthttp.Response, done func(whole bool)) {
	out := &in.ctx.Response
	resp.Header.CopyTo(&out.Header)
	cleanAnswer(&out.Header)
	out.Header.Set(resultHeader, string(sassafrastray.ResultRan))
	out.Header.Set(idHeader, in.id)
	if in.origin != "" && in.tried != "" {
		out.Header.Set(backendHeader, string(in.tried))
	}
	if h.snap.Load().State == sassafrastray.VMLeaving || in.large != nil && !in.large.done {
		in.ctx.SetConnectionClose()
	}
	end := func(whole bool, n int64) {
		done(whole)
		fasthttp.ReleaseResponse(resp)
		h.Metrics.ended(in, sassafrastray.ReasonOK, h.Clock.Now())
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
	out.SetBodyStream(&answerBody{
		r: stream, conn: in.conn, size: int64(size), progress: progress, now: h.Clock.Now, pace: h.pace(in), end: end,
	}, size)
}

// drop reads and forgets the rest of an answer, so that its connection can be
// used again.
func drop(resp *fasthttp.Response) {
	if s := resp.BodyStream(); s != nil {
		// A body that can't be read closes the connection by itself.
		_, _ = io.Copy(io.Discard, io.LimitReader(s, replayable))
	}
	fasthttp.ReleaseResponse(resp)
}

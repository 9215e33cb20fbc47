// Package upload reads the bodies of requests as they arrive.
package upload

import (
	"io"

	"github.com/valyala/fasthttp"
)

// Reader reads the body of one request from its connection. The stream of the HTTP
// server takes the end of the connection for that of a body of known length; a Reader
// returns io.ErrUnexpectedEOF there. An error lasts.
type Reader struct {
	stream io.Reader
	// left is the number of bytes that are still to come, or negative if the length
	// was not announced.
	left int
	err  error
}

// New returns a Reader of the request's body, which must be a stream that nothing has
// read from. The length is that of the request's header at this time.
func New(req *fasthttp.Request) *Reader {
	return &Reader{stream: req.BodyStream(), left: req.Header.ContentLength()}
}

func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.stream.Read(p)
	if r.left >= 0 {
		r.left -= n
	}
	if err == io.EOF && r.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	r.err = err
	return n, err
}

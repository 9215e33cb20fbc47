package upstream

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

type (
	// requestBody extends the write deadline of the connection whenever the
	// source yields bytes, so that a long upload continues and a stalled
	// connection ends. The source bounds its own reads.
	requestBody struct {
		r               io.Reader
		c               *conn
		progressTimeout time.Duration
		deadline        time.Time
		now             func() time.Time
	}

	// untilEOF reads from a connection until the other side closes it cleanly, after it
	// has received the whole request.
	untilEOF struct {
		c *conn
		// partial means that the request was not written to its end.
		partial bool
		// err is the first error.
		err error
	}

	// responseBody is the body of a response. It returns its connection to the
	// pool once the whole body has been read, and closes it otherwise.
	responseBody struct {
		e               *Exchange
		c               *conn
		raw             *fasthttp.Response
		r               io.Reader
		progressTimeout time.Duration
		deadline        time.Time
		now             func() time.Time
		// keep says whether the connection may be reused after the body.
		keep bool
		// size is the length of the body in bytes, or -1 if it is not known in
		// advance.
		size int
		// read is the number of bytes read so far.
		read int
		done bool
		// expiry closes the connection at the deadline, also if nothing reads the
		// body then because the caller does not take what was read before.
		expiry *time.Timer
	}
)

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.progressTimeout > 0 {
		b.c.SetWriteDeadline(earlier(b.now().Add(b.progressTimeout), b.deadline))
	}
	return n, err
}

// Read reads from the connection through its buffer. It bypasses the HTTP parser,
// which would take a broken connection for the end of the body. A reset looks like a clean
// end if a write of the request has already failed with it, or if it came after the other
// side's FIN. Both happen only while the other side has not received the whole request.
func (u *untilEOF) Read(p []byte) (int, error) {
	if u.err != nil {
		return 0, u.err
	}
	n, err := u.c.r.Read(p)
	if err == io.EOF && (u.partial || unacknowledged(u.c.Conn)) {
		err = io.ErrUnexpectedEOF
	}
	u.err = err
	return n, err
}

// Read returns io.ErrUnexpectedEOF if the connection ended before the body; the
// response stream of fasthttp ensures that.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.progressTimeout > 0 {
		b.c.SetReadDeadline(earlier(b.now().Add(b.progressTimeout), b.deadline))
	}
	n, err := b.r.Read(p)
	b.read += n
	if err == io.EOF {
		b.finish(b.keep)
	}
	return n, err
}

// Close discards the rest of the body.
func (b *responseBody) Close() error {
	// A body that was read up to its length is complete even if the reader did
	// not wait for io.EOF.
	b.finish(b.keep && b.size == b.read)
	return nil
}

// closeAtDeadline closes the connection at the deadline unless the body has ended by
// then.
func (b *responseBody) closeAtDeadline() {
	b.expiry = time.AfterFunc(b.deadline.Sub(b.now()), func() { b.c.Close() })
}

func (b *responseBody) finish(keep bool) {
	if b.done {
		return
	}
	b.done = true
	if b.expiry != nil && !b.expiry.Stop() {
		keep = false
	}
	if !keep {
		// The connection is closed first, since the release of the stream would
		// otherwise wait for the rest of the body.
		b.c.Close()
	}
	b.e.release(b.c, keep)
	fasthttp.ReleaseResponse(b.raw)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

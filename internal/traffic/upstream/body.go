package upstream

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

type (
	// requestBody moves the connection's write deadline forward as long as
	// the source gives bytes, so that a long upload goes on and a stalled
	// connection ends. Waiting for the source has a bound of its own there.
	requestBody struct {
		r    io.Reader
		c    *conn
		wait time.Duration
		end  time.Time
		now  func() time.Time
	}

	// untilEOF reads a connection up to its orderly end.
	untilEOF struct{ c *conn }

	// answerBody is the body of an answer. It returns its connection to the
	// pool once the whole body was read, and closes it otherwise.
	answerBody struct {
		e    *Exchange
		c    *conn
		raw  *fasthttp.Response
		r    io.Reader
		wait time.Duration
		end  time.Time
		now  func() time.Time
		keep bool
		// size is the body's length in bytes, or -1 for a chunked body.
		size int
		read int
		done bool
	}
)

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.wait > 0 {
		b.c.SetWriteDeadline(earlier(b.now().Add(b.wait), b.end))
	}
	return n, err
}

// Read returns what the connection's buffer and the connection hold.
func (u *untilEOF) Read(p []byte) (int, error) { return u.c.r.Read(p) }

// Read returns io.ErrUnexpectedEOF if the connection ended before the body;
// fasthttp's stream of an answer sees to that.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.wait > 0 {
		b.c.SetReadDeadline(earlier(b.now().Add(b.wait), b.end))
	}
	n, err := b.r.Read(p)
	b.read += n
	if err == io.EOF {
		b.finish(b.keep)
	}
	return n, err
}

// Close gives up the rest of the body.
func (b *answerBody) Close() error {
	// A body that was read up to its length is whole even if nobody asked
	// for the end after it.
	b.finish(b.keep && b.size == b.read)
	return nil
}

func (b *answerBody) finish(keep bool) {
	if b.done {
		return
	}
	b.done = true
	if !keep {
		// Closing the connection first keeps the release of the stream from
		// waiting for bytes that nobody wants.
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

package entry

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// drainBytes and drainTime bound what is read of a body that is refused.
	drainBytes = 1 << 20
	drainTime  = time.Second
)

// errTooLarge means that a body of unknown length passed the route's limit.
var errTooLarge = errors.New("body above the route's limit")

type (
	// requestBody reads a caller's body within the route's limit and notes
	// whether any of it was taken, after which it can't be sent again.
	requestBody struct {
		r        io.Reader
		conn     net.Conn
		limit    int64
		progress time.Duration
		now      func() time.Time

		n       int64
		started bool
		tooBig  bool
		done    bool
	}

	// answerBody passes a backend server's answer to the caller and calls
	// end once, with whether all of it was passed on.
	answerBody struct {
		r        io.ReadCloser
		conn     net.Conn
		progress time.Duration
		now      func() time.Time
		// pace waits until n bytes may cross the link to whoever waits for
		// the answer. It is nil if no link lies between.
		pace func(n int) error
		// size is the answer's length in bytes, or -1 if that is unknown.
		size int64

		once  sync.Once
		whole bool
		n     int64
		end   func(whole bool, n int64)
	}
)

func (b *requestBody) Read(p []byte) (int, error) {
	b.started = true
	b.conn.SetReadDeadline(b.now().Add(b.progress))
	n, err := b.r.Read(p)
	b.n += int64(n)
	if b.limit > 0 && b.n > b.limit {
		b.tooBig = true
		return 0, errTooLarge
	}
	if err == io.EOF {
		b.done = true
		b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.n += int64(n)
	if n > 0 && b.pace != nil {
		if perr := b.pace(n); perr != nil {
			return 0, perr
		}
	}
	if err == io.EOF || b.size >= 0 && b.n == b.size {
		b.whole = true
	}
	// The caller gets as long for each part as the backend server does.
	b.conn.SetWriteDeadline(b.now().Add(b.progress))
	return n, err
}

// drain reads and forgets a bounded rest of a body that nobody wants, because a
// caller who still writes when its connection is closed may lose the answer.
func (b *requestBody) drain() {
	end := b.now().Add(drainTime)
	buf := make([]byte, replayable)
	for left := int64(drainBytes); left > 0 && !b.done; {
		b.conn.SetReadDeadline(end)
		n, err := b.r.Read(buf)
		left -= int64(n)
		if err != nil {
			b.done = err == io.EOF
			return
		}
	}
}

// Close ends the answer. The server calls it after the last byte or when the
// caller is gone.
func (b *answerBody) Close() error {
	b.once.Do(func() {
		err := b.r.Close()
		b.end(b.whole && err == nil, b.n)
	})
	return nil
}

package entry

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxDrainBytes and maxDrainTime bound how much of the body of a refused
	// request is read.
	maxDrainBytes = 1 << 20
	maxDrainTime  = time.Second
	// lateDrainTime replaces maxDrainTime after the request's deadline.
	lateDrainTime = 100 * time.Millisecond
)

// errTooLarge means that a body of unknown length exceeds the route's limit.
var errTooLarge = errors.New("body exceeds the route's limit")

type (
	// requestBody reads a caller's body up to the route's limit. Once a Read
	// has started, the body can't be sent again.
	requestBody struct {
		r        io.Reader
		conn     net.Conn
		limit    int64
		progress time.Duration
		deadline time.Time
		now      func() time.Time

		n        int64
		started  bool
		tooLarge bool
		done     bool
	}

	// responseBody streams the body of a backend server's response to the
	// caller. When it is closed, it calls onEnd once, with whether the body was
	// complete and its length in bytes.
	responseBody struct {
		r        io.ReadCloser
		conn     net.Conn
		progress time.Duration
		now      func() time.Time
		// pace waits until n bytes may cross the link to the VM that
		// forwarded the request. It is nil if they cross no link.
		pace func(n int) error
		// size is the body's length in bytes, or -1 if that is unknown.
		size int64

		once     sync.Once
		complete bool
		n        int64
		onEnd    func(complete bool, n int64)
	}
)

func (b *requestBody) Read(p []byte) (int, error) {
	b.started = true
	end := b.now().Add(b.progress)
	if b.deadline.Before(end) {
		end = b.deadline
	}
	b.conn.SetReadDeadline(end)
	n, err := b.r.Read(p)
	b.n += int64(n)
	if b.limit > 0 && b.n > b.limit {
		b.tooLarge = true
		return 0, errTooLarge
	}
	if err == io.EOF {
		b.done = true
		b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.n += int64(n)
	if n > 0 && b.pace != nil {
		if perr := b.pace(n); perr != nil {
			return 0, perr
		}
	}
	if err == io.EOF || b.size >= 0 && b.n == b.size {
		b.complete = true
	}
	// Writing each part to the caller has the same timeout as reading it.
	b.conn.SetWriteDeadline(b.now().Add(b.progress))
	return n, err
}

// drain reads and discards a bounded part of the remaining body. If the
// connection is closed while the caller is still writing, the caller may lose
// the response.
func (b *requestBody) drain() {
	now := b.now()
	end := now.Add(maxDrainTime)
	if !now.Before(b.deadline) {
		end = now.Add(lateDrainTime)
	}
	buf := make([]byte, maxReplayableBody)
	for left := int64(maxDrainBytes); left > 0 && !b.done; {
		b.conn.SetReadDeadline(end)
		n, err := b.r.Read(buf)
		left -= int64(n)
		if err != nil {
			b.done = err == io.EOF
			return
		}
	}
}

// Close ends the response. The HTTP server calls it after the last byte, or when
// the caller has disconnected.
func (b *responseBody) Close() error {
	b.once.Do(func() {
		err := b.r.Close()
		b.onEnd(b.complete && err == nil, b.n)
	})
	return nil
}

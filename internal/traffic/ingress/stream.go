package ingress

import (
	"io"
	"net"
	"time"

	"golang.org/x/time/rate"

	"sassafrastray"
)

const (
	// shortStream is how many bytes of a streamed response are passed on as fast
	// as the caller reads. Longer ones share a part of the VM's link, so that one
	// without end leaves the rest to other requests.
	shortStream = 64 << 10

	// longStreamShare is the share of the VM's link that the rest of all longer
	// responses may use together.
	longStreamShare = 0.25

	// streamBurst bounds the bytes that a streamed response passes on at once.
	streamBurst = 64 << 10
)

// callerBody is the body of a response on its way to the caller. Each part must be
// taken by the caller within progressTimeout.
type callerBody struct {
	io.Reader
	conn     net.Conn
	clock    sassafrastray.Clock
	deadline time.Time
	// pace limits the rate beyond shortStream bytes, if it is set.
	pace *rate.Limiter
	n    int
	// end is called once, when the HTTP server has written the body or given up.
	end func() error
}

// newPace returns the limit of long responses on a link with so many bytes per
// second, or nil if that is not known.
func newPace(link float64) *rate.Limiter {
	if link <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(longStreamShare*link), streamBurst)
}

func (b *callerBody) Read(p []byte) (int, error) {
	if b.pace != nil && b.n >= shortStream {
		p = p[:min(len(p), streamBurst)]
	}
	n, err := b.Reader.Read(p)
	if b.n += n; b.pace != nil && n > 0 && b.n > shortStream {
		now := b.clock.Now()
		time.Sleep(min(b.pace.ReserveN(now, n).DelayFrom(now), b.deadline.Sub(now)))
	}
	b.conn.SetWriteDeadline(b.clock.Now().Add(progressTimeout))
	return n, err
}

// Close ends the body. The HTTP server calls it after the last byte, before it flushes
// its buffer, or when the caller has disconnected.
func (b *callerBody) Close() error {
	b.conn.SetWriteDeadline(b.clock.Now().Add(progressTimeout))
	if end := b.end; end != nil {
		b.end = nil
		return end()
	}
	return nil
}

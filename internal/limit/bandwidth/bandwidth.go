// Package bandwidth limits the bytes that all VMs together send over a link to the
// link's cap in every second, and estimates how much of a link is left.
//
// A link's cap is a quota whose tokens are bytes on the wire. The sum of its rate
// for one second and its burst is below the cap, so no window of one second
// exceeds the cap.
package bandwidth

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/limit/quota"
)

const (
	// rateShare and burstShare are the fractions of a link's cap that paced
	// streams may use. The rest is left for the acknowledgements of streams in
	// the other direction and for the messages between the VMs.
	rateShare  = 0.85
	burstShare = 0.10

	// packetPayload and packetOverhead are bytes per packet. The overhead
	// includes the Ethernet, IP and TCP headers with timestamps and the
	// interframe gap.
	packetPayload  = 1400
	packetOverhead = 90

	// minChunk and maxChunk bound the payload bytes that one Take admits.
	minChunk = packetPayload
	maxChunk = 12 * packetPayload

	// refusedWait is how long a stream waits before it retries a chunk for which
	// the Taker expects no token in time. A stream retries until its context
	// ends.
	refusedWait = 50 * time.Millisecond
)

type (
	// Taker takes tokens from a limit. It is safe for concurrent use.
	Taker interface {
		Take(key string, n float64, now time.Time) quota.Verdict
	}

	// Sleep waits for d or until ctx is done.
	Sleep func(ctx context.Context, d time.Duration) error

	// Pacer delays the writes of streams so that each link's limit holds. Its
	// methods are safe for concurrent use.
	Pacer struct {
		taker Taker
		clock sassafrastray.Clock
		sleep Sleep

		mu    sync.Mutex
		links map[string]*link
	}

	// link lets one stream at a time take the tokens of a chunk, so that its
	// streams take turns in the order in which they arrive.
	link struct {
		turn  chan struct{}
		chunk int
	}
)

// New returns a Pacer without links.
func New(taker Taker, clock sassafrastray.Clock, sleep Sleep) *Pacer {
	return &Pacer{taker: taker, clock: clock, sleep: sleep, links: make(map[string]*link)}
}

// Key returns the key of a link's limit.
func Key(from, to sassafrastray.RegionName) string {
	return "link:" + string(from) + ">" + string(to)
}

// Limit returns the limit for a link. The places of the region from which the link
// leads own its units.
func Limit(l sassafrastray.Link, domains []sassafrastray.FailureDomain) quota.Limit {
	limit := quota.Limit{
		Key:   Key(l.From, l.To),
		Rate:  float64(l.BytesPerSecond) * rateShare,
		Burst: float64(l.BytesPerSecond) * burstShare,
	}
	for _, d := range domains {
		if d.Region == l.From {
			limit.Domains = append(limit.Domains, d.Name)
		}
	}
	return limit
}

// WireSize returns how many bytes a payload of n bytes takes on the wire.
func WireSize(n int) float64 {
	packets := (n + packetPayload - 1) / packetPayload
	return float64(n + packets*packetOverhead)
}

// Configure sets the links. Streams over a link that is no longer configured fail
// at their next chunk.
func (p *Pacer) Configure(links []sassafrastray.Link, domains []sassafrastray.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[string]*link, len(links))
	for _, l := range links {
		key := Key(l.From, l.To)
		next := &link{turn: make(chan struct{}, 1), chunk: chunkSize(l, domains)}
		if old := p.links[key]; old != nil {
			next.turn = old.turn
		}
		kept[key] = next
	}
	p.links = kept
}

// chunkSize returns the largest chunk, within minChunk and maxChunk, of which the
// bucket of a single place holds two.
func chunkSize(l sassafrastray.Link, domains []sassafrastray.FailureDomain) int {
	places := 0
	for _, d := range domains {
		if d.Region == l.From {
			places += d.Places
		}
	}
	burst := float64(l.BytesPerSecond) * burstShare / float64(max(1, places))
	return min(max(int(burst/2)/packetPayload*packetPayload, minChunk), maxChunk)
}

// link returns the link with the key, or an error if it is not configured.
func (p *Pacer) link(key string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[key]
	if l == nil {
		return nil, errors.Newf("bandwidth: link %s is not configured", key)
	}
	return l, nil
}

// Copy writes src to dst over the link, no faster than the link's limit
// allows, and returns the number of bytes written. Its errors are those of
// src, dst and ctx.
func (p *Pacer) Copy(ctx context.Context, key string, dst io.Writer, src io.Reader) (int64, error) {
	buf := make([]byte, maxChunk)
	total := int64(0)
	for {
		n, err := src.Read(buf)
		written, werr := p.Write(ctx, key, dst, buf[:n])
		total += int64(written)
		switch {
		case werr != nil:
			return total, werr
		case errors.Is(err, io.EOF):
			return total, nil
		case err != nil:
			return total, errors.Wrap(err, "bandwidth: read")
		}
	}
}

// Write writes data to dst in chunks, each as soon as the link's limit allows it,
// and returns the number of bytes written.
func (p *Pacer) Write(ctx context.Context, key string, dst io.Writer, data []byte) (int, error) {
	total := 0
	for total < len(data) {
		l, err := p.link(key)
		if err != nil {
			return total, err
		}
		part := data[total:min(len(data), total+l.chunk)]
		if err := p.wait(ctx, l, key, len(part)); err != nil {
			return total, err
		}
		n, err := dst.Write(part)
		total += n
		if err != nil {
			return total, errors.Wrap(err, "bandwidth: write")
		}
	}
	return total, nil
}

// Wait waits until n bytes may be sent over the link. It is meant for data that is
// sent in one piece, such as a request's header.
func (p *Pacer) Wait(ctx context.Context, key string, n int) error {
	for n > 0 {
		l, err := p.link(key)
		if err != nil {
			return err
		}
		part := min(n, l.chunk)
		if err := p.wait(ctx, l, key, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

// wait waits for the stream's turn and takes the tokens of one chunk of n bytes.
func (p *Pacer) wait(ctx context.Context, l *link, key string, n int) error {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "bandwidth: waiting for a turn")
	}
	defer func() { <-l.turn }()
	for {
		v := p.taker.Take(key, WireSize(n), p.clock.Now())
		if v.OK {
			return nil
		}
		if v.Wait == 0 {
			v.Wait = refusedWait
		}
		if err := p.sleep(ctx, v.Wait); err != nil {
			return errors.Wrap(err, "bandwidth: waiting for tokens")
		}
	}
}

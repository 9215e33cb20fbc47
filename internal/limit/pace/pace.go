// Package pace keeps the bytes that all VMs together send over a link below
// the link's cap in every second, and tells how much of a link is left.
//
// A link's cap is a quota whose tokens are bytes on the wire. Rate and burst
// together stay below the cap, so a window of one second can't pass it.
package pace

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
	// rateShare and burstShare are the parts of a link's cap that paced
	// streams may use. The rest is for acknowledgements of the streams in
	// the other direction and for the VMs' messages to each other.
	rateShare  = 0.85
	burstShare = 0.10

	// packetPayload and packetOverhead are bytes per packet: overhead counts
	// the Ethernet, IP and TCP headers with timestamps, and the frame's gap.
	packetPayload  = 1400
	packetOverhead = 90

	chunkLeast = packetPayload
	chunkMost  = 12 * packetPayload

	// refusedWait is when a chunk is tried again for which no token is about
	// to come: a stream waits for as long as its context allows.
	refusedWait = 50 * time.Millisecond
)

type (
	// Taker takes tokens of a limit. It is safe for concurrent use.
	Taker interface {
		Take(key string, n float64, now time.Time) quota.Verdict
	}

	// Sleep waits for d or until ctx is done.
	Sleep func(ctx context.Context, d time.Duration) error

	// Pacer paces streams. Its methods are safe for concurrent use.
	Pacer struct {
		taker Taker
		clock sassafrastray.Clock
		sleep Sleep

		mu    sync.Mutex
		links map[string]*link
	}

	// link lets one stream at a time take tokens, in the order of asking, so
	// that streams advance by turns, chunk by chunk.
	link struct {
		turn  chan struct{}
		chunk int
	}
)

// New returns a Pacer for no links.
func New(taker Taker, clock sassafrastray.Clock, sleep Sleep) *Pacer {
	return &Pacer{taker: taker, clock: clock, sleep: sleep, links: make(map[string]*link)}
}

// Key returns the key of a link's limit.
func Key(from, to sassafrastray.RegionName) string {
	return "link:" + string(from) + ">" + string(to)
}

// Limit returns the limit for a link. It belongs to the places of the region
// that the link leaves.
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

// Wire returns how many bytes a payload of n bytes takes on the wire.
func Wire(n int) float64 {
	packets := (n + packetPayload - 1) / packetPayload
	return float64(n + packets*packetOverhead)
}

// Configure sets the links. Streams over a link that is no longer configured
// end with an error at their next chunk.
func (p *Pacer) Configure(links []sassafrastray.Link, domains []sassafrastray.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[string]*link, len(links))
	for _, l := range links {
		key := Key(l.From, l.To)
		next := &link{turn: make(chan struct{}, 1), chunk: chunkOf(l, domains)}
		if old := p.links[key]; old != nil {
			next.turn = old.turn
		}
		kept[key] = next
	}
	p.links = kept
}

// chunkOf returns the largest chunk that a single place's bucket holds twice.
func chunkOf(l sassafrastray.Link, domains []sassafrastray.FailureDomain) int {
	places := 0
	for _, d := range domains {
		if d.Region == l.From {
			places += d.Places
		}
	}
	burst := float64(l.BytesPerSecond) * burstShare / float64(max(1, places))
	return min(max(int(burst/2)/packetPayload*packetPayload, chunkLeast), chunkMost)
}

func (p *Pacer) link(key string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[key]
	if l == nil {
		return nil, errors.Newf("pace: no link %s", key)
	}
	return l, nil
}

// Copy writes src to dst over the link, no faster than the link's limit
// allows, and returns the number of bytes written. Its errors are those of
// src, dst and ctx.
func (p *Pacer) Copy(ctx context.Context, key string, dst io.Writer, src io.Reader) (int64, error) {
	buf := make([]byte, chunkMost)
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
			return total, errors.Wrap(err, "pace: read")
		}
	}
}

// Write writes data to dst in chunks, each when the link's limit allows it.
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
			return total, errors.Wrap(err, "pace: write")
		}
	}
	return total, nil
}

// Wait waits until n bytes may be sent over the link. It is for what is sent
// in one piece, such as a request's header.
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

// wait takes the tokens of one chunk when the stream's turn has come.
func (p *Pacer) wait(ctx context.Context, l *link, key string, n int) error {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "pace: waiting for a turn")
	}
	defer func() { <-l.turn }()
	for {
		v := p.taker.Take(key, Wire(n), p.clock.Now())
		if v.OK {
			return nil
		}
		if v.Wait == 0 {
			v.Wait = refusedWait
		}
		if err := p.sleep(ctx, v.Wait); err != nil {
			return errors.Wrap(err, "pace: waiting for tokens")
		}
	}
}

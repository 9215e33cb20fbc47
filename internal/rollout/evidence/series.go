package evidence

import (
	"math/bits"
	"time"
)

const (
	// buckets is the size of a latency histogram. Four buckets double the
	// latency; the first holds all below shortest, the last all above 16 s.
	buckets = 64
	// shortest is the upper bound of the first bucket, as a power of two in
	// microseconds.
	shortest = 8
)

type (
	// cell counts the requests of one window.
	cell struct {
		index      int64
		ok, failed uint32
		latency    [buckets]uint32
	}

	// series holds the last windows of one key as a ring. Past counts the
	// requests of windows that have left the ring since pastFrom.
	series struct {
		ring     [windows]cell
		past     uint32
		pastFrom int64
	}
)

// bucket returns the histogram bucket of a latency.
func bucket(d time.Duration) int {
	u := uint64(max(d.Microseconds(), 0))
	n := bits.Len64(u)
	if n <= shortest {
		return 0
	}
	quarter := int(u>>(n-3)) & 3
	return min((n-shortest-1)*4+quarter, buckets-1)
}

// cell returns the cell of the window index, emptied if it held an older
// window. It returns nil if the window has left the ring.
func (s *series) cell(index int64) *cell {
	c := &s.ring[index%windows]
	if c.index > index {
		return nil
	}
	if c.index < index {
		if c.index > s.pastFrom {
			s.past += c.ok + c.failed
		}
		*c = cell{index: index}
	}
	return c
}

// since returns how many requests were counted in windows after from.
func (s *series) since(from, newest int64) int {
	if s.pastFrom < from {
		s.past, s.pastFrom = 0, from
	}
	n := int(s.past)
	for i := range s.ring {
		if c := &s.ring[i]; c.index > from && c.index > newest-windows {
			n += int(c.ok + c.failed)
		}
	}
	return n
}

func (c *cell) add(s Sample) {
	if c == nil {
		return
	}
	if !s.OK {
		c.failed++
		return
	}
	c.ok++
	c.latency[bucket(s.Latency)]++
}

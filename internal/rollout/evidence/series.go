package evidence

import (
	"math"
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
	// cell counts the requests of one window, or of one minute.
	cell struct {
		index      int64
		ok, failed uint32
		// latency counts the requests that did not fail. A count stops at
		// the largest number that fits.
		latency [buckets]uint16
	}

	// series holds the counts of one key: the last windows as a ring, and
	// what has left that ring as a ring of minutes.
	series struct {
		ring    [windows]cell
		minutes [minutes]cell
		// swept is the newest window that has been moved to the minutes.
		swept int64
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
	s.sweep(index - windows)
	c := &s.ring[index%windows]
	if c.index > index || index <= s.swept {
		return nil
	}
	if c.index < index {
		*c = cell{index: index}
	}
	return c
}

// sweep moves the windows up to index to the minutes.
func (s *series) sweep(index int64) {
	if index <= s.swept {
		return
	}
	for i := max(s.swept+1, index-windows+1); i <= index; i++ {
		if c := s.held(i); c != nil {
			s.minute(i / windows).plus(c)
			*c = cell{}
		}
	}
	s.swept = index
}

// minute returns the cell of a minute, emptied if it held an older one.
func (s *series) minute(index int64) *cell {
	c := &s.minutes[index%minutes]
	if c.index != index {
		*c = cell{index: index}
	}
	return c
}

// held returns the cell of the window index, or nil if it counts nothing.
func (s *series) held(index int64) *cell {
	if c := &s.ring[index%windows]; c.index == index && c.ok+c.failed > 0 {
		return c
	}
	return nil
}

// heldMinute is the same for a minute.
func (s *series) heldMinute(index int64) *cell {
	if c := &s.minutes[index%minutes]; c.index == index && c.ok+c.failed > 0 {
		return c
	}
	return nil
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
	if b := bucket(s.Latency); c.latency[b] < math.MaxUint16 {
		c.latency[b]++
	}
}

func (c *cell) plus(o *cell) {
	c.ok += o.ok
	c.failed += o.failed
	for b := range c.latency {
		c.latency[b] += min(o.latency[b], math.MaxUint16-c.latency[b])
	}
}

// above counts the requests in buckets above cut.
func (c *cell) above(cut int) int {
	n := 0
	for b := min(cut+1, buckets); b < buckets; b++ {
		n += int(c.latency[b])
	}
	return n
}

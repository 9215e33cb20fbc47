package evidence

import (
	"math"
	"math/bits"
	"time"
)

const (
	// bucketCount is the number of buckets in a latency histogram. The bounds
	// double every four buckets. The first bucket holds all latencies below
	// 2^firstBucketBits microseconds, the last one all above 16 s.
	bucketCount = 64
	// firstBucketBits is the upper bound of the first bucket, as a power of two
	// in microseconds.
	firstBucketBits = 8
)

type (
	// cell counts the requests of one window, or of one minute.
	cell struct {
		index      int64
		ok, failed uint32
		// latency counts the requests that did not fail by bucket. A count
		// stops at math.MaxUint16.
		latency [bucketCount]uint16
	}

	// series holds the counts of one key: a ring of the latest windows, and a
	// ring of minutes with the windows that have left the first ring.
	series struct {
		ring    [windowCount]cell
		minutes [minuteCount]cell
		// rolledUp is the newest window that has been added to the minutes.
		rolledUp int64
	}
)

// bucket returns the histogram bucket of a latency.
func bucket(d time.Duration) int {
	u := uint64(max(d.Microseconds(), 0))
	n := bits.Len64(u)
	if n <= firstBucketBits {
		return 0
	}
	quarter := int(u>>(n-3)) & 3
	return min((n-firstBucketBits-1)*4+quarter, bucketCount-1)
}

// cell returns the cell of the window index, emptied if it held an older
// window. It returns nil if the window has left the ring.
func (s *series) cell(index int64) *cell {
	s.rollUp(index - windowCount)
	c := &s.ring[index%windowCount]
	if c.index > index || index <= s.rolledUp {
		return nil
	}
	if c.index < index {
		*c = cell{index: index}
	}
	return c
}

// rollUp moves the windows up to index to the minutes.
func (s *series) rollUp(index int64) {
	if index <= s.rolledUp {
		return
	}
	for i := max(s.rolledUp+1, index-windowCount+1); i <= index; i++ {
		if c := s.findWindow(i); c != nil {
			s.minute(i / windowCount).plus(c)
			*c = cell{}
		}
	}
	s.rolledUp = index
}

// minute returns the cell of a minute, emptied if it held an older one.
func (s *series) minute(index int64) *cell {
	c := &s.minutes[index%minuteCount]
	if c.index != index {
		*c = cell{index: index}
	}
	return c
}

// findWindow returns the cell of the window index, or nil if it has no
// requests.
func (s *series) findWindow(index int64) *cell {
	if c := &s.ring[index%windowCount]; c.index == index && c.ok+c.failed > 0 {
		return c
	}
	return nil
}

// findMinute returns the cell of the minute index, or nil if it has no
// requests.
func (s *series) findMinute(index int64) *cell {
	if c := &s.minutes[index%minuteCount]; c.index == index && c.ok+c.failed > 0 {
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

// above returns the number of requests in buckets above cut.
func (c *cell) above(cut int) int {
	n := 0
	for b := min(cut+1, bucketCount); b < bucketCount; b++ {
		n += int(c.latency[b])
	}
	return n
}

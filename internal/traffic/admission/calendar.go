package admission

import (
	"slices"
	"time"
)

const (
	// matchTolerance is how far the deadline of a returning request may be from that of
	// the refused one, because the two took different times to arrive.
	matchTolerance = 50 * time.Millisecond

	// maxEarly and maxLate limit how long before or after its time a request returns.
	maxEarly = 10 * time.Millisecond
	maxLate  = 500 * time.Millisecond

	// maxPlaces bounds the memory for places.
	maxPlaces = 512
)

type (
	// calendar holds the places of refused requests that may return.
	calendar struct {
		// places are in the order of refusal and of their times.
		places []place
		// next is the earliest time of a further place.
		next time.Time
	}

	// place is a time at which a refused request is admitted. Callers don't mark a
	// request that returns, so it is recognized by its key, deadline and priority.
	place struct {
		at time.Time
		id identity
	}

	// identity is what a returning request has in common with the refused one.
	identity struct {
		key      uint64
		deadline time.Time
		priority int
	}
)

// add adds a place between two times and returns its time, or false if there is no room. Places
// are a gap apart on the mean; jitter is less than the gap, so that they stay in order.
func (c *calendar) add(first, last time.Time, gap, jitter time.Duration, id identity) (time.Time, bool) {
	if c.next.After(first) {
		first = c.next
	}
	at := first.Add(jitter)
	if at.After(last) || len(c.places) >= maxPlaces {
		return time.Time{}, false
	}
	c.next = first.Add(gap)
	c.places = append(c.places, place{at: at, id: id})
	return at, true
}

// find returns the index of the place of a request that returns now, or -1 if there is none or
// if the request returns before its time.
func (c *calendar) find(id identity, now time.Time) int {
	c.places = slices.DeleteFunc(c.places, func(p place) bool { return now.Sub(p.at) > maxLate })
	for i, p := range c.places {
		if p.at.Sub(now) > maxEarly {
			return -1
		}
		if p.id.matches(id) {
			return i
		}
	}
	return -1
}

// remove removes a place that find returned.
func (c *calendar) remove(i int) { c.places = slices.Delete(c.places, i, i+1) }

func (i identity) matches(o identity) bool {
	return i.key == o.key && i.priority == o.priority && i.deadline.Sub(o.deadline).Abs() <= matchTolerance
}

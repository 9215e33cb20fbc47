package sassafrastray

import "time"

// Clock tells the time. Times that a Clock returns within one process carry
// a monotonic reading, so that differences between them survive a step of
// the wall clock. Tests pass a clock that they move by hand.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock of the machine.
type SystemClock struct{}

// Now returns the machine's time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

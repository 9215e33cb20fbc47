package sassafrastray

import (
	"time"

	"golang.org/x/sys/unix"
)

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

// BootClock is a Clock that goes on while the machine is suspended, which the
// monotonic clock does not. Its times carry no monotonic reading; a step of the
// wall clock does not move them.
type BootClock struct {
	wall time.Time
	boot time.Duration
}

// NewBootClock returns a clock that agrees with the wall clock now.
func NewBootClock() *BootClock {
	return &BootClock{wall: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the time.
func (c *BootClock) Now() time.Time { return c.wall.Add(sinceBoot() - c.boot) }

// sinceBoot returns the time since the machine's start, suspension included.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

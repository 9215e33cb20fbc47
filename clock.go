package sassafrastray

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. A step of the wall clock does not change the
// difference between two of its times. Tests use a clock that they advance
// themselves.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock of the machine. Its times carry a monotonic reading.
type SystemClock struct{}

// Now returns the machine's time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// BootClock is a Clock that keeps running while the machine is suspended, which
// the monotonic clock does not. Its times carry no monotonic reading; they are
// derived from CLOCK_BOOTTIME, which a step of the wall clock does not change.
type BootClock struct {
	wall time.Time
	boot time.Duration
}

// NewBootClock returns a clock that starts at the current wall-clock time.
func NewBootClock() *BootClock {
	return &BootClock{wall: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the wall-clock time of the clock's creation plus the time elapsed
// since then.
func (c *BootClock) Now() time.Time { return c.wall.Add(sinceBoot() - c.boot) }

// sinceBoot returns the time since the machine booted, including suspension.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("sassafrastray: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

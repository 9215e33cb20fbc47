package edge

import (
	"sync"
	"time"

	"sassafrastray"
)

const (
	// pauseThreshold is the time without any activity of the process from which it
	// counts as paused.
	pauseThreshold = 2 * time.Second

	// resumeHold is how long requests wait after a pause, until the VM has asked the
	// store and other VMs what changed meanwhile.
	resumeHold = 500 * time.Millisecond

	// leadAfterPause is how long after a pause the VM does not lead: by then it has
	// exchanged heartbeats with the others again.
	leadAfterPause = 2 * time.Second
)

// pauseGuard detects that the process was paused or its machine suspended. It is safe
// for concurrent use.
type pauseGuard struct {
	clock sassafrastray.Clock
	sleep func(time.Duration)

	mu sync.Mutex
	// active is when the process was last known to run, resumed when the latest
	// pause was noticed, and length how long it was.
	active, resumed time.Time
	length          time.Duration
	pauses          uint64
}

func newPauseGuard(clock sassafrastray.Clock) *pauseGuard {
	return &pauseGuard{clock: clock, sleep: time.Sleep, active: clock.Now()}
}

// Await returns the number of pauses so far. Right after one it waits until the VM's
// state is current again, for at most resumeHold.
func (g *pauseGuard) Await() uint64 {
	now := g.clock.Now()
	pauses, resumed := g.check(now)
	if pauses > 0 {
		if hold := resumeHold - now.Sub(resumed); hold > 0 {
			g.sleep(hold)
		}
	}
	return pauses
}

// check records that the process runs. It returns the number of pauses so far and when
// the latest one was noticed.
func (g *pauseGuard) check(now time.Time) (pauses uint64, resumed time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := now.Sub(g.active); d > pauseThreshold {
		g.pauses, g.resumed, g.length = g.pauses+1, now, d
	}
	if now.After(g.active) {
		g.active = now
	}
	return g.pauses, g.resumed
}

// lastLength returns the length of the latest pause.
func (g *pauseGuard) lastLength() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.length
}

// mayLead reports whether no pause was noticed within leadAfterPause.
func (g *pauseGuard) mayLead(now time.Time) bool {
	pauses, resumed := g.check(now)
	return pauses == 0 || now.Sub(resumed) >= leadAfterPause
}

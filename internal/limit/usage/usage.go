// Package usage counts the requests of teams that began to run at backend servers, by
// windows of the wall clock, and adds up the counts of all VMs of a fleet. It also
// estimates the time that the VMs share. The package does no I/O and takes the time as an
// argument; "fleet time" is the time that Clock estimates.
package usage

import (
	"maps"
	"time"

	"sassafrastray"
)

// MaxWindows is the number of windows whose counts are kept.
const MaxWindows = 16

type (
	// Counts is the number of runs of each team.
	Counts = map[sassafrastray.TeamName]int64

	// Run identifies a request that was sent to a backend server and is not answered yet.
	// Zero identifies none.
	Run int

	// Window is what one VM counted in a window. Closed means that the window had ended
	// when the VM said so, or that the VM counts no more.
	Window struct {
		ID     int64  `json:"id"`
		Closed bool   `json:"closed,omitempty"`
		Counts Counts `json:"counts,omitempty"`
	}

	// Counter counts the runs of one VM. Callers hold a lock around all calls.
	Counter struct {
		length time.Duration
		// started is the window in which the VM started.
		started int64
		// settled is the latest window that may be decided.
		settled int64
		windows map[int64]Counts
		// open holds the unanswered requests, Run r at index r-1. Those without a team
		// are free, and free lists them.
		open []openRun
		free []Run
	}

	openRun struct {
		team sassafrastray.TeamName
		at   time.Time
	}
)

// WindowAt returns the window of the length that a time is in.
func WindowAt(t time.Time, length time.Duration) int64 {
	n, d := t.UnixNano(), int64(length)
	w := n / d
	if n%d < 0 {
		w--
	}
	return w
}

// WindowEnd returns the end of a window.
func WindowEnd(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// NewCounter returns a counter of a VM that starts at a fleet time.
func NewCounter(length time.Duration, started time.Time) *Counter {
	return &Counter{length: length, started: WindowAt(started, length), windows: make(map[int64]Counts)}
}

// Begin records that a request of a team is sent to a backend server, where it begins to
// run at the fleet time at unless End says otherwise.
func (c *Counter) Begin(team sassafrastray.TeamName, at time.Time) Run {
	if n := len(c.free); n > 0 {
		r := c.free[n-1]
		c.free = c.free[:n-1]
		c.open[r-1] = openRun{team, at}
		return r
	}
	c.open = append(c.open, openRun{team, at})
	return Run(len(c.open))
}

// Settle records that the windows up to the given one may be decided. Unanswered requests
// that count in them stay there: in a later window they would count again. The window may
// be lower than before, after a correction of the fleet time.
func (c *Counter) Settle(window int64) { c.settled = window }

// End records that the request ran from the fleet time at, or that it did not run. A request
// that counted in a window which may be decided stays in it.
func (c *Counter) End(r Run, at time.Time, ran bool) {
	if r <= 0 || int(r) > len(c.open) || c.open[r-1].team == "" {
		return
	}
	team, window := c.open[r-1].team, WindowAt(at, c.length)
	if begun := WindowAt(c.open[r-1].at, c.length); begun <= c.settled {
		window = begun
	}
	c.open[r-1] = openRun{}
	c.free = append(c.free, r)
	if ran {
		c.add(team, window)
	}
}

func (c *Counter) add(team sassafrastray.TeamName, window int64) {
	if c.windows[window] == nil {
		c.windows[window] = make(Counts)
	}
	c.windows[window][team]++
}

// Open returns the number of unanswered requests.
func (c *Counter) Open() int { return len(c.open) - len(c.free) }

// SetStarted moves the VM's start, whose fleet time is known better than before.
func (c *Counter) SetStarted(t time.Time) { c.started = WindowAt(t, c.length) }

// Started returns the window in which the VM started.
func (c *Counter) Started() int64 { return c.started }

// Windows returns the counts of the windows after the given one up to that of the fleet
// time now, at most the latest MaxWindows. It leaves out those that ended before the VM
// started, of which it knows nothing. Unanswered requests count as begun. With final set,
// nothing will be counted later. Windows forgets older ones.
func (c *Counter) Windows(after int64, now time.Time, final bool) []Window {
	current := WindowAt(now, c.length)
	first := max(after+1, current-MaxWindows+1)
	for w := range c.windows {
		// Counts of the next window come from estimates that are ahead of now.
		if w <= current-MaxWindows || w > current+MaxWindows {
			delete(c.windows, w)
		}
	}
	first = max(first, c.started)
	if first > current {
		return nil
	}
	list := make([]Window, 0, current-first+1)
	for w := first; w <= current; w++ {
		list = append(list, Window{ID: w, Closed: final || w < current, Counts: maps.Clone(c.windows[w])})
	}
	for _, o := range c.open {
		i := WindowAt(o.at, c.length) - first
		if o.team == "" || i < 0 || i >= int64(len(list)) {
			continue
		}
		if list[i].Counts == nil {
			list[i].Counts = make(Counts)
		}
		list[i].Counts[o.team]++
	}
	return list
}

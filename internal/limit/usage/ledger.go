package usage

import (
	"maps"
	"slices"
	"time"

	"sassafrastray"
)

// maxMessageWindows bounds the windows and sums that are read of one message.
const maxMessageWindows = 8 * MaxWindows

type (
	// Message has the counts of one VM, or also the sums that a collector knows. It is
	// state: of two messages of a process the one with the greater sequence counts.
	Message struct {
		VM          sassafrastray.VMName      `json:"vm"`
		Incarnation sassafrastray.Incarnation `json:"inc"`
		Region      sassafrastray.RegionName  `json:"region,omitempty"`
		Sequence    uint64                    `json:"seq"`
		// Started is the window in which the process started.
		Started int64    `json:"started"`
		Windows []Window `json:"windows,omitempty"`
		Sums    []Sum    `json:"sums,omitempty"`
	}

	// Sum is what a collector knows of a window in its region.
	Sum struct {
		Region sassafrastray.RegionName `json:"region"`
		ID     int64                    `json:"id"`
		// Covered is the number of processes whose counts are final, and Missing that of
		// those whose counts are not, or are not known.
		Covered int    `json:"covered"`
		Missing int    `json:"missing,omitempty"`
		Counts  Counts `json:"counts,omitempty"`
	}

	// Ledger adds up the counts of VMs. It is not safe for concurrent use.
	Ledger struct {
		length  time.Duration
		windows map[int64]*page
		// started holds the window in which the latest known process of each VM started.
		started map[sassafrastray.VMName]process
	}

	// page holds what is known of one window.
	page struct {
		entries map[source]entry
		sums    map[sumSource]sentSum
	}

	sumSource struct {
		region sassafrastray.RegionName
		vm     sassafrastray.VMName
	}

	// sentSum is the latest sum of a collector.
	sentSum struct {
		incarnation sassafrastray.Incarnation
		sequence    uint64
		sum         Sum
	}

	source struct {
		vm          sassafrastray.VMName
		incarnation sassafrastray.Incarnation
	}

	entry struct {
		region   sassafrastray.RegionName
		sequence uint64
		closed   bool
		counts   Counts
	}

	process struct {
		incarnation sassafrastray.Incarnation
		started     int64
		// earlier is the window in which an earlier process started whose last counts
		// did not come, or started.
		earlier int64
		// ended means that the last counts of the process came.
		ended bool
		// heard is the window in which the VM was last heard.
		heard int64
	}
)

// NewLedger returns a ledger that knows no counts.
func NewLedger(length time.Duration) *Ledger {
	return &Ledger{length: length, windows: make(map[int64]*page), started: make(map[sassafrastray.VMName]process)}
}

// Receive takes over a VM's message at a fleet time. Messages may come late and more than
// once. Windows that are too old or in the future, and invalid counts, are dropped.
func (l *Ledger) Receive(m *Message, now time.Time) {
	current := WindowAt(now, l.length)
	l.prune(current)
	if m.VM == "" {
		return
	}
	l.start(m, current)
	from := source{m.VM, m.Incarnation}
	for _, w := range m.Windows[:min(len(m.Windows), maxMessageWindows)] {
		if !inRange(w.ID, current) || !valid(w.Counts) {
			continue
		}
		p := l.page(w.ID)
		if old, ok := p.entries[from]; !ok || m.Sequence > old.sequence {
			p.entries[from] = entry{m.Region, m.Sequence, w.Closed, w.Counts}
		}
	}
	for _, s := range m.Sums[:min(len(m.Sums), maxMessageWindows)] {
		if !inRange(s.ID, current) || !valid(s.Counts) || s.Covered < 0 || s.Missing < 0 {
			continue
		}
		p := l.page(s.ID)
		by := sumSource{s.Region, m.VM}
		old, ok := p.sums[by]
		if !ok || m.Incarnation > old.incarnation || m.Incarnation == old.incarnation && m.Sequence > old.sequence {
			p.sums[by] = sentSum{m.Incarnation, m.Sequence, s}
		}
	}
}

// start takes over when a process started. A VM whose earlier process was killed, or whose
// last counts were lost, is missing in the windows of that process too.
func (l *Ledger) start(m *Message, current int64) {
	p, ok := l.started[m.VM]
	if ok && m.Incarnation < p.incarnation {
		return
	}
	n := process{incarnation: m.Incarnation, started: m.Started, earlier: m.Started, heard: current}
	switch {
	case !ok:
	case m.Incarnation == p.incarnation:
		n.ended = p.ended
		if p.earlier < p.started {
			n.earlier = min(p.earlier, m.Started)
		}
	case !p.ended:
		n.earlier = min(p.earlier, m.Started)
	}
	// Only the last message of a process closes its latest window.
	n.ended = n.ended || len(m.Windows) > 0 && m.Windows[len(m.Windows)-1].Closed
	l.started[m.VM] = n
}

// inRange reports whether a window is kept. VMs may estimate the time a little
// differently, so the next window is.
func inRange(window, current int64) bool { return window > current-MaxWindows && window <= current+1 }

func valid(c Counts) bool {
	for _, n := range c {
		if n < 0 {
			return false
		}
	}
	return true
}

func (l *Ledger) page(window int64) *page {
	p := l.windows[window]
	if p == nil {
		p = &page{entries: make(map[source]entry), sums: make(map[sumSource]sentSum)}
		l.windows[window] = p
	}
	return p
}

func (l *Ledger) prune(current int64) {
	maps.DeleteFunc(l.windows, func(w int64, _ *page) bool { return !inRange(w, current) })
	maps.DeleteFunc(l.started, func(_ sassafrastray.VMName, p process) bool { return p.heard < current-MaxWindows })
}

// Total adds up the counts of a window. Covered is the number of processes whose counts are
// final, missing that of those whose counts are not, and of the live VMs of which nothing
// is known though they may have been running.
func (l *Ledger) Total(window int64, live []sassafrastray.VMName) (counts Counts, covered, missing int) {
	counts = make(Counts)
	for _, s := range l.sums(window, live) {
		covered += s.Covered
		missing += s.Missing
		addCounts(counts, s.Counts)
	}
	return counts, covered, missing
}

// RegionSums returns what is known of a region in the windows after the given one. The live
// VMs are those of the region.
func (l *Ledger) RegionSums(region sassafrastray.RegionName, after int64, live []sassafrastray.VMName) []Sum {
	var list []Sum
	for _, w := range slices.Sorted(maps.Keys(l.windows)) {
		all := l.sums(w, live)
		if s, ok := all[region]; ok && w > after {
			s.Missing += all[""].Missing
			list = append(list, s)
		}
	}
	return list
}

// sums returns the best known sum of each region. The sum of the processes that sent their
// counts to this VM competes with those of collectors. Live VMs of which nothing is known
// are missing in a sum without a region.
func (l *Ledger) sums(window int64, live []sassafrastray.VMName) map[sassafrastray.RegionName]Sum {
	p := l.windows[window]
	if p == nil {
		return nil
	}
	own := make(map[sassafrastray.RegionName]Sum)
	heard := make(map[sassafrastray.VMName]bool)
	for from, e := range p.entries {
		s := own[e.region]
		s.Region, s.ID = e.region, window
		if s.Counts == nil {
			s.Counts = make(Counts)
		}
		addCounts(s.Counts, e.counts)
		if e.closed {
			s.Covered++
		} else {
			s.Missing++
		}
		own[e.region], heard[from.vm] = s, true
	}
	for by, s := range p.sums {
		if o, ok := own[by.region]; !ok || s.sum.covers(o) {
			own[by.region] = s.sum
		}
	}
	for _, vm := range live {
		if q, ok := l.started[vm]; !heard[vm] && (!ok || q.earlier <= window) {
			s := own[""]
			s.ID = window
			s.Missing++
			own[""] = s
		}
	}
	return own
}

// covers reports whether a sum is better than another one of the same region and window:
// it covers more processes or, of as many, more runs.
func (s Sum) covers(other Sum) bool {
	if s.Covered != other.Covered {
		return s.Covered > other.Covered
	}
	return total(s.Counts) > total(other.Counts)
}

func total(c Counts) (n int64) {
	for _, k := range c {
		n += k
	}
	return n
}

func addCounts(to, from Counts) {
	for team, n := range from {
		to[team] += n
	}
}

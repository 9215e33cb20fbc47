package edge

import (
	"maps"
	"slices"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/traffic/report"
)

const (
	// maxRunAge is the age above which runs are not sent. It is longer than the interval
	// between two heartbeats of a pair of VMs, which is one to 1.2 s since rounds begin
	// at ticks, so that each run is sent at least once.
	maxRunAge = 1250 * time.Millisecond

	// runInterval is the minimum interval between two messages to a VM that have runs.
	// Urgent heartbeats, up to four a second, would otherwise repeat the same runs.
	runInterval = heartbeatQuiet

	// maxRunsPerSecond bounds the runs in all messages together, to 48 kB a second.
	maxRunsPerSecond = 48_000 / report.Size

	// minRunsPerMessage is the number of runs in a message to each VM of a region of any
	// size. In regions of more than maxRunsPerSecond / minRunsPerMessage VMs it exceeds
	// maxRunsPerSecond.
	minRunsPerMessage = 8
)

type (
	// runTable has the runs that this VM saw, and gets those of others.
	runTable interface {
		SetShared(shared bool)
		RunReports(limit int) []report.Run
		ReceiveRuns(runs []report.Run)
	}

	// runBudget bounds the runs that a VM sends. It is not safe for concurrent use.
	runBudget struct {
		// receivers is the number of VMs that runs are sent to.
		receivers int
		// left is the number of runs that could be sent at the time at.
		left float64
		at   time.Time
		// sentAt is when a VM was last sent runs.
		sentAt map[sassafrastray.VMName]time.Time
	}

	// runSharing exchanges runs with the VMs of the region. The control goroutine owns it.
	runSharing struct {
		table   runTable
		enabled bool
		budget  runBudget
	}
)

func newRunSharing(table runTable) *runSharing {
	return &runSharing{table: table, budget: runBudget{sentAt: make(map[sassafrastray.VMName]time.Time)}}
}

// perSecond returns how many runs may be sent in a second.
func (b *runBudget) perSecond() int { return max(maxRunsPerSecond, minRunsPerMessage*b.receivers) }

// allowed returns how many runs a message to a VM may have.
func (b *runBudget) allowed(to sassafrastray.VMName, now time.Time) int {
	if b.receivers == 0 || now.Sub(b.sentAt[to]) < runInterval {
		return 0
	}
	rate := b.perSecond()
	if passed := now.Sub(b.at); passed > 0 {
		b.left, b.at = min(float64(rate), b.left+passed.Seconds()*float64(rate)), now
	}
	return min(report.MaxRuns, rate/b.receivers, int(b.left))
}

// spend records that a VM is sent n runs.
func (b *runBudget) spend(to sassafrastray.VMName, n int, now time.Time) {
	b.left -= float64(n)
	b.sentAt[to] = now
}

// expire forgets the VMs that runs may be sent to again.
func (b *runBudget) expire(now time.Time) {
	maps.DeleteFunc(b.sentAt, func(_ sassafrastray.VMName, at time.Time) bool { return now.Sub(at) >= runInterval })
}

// updateRunSharing adapts the exchange of runs to the known VMs. Those of a small fleet
// exchange none.
func (v *VM) updateRunSharing() {
	receivers := 0
	for _, vm := range v.members.Known() {
		if v.regionOf(vm) == v.opt.Region {
			receivers++
		}
	}
	v.runs.budget.receivers = receivers
	if large := v.members.Large(); large != v.runs.enabled {
		v.runs.enabled = large
		v.runs.table.SetShared(large)
	}
}

// sharesRuns reports whether this VM exchanges runs with another one.
func (v *VM) sharesRuns(with sassafrastray.VM) bool {
	return v.runs.enabled && with.Name != "" && v.regionOf(with) == v.opt.Region
}

// addRuns adds the latest runs to a message to another VM.
func (v *VM) addRuns(m *gossip.Heartbeat, to sassafrastray.VM, now time.Time) {
	if !v.sharesRuns(to) {
		return
	}
	limit := v.runs.budget.allowed(to.Name, now)
	if limit == 0 {
		return
	}
	runs := v.runs.table.RunReports(limit)
	runs = runs[:min(len(runs), limit)]
	// The latest runs come first.
	if old := slices.IndexFunc(runs, func(r report.Run) bool { return r.Age > maxRunAge }); old >= 0 {
		runs = runs[:old]
	}
	if len(runs) == 0 {
		return
	}
	v.runs.budget.spend(to.Name, len(runs), now)
	v.metrics.runs.WithLabelValues("sent").Add(float64(len(runs)))
	m.SetRuns(runs)
}

// receiveRuns processes the runs of another VM's heartbeat.
func (v *VM) receiveRuns(h *gossip.Heartbeat) {
	if h.Runs == "" || !v.sharesRuns(h.VM) {
		return
	}
	runs, err := h.DecodeRuns()
	if err != nil {
		v.metrics.badRuns.Inc()
		return
	}
	v.metrics.runs.WithLabelValues("received").Add(float64(len(runs)))
	v.runs.table.ReceiveRuns(runs)
}

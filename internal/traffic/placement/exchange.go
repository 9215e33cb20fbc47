package placement

import (
	"time"

	"sassafrastray/internal/traffic/report"
)

const (
	// runTime is how long a run is reported to other VMs. Each pair of VMs exchanges
	// heartbeats once a second.
	runTime = 1250 * time.Millisecond

	// beatTime is the time between two heartbeats of a pair of VMs. A run that is older in
	// a heartbeat was also in the one before.
	beatTime = time.Second

	// maxRuns bounds the runs that are kept to be reported.
	maxRuns = 2 * report.MaxRuns
)

// run is a run that this VM saw.
type run struct {
	report.Run
	at time.Time
}

// SetShared sets whether the VMs of the region share their reports of runs. Without shared
// reports a VM goes by the responses to its own requests alone.
func (t *Table) SetShared(shared bool) {
	if shared && !t.shared {
		for _, s := range t.servers {
			for object, at := range s.known {
				s.hold(uint32(object), at)
			}
		}
		for _, svc := range t.services {
			if svc.lastRequest.Sub(svc.firstRequest) <= shareResetTime {
				svc.shareSet = false
			}
		}
	}
	t.shared = shared
	t.setGate(shared)
}

// RunReports returns the runs that this VM saw at backend servers lately, the latest
// first and at most as many as the first argument says.
func (t *Table) RunReports(limit int, now time.Time) []report.Run {
	var out []report.Run
	for i := len(t.runs) - 1; i >= 0 && len(out) < limit; i-- {
		r := t.runs[i]
		if r.Age = now.Sub(r.at); r.Age > runTime {
			break
		}
		out = append(out, r.Run)
	}
	return out
}

// ReceiveRuns records runs that another VM of the region saw. Runs of servers that are
// not known are ignored.
func (t *Table) ReceiveRuns(runs []report.Run, now time.Time) {
	if !t.shared {
		return
	}
	for i := range runs {
		r := &runs[i]
		s := t.byID[r.Server]
		if s == nil || r.Age < 0 || r.Running < 0 || r.Waiting < 0 || r.WorkPercent < 0 {
			continue
		}
		at := now.Add(-r.Age - t.distance(s.region)/2)
		if at.Before(s.since) {
			continue
		}
		s.observe(r.Running+r.Waiting, r.WorkPercent, at)
		if r.Object != 0 {
			s.hold(r.Object, at)
			if r.Age < beatTime {
				s.service.countRun(r.Object, now)
			}
		}
	}
}

// recordRun keeps a run for the reports to other VMs.
func (t *Table) recordRun(s *server, object uint32, count, workPercent int, now time.Time) {
	if len(t.runs) == maxRuns {
		t.runs = append(t.runs[:0], t.runs[maxRuns/2:]...)
	}
	running := min(count, s.Slots)
	t.runs = append(t.runs, run{at: now, Run: report.Run{
		Server: uint32(s.hash), Object: object, Running: running, Waiting: count - running, WorkPercent: workPercent,
	}})
}

// indexServers maps the identifiers in reports to servers. Servers with the same one are
// left out, since a report does not tell which of them it means.
func (t *Table) indexServers() {
	clear(t.byID)
	for _, s := range t.servers {
		id := uint32(s.hash)
		if _, ok := t.byID[id]; ok {
			t.byID[id] = nil
			continue
		}
		t.byID[id] = s
	}
}

package scheduler

import (
	"maps"
	"slices"
	"testing"
	"time"

	"sassafrastray"
)

// A request whose deadline passes while it waits is dropped when its turn comes. If
// the caller cancels it before Tick returns the drop, no later call returns it.
func TestCancelAfterDrop(t *testing.T) {
	now := time.Unix(1e9, 0)
	sched := newSingleBackend(1, now)
	now = now.Add(5 * time.Second)
	sched.Tick(now)
	offer := func(id uint64, timeout time.Duration) Outcome {
		return sched.Offer(Request{ID: id, Service: "stock", Version: "v1", Deadline: now.Add(timeout)}, now)
	}
	offer(0, time.Minute)
	if o := offer(1, time.Millisecond); o.Kind != Queued {
		t.Fatalf("request 1: %+v", o)
	}
	now = now.Add(time.Second)
	if starts := sched.Done(0, End{Kind: OK}, now); len(starts) != 0 {
		t.Fatalf("started after its deadline: %v", starts)
	}
	sched.Cancel(1, now)
	if _, drops := sched.Tick(now); len(drops) != 0 {
		t.Errorf("dropped after Cancel: %v", drops)
	}
}

// A route whose estimated service time exceeds its deadline is tried again later,
// even if the pool never has a free slot.
func TestEstimateAges(t *testing.T) {
	now := time.Unix(1e9, 0)
	sched := newSingleBackend(1, now)
	now = now.Add(5 * time.Second)
	sched.Tick(now)
	offer := func(id uint64, route sassafrastray.RouteName) Outcome {
		return sched.Offer(Request{
			ID: id, Service: "stock", Version: "v1", Route: route, Deadline: now.Add(2 * time.Second),
		}, now)
	}
	offer(1, "photo")
	sched.Done(1, End{Kind: OK, Latency: 10 * time.Second}, now)
	offer(2, "stock")
	if o := offer(3, "photo"); o.Kind != Refused || o.Reason != sassafrastray.ReasonBusy {
		t.Fatalf("request 3: %+v", o)
	}
	for range 60 {
		sched.Done(2, End{Kind: OK, Latency: 10 * time.Millisecond}, now)
		now = now.Add(time.Second)
		sched.Tick(now)
		offer(2, "stock")
	}
	for range 60 {
		sched.pools[poolKey{"stock", "v1"}].measure("stock", End{Kind: OK, Latency: 10 * time.Millisecond}, now, now)
	}
	if o := offer(4, "photo"); o.Kind != Queued {
		t.Errorf("request 4: %+v", o)
	}
}

// A backend server that a VM no longer owns may still work on cancelled requests,
// so Holdings counts them for a while.
func TestHoldingsAfterCancel(t *testing.T) {
	now := time.Unix(1e9, 0)
	sched := newSingleBackend(2, now)
	now = now.Add(5 * time.Second)
	sched.Tick(now)
	sched.Offer(Request{ID: 1, Service: "stock", Version: "v1", Deadline: now.Add(time.Minute)}, now)
	sched.SetMembers([]Member{{VM: "vm1", Domain: "n1", Region: "north"}}, now)
	sched.Done(1, End{Kind: Cancelled}, now)
	if hs := sched.Holdings(now); len(hs) != 1 || hs[0].Used != 1 {
		t.Errorf("just after Cancel: %v", hs)
	}
	now = now.Add(time.Second)
	sched.Tick(now)
	if hs := sched.Holdings(now); len(hs) != 1 || hs[0].Used != 0 {
		t.Errorf("a second later: %v", hs)
	}
}

// A report older than the recorded peak of own requests in flight does not lower
// the capacity, because it may count requests of this VM.
func TestOldReport(t *testing.T) {
	now := time.Unix(1e9, 0)
	sched := newSingleBackend(2, now)
	now = now.Add(5 * time.Second)
	sched.Tick(now)
	old := Report{At: now, State: Ready, InFlight: Known(2)}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		sched.Tick(now)
	}
	sched.HandleReport("b0", old, now)
	if got := sched.backends["b0"].capacity(); got != 2 {
		t.Errorf("capacity %d after an old report", got)
	}
	old.At = now
	sched.HandleReport("b0", old, now)
	if got := sched.backends["b0"].capacity(); got != 1 {
		t.Errorf("capacity %d after a new report of others' requests", got)
	}
}

// If all backend servers are down, requests are still sent, one at a time and with
// pauses.
func TestAllBackendsDown(t *testing.T) {
	now := time.Unix(1e9, 0)
	sched := newSingleBackend(4, now)
	now = now.Add(5 * time.Second)
	sched.Tick(now)
	for id := range uint64(100) {
		o := sched.Offer(Request{ID: id, Service: "stock", Version: "v1", Deadline: now.Add(time.Minute)}, now)
		if o.Kind != Dispatched {
			t.Fatalf("request %d: %+v", id, o)
		}
		if o := sched.Offer(Request{ID: 1000 + id, Service: "stock", Version: "v1", Deadline: now.Add(time.Minute)}, now); id > 2 && o.Kind != Queued {
			t.Fatalf("second request beside %d: %+v", id, o)
		}
		sched.Cancel(1000+id, now)
		sched.Done(1000+id, End{Kind: NotSent}, now)
		sched.Done(id, End{Kind: NotSent}, now)
		now = now.Add(panicPause)
		sched.Tick(now)
	}
}

// Probes are idempotent requests if one arrives within idempotentProbeWait.
func TestProbe(t *testing.T) {
	now := time.Unix(1e9, 0)
	sched := benchScheduler(1, now)
	now = now.Add(time.Minute)
	b := sched.backends["s0b0"]
	for range maxConsecutiveFailures {
		b.used++
		b.end(End{Kind: Failed}, now, now, sched.opt, sched.rng)
	}
	offer := func(id uint64, idempotent bool) sassafrastray.BackendName {
		return sched.Offer(Request{
			ID: id, Service: "s0", Version: "v1", Idempotent: idempotent, Deadline: now.Add(time.Minute),
		}, now).Backend
	}
	now = b.probeAt
	if got := offer(1, false); got == b.name {
		t.Error("a non-idempotent request is the first probe")
	}
	if got := offer(2, true); got != b.name {
		t.Errorf("an idempotent request goes to %s", got)
	}
	sched.Done(2, End{Kind: OK}, now)
	now = now.Add(idempotentProbeWait)
	if got := offer(3, false); got != b.name {
		t.Errorf("after idempotentProbeWait, a non-idempotent request goes to %s", got)
	}
}

// A free slot goes to the first request that may use it, even if the team that is
// next has only requests that may not.
func TestSkipTeamThatCannotUseSlot(t *testing.T) {
	now := time.Unix(1e9, 0)
	sched := benchScheduler(1, now)
	now = now.Add(time.Minute)
	offer := func(id uint64, team sassafrastray.TeamName, exclude ...sassafrastray.BackendName) Outcome {
		return sched.Offer(Request{
			ID: id, Service: "s0", Version: "v1", Team: team, Exclude: exclude, Deadline: now.Add(time.Minute),
		}, now)
	}
	at := map[sassafrastray.BackendName]uint64{}
	for id := range uint64(80) {
		at[offer(id, "c").Backend] = id
	}
	offer(100, "a", "s0b0")
	offer(101, "b")
	if starts := sched.Done(at["s0b0"], End{Kind: OK}, now); len(starts) != 1 || starts[0].ID != 101 {
		t.Errorf("the slot goes to %v", starts)
	}
	if starts := sched.Done(at["s0b1"], End{Kind: OK}, now); len(starts) != 1 || starts[0].ID != 100 {
		t.Errorf("the next slot goes to %v", starts)
	}
}

// Teams of the same weight get the same slot time, even if the requests of one take
// ten times as long.
func TestSlotTime(t *testing.T) {
	now := time.Unix(1e9, 0)
	sched := newSingleBackend(4, now)
	now = now.Add(5 * time.Second)
	sched.Tick(now)
	lasts := map[sassafrastray.TeamName]time.Duration{"photo": 100 * time.Millisecond, "stock": 10 * time.Millisecond}
	id, owner, ends := uint64(0), map[uint64]sassafrastray.TeamName{}, map[uint64]time.Time{}
	total := map[sassafrastray.TeamName]time.Duration{}
	start := func(id uint64) { ends[id] = now.Add(lasts[owner[id]]) }
	offer := func(team sassafrastray.TeamName) {
		id++
		owner[id] = team
		o := sched.Offer(Request{
			ID: id, Service: "stock", Version: "v1", Team: team, Route: sassafrastray.RouteName(team), Deadline: now.Add(time.Hour),
		}, now)
		if o.Kind == Dispatched {
			start(id)
		}
	}
	for range 50 {
		offer("photo")
		offer("stock")
	}
	for range 20000 {
		now = now.Add(time.Millisecond)
		for _, id := range slices.Sorted(maps.Keys(ends)) {
			if now.Before(ends[id]) {
				continue
			}
			delete(ends, id)
			total[owner[id]] += lasts[owner[id]]
			for _, s := range slices.Clone(sched.Done(id, End{Kind: OK}, now)) {
				start(s.ID)
				offer(owner[s.ID])
			}
		}
	}
	if a, b := total["photo"].Seconds(), total["stock"].Seconds(); a > 1.25*b || b > 1.25*a {
		t.Errorf("slot time in seconds: photo %.1f, stock %.1f", a, b)
	}
}

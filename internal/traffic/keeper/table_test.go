package keeper

import (
	"testing"
	"time"

	"sassafrastray"
)

// A request whose deadline passed while it waited is dropped when its turn
// comes. If the caller cancels before the drop is returned, no call names it
// any more.
func TestCancelAfterDrop(t *testing.T) {
	now := time.Unix(1e9, 0)
	k := single(1, now)
	now = now.Add(5 * time.Second)
	k.Tick(now)
	offer := func(id uint64, timeout time.Duration) Outcome {
		return k.Offer(Request{ID: id, Service: "stock", Version: "v1", Deadline: now.Add(timeout)}, now)
	}
	offer(0, time.Minute)
	if o := offer(1, time.Millisecond); o.Kind != Queued {
		t.Fatalf("request 1: %+v", o)
	}
	now = now.Add(time.Second)
	if starts := k.Done(0, End{Kind: OK}, now); len(starts) != 0 {
		t.Fatalf("started after its deadline: %v", starts)
	}
	k.Cancel(1, now)
	if _, drops := k.Tick(now); len(drops) != 0 {
		t.Errorf("dropped after Cancel: %v", drops)
	}
}

// A route whose measured time is above its deadline is tried again later, also
// if the pool never has a free slot.
func TestEstimateAges(t *testing.T) {
	now := time.Unix(1e9, 0)
	k := single(1, now)
	now = now.Add(5 * time.Second)
	k.Tick(now)
	offer := func(id uint64, route sassafrastray.RouteName) Outcome {
		return k.Offer(Request{
			ID: id, Service: "stock", Version: "v1", Route: route, Deadline: now.Add(2 * time.Second),
		}, now)
	}
	offer(1, "photo")
	k.Done(1, End{Kind: OK, Latency: 10 * time.Second}, now)
	offer(2, "stock")
	if o := offer(3, "photo"); o.Kind != Refused || o.Reason != sassafrastray.ReasonBusy {
		t.Fatalf("request 3: %+v", o)
	}
	for range 10 {
		k.Done(2, End{Kind: OK, Latency: 10 * time.Millisecond}, now)
		now = now.Add(time.Second)
		k.Tick(now)
		offer(2, "stock")
	}
	for range 60 {
		k.pools[poolKey{"stock", "v1"}].measure("stock", End{Kind: OK, Latency: 10 * time.Millisecond}, now, now)
	}
	if o := offer(4, "photo"); o.Kind != Queued {
		t.Errorf("request 4: %+v", o)
	}
}

// A backend server that a VM gave up may still work on what was cancelled.
func TestHoldingsAfterCancel(t *testing.T) {
	now := time.Unix(1e9, 0)
	k := single(2, now)
	now = now.Add(5 * time.Second)
	k.Tick(now)
	k.Offer(Request{ID: 1, Service: "stock", Version: "v1", Deadline: now.Add(time.Minute)}, now)
	k.View([]Member{{VM: "vm1", Domain: "n1", Region: "north"}}, now)
	k.Done(1, End{Kind: Cancelled}, now)
	if hs := k.Holdings(now); len(hs) != 1 || hs[0].Used != 1 {
		t.Errorf("just after Cancel: %v", hs)
	}
	now = now.Add(time.Second)
	k.Tick(now)
	if hs := k.Holdings(now); len(hs) != 1 || hs[0].Used != 0 {
		t.Errorf("a second later: %v", hs)
	}
}

// A report that is older than what the keeper remembers of its own requests in
// flight does not lower the capacity.
func TestOldReport(t *testing.T) {
	now := time.Unix(1e9, 0)
	k := single(2, now)
	now = now.Add(5 * time.Second)
	k.Tick(now)
	old := Report{At: now, State: Ready, InFlight: Known(2)}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		k.Tick(now)
	}
	k.Health("b0", old, now)
	if got := k.backends["b0"].capacity(); got != 2 {
		t.Errorf("capacity %d after an old report", got)
	}
	old.At = now
	k.Health("b0", old, now)
	if got := k.backends["b0"].capacity(); got != 1 {
		t.Errorf("capacity %d after a new report of others' requests", got)
	}
}

// If all look bad, requests still go out, one at a time and with pauses.
func TestPanic(t *testing.T) {
	now := time.Unix(1e9, 0)
	k := single(4, now)
	now = now.Add(5 * time.Second)
	k.Tick(now)
	for id := range uint64(100) {
		o := k.Offer(Request{ID: id, Service: "stock", Version: "v1", Deadline: now.Add(time.Minute)}, now)
		if o.Kind != Dispatch {
			t.Fatalf("request %d: %+v", id, o)
		}
		if o := k.Offer(Request{ID: 1000 + id, Service: "stock", Version: "v1", Deadline: now.Add(time.Minute)}, now); id > 2 && o.Kind != Queued {
			t.Fatalf("second request beside %d: %+v", id, o)
		}
		k.Cancel(1000+id, now)
		k.Done(1000+id, End{Kind: NotSent}, now)
		k.Done(id, End{Kind: NotSent}, now)
		now = now.Add(panicPause)
		k.Tick(now)
	}
}

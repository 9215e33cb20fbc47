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
	offer := func(id uint64, timeout time.Duration) Outcome {
		return k.Offer(Request{ID: id, Service: "stock", Version: "v1", Deadline: now.Add(timeout)}, now)
	}
	if o := offer(1, time.Millisecond); o.Kind != Queued {
		t.Fatalf("request 1: %+v", o)
	}
	now = now.Add(5 * time.Second)
	offer(2, time.Minute)
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

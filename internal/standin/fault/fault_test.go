package fault_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sassafrastray/internal/standin/call"
	"sassafrastray/internal/standin/fault"
)

// TestLimits checks that the limits on reads and writes are counted separately and
// anew in each second.
func TestLimits(t *testing.T) {
	injector := fault.New(rand.New(rand.NewPCG(1, 1)))
	if err := injector.Set(fault.Settings{ReadsPerSec: 2, WritesPerSec: 1}); err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1000, 0)
	for i, c := range []struct {
		after time.Duration
		kind  call.Kind
		want  fault.Action
	}{
		{0, call.Get, fault.Serve},
		{0, call.Watch, fault.Serve},
		{0, call.Put, fault.Serve},
		{0, call.Delete, fault.Throttle},
		{999 * time.Millisecond, call.List, fault.Throttle},
		{time.Second, call.VMs, fault.Serve},
		{time.Second, call.Put, fault.Serve},
		{time.Second, call.Put, fault.Throttle},
	} {
		if got := injector.Decide(c.kind, "north-1", start.Add(c.after)); got != c.want {
			t.Errorf("call %d: %d, want %d", i, got, c.want)
		}
	}
}

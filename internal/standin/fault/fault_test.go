package fault_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sassafrastray/internal/standin/call"
	"sassafrastray/internal/standin/fault"
)

// TestLimits holds that the bounds on reads and writes count apart, and anew
// in each second.
func TestLimits(t *testing.T) {
	s := fault.New(rand.New(rand.NewPCG(1, 1)))
	if err := s.Set(fault.Plan{Reads: 2, Writes: 1}); err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1000, 0)
	for i, c := range []struct {
		after time.Duration
		kind  call.Kind
		want  fault.Verdict
	}{
		{0, call.Get, fault.Answer},
		{0, call.Watch, fault.Answer},
		{0, call.Put, fault.Answer},
		{0, call.Delete, fault.Limit},
		{999 * time.Millisecond, call.List, fault.Limit},
		{time.Second, call.VMs, fault.Answer},
		{time.Second, call.Put, fault.Answer},
		{time.Second, call.Put, fault.Limit},
	} {
		if got := s.Judge(c.kind, "north-1", start.Add(c.after)); got != c.want {
			t.Errorf("call %d: %d, want %d", i, got, c.want)
		}
	}
}

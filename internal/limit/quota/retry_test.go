package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"sassafrastray"
)

// TestRetryDoesNotCountItself checks that a request that waits for the only
// token of a limit, which another VM holds, is not refused on its retry because
// its own first try still counts as waiting.
func TestRetryDoesNotCountItself(t *testing.T) {
	now := time.Unix(1000, 0)
	lim := New("vm-0", 1, rand.New(rand.NewPCG(1, 1)), DefaultOptions())
	lim.Configure([]Limit{{Key: "photos/coop", Rate: 1.2, Burst: 1}},
		[]sassafrastray.FailureDomain{{Name: "d", Region: "r", Places: 11}}, now)
	v := lim.Take("photos/coop", 1, now)
	for waited := time.Duration(0); waited < 300*time.Millisecond; waited += v.Wait {
		if v.OK || v.Wait <= 0 {
			t.Fatalf("after %v: %+v, want a wait", waited, v)
		}
		now = now.Add(v.Wait)
		v = lim.Retry("photos/coop", 1, v.Stamp, now)
	}
}

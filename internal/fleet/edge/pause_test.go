package edge

import (
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/rollout/rollout"
)

// TestPausedVMDoesNotLead checks that a VM which was paused does not write rollouts
// before it has heard from the others again: to it all others seem silent, and what it
// knows of the new version is from before the pause.
func TestPausedVMDoesNotLead(t *testing.T) {
	vms, clock := newFleetVMs(t, 1)
	first, last := vms["vm-r0-0-00"], vms["vm-r2-1-00"]
	for _, v := range vms {
		v.workers.Release()
	}
	exchange := func() {
		for _, from := range []*VM{first, last} {
			from.pauses.check(clock.now)
			h := from.newHeartbeat(clock.now)
			for _, to := range []*VM{first, last} {
				if to != from {
					to.receive(h, clock.now)
				}
			}
		}
	}
	exchange()
	if !first.isLeader(clock.now) || last.isLeader(clock.now) {
		t.Fatal("the first VM by name must lead")
	}
	for range 6 {
		// The first VM goes on.
		clock.now = clock.now.Add(time.Second)
		first.pauses.check(clock.now)
	}
	if last.isLeader(clock.now) {
		t.Error("a VM leads that has been paused for 6 s")
	}
	last.handlePause(clock.now)
	for range 5 {
		clock.now = clock.now.Add(tickInterval)
		first.pauses.check(clock.now)
		if last.isLeader(clock.now) {
			t.Errorf("a VM leads before it has heard from the others after a pause")
		}
	}
	for range 10 {
		clock.now = clock.now.Add(tickInterval)
		exchange()
	}
	if !first.isLeader(clock.now) || last.isLeader(clock.now) {
		t.Errorf("after heartbeats the first VM by name must lead again; first leads: %v, last: %v", first.isLeader(clock.now), last.isLeader(clock.now))
	}
}

// TestPausedVMWritesNoStep checks that a VM which was paused at the time of a step does
// not raise a rollout's share by evidence from before the pause.
func TestPausedVMWritesNoStep(t *testing.T) {
	v := newQuietVM(t)
	clock := v.clock.(*manualClock)
	for range 12 {
		v.rollouts.Observe("s1", "r1", "v2", rollout.OK)
	}
	clock.now = clock.now.Add(50 * time.Second)
	v.advanceRollouts(clock.now)
	if _, written := v.lastWrite["s1"]; written {
		t.Error("a VM wrote a step of a rollout right after a pause of 50 s")
	}
}

// TestRequestsWaitAfterPause checks that requests wait after a pause until the VM may
// have learned what changed, that they don't wait otherwise, and that a busy process
// does not count as paused while its control goroutine is slow.
func TestRequestsWaitAfterPause(t *testing.T) {
	clock := &manualClock{time.Unix(1000, 0)}
	g := newPauseGuard(clock)
	var slept time.Duration
	g.sleep = func(d time.Duration) { slept += d }
	for range 20 {
		clock.now = clock.now.Add(pauseThreshold / 2)
		if n := g.Await(); n != 0 || slept != 0 {
			t.Fatalf("%d pauses and a wait of %v while requests arrive", n, slept)
		}
	}
	clock.now = clock.now.Add(2 * pauseThreshold)
	if n := g.Await(); n != 1 || slept != resumeHold || g.lastLength() != 2*pauseThreshold {
		t.Errorf("after a pause of %v: %d pauses and a wait of %v, want 1 and %v", g.lastLength(), n, slept, resumeHold)
	}
	slept = 0
	clock.now = clock.now.Add(resumeHold / 2)
	if n := g.Await(); n != 1 || slept != resumeHold/2 {
		t.Errorf("later: %d pauses and a wait of %v, want 1 and %v", n, slept, resumeHold/2)
	}
	slept = 0
	clock.now = clock.now.Add(resumeHold)
	if n := g.Await(); n != 1 || slept != 0 {
		t.Errorf("after the hold: %d pauses and a wait of %v, want 1 and none", n, slept)
	}
}

// TestPauseUsesUpQuotas checks that a VM admits nothing right after a pause, during
// which others may have used its part.
func TestPauseUsesUpQuotas(t *testing.T) {
	v := newQuietVM(t)
	clock := v.clock.(*manualClock)
	if !v.quotas.Take("t1").OK {
		t.Fatal("a team within its rate is refused")
	}
	clock.now = clock.now.Add(6 * time.Second)
	v.handlePause(clock.now)
	if v.quotas.Take(sassafrastray.TeamName("t1")).OK {
		t.Error("a request is admitted with a part of the quota from before the pause")
	}
}

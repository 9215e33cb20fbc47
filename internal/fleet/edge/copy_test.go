package edge

import (
	"net/netip"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
)

// TestCopyIsAskedOfAnotherVM guards against a VM that stays behind because it asks the same
// VM for its copy of the store again and again, which does not answer.
func TestCopyIsAskedOfAnotherVM(t *testing.T) {
	clock := &manualClock{time.Now()}
	list, _ := newFleet(1)
	for i := range list {
		// Nothing listens there.
		list[i].PeerAddress = netip.MustParseAddrPort("127.0.0.1:1")
	}
	v := newFleetVM(t, list[0], clock)
	v.trafficClock = sassafrastray.SystemClock{}
	v.client = gossip.New(v.innerPool, v.trafficClock)
	v.learnVMs(list, clock.now)
	sequence := uint64(0)
	hear := func() {
		sequence++
		for i, vm := range list[1:4] {
			v.receive(&gossip.Heartbeat{
				VM: vm, Incarnation: 1, Sequence: sequence, Ready: true, StoreReachable: true,
				Latest: map[sassafrastray.Topic]int64{sassafrastray.TopicConfig: int64(90 - 10*i)},
			}, clock.now)
		}
	}
	hear()
	for step, want := range []sassafrastray.VMName{list[1].Name, list[2].Name, list[3].Name, list[1].Name} {
		from := v.mostAdvancedPeer(clock.now)
		if from == nil {
			t.Fatalf("copy %d is asked of no VM, want %s", step, want)
		}
		if from.Name != want {
			t.Fatalf("copy %d is asked of %s, want %s", step, from.Name, want)
		}
		v.copyFrom(*from, 0)
		for v.copying {
			select {
			case f := <-v.tasks:
				v.run(f)
			case <-time.After(10 * time.Second):
				t.Fatal("a failed copy has no end")
			}
		}
		clock.now = clock.now.Add(time.Second)
		hear()
	}
	clock.now = clock.now.Add(copyRetry)
	hear()
	if from := v.mostAdvancedPeer(clock.now); from == nil || from.Name != list[1].Name {
		t.Errorf("after a while the copy is asked of %v, want %s", from, list[1].Name)
	}
}

// TestCopyIsAskedAtOnceWithoutTheStore guards against a VM that uses servers and routes which
// are gone, since it waits for a store that it can't reach before it asks another VM.
func TestCopyIsAskedAtOnceWithoutTheStore(t *testing.T) {
	for _, reached := range []bool{true, false} {
		clock := &manualClock{time.Now()}
		list, _ := newFleet(1)
		v := newFleetVM(t, list[0], clock)
		v.trafficClock = sassafrastray.SystemClock{}
		v.client = gossip.New(v.innerPool, v.trafficClock)
		v.learnVMs(list, clock.now)
		if !reached {
			v.replica.RecordFailure(sassafrastray.TopicBackends, clock.now.Add(-time.Second), clock.now.Add(-time.Second))
		}
		other := list[1]
		other.PeerAddress = netip.MustParseAddrPort("127.0.0.1:1")
		v.receive(&gossip.Heartbeat{
			VM: other, Incarnation: 1, Sequence: 1, Ready: true, StoreReachable: true,
			Latest: map[sassafrastray.Topic]int64{sassafrastray.TopicBackends: 90},
		}, clock.now)
		v.checkStore(clock.now)
		if v.copying == reached {
			t.Errorf("store reached: %v, copy asked at once: %v", reached, v.copying)
		}
	}
}

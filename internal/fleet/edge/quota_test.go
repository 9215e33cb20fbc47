package edge

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
)

// TestQuotaWaitsForTheFleet checks that a VM admits nothing until it knows how many VMs
// share the quotas: from another VM that knows the same ones, or after a time without an
// answer. A start of all VMs would admit a multiple of a team's rate otherwise.
func TestQuotaWaitsForTheFleet(t *testing.T) {
	admits := func(v *VM) bool { return v.quotas.Take("t1").OK }
	v := newStartedVM(t)
	advance(v, 2*time.Second)
	if admits(v) {
		t.Error("a request is admitted by a VM that does not know the fleet")
	}
	other := sassafrastray.VM{
		Name: "vm-9", Domain: "r0-0", State: sassafrastray.VMLive,
		PeerAddress: netip.MustParseAddrPort("10.0.0.9:80"), CallerAddress: netip.MustParseAddrPort("10.0.0.9:81"),
	}
	h := &gossip.Heartbeat{VM: other, Incarnation: 1, Sequence: 1, Fleet: []sassafrastray.VM{v.self, other}, Digest: 7, Known: 5}
	v.receive(h, v.clock.Now())
	advance(v, 500*time.Millisecond)
	if admits(v) {
		t.Error("a request is admitted while another VM knows other VMs")
	}
	same := *h
	same.Sequence = 2
	same.Digest, same.Known = v.fleetDigest(v.clock.Now())
	v.receive(&same, v.clock.Now())
	advance(v, time.Second)
	if !admits(v) {
		t.Error("a request is refused though another VM knows the same VMs")
	}
	alone := newStartedVM(t)
	if admits(alone) {
		t.Error("a request is admitted at the start")
	}
	advance(alone, 4*time.Second)
	admits(alone)
	advance(alone, 2*time.Second)
	if !admits(alone) {
		t.Error("a request is refused 6 s after the start")
	}
}

// deadStore is a store that can't be read.
type deadStore struct{ sassafrastray.MetadataStore }

// Read fails.
func (deadStore) Read(context.Context, sassafrastray.Topic, bool) (sassafrastray.Batch, error) {
	return sassafrastray.Batch{}, errors.New("no answer")
}

// TestVMListIsReadAgain checks that a VM whose read of the registered VMs failed reads them
// again soon: until it knows them it admits nothing.
func TestVMListIsReadAgain(t *testing.T) {
	list, regions := newFleet(1)
	clock := &manualClock{time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	v, err := New(Options{VM: list[0], Region: "r0", Regions: regions}, deadStore{}, clock, sassafrastray.SystemClock{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer v.workers.Release()
	v.isDue("list", vmListInterval, clock.now)
	v.readVMs()
	select {
	case f := <-v.tasks:
		v.run(f)
	case <-time.After(10 * time.Second):
		t.Fatal("a failed read changes nothing")
	}
	if v.isDue("list", vmListInterval, clock.now) {
		t.Error("the list is read again at once")
	}
	if clock.now = clock.now.Add(vmListRetry); !v.isDue("list", vmListInterval, clock.now) {
		t.Errorf("the list is not read again after %v", vmListRetry)
	}
}

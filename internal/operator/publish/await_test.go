package publish

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"sassafrastray"
)

// TestAwaitDeadlineDuringRound checks that a wait which ends during a round of
// requests still names the VMs that an earlier round found behind. The requests of
// the last round fail at the deadline, so that round alone shows no VM.
func TestAwaitDeadlineDuringRound(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	vm := netip.MustParseAddrPort("127.0.0.1:7202")
	getStatus := func(ctx context.Context, _ netip.AddrPort) (Status, error) {
		if err := ctx.Err(); err != nil {
			return Status{}, err
		}
		return Status{VMs: []VMStatus{{Name: "vm-2", Domain: "khon-kaen", Config: 3, State: sassafrastray.VMLive}}}, nil
	}
	sleep := func(context.Context, time.Duration) error {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		cancel() // The deadline passes as the next round begins.
		return nil
	}
	p := Await(ctx, getStatus, sleep, []netip.AddrPort{vm}, 4)
	if len(p.Behind) != 1 || p.Behind[0].Name != "vm-2" {
		t.Errorf("VMs behind: %+v, want vm-2, which the first round found", p.Behind)
	}
}

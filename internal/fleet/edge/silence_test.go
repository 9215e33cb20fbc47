package edge

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"sassafrastray"
)

// TestSilenceTracker runs the script of the data file. At the given seconds, VMs
// send a heartbeat (heard), or another VM lists VMs (told) and the unexpired ones of
// them are checked (left).
func TestSilenceTracker(t *testing.T) {
	b, err := os.ReadFile("testdata/silence.txt")
	if err != nil {
		t.Fatal(err)
	}
	tracker, start := newSilenceTracker(), time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	for n, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var second int
		var verb string
		if _, err := fmt.Sscan(line, &second, &verb); err != nil {
			t.Fatalf("line %d: %v", n+1, err)
		}
		now, names := start.Add(time.Duration(second)*time.Second), strings.Fields(line)[2:]
		switch verb {
		case "heard":
			for _, name := range names {
				tracker.recordHeartbeat(sassafrastray.VMName(name), now)
			}
		case "told":
			listed, want, _ := strings.Cut(strings.Join(names, " "), " left")
			want = strings.TrimSpace(want)
			var vms []sassafrastray.VM
			for _, name := range strings.Fields(listed) {
				vms = append(vms, sassafrastray.VM{Name: sassafrastray.VMName(name)})
			}
			var got []string
			for _, vm := range tracker.unexpired(vms, func(sassafrastray.VM) bool { return true }, now) {
				got = append(got, string(vm.Name))
			}
			if g := strings.Join(got, " "); g != want {
				t.Errorf("line %d: unexpired %q, want %q", n+1, g, want)
			}
		default:
			t.Fatalf("line %d: %q", n+1, line)
		}
	}
}

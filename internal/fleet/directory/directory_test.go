package directory

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"

	"sassafrastray"
)

// TestName runs the cases of the data file: the VMs as NAME/REGION with r for
// ready and s for suspect, the caller's region, the homes, and the names.
func TestName(t *testing.T) {
	b, err := os.ReadFile("testdata/name.txt")
	if err != nil {
		t.Fatal(err)
	}
	for n, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		cols := strings.Split(line, "|")
		if len(cols) != 4 {
			t.Fatalf("line %d: %q", n+1, line)
		}
		var vms []VM
		for _, w := range strings.Fields(cols[0]) {
			p := strings.Split(w, "/")
			vms = append(vms, VM{
				Address: netip.MustParseAddrPort("10.0.0." + p[0] + ":80"), Region: sassafrastray.RegionName(p[1]),
				Ready: strings.Contains(p[2], "r"), Suspect: strings.Contains(p[2], "s"),
			})
		}
		var homes []sassafrastray.RegionName
		for _, h := range strings.Fields(cols[2]) {
			homes = append(homes, sassafrastray.RegionName(h))
		}
		var got []string
		for _, a := range Name(vms, sassafrastray.RegionName(strings.TrimSpace(cols[1])), homes) {
			got = append(got, strings.TrimSuffix(strings.TrimPrefix(a.String(), "10.0.0."), ":80"))
		}
		if g, w := strings.Join(got, " "), strings.TrimSpace(cols[3]); g != w {
			t.Errorf("line %d: got %q, want %q", n+1, g, w)
		}
	}
}

// TestMost checks that an answer names no more VMs than callers take.
func TestMost(t *testing.T) {
	var vms []VM
	for i := range 200 {
		vms = append(vms, VM{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:80", i)), Region: "n", Ready: true})
	}
	if n := len(Name(vms, "n", nil)); n != most {
		t.Errorf("%d VMs named, want %d", n, most)
	}
}

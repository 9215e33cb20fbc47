package directory

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
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
		vms = append(vms, VM{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:80", i)), Region: "n", Ready: true, Size: 1})
	}
	for _, region := range []sassafrastray.RegionName{"n", "s"} {
		if n := len(Name(vms, region, nil)); n != most {
			t.Errorf("%d VMs named for callers of %s, want %d", n, region, most)
		}
	}
}

// TestLargest is the pattern of a region with many small VMs and few large ones:
// callers are sent to the VMs that have half of the capacity, and to some of
// each failure domain. The loss of any named VM changes nothing else than that
// others take its place.
func TestLargest(t *testing.T) {
	var vms []VM
	for i := range 24 {
		v := VM{
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:80", i)), Region: "n", Ready: true,
			Domain: sassafrastray.DomainName(fmt.Sprint("n-", i%2)), Size: 0.1,
		}
		if i%2 == 0 && i < 8 {
			v.Size = 0.8
		}
		vms = append(vms, v)
	}
	named := Name(vms, "n", nil)
	size, each := 0.0, map[sassafrastray.DomainName]int{}
	for _, v := range vms {
		if slices.Contains(named, v.Address) {
			size += v.Size
			each[v.Domain]++
		} else if v.Size > 0.1 {
			t.Errorf("the large VM %v is not named", v.Address)
		}
	}
	if len(named) >= len(vms)/2 || len(named) < fewest || size < part*5.2 || each["n-0"] < fewestEach || each["n-1"] < fewestEach {
		t.Errorf("%d VMs named with %.1f cores, by domain %v", len(named), size, each)
	}
	for i := range vms {
		if !slices.Contains(named, vms[i].Address) {
			continue
		}
		rest := slices.Delete(slices.Clone(vms), i, i+1)
		for _, a := range named {
			if a != vms[i].Address && !slices.Contains(Name(rest, "n", nil), a) {
				t.Errorf("%v is not named any more without %v", a, vms[i].Address)
			}
		}
	}
}

// TestSmallRegion checks that callers are sent to all VMs of a region that has
// few, and to all if nobody knows their sizes.
func TestSmallRegion(t *testing.T) {
	for _, n := range []int{1, fewest, 30} {
		var vms []VM
		for i := range n {
			v := VM{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:80", i)), Region: "n", Ready: true}
			if n <= fewest {
				v.Size = float64(i)
			}
			vms = append(vms, v)
		}
		if got := len(Name(vms, "n", nil)); got != n {
			t.Errorf("%d of %d VMs named", got, n)
		}
	}
}

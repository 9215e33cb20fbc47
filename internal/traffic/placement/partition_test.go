package placement

import (
	"net/netip"
	"testing"
	"time"

	"sassafrastray"
)

// TestFailuresOfAPartition checks that servers at which all requests failed while the VM
// was partitioned from them are used at once afterwards. Else the VM would refuse
// requests for seconds more, or send them elsewhere.
func TestFailuresOfAPartition(t *testing.T) {
	for _, e := range []End{Failed, Timeout, Refused} {
		table, now := newTable("n", 1), start
		table.Update(servers("n-1", 4, 4), nil, now)
		for range 40 {
			if c, ok := table.Pick(request(""), now); ok {
				table.Done(c, e, time.Second, nil, now)
			}
			now = now.Add(100 * time.Millisecond)
		}
		table.ForgetFailures(now)
		used := map[sassafrastray.BackendName]bool{}
		for range 8 {
			c, ok := table.Pick(request(""), now)
			if !ok {
				t.Fatalf("%s: no server is used", e)
			}
			if c.Expected > defaultCold+defaultWarm {
				t.Errorf("%s: %v expected", e, c.Expected)
			}
			used[c.Server.Name] = true
		}
		if len(used) != 4 {
			t.Errorf("%s: %d servers are used, want 4", e, len(used))
		}
	}
}

// TestSample checks that a sample has servers of as many failure domains as possible, and
// none that leaves or is evacuated.
func TestSample(t *testing.T) {
	table := newTable("n", 1)
	list := append(append(servers("n-1", 20, 4), servers("n-2", 1, 4)...), servers("s-1", 3, 4)...)
	domains := map[string]sassafrastray.DomainName{}
	for i := range list {
		list[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		domains[list[i].Address.String()] = list[i].Domain
	}
	table.Update(list, nil, start)
	for range 20 {
		seen := map[sassafrastray.DomainName]int{}
		for _, a := range table.Sample(3, list[0].Address) {
			if a == list[0].Address {
				t.Error("the sample has the server that it should not have")
			}
			seen[domains[a.String()]]++
		}
		if len(seen) != 3 {
			t.Fatalf("a sample of three has %v", seen)
		}
	}
	if n := len(table.Sample(50, list[0].Address)); n != 23 {
		t.Errorf("the sample of all has %d servers, want 23", n)
	}
	list[20].Leaving = true
	table.Update(list, map[sassafrastray.DomainName]bool{"s-1": true}, start)
	for _, a := range table.Sample(50, list[0].Address) {
		if domains[a.String()] != "n-1" {
			t.Errorf("the sample has a server of %s", domains[a.String()])
		}
	}
}

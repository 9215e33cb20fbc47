package placement

import (
	"fmt"
	"testing"
	"time"

	"sassafrastray"
)

// TestHeavyObjectsStayNear checks that requests with large bodies go to servers of the
// VM's failure domain and those for one object to one of them, that light ones go to
// one server of the region from any VM, and that heavy ones spread over the region when
// the domain has too few servers, is evacuated, or its servers are full.
func TestHeavyObjectsStayNear(t *testing.T) {
	const heavy = heavyBytes + 1
	all := append(servers("n-1", 3, 4), servers("n-2", 3, 4)...)
	for _, c := range []struct {
		name      string
		servers   []sassafrastray.BackendServer
		evacuated map[sassafrastray.DomainName]bool
		bytes     int
		// busy requests are in progress before those that are counted.
		busy int
		// least and most bound the fraction of choices in the VM's failure domain.
		least, most float64
	}{
		{"heavy", all, nil, heavy, 0, 1, 1},
		{"light", all, nil, heavyBytes - 1, 0, 0.3, 0.7},
		{"one server near", append(servers("n-1", 1, 4), servers("n-2", 5, 4)...), nil, heavy, 0, 0, 0.4},
		{"evacuated", all, map[sassafrastray.DomainName]bool{"n-1": true}, heavy, 0, 0, 0},
		{"near ones full", all, nil, heavy, 40, 0, 0.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable("north", 1)
			table.opt.Domain = "n-1"
			table.Update(c.servers, c.evacuated, start)
			r := request("")
			r.Bytes, r.Objective, r.TimeLeft = c.bytes, 10*time.Second, time.Minute
			for i := range c.busy {
				r.Object = fmt.Sprint("busy ", i)
				if _, ok := table.Pick(r, start); !ok {
					t.Fatalf("request %d is refused", i)
				}
			}
			near, chosen := 0, map[string]sassafrastray.BackendName{}
			const objects = 200
			for i := range 2 * objects {
				r.Object = fmt.Sprint(i % objects)
				choice, ok := table.Pick(r, start)
				if !ok {
					t.Fatalf("object %s is refused", r.Object)
				}
				if choice.Server.Domain == "n-1" {
					near++
				}
				if before, again := chosen[r.Object]; again && c.busy == 0 && before != choice.Server.Name {
					t.Errorf("object %s goes to %s and %s", r.Object, before, choice.Server.Name)
				}
				chosen[r.Object] = choice.Server.Name
				table.Done(choice, OK, 5*time.Millisecond, nil, start)
			}
			if share := float64(near) / (2 * objects); share < c.least || share > c.most {
				t.Errorf("%.2f of the requests stay in the failure domain, want %.2f to %.2f", share, c.least, c.most)
			}
		})
	}
}

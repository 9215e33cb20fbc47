package roster_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
	"sassafrastray/internal/standin/roster"
)

// TestLag holds that the list shown is the last one that was set at least a lag
// ago. The oracle keeps each list with its time and looks through all of them.
func TestLag(t *testing.T) {
	type edition struct {
		from time.Time
		name sassafrastray.VMName
	}
	rapid.Check(t, func(t *rapid.T) {
		lag := time.Duration(rapid.IntRange(0, 5).Draw(t, "lag")) * time.Second
		now := time.Unix(1000, 0)
		r := roster.New(list("first"), lag)
		all := []edition{{now, "first"}}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				name := sassafrastray.VMName(rapid.StringMatching("[a-z]{3}").Draw(t, "name"))
				r.Set(list(name), now)
				all = append(all, edition{now.Add(lag), name})
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				want := all[0].name
				for _, e := range all {
					if !e.from.After(now) {
						want = e.name
					}
				}
				if got := r.VMs(now); len(got) != 1 || got[0].Name != want {
					t.Fatalf("shows %v, want %s", got, want)
				}
			},
		})
	})
}

func list(name sassafrastray.VMName) []sassafrastray.VM {
	return []sassafrastray.VM{{Name: name}}
}

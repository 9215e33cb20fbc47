package vmlist_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
	"sassafrastray/internal/standin/vmlist"
)

// TestLag checks that the visible list is the last one that was set at least a lag
// ago. The reference implementation keeps every update and searches all of them.
func TestLag(t *testing.T) {
	type update struct {
		visibleAt time.Time
		name      sassafrastray.VMName
	}
	rapid.Check(t, func(t *rapid.T) {
		lag := time.Duration(rapid.IntRange(0, 5).Draw(t, "lag")) * time.Second
		now := time.Unix(1000, 0)
		l := vmlist.New(list("first"), lag)
		updates := []update{{now, "first"}}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				name := sassafrastray.VMName(rapid.StringMatching("[a-z]{3}").Draw(t, "name"))
				l.Set(list(name), now)
				updates = append(updates, update{now.Add(lag), name})
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				want := updates[0].name
				for _, u := range updates {
					if !u.visibleAt.After(now) {
						want = u.name
					}
				}
				if got := l.VMs(now); len(got) != 1 || got[0].Name != want {
					t.Fatalf("visible VMs are %v, want %s", got, want)
				}
			},
		})
	})
}

func list(name sassafrastray.VMName) []sassafrastray.VM {
	return []sassafrastray.VM{{Name: name}}
}

package apikey

import (
	"strings"
	"testing"

	"sassafrastray"
)

func TestTable(t *testing.T) {
	old, current := New(), New()
	c := &sassafrastray.Config{Fleet: sassafrastray.Fleet{Teams: []sassafrastray.Team{
		{Name: "coop", Keys: []sassafrastray.KeyDigest{Digest(current)}},
	}}}
	table := NewTable(c)
	if team, ok := table.Team([]byte(current)); !ok || team != "coop" {
		t.Errorf("key in force: %q, %t", team, ok)
	}
	for _, k := range []string{old, "", current[:len(current)-1], current + "x", strings.ToUpper(current), string(Digest(current))} {
		if team, ok := table.Team([]byte(k)); ok {
			t.Errorf("%q gives %q", k, team)
		}
	}
	if n := testing.AllocsPerRun(100, func() { table.Team([]byte("sk_0123456789abcdef")) }); n > 0 {
		t.Errorf("%v allocations per look-up", n)
	}
}

func TestNew(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		k := New()
		if seen[k] || !strings.HasPrefix(k, Prefix) || len(k) < len(Prefix)+43 || !ValidDigest(Digest(k)) {
			t.Fatalf("%q", k)
		}
		seen[k] = true
	}
}

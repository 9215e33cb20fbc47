package store_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

const (
	writers  = 8
	writes   = 120
	switches = 40
)

// TestOutcomes writes many keys, each once, while faults are switched on and off,
// and compares the outcomes with the final content of the store: the key of a
// successful write must exist, and that of an unavailable one must not. After an
// unknown outcome, the key may or may not exist.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	s := newScript(t)
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { switchFaults(s, stop) })
	var (
		mu       sync.Mutex
		outcomes = map[string]string{}
		all      sync.WaitGroup
	)
	for w := range writers {
		all.Go(func() {
			r := rand.New(rand.NewPCG(uint64(w), 1))
			for i := range writes {
				key := fmt.Sprintf("w%d/%d", w, i)
				got := s.call(context.Background(), []string{"put", key, "x", "0"}, time.Duration(r.IntN(60))*time.Millisecond)
				time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
				mu.Lock()
				outcomes[key] = got
				mu.Unlock()
			}
		})
	}
	all.Wait()
	close(stop)
	faults.Wait()
	s.putControl("faults", "{}")
	time.Sleep(200 * time.Millisecond) // delayed writes take effect
	checkOutcomes(t, s, outcomes)
}

// switchFaults sets a random fault every 50 ms.
func switchFaults(s *script, stop <-chan struct{}) {
	plans := []string{"{}", "{mode: busy}", "{mode: refuse}", "{mode: silent}", "{chance: 0.5}", "{delay: 40ms}", "{writes: 50}"}
	r := rand.New(rand.NewPCG(1, 1))
	for range switches {
		s.putControl("faults", plans[r.IntN(len(plans))])
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
	s.putControl("faults", "{}")
}

// checkOutcomes compares the outcomes of the writes with the keys in the store, and
// checks that each kind of outcome occurred.
func checkOutcomes(t *testing.T, s *script, outcomes map[string]string) {
	seen := map[string]int{}
	present := map[string]bool{}
	objects, err := s.client.List(context.Background(), "w")
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range objects {
		present[o.Key] = true
	}
	for key, got := range outcomes {
		switch got {
		case "unknown":
		case "unavailable":
			if present[key] {
				t.Errorf("%s exists although the store did not accept its write", key)
			}
		case "conflict", "not-found", "declined":
			t.Errorf("%s: %s on a new key", key, got)
		default:
			got = "ok"
			if !present[key] {
				t.Errorf("%s does not exist although its write succeeded", key)
			}
		}
		seen[got]++
	}
	t.Log(seen)
	for _, name := range []string{"ok", "unknown", "unavailable"} {
		if seen[name] == 0 {
			t.Errorf("no write had the outcome %s, so it was not tested", name)
		}
	}
}

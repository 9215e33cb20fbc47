package edge

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/fleet/replica"
)

// step is what happens to a fleet that follows a store: a change of a topic, a silence, or
// the death of the nth VM.
type step struct {
	after, silence time.Duration
	change         sassafrastray.Topic
	kill           int
}

// TestSilencesHideNoChange guards against watches that all VMs begin, or whose answers are
// lost, in a short silence of the store: for up to 26 s no VM saw that servers leave.
func TestSilencesHideNoChange(t *testing.T) {
	b, err := os.ReadFile("testdata/silences.txt")
	if err != nil {
		t.Fatal(err)
	}
	for n, script := range strings.Split(strings.TrimSpace(string(b)), "\n\n") {
		var steps []step
		for line := range strings.Lines(script) {
			if f := strings.Fields(line); f[0] != "#" {
				steps = append(steps, parseStep(t, f))
			}
		}
		for _, fault := range playSilences(t, steps) {
			t.Errorf("script %d: %s", n+1, fault)
		}
	}
}

func parseStep(t *testing.T, f []string) (s step) {
	t.Helper()
	if len(f) != 3 {
		t.Fatalf("not a step: %q", f)
	}
	var err error
	if s.after, err = time.ParseDuration(f[0]); err != nil {
		t.Fatal(err)
	}
	s.kill = -1
	switch f[1] {
	case "change":
		s.change = sassafrastray.Topic(f[2])
		if !slices.Contains(replica.Topics, s.change) {
			t.Fatalf("no topic: %q", f)
		}
	case "silence":
		s.silence, err = time.ParseDuration(f[2])
	case "kill":
		s.kill, err = strconv.Atoi(f[2])
	default:
		t.Fatalf("not a step: %q", f)
	}
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestManySilencesHideNoChange is TestSilencesHideNoChange with random steps.
func TestManySilencesHideNoChange(t *testing.T) {
	milliseconds := func(r *rapid.T, low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(r, label)) * time.Millisecond
	}
	rapid.Check(t, func(r *rapid.T) {
		steps := []step{{after: milliseconds(r, 9000, 11000, "start"), change: sassafrastray.TopicBackends, kill: -1}}
		kills := 0
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			s := step{after: milliseconds(r, 1, rapid.SampledFrom([]int{400, 2000, 5000}).Draw(r, "gap"), "after"), kill: -1}
			switch k := rapid.IntRange(0, 8).Draw(r, "kind"); {
			case k == 0 && kills < 2:
				s.kill = kills
				kills++
			case k < 5:
				s.silence = milliseconds(r, 10, 1500, "silence")
			default:
				s.change = rapid.SampledFrom(replica.Topics).Draw(r, "topic")
			}
			steps = append(steps, s)
		}
		steps = append(steps, step{
			after: milliseconds(r, int(stableWindow/time.Millisecond), 6000, "rest"), change: rapid.SampledFrom(replica.Topics).Draw(r, "last"), kill: -1,
		})
		for _, fault := range playSilences(t, steps) {
			r.Errorf("%s", fault)
		}
	})
}

// playSilences plays steps with six VMs. It returns which VMs lack a change for longer than
// changeBound after it was made while the store was stable.
func playSilences(t *testing.T, steps []step) (faults []string) {
	synctest.Test(t, func(t *testing.T) {
		s := newMutedStore()
		vms := startMutedFleet(t, s)
		found := make(chan string, len(steps)*len(vms))
		var checks sync.WaitGroup
		for _, st := range steps {
			time.Sleep(st.after)
			switch {
			case st.change != "":
				revision, stable := s.change(st.change), s.calmFor(stableWindow)
				checks.Go(func() {
					time.Sleep(changeBound)
					if !stable || !s.calmFor(changeBound) {
						return
					}
					for _, v := range vms {
						if has := ask(v, func(time.Time) int64 { return v.replica.Latest()[st.change] }); has < revision && v.ctx.Err() == nil {
							found <- fmt.Sprintf("%s has revision %d of %s, the store has had %d for %v", v.opt.VM.Name, has, st.change, revision, changeBound)
						}
					}
				})
			case st.silence > 0:
				s.mute(st.silence)
			default:
				vms[st.kill].stop()
			}
		}
		checks.Wait()
		close(found)
		for fault := range found {
			faults = append(faults, fault)
		}
	})
	return faults
}

// TestRenewedWatches runs the script of the data file. At the given seconds a VM begins a
// watch, or hears whether another VM reaches the store and how long ago a call of that VM
// failed; then its watch is kept or renewed.
func TestRenewedWatches(t *testing.T) {
	b, err := os.ReadFile("testdata/renewals.txt")
	if err != nil {
		t.Fatal(err)
	}
	vms, clock := newFleetVMs(t, 1)
	v, other, start := vms["vm-r0-0-00"], vms["vm-r1-0-00"], clock.now
	var w *watch
	for n, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		f := strings.Fields(line)
		if f[0] == "#" {
			continue
		}
		second, err := strconv.ParseFloat(f[0], 64)
		if err != nil {
			t.Fatalf("line %d: %v", n+1, err)
		}
		clock.now = start.Add(time.Duration(second * float64(time.Second)))
		if f[1] == "begin" {
			w, _ = v.startWatch(sassafrastray.TopicRollouts, false)
			continue
		}
		h := &gossip.Heartbeat{VM: other.self, Incarnation: 1, Sequence: uint64(n), StoreReachable: f[1] == "reached"}
		if f[2] != "-" {
			if h.Failed, err = time.ParseDuration(f[2]); err != nil {
				t.Fatalf("line %d: %v", n+1, err)
			}
		}
		v.receive(h, clock.now)
		if renewed := w.ctx.Err() != nil; renewed != (f[3] == "renewed") {
			t.Errorf("line %d: renewed: %v", n+1, renewed)
		}
	}
}

// TestCheckingVMs checks that one VM of a small fleet, and one of each region of a large one,
// checks the store, that it is a watcher, and that another one takes over.
func TestCheckingVMs(t *testing.T) {
	for each, want := range map[int]int{2: 1, 10: 3} {
		vms, clock := newFleetVMs(t, each)
		checking := func() (list []*VM) {
			for range 8 {
				exchangeHeartbeats(vms, notCut, clock.now)
				clock.now = clock.now.Add(time.Second)
			}
			exchangeHeartbeats(vms, notCut, clock.now)
			for _, v := range vms {
				v.updateRoles(clock.now)
				v.updateWatching(clock.now)
				if v.checking.Load() {
					list = append(list, v)
				}
			}
			return list
		}
		first := checking()
		if len(first) != want {
			t.Fatalf("%d VMs of %d check the store, want %d", len(first), len(vms), want)
		}
		for _, v := range first {
			if !v.watching.Load() {
				t.Errorf("%s checks the store and does not watch it", v.self.Name)
			}
		}
		delete(vms, first[0].self.Name)
		if next := checking(); len(next) != want {
			t.Errorf("%d VMs check the store after the end of one, want %d", len(next), want)
		}
	}
}

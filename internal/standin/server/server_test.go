package server_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"sassafrastray/internal/standin/server"
)

// TestSlots checks that a server admits a request exactly when a slot is free and
// it does not shed, and that without faults its reports match the used slots.
func TestSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		s := server.New(server.Settings{Slots: slots, MedianTime: time.Second, Spread: 0.5}, rand.New(rand.NewPCG(1, 1)), now)
		used, peak, shed := 0, 0, false
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				w, ok := s.Admit("/", now)
				if ok != (used < slots && !shed) {
					t.Fatalf("admitted %v with %d of %d slots used, shed %v", ok, used, slots, shed)
				}
				if ok {
					used++
					peak = max(peak, used)
				}
				if ok != (w.Duration > 0) {
					t.Fatalf("admitted %v, takes %s", ok, w.Duration)
				}
			},
			"done": func(t *rapid.T) {
				if used == 0 {
					t.Skip("nothing runs")
				}
				s.Release()
				used--
			},
			"shed": func(*rapid.T) {
				shed = !shed
				s.SetFaults(server.Faults{Shed: shed}, now)
			},
			"": func(t *rapid.T) {
				h := s.Health(now)
				if h.Used != used || h.Slots != slots || s.Peak() != peak {
					t.Fatalf("reports %+v and a peak of %d, want %d and %d", h, s.Peak(), used, peak)
				}
				if got, want := s.Load(now), fmt.Sprintf("%d/%d", used, slots); got != want {
					t.Fatalf("reports load %s, want %s", got, want)
				}
			},
		})
	})
}

// TestCold checks that requests take longer until both the time and the number of
// requests of a cold start have passed.
func TestCold(t *testing.T) {
	start := time.Unix(1000, 0)
	s := server.New(server.Settings{
		Slots: 1, MedianTime: time.Second,
		ColdStart: server.ColdStart{Lasts: 10 * time.Second, Requests: 3, Factor: 4},
	}, rand.New(rand.NewPCG(1, 1)), start)
	for i, c := range []struct {
		after time.Duration
		takes time.Duration
		state server.State
	}{
		{0, 4 * time.Second, server.Cold},
		{11 * time.Second, 4 * time.Second, server.Cold},
		{11 * time.Second, 4 * time.Second, server.Cold},
		{11 * time.Second, time.Second, server.OK},
	} {
		now := start.Add(c.after)
		if got := s.Health(now).State; got != c.state {
			t.Errorf("request %d: %s, want %s", i, got, c.state)
		}
		if w, _ := s.Admit("/", now); w.Duration != c.takes {
			t.Errorf("request %d takes %s, want %s", i, w.Duration, c.takes)
		}
		s.Release()
	}
	s.Restart(start.Add(time.Hour))
	if got := s.Health(start.Add(time.Hour)).State; got != server.Cold {
		t.Errorf("after a restart: %s", got)
	}
}

// TestLag checks that a lagging load report repeats its value.
func TestLag(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server.New(server.Settings{Slots: 3, MedianTime: time.Second}, rand.New(rand.NewPCG(1, 1)), now)
	s.SetFaults(server.Faults{Load: server.LoadFaults{Lag: time.Second}}, now)
	for _, c := range []struct {
		after time.Duration
		want  string
	}{{0, "1/3"}, {999 * time.Millisecond, "1/3"}, {time.Second, "3/3"}} {
		s.Admit("/", now)
		if got := s.Load(now.Add(c.after)); got != c.want {
			t.Errorf("after %s: %s, want %s", c.after, got, c.want)
		}
	}
}

// TestDefect checks that a defect affects only the requests that meet its
// conditions.
func TestDefect(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server.New(server.Settings{Slots: 3, MedianTime: time.Second}, rand.New(rand.NewPCG(1, 1)), now)
	s.SetFaults(server.Faults{Defect: &server.Defect{Fail: 1, Slow: 3, After: 2, Path: "/orders", Above: 1}}, now)
	for i, c := range []struct {
		path      string
		used      int
		defective bool
	}{
		{"/orders", 1, false}, // only the second request; After is 2
		{"/orders", 0, false},
		{"/stock", 1, false},
		{"/orders/7", 1, true},
	} {
		for range c.used {
			s.Admit("/other", now)
		}
		w, _ := s.Admit(c.path, now)
		if w.Fail != c.defective || (w.Duration == 3*time.Second) != c.defective {
			t.Errorf("request %d: %+v, want defect: %v", i, w, c.defective)
		}
		for range c.used + 1 {
			s.Release()
		}
	}
}

// TestFiles compares the parsed settings, or the error, with the golden files.
func TestFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no files", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".yaml")
		t.Run(name, func(t *testing.T) {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			text := ""
			all, err := server.Parse(b)
			for _, s := range all {
				text += fmt.Sprintf("%s %s %s %s %d %s\n", s.Name, s.Service, s.Version, s.Listen, s.Slots, s.MedianTime)
			}
			if err != nil {
				text += err.Error() + "\n"
			}
			goldie.New(t).Assert(t, name, []byte(text))
		})
	}
}

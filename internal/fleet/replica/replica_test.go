package replica

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"sassafrastray"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// TestReplica runs the scripts of the data file against a replica.
func TestReplica(t *testing.T) { runScripts(t, "replica.txtar", Options{}) }

// TestRemovedServersLeaveInTime guards against requests to a backend server whose removal the
// store acknowledged right after an outage.
func TestRemovedServersLeaveInTime(t *testing.T) {
	runScripts(t, "removals.txtar", Options{MaxDrain: 2 * time.Second})
}

func runScripts(t *testing.T, file string, opt Options) {
	a, err := txtar.ParseFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range a.Files {
		t.Run(f.Name, func(t *testing.T) {
			s := &script{r: New(opt), now: start}
			for n, line := range strings.Split(strings.TrimSpace(string(f.Data)), "\n") {
				s.line(t, n+1, strings.Fields(line))
			}
		})
	}
}

type script struct {
	r   *Replica
	now time.Time
	// revision is that of the latest configuration.
	revision int64
}

// entry parses NAME:INCARNATION:SEQUENCE with :leaving if the server leaves, NAME:gone or
// NAME:bad.
func entry(t *testing.T, revision int64, word string) sassafrastray.Entry {
	parts := strings.Split(word, ":")
	e := sassafrastray.Entry{Name: parts[0], Revision: revision}
	switch {
	case parts[1] == "gone":
		e.Deleted = true
	case parts[1] == "bad":
		e.DecodeError = "can't be read"
	default:
		e.Backend = &sassafrastray.BackendServer{Name: sassafrastray.BackendName(parts[0])}
		e.Backend.Incarnation = number(t, parts[1])
		e.Backend.Sequence = number(t, parts[2])
		e.Backend.Leaving = len(parts) > 3
	}
	return e
}

func number(t *testing.T, s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func (s *script) line(t *testing.T, n int, words []string) {
	t.Helper()
	switch words[0] {
	case "news":
		// An update that another VM forwards: its revision, that of the change before
		// it, and how long ago the store became reachable again.
		recovery, err := time.ParseDuration(words[3])
		if err != nil {
			t.Fatal(err)
		}
		b := sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: number(t, words[1]), After: number(t, words[2]), SinceOutage: recovery}
		for _, w := range words[4:] {
			b.Entries = append(b.Entries, entry(t, b.Revision, w))
		}
		s.r.ApplyFromPeer(b, s.now)
	case "whole", "part", "peer", "copy":
		b := sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: number(t, words[1]), Complete: words[0] != "part"}
		entries := words[2:]
		if words[0] == "copy" {
			// A copy of another VM, and how long ago the store became reachable for it.
			var err error
			if b.SinceOutage, err = time.ParseDuration(words[2]); err != nil {
				t.Fatal(err)
			}
			entries = words[3:]
		}
		for _, w := range entries {
			b.Entries = append(b.Entries, entry(t, b.Revision, w))
		}
		if words[0] == "peer" || words[0] == "copy" {
			s.r.ApplyFromPeer(b, s.now)
		} else {
			s.r.Apply(b, s.now)
		}
	case "config":
		s.config(sassafrastray.Entry{Config: &sassafrastray.Config{Number: number(t, words[1])}})
	case "config-bad":
		s.config(sassafrastray.Entry{DecodeError: "can't be read"})
	case "watching":
		s.r.SetWatching(true)
	case "answer":
		s.r.Apply(sassafrastray.Batch{Topic: sassafrastray.TopicRollouts}, s.now)
	case "fail":
		s.r.RecordFailure(sassafrastray.TopicBackends, s.now, s.now)
	case "wait":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(d)
		s.r.Tick(s.now)
	case "have":
		var got []string
		for _, b := range s.r.Backends() {
			got = append(got, fmt.Sprintf("%s:%d:%d", b.Name, b.Incarnation, b.Sequence))
		}
		if g, w := strings.Join(got, " "), strings.Join(words[1:], " "); g != w {
			t.Errorf("line %d: have %q, want %q", n, g, w)
		}
	case "number":
		if c := s.r.Config(); c == nil || c.Number != number(t, words[1]) {
			t.Errorf("line %d: configuration %+v, want %s", n, c, words[1])
		}
	default:
		t.Fatalf("line %d: %v", n, words)
	}
}

// config applies a change of the configuration.
func (s *script) config(e sassafrastray.Entry) {
	s.revision++
	e.Name, e.Revision = "main", s.revision
	s.r.Apply(sassafrastray.Batch{Topic: sassafrastray.TopicConfig, Revision: s.revision, Entries: []sassafrastray.Entry{e}}, s.now)
}

// TestMonotonic applies batches in any order and checks that the replica never
// returns to an older configuration, nor to an earlier incarnation of a backend
// server.
func TestMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := New(Options{}), start
		config, incarnations := int64(0), map[sassafrastray.BackendName]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "batches") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			revision := rapid.Int64Range(1, 50).Draw(t, "revision")
			switch rapid.SampledFrom([]string{"config", "backend", "whole", "fail", "tick"}).Draw(t, "kind") {
			case "config":
				r.Apply(sassafrastray.Batch{Topic: sassafrastray.TopicConfig, Revision: revision, Entries: []sassafrastray.Entry{
					{Name: "main", Revision: revision, Config: &sassafrastray.Config{Number: rapid.Int64Range(1, 20).Draw(t, "number")}},
				}}, now)
			case "backend", "whole":
				name := sassafrastray.BackendName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"))
				b := sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: revision, Complete: rapid.Bool().Draw(t, "whole")}
				b.Entries = []sassafrastray.Entry{{Name: string(name), Revision: revision, Backend: &sassafrastray.BackendServer{
					Name: name, Incarnation: rapid.Int64Range(1, 5).Draw(t, "born"), Sequence: rapid.Int64Range(1, 5).Draw(t, "seq"),
				}}}
				if rapid.Bool().Draw(t, "peer") {
					r.ApplyFromPeer(b, now)
				} else {
					r.Apply(b, now)
				}
			case "fail":
				r.RecordFailure(sassafrastray.TopicBackends, now, now)
			case "tick":
				r.Tick(now)
			}
			if c := r.Config(); c != nil {
				if c.Number < config {
					t.Fatalf("configuration went from %d to %d", config, c.Number)
				}
				config = c.Number
			}
			present := map[sassafrastray.BackendName]bool{}
			for _, b := range r.Backends() {
				present[b.Name] = true
				if b.Incarnation < incarnations[b.Name] {
					t.Fatalf("%s went from run %d to %d", b.Name, incarnations[b.Name], b.Incarnation)
				}
				incarnations[b.Name] = b.Incarnation
			}
			for name := range incarnations {
				if !present[name] {
					delete(incarnations, name)
				}
			}
		}
	})
}

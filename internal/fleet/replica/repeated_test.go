package replica

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sassafrastray"
)

// at returns the servers that the store had at a revision.
func (h *history) at(revision int64) []string {
	have := map[string]string{}
	for _, e := range h.events {
		if e.Revision > revision {
			break
		}
		delete(have, e.Name)
		if !e.Deleted {
			have[e.Name] = fmt.Sprint(e.Name, ":", e.Backend.Incarnation)
		}
	}
	return slices.Sorted(maps.Values(have))
}

// TestReplicaIsTheStoreAtItsPosition guards against an older word of the store that replaces a
// later one. Two VMs read and watch the store, each from its own position and with answers that
// arrive late, and copy from each other in between. After each step a replica must hold
// what the store held at its position, which never goes back.
func TestReplicaIsTheStoreAtItsPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{current: map[string]sassafrastray.Entry{}}
		h.change("a", false)
		vms := []*watcher{{r: New(Options{})}, {r: New(Options{})}}
		for _, w := range vms {
			w.reread(h, start)
		}
		late := make(map[*watcher][]sassafrastray.Batch)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w := rapid.SampledFrom(vms).Draw(t, "vm")
			was := w.r.Position(sassafrastray.TopicBackends)
			switch step := rapid.SampledFrom([]string{"change", "watch", "read", "late", "copy"}).Draw(t, "step"); step {
			case "change":
				h.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "gone"))
			case "watch":
				// An answer may have a part of the changes only.
				b := sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: w.after}
				for _, e := range h.events {
					if e.Revision > w.after {
						b.Entries = append(b.Entries, e)
					}
				}
				if n := rapid.IntRange(0, len(b.Entries)).Draw(t, "changes"); n > 0 {
					b.Entries, b.Revision = b.Entries[:n], b.Entries[n-1].Revision
				} else {
					b.Entries = nil
				}
				w.apply(b, start)
			case "read":
				late[w] = append(late[w], h.complete())
			case "late":
				if n := len(late[w]); n > 0 {
					w.apply(late[w][n-1], start)
					late[w] = late[w][:n-1]
				}
			case "copy":
				from := rapid.SampledFrom(vms).Draw(t, "from")
				for _, b := range from.r.NewerTopics(w.r.Held(0), start) {
					w.r.ApplyFromPeer(b, start)
				}
			}
			position := w.r.Position(sassafrastray.TopicBackends)
			if was.After(position) {
				t.Fatalf("the position went from %v to %v", was, position)
			}
			if got, want := names(w.r), h.at(position.Revision); !slices.Equal(got, want) {
				t.Fatalf("at revision %d the VM has %v, the store had %v", position.Revision, got, want)
			}
		}
	})
}

package mirror

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

type (
	// history is a store's entries of backend servers and their changes.
	history struct {
		revision int64
		events   []sassafrastray.Entry
		now      map[string]sassafrastray.Entry
	}

	// watcher follows the store and passes on what it says.
	watcher struct {
		m     *Mirror
		after int64
	}
)

// change puts or removes an entry.
func (h *history) change(name string, gone bool) {
	h.revision += 2
	e := sassafrastray.Entry{Name: name, Revision: h.revision, Deleted: gone}
	if gone {
		delete(h.now, name)
	} else {
		e.Backend = &sassafrastray.BackendServer{Name: sassafrastray.BackendName(name), Incarnation: h.revision}
		h.now[name] = e
	}
	h.events = append(h.events, e)
}

// whole returns all entries.
func (h *history) whole() sassafrastray.Batch {
	b := sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: h.revision, Complete: true}
	for _, e := range h.now {
		b.Entries = append(b.Entries, e)
	}
	return b
}

// follow takes in what changed since, and returns it as it is passed on. Other
// topics move the store's revision too.
func (w *watcher) follow(h *history, now time.Time) (sassafrastray.Batch, bool) {
	b := sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: h.revision + 1, After: w.m.Latest()[sassafrastray.TopicBackends]}
	for _, e := range h.events {
		if e.Revision > w.after {
			b.Entries = append(b.Entries, e)
		}
	}
	w.after = b.Revision
	w.m.Apply(b, now)
	return b, len(b.Entries) > 0
}

func names(m *Mirror) (out []string) {
	for _, b := range m.Backends() {
		out = append(out, fmt.Sprint(b.Name, ":", b.Incarnation))
	}
	return out
}

// TestNewsConverges lets two VMs follow the store at times of their own and pass
// changes on, which are lost, repeated and late. The VM that hears of them never
// has a server that was removed before its last change, and once it has asked
// for a copy of what it lacks, it knows the same as they do.
func TestNewsConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{now: map[string]sassafrastray.Entry{}}
		h.change("a", false)
		watchers := []*watcher{{m: New()}, {m: New()}}
		mate := New()
		for _, w := range watchers {
			w.m.Apply(h.whole(), start)
			w.after = h.revision
		}
		mate.Apply(h.whole(), start)
		var late []sassafrastray.Batch
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"change", "follow", "late", "copy"}).Draw(t, "step") {
			case "change":
				h.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "gone"))
			case "follow":
				w := rapid.SampledFrom(watchers).Draw(t, "watcher")
				b, changed := w.follow(h, start)
				if !changed || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					break
				}
				if late = append(late, b); rapid.Bool().Draw(t, "soon") {
					mate.Adopt(b, start)
				}
			case "late":
				if len(late) > 0 {
					mate.Adopt(rapid.SampledFrom(late).Draw(t, "batch"), start)
				}
			case "copy":
				for _, b := range rapid.SampledFrom(watchers).Draw(t, "from").m.Whole(mate.Held()) {
					mate.Adopt(b, start)
				}
			}
		}
		for _, w := range watchers {
			w.follow(h, start)
		}
		if mate.Lacks(watchers[0].m.Latest()) > 0 {
			for _, b := range watchers[0].m.Whole(mate.Held()) {
				mate.Adopt(b, start)
			}
		}
		if got, want := names(mate), names(watchers[0].m); !slices.Equal(got, want) {
			t.Fatalf("knows %v, want %v", got, want)
		}
	})
}

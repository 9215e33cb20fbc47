package replica

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

type (
	// history holds the current entries of backend servers and all changes to them.
	history struct {
		revision int64
		events   []sassafrastray.Entry
		current  map[string]sassafrastray.Entry
	}

	// watcher follows the store and forwards its changes.
	watcher struct {
		r     *Replica
		after int64
	}
)

// change adds, replaces or removes an entry.
func (h *history) change(name string, gone bool) {
	h.revision += 2
	e := sassafrastray.Entry{Name: name, Revision: h.revision, Deleted: gone}
	if gone {
		delete(h.current, name)
	} else {
		e.Backend = &sassafrastray.BackendServer{Name: sassafrastray.BackendName(name), Incarnation: h.revision}
		h.current[name] = e
	}
	h.events = append(h.events, e)
}

// complete returns all entries as a complete batch.
func (h *history) complete() sassafrastray.Batch {
	b := sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: h.revision, Complete: true}
	for _, e := range h.current {
		b.Entries = append(b.Entries, e)
	}
	return b
}

// follow applies the changes since the last call, and returns them as a watcher
// forwards them. The batch's revision is above that of its last entry, since other
// topics raise the store's revision too.
func (w *watcher) follow(h *history, now time.Time) (sassafrastray.Batch, bool) {
	b := sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: h.revision + 1}
	for _, e := range h.events {
		if e.Revision > w.after {
			b.Entries = append(b.Entries, e)
		}
	}
	return w.apply(b, now)
}

// reread reads all entries again, as after an outage, and returns the changes as a
// watcher forwards them.
func (w *watcher) reread(h *history, now time.Time) (sassafrastray.Batch, bool) {
	b := h.complete()
	b.Revision++
	return w.apply(b, now)
}

func (w *watcher) apply(b sassafrastray.Batch, now time.Time) (sassafrastray.Batch, bool) {
	u := w.r.Difference(b)
	w.after = b.Revision
	w.r.Apply(b, now)
	return u, len(u.Entries) > 0 || u.Until > 0
}

func names(r *Replica) (out []string) {
	for _, b := range r.Backends() {
		out = append(out, fmt.Sprint(b.Name, ":", b.Incarnation))
	}
	return out
}

// TestForwardedUpdatesConverge lets two watchers follow the store independently or read
// it again, and forward changes, which may be lost, repeated or delayed. Once the receiving VM has
// requested a copy of what it lacks from the one that is ahead, it must have the same
// servers as the watchers.
func TestForwardedUpdatesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{current: map[string]sassafrastray.Entry{}}
		h.change("a", false)
		watchers := []*watcher{{r: New(Options{})}, {r: New(Options{})}}
		peer := New(Options{})
		for _, w := range watchers {
			w.r.Apply(h.complete(), start)
			w.after = h.revision
		}
		peer.Apply(h.complete(), start)
		var late []sassafrastray.Batch
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch step := rapid.SampledFrom([]string{"change", "follow", "reread", "late", "copy"}).Draw(t, "step"); step {
			case "change":
				h.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "gone"))
			case "follow", "reread":
				w := rapid.SampledFrom(watchers).Draw(t, "watcher")
				next := w.follow
				if step == "reread" {
					next = w.reread
				}
				b, changed := next(h, start)
				if !changed || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					break
				}
				if late = append(late, b); rapid.Bool().Draw(t, "soon") {
					peer.ApplyFromPeer(b, start)
				}
			case "late":
				if len(late) > 0 {
					peer.ApplyFromPeer(rapid.SampledFrom(late).Draw(t, "batch"), start)
				}
			case "copy":
				for _, b := range rapid.SampledFrom(watchers).Draw(t, "from").r.NewerTopics(peer.Held(0), start) {
					peer.ApplyFromPeer(b, start)
				}
			}
		}
		for _, w := range watchers {
			w.follow(h, start)
		}
		ahead := slices.MaxFunc(watchers, func(a, b *watcher) int {
			return cmp.Compare(peer.RevisionsBehind(0, a.r.Latest()), peer.RevisionsBehind(0, b.r.Latest()))
		})
		if peer.RevisionsBehind(0, ahead.r.Latest()) > 0 {
			for _, b := range ahead.r.NewerTopics(peer.Held(0), start) {
				peer.ApplyFromPeer(b, start)
			}
		}
		if got, want := names(peer), names(watchers[0].r); !slices.Equal(got, want) {
			t.Fatalf("knows %v, want %v", got, want)
		}
	})
}

// TestCopyOmitsMissingServers checks that a VM which copies the store from another one
// right after an outage does not get the servers that the other one only keeps in
// case their entries have lapsed: nothing would remove them there.
func TestCopyOmitsMissingServers(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &history{current: map[string]sassafrastray.Entry{}}
	h.change("gone", false)
	h.change("stays", false)
	from := New(Options{})
	from.Apply(h.complete(), now)
	from.RecordFailure(sassafrastray.TopicBackends, now, now)
	h.change("gone", true)
	now = now.Add(2 * minOutage)
	from.RecordFailure(sassafrastray.TopicBackends, now, now)
	from.Apply(h.complete(), now)
	if got := names(from); len(got) != 2 {
		t.Fatalf("after an outage the replica has %v, want both servers for a while", got)
	}
	restarted, running := New(Options{}), New(Options{})
	running.Apply(sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: 4, Complete: true, Entries: h.events[:2]}, now)
	for name, r := range map[string]*Replica{"restarted": restarted, "running": running} {
		for _, b := range from.NewerTopics(map[sassafrastray.Topic]int64{}, now) {
			r.ApplyFromPeer(b, now)
		}
		if name == "running" && len(names(r)) != 2 {
			t.Errorf("a VM that knew the missing server has %v, want both for a while", names(r))
		}
		for _, x := range []*Replica{from, r} {
			x.Tick(now.Add(2 * missingGrace))
		}
		if got, want := names(r), names(from); !slices.Equal(got, want) {
			t.Errorf("the copy of a %s VM has %v, want %v", name, got, want)
		}
	}
}

// TestRemovalOfANewReadIsSeen guards against a removal that another VM never learns of: a
// watcher that read the topic again finds an entry gone, its update is lost, and nothing
// else changes afterwards.
func TestRemovalOfANewReadIsSeen(t *testing.T) {
	h := &history{current: map[string]sassafrastray.Entry{}}
	h.change("a", false)
	h.change("b", false)
	w, peer := &watcher{r: New(Options{})}, New(Options{})
	w.apply(h.complete(), start)
	peer.Apply(h.complete(), start)
	h.change("a", true)
	w.reread(h, start)
	if peer.RevisionsBehind(0, w.r.Latest()) == 0 {
		t.Error("the other VM does not see that it lacks a change")
	}
	for _, b := range w.r.NewerTopics(peer.Held(0), start) {
		peer.ApplyFromPeer(b, start)
	}
	if got := names(peer); len(got) != 1 {
		t.Errorf("knows %v, want b", got)
	}
}

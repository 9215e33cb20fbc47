package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// caller is the follower of one topic: a call under way, or the time of the next one.
type caller struct {
	topic              sassafrastray.Topic
	began, ends, again time.Time
	refused            bool
}

// TestRemovalsTakeEffectInTime guards against requests to a backend server that was removed
// around an outage of the store. The store is away for a while and then serves again; calls
// that begin before that fail, some after a time-out. Once the VM has heard of a removal, a
// server that was removed when the store was back must be gone when MaxDrain has passed, and
// one that was removed before when a running one would have registered again.
func TestRemovalsTakeEffectInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 50 * time.Millisecond
		opt := Options{MaxDrain: time.Duration(rapid.IntRange(1500, 4000).Draw(t, "drain")) * time.Millisecond}
		r := New(opt)
		h := &history{current: map[string]sassafrastray.Entry{}}
		after := func(name string, most int) time.Time {
			return start.Add(time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond)
		}
		away, back := after("away", 2000), after("outage", 8000).Add(2*time.Second)
		removed := map[string]time.Time{}
		for _, name := range []string{"a", "b", "c", "d"} {
			h.change(name, false)
			removed[name] = after("removed", 14000)
		}
		w := &watcher{r: r}
		w.reread(h, start)
		heard := start
		var callers []*caller
		for _, topic := range Topics {
			callers = append(callers, &caller{topic: topic, again: start})
		}
		for now := start; now.Before(start.Add(18 * time.Second)); now = now.Add(step) {
			for name, at := range removed {
				if _, there := h.current[name]; there && !now.Before(at) {
					h.change(name, true)
				}
			}
			serves := now.Before(away) || !now.Before(back)
			for _, c := range callers {
				switch {
				case c.ends.IsZero() && !now.Before(c.again):
					c.began, c.refused = now, !serves
					c.ends = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "takes")) * time.Millisecond)
				case c.ends.IsZero() || now.Before(c.ends):
				case c.refused || !serves:
					r.RecordFailure(c.topic, c.began, now)
					c.ends, c.again = time.Time{}, now.Add(time.Duration(rapid.IntRange(50, 1200).Draw(t, "pause"))*time.Millisecond)
				default:
					if c.topic == sassafrastray.TopicBackends {
						w.follow(h, now)
						heard = now
					} else {
						r.Apply(sassafrastray.Batch{Topic: c.topic, Revision: h.revision}, now)
					}
					c.ends, c.again = time.Time{}, now
				}
			}
			r.Tick(now)
			for _, b := range r.Backends() {
				at := removed[string(b.Name)]
				limit := at.Add(opt.MaxDrain)
				if at.Before(back) {
					limit = back.Add(registerTime)
				}
				if !at.Before(away) && now.After(limit) && heard.After(at) {
					t.Fatalf("%s was removed at %v, is there at %v; the store was away from %v to %v",
						b.Name, at.Sub(start), now.Sub(start), away.Sub(start), back.Sub(start))
				}
			}
		}
	})
}

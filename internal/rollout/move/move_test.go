package move

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// oracle holds what must be true of a fleet at any time.
type oracle struct {
	f        *fleet
	outcomes map[sassafrastray.MoveName]State
	checked  int
}

// check fails the test if the fleet breaks a rule.
func (o *oracle) check(t *rapid.T) {
	o.writes(t)
	for i := range o.f.vms {
		o.vm(t, i)
	}
	o.deadline(t)
	o.gossip(t)
}

// writes checks what has come into the store: one outcome for each move, and
// no raise before the step has soaked.
func (o *oracle) writes(t *rapid.T) {
	for ; o.checked < len(o.f.history); o.checked++ {
		r := o.f.history[o.checked].rec
		for _, past := range r.Past {
			o.outcome(t, past.Move, past.State)
		}
		if r.State != Running {
			o.outcome(t, r.Move, r.State)
		} else if s := o.outcomes[r.Move]; s != "" {
			t.Fatalf("%s runs again after it was %s", r.Move, s)
		}
		if o.checked > 0 {
			o.soaked(t, o.checked)
			o.replaced(t, o.f.history[o.checked-1].rec, r)
		}
	}
}

func (o *oracle) outcome(t *rapid.T, m sassafrastray.MoveName, s State) {
	if was := o.outcomes[m]; was != "" && was != s {
		t.Fatalf("%s is %s after it was %s", m, s, was)
	}
	o.outcomes[m] = s
}

func (o *oracle) soaked(t *rapid.T, i int) {
	a, b := o.f.history[i-1].rec, o.f.history[i].rec
	if a.Move != b.Move || b.Share <= a.Share || a.Share == 0 {
		return
	}
	for j := i - 1; j >= 0 && o.f.history[j].rec.Share == a.Share && o.f.history[j].rec.Move == a.Move; j-- {
		if j == 0 || o.f.history[j-1].rec.Share != a.Share {
			if gap := o.f.history[i].at.Sub(o.f.history[j].at); gap < soak {
				t.Fatalf("raised to %d after %s", b.Share, gap)
			}
		}
	}
}

// replaced checks that a move that ended because operators wanted another one
// was in the configuration before that one.
func (o *oracle) replaced(t *rapid.T, a, b *Record) {
	if a.State != Running || b.State != Reverted || b.Reason != "withdrawn" && !strings.HasPrefix(b.Reason, "replaced") {
		return
	}
	begun := false
	for _, m := range o.f.configs {
		if begun && (m == nil && b.Reason == "withdrawn" || m != nil && b.Reason == "replaced by "+string(m.Name)) {
			return
		}
		begun = begun || m != nil && m.Name == b.Move
	}
	t.Fatalf("%s was reverted: %s", b.Move, b.Reason)
}

// vm checks one VM: never above the record's highest share, never raised
// without a record of late, nothing to a version it found bad, and no outcome
// but the store's.
func (o *oracle) vm(t *rapid.T, i int) {
	v := o.f.vms[i]
	if v.paused {
		return
	}
	m := o.f.configs[v.config]
	share := v.m.Share(stock, o.f.now).Share
	if m != nil && share > o.highest(m.Name, time.Time{}) {
		t.Fatalf("vm%d sends %d, the store's highest is %d", i, share, o.highest(m.Name, time.Time{}))
	}
	if m != nil && share > v.share && share > o.highest(m.Name, o.f.now.Add(-DefaultFresh-tick)) {
		t.Fatalf("vm%d raised to %d in doubt", i, share)
	}
	v.share = share
	if m != nil && v.badOf == m.Name && share > 0 {
		t.Fatalf("vm%d sends %d to a version that it found bad", i, share)
	}
	for _, r := range v.m.Status(o.f.now) {
		if r.State == Done || r.State == Reverted {
			o.outcome(t, r.Move, r.State)
		}
	}
}

// highest returns the largest share of a move that the store held at or after
// a time.
func (o *oracle) highest(m sassafrastray.MoveName, from time.Time) int {
	most := 0
	for i, w := range o.f.history {
		if i+1 < len(o.f.history) && o.f.history[i+1].at.Before(from) {
			continue
		}
		if w.rec.Move == m {
			most = max(most, w.rec.Share)
		}
		if out := w.rec.Outcome(m); out != nil && out.State == Done {
			most = whole
		}
	}
	return most
}

// deadline checks that the configuration's move has ended at its deadline, if
// the store and one VM had no fault for the reserve before it.
func (o *oracle) deadline(t *rapid.T) {
	m, r := o.f.configs[len(o.f.configs)-1], o.f.record()
	if m == nil || r == nil || r.Move != m.Name || o.f.now.Before(m.Deadline) || r.State != Running {
		return
	}
	since := m.Deadline.Add(-DefaultReserve)
	for i, v := range o.f.vms {
		if v.since.Before(since) && o.f.healthy.Before(since) && v.config == len(o.f.configs)-1 {
			t.Fatalf("%s runs past its deadline, though vm%d could have ended it", m.Name, i)
		}
	}
}

// gossip checks that what one VM found bad is known to those that reach it.
func (o *oracle) gossip(t *rapid.T) {
	for i, a := range o.f.vms {
		for j, b := range o.f.vms {
			m := o.f.configs[b.config]
			if m == nil || a.badOf != m.Name || a.config != b.config || a.alone || b.alone || a.paused || b.paused {
				continue
			}
			from := o.f.now.Add(-5 * time.Second)
			if a.badAt.After(from) || a.met.After(from) || b.met.After(from) {
				continue
			}
			if s := b.m.Share(stock, o.f.now).Share; s > 0 {
				t.Fatalf("vm%d sends %d to a version that vm%d found bad", j, s, i)
			}
		}
	}
}

func wish0(name string, deadline time.Time) *sassafrastray.Move {
	return &sassafrastray.Move{
		Name: sassafrastray.MoveName(name), From: "v1", To: "v2", Deadline: deadline,
		Steps: []int{10, 100, 500, 1000}, Soak: soak,
	}
}

// actions returns the faults and the operators' acts, and the passing of time.
func actions(f *fleet, o *oracle) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *vm { return f.vms[rapid.IntRange(0, vmCount-1).Draw(t, "vm")] }
	wait := func(t *rapid.T) {
		for range rapid.IntRange(1, 60).Draw(t, "ticks") {
			f.advance()
			o.check(t)
		}
	}
	publish := func(t *rapid.T) {
		n := rapid.IntRange(0, 3).Draw(t, "move")
		if n == 0 {
			f.publish(nil)
			return
		}
		long := time.Duration(rapid.IntRange(60, 300).Draw(t, "deadline")) * time.Second
		f.publish(wish0(fmt.Sprint("m", n), f.now.Add(long)))
	}
	return map[string]func(*rapid.T){
		"wait": wait, "wait more": wait, "wait still more": wait,
		"kill":   func(t *rapid.T) { f.start(rapid.IntRange(0, vmCount-1).Draw(t, "vm")) },
		"pause":  func(t *rapid.T) { v := pick(t); v.paused = !v.paused },
		"cut":    func(t *rapid.T) { v := pick(t); v.noLink = !v.noLink },
		"part":   func(t *rapid.T) { v := pick(t); v.alone = !v.alone },
		"outage": func(*rapid.T) { f.outage = !f.outage },
		"lossy":  func(*rapid.T) { f.lossy = !f.lossy },
		"slow": func(t *rapid.T) {
			f.slow = time.Duration(rapid.SampledFrom([]int{0, 2, 20}).Draw(t, "slow")) * time.Second
		},
		"murky":   func(*rapid.T) { f.murky = !f.murky },
		"mute":    func(*rapid.T) { f.mute = !f.mute },
		"full":    func(*rapid.T) { f.full = !f.full },
		"bad":     func(t *rapid.T) { f.bad = rapid.SampledFrom([]int{0, 0, 1, 2, 12, 15}).Draw(t, "bad") },
		"publish": publish, "publish again": publish,
		"": o.check,
	}
}

// heal ends all faults, and lets time pass until every move must have ended.
func (f *fleet) heal(t *rapid.T, o *oracle) {
	f.outage, f.lossy, f.slow, f.mute, f.full, f.murky = false, false, 0, false, false, false
	for _, v := range f.vms {
		v.paused, v.noLink, v.alone, v.lag = false, false, false, 1
	}
	m := f.configs[len(f.configs)-1]
	for i := 0; i < int(400*time.Second/tick); i++ {
		f.advance()
		o.check(t)
		if r := f.record(); i%100 == 0 && r.final() && (m == nil || r.Outcome(m.Name) != nil) {
			i = max(i, int(370*time.Second/tick))
		}
	}
	r := f.record()
	if r != nil && r.State == Running {
		t.Fatalf("%s still runs", r.Move)
	}
	if m == nil {
		return
	}
	out := r.Outcome(m.Name)
	if out == nil {
		t.Fatalf("%s has no outcome", m.Name)
	}
	for i, v := range f.vms {
		if rep := v.m.Status(f.now); len(rep) != 1 || rep[0].Move != m.Name || rep[0].State != out.State {
			t.Fatalf("vm%d reports %+v, the store has %+v", i, rep, out)
		}
		if s := v.m.Share(stock, f.now).Share; s != 0 && out.State == Reverted || s != whole && s != 0 && out.State == Done {
			t.Fatalf("vm%d sends %d after %s was %s", i, s, m.Name, out.State)
		}
	}
}

func TestMover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"))
		o := &oracle{f: f, outcomes: map[sassafrastray.MoveName]State{}}
		f.publish(wish0("m0", f.now.Add(200*time.Second)))
		f.lossy = rapid.Bool().Draw(t, "lossy")
		f.slow = time.Duration(rapid.SampledFrom([]int{0, 2, 20}).Draw(t, "slow")) * time.Second
		t.Repeat(actions(f, o))
		f.heal(t, o)
	})
}

// TestLeaderStops kills or pauses the leader after any number of ticks of a
// good move, which must be done in time all the same.
func TestLeaderStops(t *testing.T) {
	for after := 0; after < 160; after += 7 {
		for _, pause := range []bool{false, true} {
			f := newFleet(uint64(after))
			f.publish(wish0("m0", f.now.Add(200*time.Second)))
			for range after {
				f.advance()
			}
			for i, v := range f.vms {
				if r := f.record(); r != nil && r.Leader.VM == f.name(i) && pause {
					v.paused = true
				} else if r != nil && r.Leader.VM == f.name(i) {
					f.start(i)
				}
			}
			for range 60 * 4 {
				f.advance()
			}
			for _, v := range f.vms {
				v.paused = false
			}
			for range 40 * 4 {
				f.advance()
			}
			if r := f.record(); r.State != Done {
				t.Fatalf("after %d ticks, paused %v: %+v", after, pause, r)
			}
		}
	}
}

// TestDeadline kills or pauses the leader of a move that gets no judgements at
// any time in the reserve before the deadline.
func TestDeadline(t *testing.T) {
	for before := -4; before < 60; before += 3 {
		for _, share := range []int{10, whole} {
			f := newFleet(uint64(before + 4))
			f.publish(wish0("m0", f.now.Add(150*time.Second)))
			deadline := f.configs[1].Deadline
			for f.now.Before(deadline) {
				f.mute = f.record() != nil && f.record().Share >= share
				f.advance()
				r := f.record()
				if r == nil || f.now.Add(time.Duration(before)*time.Second).Before(deadline) {
					continue
				}
				for i, v := range f.vms {
					if r.State == Running && r.Leader.VM == f.name(i) && r.Leader.Term == 1 {
						v.paused = before%2 == 0
						if !v.paused && v.inc == 1 {
							f.start(i)
						}
					}
				}
			}
			if r := f.record(); r.State != Reverted {
				t.Fatalf("stopped %d s before the deadline at %d: %+v", before, share, r)
			}
		}
	}
}

// TestInDoubt checks that what may be old news never raises a VM's share.
func TestInDoubt(t *testing.T) {
	f := newFleet(1)
	f.publish(wish0("m0", f.now.Add(200*time.Second)))
	rec := Record{Move: "m0", From: "v1", To: "v2", State: Running, Share: 100}
	object := sassafrastray.Object{Version: 5, Value: rec.encode()}
	beat := Beat{Records: []Confirmed{{Service: stock, Version: 5, Record: rec}}}
	late := Beat{Records: []Confirmed{{Service: stock, Version: 5, Record: rec, Age: 2 * time.Second}}}
	never := Beat{Records: []Confirmed{{Service: stock, Version: 5, Record: rec, Age: -1}}}
	tests := []struct {
		name  string
		event Event
		want  int
	}{
		{"watch", Watched{Service: stock, Object: object}, 0},
		{"unasked beat", Heard{Beat: beat}, 0},
		{"asked beat", Heard{Beat: beat, Asked: f.now.Add(-2 * time.Second)}, 100},
		{"late answer", Heard{Beat: beat, Asked: f.now.Add(-4 * time.Second)}, 0},
		{"peer in doubt", Heard{Beat: late, Asked: f.now.Add(-2 * time.Second)}, 0},
		{"peer that never knew", Heard{Beat: never, Asked: f.now}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New("vm9", 1, rand.New(rand.NewPCG(1, 1)), Options{})
			m.Configure(2, f.services(1), f.now)
			m.Step(tt.event, f.now)
			if s := m.Share(stock, f.now); s.Share != tt.want {
				t.Fatalf("share %d, want %d", s.Share, tt.want)
			}
		})
	}
}

func TestApplied(t *testing.T) {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	m := wish0("m1", now.Add(time.Minute))
	running := &Record{Move: "m1", State: Running, Share: 100}
	last := &Record{Move: "m1", State: Running, Share: whole}
	done := &Record{Move: "m1", State: Done, Share: whole}
	past := &Record{Move: "m2", State: Running, Share: 10, Past: []Outcome{{Move: "m1", State: Done}}}
	later := &Record{Move: "m2", State: Running, Config: 3}
	tests := []struct {
		name string
		view View
		now  time.Time
		want int
	}{
		{"no record", View{Move: m, Fresh: true, Fallback: true}, now, 0},
		{"no move", View{Record: running, Share: 10, Fresh: true, Fallback: true}, now, 0},
		{"fresh", View{Record: running, Move: m, Share: 10, Fresh: true, Fallback: true}, now, 100},
		{"in doubt", View{Record: running, Move: m, Share: 10, Fallback: true}, now, 10},
		{"in doubt and lower", View{Record: running, Move: m, Share: 500, Fallback: true}, now, 100},
		{"bad", View{Record: running, Move: m, Share: 100, Fresh: true, Bad: true, Fallback: true}, now, 0},
		{"bad without old servers", View{Record: running, Move: m, Share: 100, Bad: true}, now, 0},
		{"overdue", View{Record: running, Move: m, Share: 100, Fallback: true}, m.Deadline, 0},
		{"done", View{Record: done, Move: m, Share: 500, Fresh: true, Fallback: true}, m.Deadline, whole},
		{"done in doubt", View{Record: done, Move: m, Share: 500, Fallback: true}, now, 500},
		{"done and bad", View{Record: done, Move: m, Share: whole, Fresh: true, Bad: true, Fallback: true}, now, 0},
		{"done and bad without old servers", View{Record: done, Move: m, Share: whole, Bad: true}, now, whole},
		{"done and suspect", View{Record: done, Move: m, Share: whole, Suspect: true, Fallback: true}, now, trialShare},
		{"suspect", View{Record: last, Move: m, Share: whole, Suspect: true, Fallback: true}, now, trialShare},
		{"suspect without old servers", View{Record: done, Move: m, Share: whole, Suspect: true}, now, whole},
		{"done in the past", View{Record: past, Move: m, Share: whole, Fallback: true}, now, whole},
		{"older configuration", View{Record: later, Move: m, Number: 2, Share: 500, Fallback: true}, now, 500},
		{"older configuration and bad", View{Record: later, Move: m, Number: 2, Share: 500, Bad: true}, now, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, reason := Applied(tt.view, tt.now); got != tt.want {
				t.Fatalf("share %d (%s), want %d", got, reason, tt.want)
			}
		})
	}
}

// TestGood checks that a good version is moved in time, with few store calls.
func TestGood(t *testing.T) {
	f := newFleet(1)
	f.publish(wish0("m0", f.now.Add(300*time.Second)))
	for f.record() == nil || f.record().State == Running {
		f.advance()
		if f.now.After(f.configs[1].Deadline) {
			t.Fatal("not done")
		}
	}
	t.Log("calls", f.calls, "writes", len(f.history), "time", f.record().Began)
	if s := f.record().State; s != Done {
		t.Fatal(s, f.record().Reason)
	}
	for range 40 {
		f.advance()
	}
	for i, v := range f.vms {
		if s := v.m.Share(stock, f.now); s.Share != whole || s.Version(999) != "v2" {
			t.Fatalf("vm%d sends %+v", i, s)
		}
	}
}

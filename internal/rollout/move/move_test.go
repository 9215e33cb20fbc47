package move

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// newMove returns a move in four steps.
func newMove(name string, deadline time.Time) *sassafrastray.Move {
	return &sassafrastray.Move{
		Name: sassafrastray.MoveName(name), From: "v1", To: "v2", Deadline: deadline,
		Steps: []int{10, 100, 500, 1000}, Soak: soak,
	}
}

// actions returns rapid actions that inject faults, change the configuration
// and let time pass.
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
		f.publish(newMove(fmt.Sprint("m", n), f.now.Add(long)))
	}
	return map[string]func(*rapid.T){
		"wait": wait, "wait more": wait, "wait still more": wait,
		"kill":   func(t *rapid.T) { f.start(rapid.IntRange(0, vmCount-1).Draw(t, "vm")) },
		"pause":  func(t *rapid.T) { v := pick(t); v.paused = !v.paused },
		"cut":    func(t *rapid.T) { v := pick(t); v.storeCut = !v.storeCut },
		"part":   func(t *rapid.T) { v := pick(t); v.peersCut = !v.peersCut },
		"outage": func(*rapid.T) { f.outage = !f.outage },
		"lossy":  func(*rapid.T) { f.lossy = !f.lossy },
		"slow": func(t *rapid.T) {
			f.slow = time.Duration(rapid.SampledFrom([]int{0, 2, 20}).Draw(t, "slow")) * time.Second
		},
		"murky":   func(*rapid.T) { f.uncertain = !f.uncertain },
		"mute":    func(*rapid.T) { f.noVerdicts = !f.noVerdicts },
		"full":    func(*rapid.T) { f.noHeadroom = !f.noHeadroom },
		"bad":     func(t *rapid.T) { f.badSeenBy = rapid.SampledFrom([]int{0, 0, 1, 2, 12, 15}).Draw(t, "bad") },
		"publish": publish, "publish again": publish,
		"": o.check,
	}
}

// heal ends all faults, and simulates until every move must have ended.
func (f *fleet) heal(t *rapid.T, o *oracle) {
	f.outage, f.lossy, f.slow, f.noVerdicts, f.noHeadroom, f.uncertain = false, false, 0, false, false, false
	for _, v := range f.vms {
		v.paused, v.storeCut, v.peersCut, v.lag = false, false, false, 1
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
		if s := v.m.Share(stock, f.now).Share; s != 0 && out.State == Reverted || s != fullShare && s != 0 && out.State == Done {
			t.Fatalf("vm%d sends %d after %s was %s", i, s, m.Name, out.State)
		}
	}
}

func TestMover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"))
		o := &oracle{f: f, outcomes: map[sassafrastray.MoveName]State{}}
		f.publish(newMove("m0", f.now.Add(200*time.Second)))
		f.lossy = rapid.Bool().Draw(t, "lossy")
		f.slow = time.Duration(rapid.SampledFrom([]int{0, 2, 20}).Draw(t, "slow")) * time.Second
		t.Repeat(actions(f, o))
		f.heal(t, o)
	})
}

// TestLeaderStops checks that a good move is done in time although its leader
// is killed or paused after any number of ticks.
func TestLeaderStops(t *testing.T) {
	for after := 0; after < 160; after += 7 {
		for _, pause := range []bool{false, true} {
			f := newFleet(uint64(after))
			f.publish(newMove("m0", f.now.Add(200*time.Second)))
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

// TestDeadline checks that a move without verdicts is reverted by its deadline
// although its leader is killed or paused at any time around the last minute
// before it.
func TestDeadline(t *testing.T) {
	for before := -4; before < 60; before += 3 {
		for _, share := range []int{10, fullShare} {
			f := newFleet(uint64(before + 4))
			f.publish(newMove("m0", f.now.Add(150*time.Second)))
			deadline := f.configs[1].Deadline
			for f.now.Before(deadline) {
				f.noVerdicts = f.record() != nil && f.record().Share >= share
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

// TestInDoubt checks that a record that may be out of date never raises a VM's
// share.
func TestInDoubt(t *testing.T) {
	f := newFleet(1)
	f.publish(newMove("m0", f.now.Add(200*time.Second)))
	rec := Record{Move: "m0", From: "v1", To: "v2", State: Running, Share: 100}
	object := sassafrastray.Object{Version: 5, Value: rec.encode()}
	heartbeat := Heartbeat{Records: []ConfirmedRecord{{Service: stock, Version: 5, Record: rec}}}
	late := Heartbeat{Records: []ConfirmedRecord{{Service: stock, Version: 5, Record: rec, Age: 2 * time.Second}}}
	never := Heartbeat{Records: []ConfirmedRecord{{Service: stock, Version: 5, Record: rec, Age: -1}}}
	tests := []struct {
		name  string
		event Event
		want  int
	}{
		{"watch", Watched{Service: stock, Object: object}, 0},
		{"unrequested heartbeat", HeartbeatReceived{Heartbeat: heartbeat}, 0},
		{"requested heartbeat", HeartbeatReceived{Heartbeat: heartbeat, RequestedAt: f.now.Add(-2 * time.Second)}, 100},
		{"late answer", HeartbeatReceived{Heartbeat: heartbeat, RequestedAt: f.now.Add(-4 * time.Second)}, 0},
		{"peer in doubt", HeartbeatReceived{Heartbeat: late, RequestedAt: f.now.Add(-2 * time.Second)}, 0},
		{"peer that never knew", HeartbeatReceived{Heartbeat: never, RequestedAt: f.now}, 0},
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
	m := newMove("m1", now.Add(time.Minute))
	running := &Record{Move: "m1", State: Running, Share: 100}
	last := &Record{Move: "m1", State: Running, Share: fullShare}
	done := &Record{Move: "m1", State: Done, Share: fullShare}
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
		{"done", View{Record: done, Move: m, Share: 500, Fresh: true, Fallback: true}, m.Deadline, fullShare},
		{"done in doubt", View{Record: done, Move: m, Share: 500, Fallback: true}, now, 500},
		{"done and bad", View{Record: done, Move: m, Share: fullShare, Fresh: true, Bad: true, Fallback: true}, now, 0},
		{"done and bad without old servers", View{Record: done, Move: m, Share: fullShare, Bad: true}, now, fullShare},
		{"done and suspect", View{Record: done, Move: m, Share: fullShare, Suspect: true, Fallback: true}, now, maxSuspectShare},
		{"suspect", View{Record: last, Move: m, Share: fullShare, Suspect: true, Fallback: true}, now, maxSuspectShare},
		{"suspect without old servers", View{Record: done, Move: m, Share: fullShare, Suspect: true}, now, fullShare},
		{"done in the past", View{Record: past, Move: m, Share: fullShare, Fallback: true}, now, fullShare},
		{"older configuration", View{Record: later, Move: m, Number: 2, Share: 500, Fallback: true}, now, 500},
		{"older configuration and bad", View{Record: later, Move: m, Number: 2, Share: 500, Bad: true}, now, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, reason := AppliedShare(tt.view, tt.now); got != tt.want {
				t.Fatalf("share %d (%s), want %d", got, reason, tt.want)
			}
		})
	}
}

// TestRecordDeleted checks that a record that is gone from the store is written
// again with its past outcomes, and that an older version of it from a watch is
// ignored.
func TestRecordDeleted(t *testing.T) {
	f := newFleet(1)
	f.publish(newMove("m0", f.now.Add(200*time.Second)))
	m := New("vm9", 1, rand.New(rand.NewPCG(1, 1)), Options{})
	m.Configure(2, f.services(1), f.now)
	old := Record{Move: "m0", From: "v1", To: "v2", State: Running, Share: 100}
	rec := *old.end(Reverted, "late")
	rec.Move, rec.Past = "m1", []Outcome{{Move: "m0", State: Done}}
	m.Step(Watched{Service: stock, Object: sassafrastray.Object{Version: 9, Value: rec.encode()}}, f.now)
	f.now = f.now.Add(time.Second)
	var put *Put
	m.Configure(3, []sassafrastray.Service{{Name: stock, Move: newMove("m2", f.now.Add(200*time.Second))}}, f.now)
	for range 100 {
		f.now = f.now.Add(tick)
		for _, e := range m.Step(Watched{Service: stock, Object: sassafrastray.Object{Version: 5, Value: old.encode()}}, f.now) {
			switch e := e.(type) {
			case Get:
				m.Step(Got{Service: stock, Token: e.Token, Err: sassafrastray.ErrNotFound}, f.now)
			case Put:
				put = &e
			}
		}
	}
	next, err := Decode(put.Value)
	if err != nil || put.Version != 0 || next.Outcome("m0").State != Done || next.Outcome("m1").State != Reverted {
		t.Fatalf("%+v %+v %v", put, next, err)
	}
}

// TestGoodVersion checks that a move to a good version is done before its
// deadline. It logs the number of store calls.
func TestGoodVersion(t *testing.T) {
	f := newFleet(1)
	f.publish(newMove("m0", f.now.Add(300*time.Second)))
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
		if s := v.m.Share(stock, f.now); s.Share != fullShare || s.Version(999) != "v2" {
			t.Fatalf("vm%d sends %+v", i, s)
		}
	}
}

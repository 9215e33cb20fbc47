package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sassafrastray"
	"sassafrastray/internal/limit/place"
)

type (
	// simulation runs Limiters and place.StateMachines against a store and a network
	// that lose, duplicate, delay and reorder. Its time is the true time.
	simulation struct {
		rng          *rand.Rand
		now          time.Time
		opt          Options
		placeOptions place.Options
		domains      []sassafrastray.FailureDomain
		limits       []Limit
		number       int // of the latest configuration
		vms          []*vm
		lastInc      sassafrastray.Incarnation
		events       eventQueue
		seq          int
		objects      map[string]sassafrastray.Object
		version      int64
		outage       bool            // of the store
		cut          map[string]bool // domains cut off from the store, and pairs from each other
		loss         float64
		duplication  float64
		delay        time.Duration
		oracles      map[string]*oracle
		checks       int
		fail         func(format string, args ...any)
		placeUses    map[sassafrastray.Place]placeUse
	}

	// vm is one process of a VM. Its clock drifts, and runs on while the process
	// is paused.
	vm struct {
		name    sassafrastray.VMName
		inc     sassafrastray.Incarnation
		domain  sassafrastray.FailureDomain
		drift   float64
		limiter *Limiter
		machine *place.StateMachine
		dead    bool
		paused  bool
		inbox   []func()
		applied int     // number of the applied configuration
		load    float64 // calls of Take per second
		accrued float64
	}

	placeUse struct {
		user string
		last time.Time
	}

	event struct {
		at  time.Time
		seq int
		run func()
	}

	eventQueue []event
)

func (a eventQueue) Len() int      { return len(a) }
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a *eventQueue) Push(x any) { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

// after schedules run after d.
func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, run: run})
}

// run advances the true time in small steps with load on every VM.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for s.now.Before(end) {
		step := s.now.Add(20 * time.Millisecond)
		for len(s.events) > 0 && !s.events[0].at.After(step) {
			a := heap.Pop(&s.events).(event)
			if a.at.After(s.now) {
				s.now = a.at
			}
			a.run()
			if s.checks++; s.checks%6 == 0 {
				s.audit()
			}
		}
		s.now = step
		for _, v := range s.vms {
			for v.accrued += v.load * 0.02; v.accrued >= 1; v.accrued-- {
				s.take(v, s.limits[s.rng.IntN(len(s.limits))].Key)
			}
		}
		s.audit()
	}
}

// audit checks what the VMs could admit from now on against the oracles. It takes
// zero tokens of each bucket first, which advances the bucket to now.
func (s *simulation) audit() {
	for _, l := range s.limits {
		key, o := l.Key, s.oracles[l.Key]
		var tokens, capacity, rate float64
		for _, v := range s.vms {
			if v.dead || v.paused {
				continue
			}
			v.limiter.Take(key, 0, s.clock(v))
			e := v.limiter.entries[key]
			tokens += e.tokens
			capacity += e.capacity
			rate += e.rate * (1 + v.drift)
		}
		o.check(s, tokens, capacity, rate)
	}
}

// clock returns the time of the VM's clock.
func (s *simulation) clock(v *vm) time.Time {
	return s.now.Add(time.Duration(float64(s.now.Sub(epoch)) * v.drift))
}

// runOn runs f in a VM now, or once it is no longer paused.
func (s *simulation) runOn(v *vm, f func()) {
	switch {
	case v.dead:
	case v.paused:
		v.inbox = append(v.inbox, f)
	default:
		f()
	}
}

// take takes one token. Some tokens are refunded later, for requests that were
// not dispatched; the oracle does not count those.
func (s *simulation) take(v *vm, key string) {
	if v.dead || v.paused {
		return
	}
	now := s.clock(v)
	got := v.limiter.Take(key, 1, now)
	if !got.OK {
		return
	}
	if s.rng.IntN(20) == 0 {
		s.after(time.Duration(s.rng.IntN(80))*time.Millisecond, func() {
			s.runOn(v, func() { v.limiter.Refund(key, 1, got.Stamp, s.clock(v)) })
		})
		return
	}
	s.oracles[key].admit(s, v)
}

// start starts a process of a VM.
func (s *simulation) start(name sassafrastray.VMName, d sassafrastray.FailureDomain) *vm {
	s.lastInc++
	v := &vm{name: name, inc: s.lastInc, domain: d, drift: (s.rng.Float64()*2 - 1) * s.opt.Drift}
	opt := s.opt
	opt.Domain = d.Name
	v.limiter = New(name, v.inc, rand.New(rand.NewPCG(s.rng.Uint64(), 1)), opt)
	v.machine = place.New(name, v.inc, d.Name, rand.New(rand.NewPCG(s.rng.Uint64(), 2)), s.placeOptions)
	s.vms = append(s.vms, v)
	s.apply(v, s.number, s.limits, s.domains)
	s.step(v, place.Places{Count: s.places(d.Name)})
	s.tick(v)
	s.heartbeat(v)
	return v
}

// apply applies a configuration at a VM, unless it has a later one.
func (s *simulation) apply(v *vm, number int, limits []Limit, domains []sassafrastray.FailureDomain) {
	if number > v.applied {
		v.applied = number
		v.limiter.Configure(limits, domains, s.clock(v))
	}
}

// places returns the number of places of a failure domain.
func (s *simulation) places(d sassafrastray.DomainName) int {
	i := slices.IndexFunc(s.domains, func(fd sassafrastray.FailureDomain) bool { return fd.Name == d })
	return s.domains[i].Places
}

// tick runs the control loop of a VM.
func (s *simulation) tick(v *vm) {
	if v.dead {
		return
	}
	s.runOn(v, func() {
		now := s.clock(v)
		s.send(v, v.limiter.Tick(now))
		if v.limiter.Suspended() {
			s.step(v, place.Recheck{})
		}
		s.step(v, place.Tick{})
		s.recordUse(v)
		s.after(50*time.Millisecond, func() { s.tick(v) })
	})
}

// heartbeat gives a VM the digests of the others, as heartbeats do.
func (s *simulation) heartbeat(v *vm) {
	if v.dead {
		return
	}
	s.runOn(v, func() {
		var view []Peer
		for _, o := range s.vms {
			if o != v && !o.dead && !s.partitioned(v.domain.Name, o.domain.Name) {
				view = append(view, Peer{
					Name: o.name, Inc: o.inc, Domain: o.domain.Name, Region: o.domain.Region, Digest: o.limiter.Digest(),
				})
			}
		}
		v.limiter.SetPeers(view, s.clock(v))
	})
	s.after(time.Second, func() { s.heartbeat(v) })
}

// pair returns the key of a pair of domains in cut.
func pair(a, b sassafrastray.DomainName) string {
	if a > b {
		a, b = b, a
	}
	return string(a) + "|" + string(b)
}

// partitioned reports whether two domains are cut off from each other.
func (s *simulation) partitioned(a, b sassafrastray.DomainName) bool {
	return a != b && s.cut[pair(a, b)]
}

// send sends messages over the network.
func (s *simulation) send(v *vm, list []Message) {
	for _, m := range list {
		for copies := 1; copies > 0; copies-- {
			if s.rng.Float64() < s.duplication {
				copies++
			}
			for _, o := range s.vms {
				if o.name != m.To || s.partitioned(v.domain.Name, o.domain.Name) || s.rng.Float64() < s.loss {
					continue
				}
				delay := time.Millisecond + time.Duration(s.rng.Float64()*float64(s.delay))
				if s.rng.IntN(20) == 0 {
					delay = time.Duration(s.rng.Float64() * 3 * float64(s.opt.LoanLength))
				}
				s.after(delay, func() {
					s.runOn(o, func() { s.send(o, o.limiter.Receive(m, s.clock(o))) })
				})
			}
		}
	}
}

// step sends an event to a VM's place.StateMachine and executes the effects.
func (s *simulation) step(v *vm, ev place.Event) {
	for _, f := range v.machine.Step(ev, s.clock(v)) {
		switch f := f.(type) {
		case place.Hold:
			// A VM reads the configuration before it uses its place.
			s.apply(v, s.number, s.limits, s.domains)
			v.limiter.SetPlace(f.Place, f.From)
		case place.Probe:
			s.after(5*time.Millisecond, func() {
				i := slices.IndexFunc(s.vms, func(o *vm) bool { return o.name == f.VM && !o.dead && !o.paused })
				s.runOn(v, func() { s.step(v, place.Probed{VM: f.VM, OK: i >= 0}) })
			})
		case place.List:
			s.call(v, f.ID, func() place.Answer {
				var a place.Answer
				for key, o := range s.objects {
					if strings.HasPrefix(key, f.Prefix) {
						a.Objects = append(a.Objects, o)
					}
				}
				slices.SortFunc(a.Objects, func(x, y sassafrastray.Object) int { return strings.Compare(x.Key, y.Key) })
				return a
			})
		case place.Get:
			s.call(v, f.ID, func() place.Answer {
				if o, ok := s.objects[f.Key]; ok {
					return place.Answer{Objects: []sassafrastray.Object{o}}
				}
				return place.Answer{Err: sassafrastray.ErrNotFound}
			})
		case place.Put:
			s.call(v, f.ID, func() place.Answer { return s.write(f.Key, f.Value, f.Version, false) })
		case place.Delete:
			s.call(v, f.ID, func() place.Answer { return s.write(f.Key, nil, f.Version, true) })
		}
	}
}

// write changes or removes an object if its version is still the given one.
func (s *simulation) write(key string, value []byte, version int64, remove bool) place.Answer {
	if s.objects[key].Version != version {
		return place.Answer{Err: sassafrastray.ErrConflict}
	}
	s.version++
	if remove {
		delete(s.objects, key)
	} else {
		s.objects[key] = sassafrastray.Object{Key: key, Version: s.version, Value: value}
	}
	return place.Answer{Version: s.version}
}

// call executes an operation at the store. Its answer may be lost, and an
// operation with an unknown outcome may take effect late.
func (s *simulation) call(v *vm, id uint64, op func() place.Answer) {
	answer := func(d time.Duration, a place.Answer) {
		a.ID = id
		s.after(d, func() { s.runOn(v, func() { s.step(v, a) }) })
	}
	switch {
	case s.outage || s.cut[string(v.domain.Name)]:
		answer(10*time.Millisecond, place.Answer{Err: sassafrastray.ErrUnavailable})
	case s.rng.IntN(8) == 0:
		s.after(time.Duration(s.rng.IntN(2000))*time.Millisecond, func() { op() })
		answer(time.Second, place.Answer{Err: sassafrastray.ErrUnknown})
	default:
		s.after(5*time.Millisecond, func() {
			a := op()
			answer(time.Duration(s.rng.IntN(300))*time.Millisecond, a)
		})
	}
}

// recordUse checks that a process does not use a place within LoanLength after
// another process used it, because loans of the other may last until then.
func (s *simulation) recordUse(v *vm) {
	if !v.limiter.active {
		return
	}
	p := *v.limiter.place
	user := fmt.Sprintf("%s/%d", v.name, v.inc)
	if u := s.placeUses[p]; u.user != user && u.user != "" && s.now.Sub(u.last) < s.opt.LoanLength {
		s.fail("%v used by %s %v after %s", p, user, s.now.Sub(u.last), u.user)
	}
	s.placeUses[p] = placeUse{user: user, last: s.now}
}

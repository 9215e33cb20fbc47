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
	// world runs Books and place Machines against a store and a network that
	// lose, repeat, delay and reorder. Its time is the true time.
	world struct {
		rng     *rand.Rand
		now     time.Time
		opt     Options
		popt    place.Options
		domains []sassafrastray.FailureDomain
		limits  []Limit
		number  int // of the configuration
		vms     []*vm
		lastInc sassafrastray.Incarnation
		agenda  agenda
		seq     int
		objects map[string]sassafrastray.Object
		version int64
		outage  bool
		cut     map[string]bool // domain, or pair of domains
		loss    float64
		twice   float64
		delay   time.Duration
		oracles map[string]*oracle
		checks  int
		fail    func(format string, args ...any)
		uses    map[sassafrastray.Place]use
	}

	// vm is one process of a VM. Its clock runs at its own pace, also while
	// the process is paused.
	vm struct {
		name    sassafrastray.VMName
		inc     sassafrastray.Incarnation
		domain  sassafrastray.FailureDomain
		pace    float64
		book    *Book
		machine *place.Machine
		dead    bool
		paused  bool
		inbox   []func()
		applied int     // number of the configuration
		load    float64 // takes a second
		owed    float64
	}

	use struct {
		who  string
		last time.Time
	}

	action struct {
		at  time.Time
		seq int
		run func()
	}

	agenda []action
)

func (a agenda) Len() int      { return len(a) }
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a *agenda) Push(x any) { *a = append(*a, x.(action)) }
func (a *agenda) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.agenda, action{at: w.now.Add(d), seq: w.seq, run: run})
}

// run passes the true time in small steps with load on every VM.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		step := w.now.Add(20 * time.Millisecond)
		for len(w.agenda) > 0 && !w.agenda[0].at.After(step) {
			a := heap.Pop(&w.agenda).(action)
			if a.at.After(w.now) {
				w.now = a.at
			}
			a.run()
			if w.checks++; w.checks%6 == 0 {
				w.audit()
			}
		}
		w.now = step
		for _, v := range w.vms {
			for v.owed += v.load * 0.02; v.owed >= 1; v.owed-- {
				w.take(v, w.limits[w.rng.IntN(len(w.limits))].Key)
			}
		}
		w.audit()
	}
}

// audit checks what the VMs could admit from now on, against the oracles. A
// Take of no tokens brings a bucket up to date as any other Take does.
func (w *world) audit() {
	for _, l := range w.limits {
		key, o := l.Key, w.oracles[l.Key]
		var tokens, capacity, rate float64
		for _, v := range w.vms {
			if v.dead || v.paused {
				continue
			}
			v.book.Take(key, 0, w.clock(v))
			e := v.book.entries[key]
			tokens += e.tokens
			capacity += e.capacity
			rate += e.rate * (1 + v.pace)
		}
		o.check(w, tokens, capacity, rate)
	}
}

func (w *world) clock(v *vm) time.Time {
	return w.now.Add(time.Duration(float64(w.now.Sub(epoch)) * v.pace))
}

// local runs f in a VM now, or when it is no longer paused.
func (w *world) local(v *vm, f func()) {
	switch {
	case v.dead:
	case v.paused:
		v.inbox = append(v.inbox, f)
	default:
		f()
	}
}

// take asks for one token. Some tokens are given back later, for requests that
// were not dispatched; the oracle does not see those.
func (w *world) take(v *vm, key string) {
	if v.dead || v.paused {
		return
	}
	now := w.clock(v)
	got := v.book.Take(key, 1, now)
	if !got.OK {
		return
	}
	if w.rng.IntN(20) == 0 {
		w.after(time.Duration(w.rng.IntN(80))*time.Millisecond, func() {
			w.local(v, func() { v.book.Refund(key, 1, got.Stamp, w.clock(v)) })
		})
		return
	}
	w.oracles[key].admit(w, v)
}

// start adds a process of a VM.
func (w *world) start(name sassafrastray.VMName, d sassafrastray.FailureDomain) *vm {
	w.lastInc++
	v := &vm{name: name, inc: w.lastInc, domain: d, pace: (w.rng.Float64()*2 - 1) * w.opt.Drift}
	opt := w.opt
	opt.Domain = d.Name
	v.book = New(name, v.inc, rand.New(rand.NewPCG(w.rng.Uint64(), 1)), opt)
	v.machine = place.New(name, v.inc, d.Name, rand.New(rand.NewPCG(w.rng.Uint64(), 2)), w.popt)
	w.vms = append(w.vms, v)
	w.apply(v, w.number, w.limits, w.domains)
	w.step(v, place.Places{Count: w.places(d.Name)})
	w.tick(v)
	w.beat(v)
	return v
}

// apply gives a VM a configuration, unless it has a later one.
func (w *world) apply(v *vm, number int, limits []Limit, domains []sassafrastray.FailureDomain) {
	if number > v.applied {
		v.applied = number
		v.book.Configure(limits, domains, w.clock(v))
	}
}

func (w *world) places(d sassafrastray.DomainName) int {
	i := slices.IndexFunc(w.domains, func(fd sassafrastray.FailureDomain) bool { return fd.Name == d })
	return w.domains[i].Places
}

// tick drives the control loop of a VM.
func (w *world) tick(v *vm) {
	if v.dead {
		return
	}
	w.local(v, func() {
		now := w.clock(v)
		w.send(v, v.book.Tick(now))
		if v.book.Suspended() {
			w.step(v, place.Recheck{})
		}
		w.step(v, place.Tick{})
		w.noteUse(v)
		w.after(50*time.Millisecond, func() { w.tick(v) })
	})
}

// beat gives a VM the digests of the others, as heartbeats do.
func (w *world) beat(v *vm) {
	if v.dead {
		return
	}
	w.local(v, func() {
		var view []Peer
		for _, o := range w.vms {
			if o != v && !o.dead && !w.apart(v.domain.Name, o.domain.Name) {
				view = append(view, Peer{
					Name: o.name, Inc: o.inc, Domain: o.domain.Name, Region: o.domain.Region, Digest: o.book.Digest(),
				})
			}
		}
		v.book.Peers(view, w.clock(v))
	})
	w.after(time.Second, func() { w.beat(v) })
}

func pair(a, b sassafrastray.DomainName) string {
	if a > b {
		a, b = b, a
	}
	return string(a) + "|" + string(b)
}

func (w *world) apart(a, b sassafrastray.DomainName) bool { return a != b && w.cut[pair(a, b)] }

// send puts messages on the network.
func (w *world) send(v *vm, list []Message) {
	for _, m := range list {
		for copies := 1; copies > 0; copies-- {
			if w.rng.Float64() < w.twice {
				copies++
			}
			for _, o := range w.vms {
				if o.name != m.To || w.apart(v.domain.Name, o.domain.Name) || w.rng.Float64() < w.loss {
					continue
				}
				delay := time.Millisecond + time.Duration(w.rng.Float64()*float64(w.delay))
				if w.rng.IntN(20) == 0 {
					delay = time.Duration(w.rng.Float64() * 3 * float64(w.opt.Length))
				}
				w.after(delay, func() {
					w.local(o, func() { w.send(o, o.book.Receive(m, w.clock(o))) })
				})
			}
		}
	}
}

// step drives a VM's place Machine and carries out its effects.
func (w *world) step(v *vm, ev place.Event) {
	for _, f := range v.machine.Step(ev, w.clock(v)) {
		switch f := f.(type) {
		case place.Hold:
			// A VM reads the configuration before it uses its place.
			w.apply(v, w.number, w.limits, w.domains)
			v.book.Hold(f.Place, f.From)
		case place.Probe:
			w.after(5*time.Millisecond, func() {
				i := slices.IndexFunc(w.vms, func(o *vm) bool { return o.name == f.VM && !o.dead && !o.paused })
				w.local(v, func() { w.step(v, place.Probed{VM: f.VM, OK: i >= 0}) })
			})
		case place.List:
			w.call(v, f.ID, func() place.Answer {
				var a place.Answer
				for key, o := range w.objects {
					if strings.HasPrefix(key, f.Prefix) {
						a.Objects = append(a.Objects, o)
					}
				}
				slices.SortFunc(a.Objects, func(x, y sassafrastray.Object) int { return strings.Compare(x.Key, y.Key) })
				return a
			})
		case place.Get:
			w.call(v, f.ID, func() place.Answer {
				if o, ok := w.objects[f.Key]; ok {
					return place.Answer{Objects: []sassafrastray.Object{o}}
				}
				return place.Answer{Err: sassafrastray.ErrNotFound}
			})
		case place.Put:
			w.call(v, f.ID, func() place.Answer { return w.write(f.Key, f.Value, f.Version, false) })
		case place.Delete:
			w.call(v, f.ID, func() place.Answer { return w.write(f.Key, nil, f.Version, true) })
		}
	}
}

func (w *world) write(key string, value []byte, version int64, remove bool) place.Answer {
	if w.objects[key].Version != version {
		return place.Answer{Err: sassafrastray.ErrConflict}
	}
	w.version++
	if remove {
		delete(w.objects, key)
	} else {
		w.objects[key] = sassafrastray.Object{Key: key, Version: w.version, Value: value}
	}
	return place.Answer{Version: w.version}
}

// call runs an operation at the store. Its answer may be lost, and an
// operation whose outcome is unknown may take effect late.
func (w *world) call(v *vm, id uint64, op func() place.Answer) {
	answer := func(d time.Duration, a place.Answer) {
		a.ID = id
		w.after(d, func() { w.local(v, func() { w.step(v, a) }) })
	}
	switch {
	case w.outage || w.cut[string(v.domain.Name)]:
		answer(10*time.Millisecond, place.Answer{Err: sassafrastray.ErrUnavailable})
	case w.rng.IntN(8) == 0:
		w.after(time.Duration(w.rng.IntN(2000))*time.Millisecond, func() { op() })
		answer(time.Second, place.Answer{Err: sassafrastray.ErrUnknown})
	default:
		w.after(5*time.Millisecond, func() {
			a := op()
			answer(time.Duration(w.rng.IntN(300))*time.Millisecond, a)
		})
	}
}

// noteUse checks that no two processes use a place within the time in which
// loans of the first still run.
func (w *world) noteUse(v *vm) {
	if !v.book.active {
		return
	}
	p := *v.book.place
	who := fmt.Sprintf("%s/%d", v.name, v.inc)
	if u := w.uses[p]; u.who != who && u.who != "" && w.now.Sub(u.last) < w.opt.Length {
		w.fail("%v used by %s %v after %s", p, who, w.now.Sub(u.last), u.who)
	}
	w.uses[p] = use{who: who, last: w.now}
}

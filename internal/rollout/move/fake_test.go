package move

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sassafrastray"
	"sassafrastray/internal/rollout/evidence"
)

const (
	tick    = 250 * time.Millisecond
	stock   = sassafrastray.ServiceName("stock")
	soak    = 5 * time.Second
	vmCount = 4
)

type (
	// written is one value of the record's object and the time it was held
	// from.
	written struct {
		at  time.Time
		rec *Record
	}

	// pending is an event on its way to a VM, or a write on its way to the
	// store.
	pending struct {
		at    time.Time
		vm    int
		run   sassafrastray.Incarnation
		event Event
		put   *Put
		get   *Get
		lost  bool
		ask   int // the peer that is asked for its beat, or -1
		sent  time.Time
	}

	// vm is one VM of the fake fleet.
	vm struct {
		m      *Mover
		inc    sassafrastray.Incarnation
		paused bool
		noLink bool // cut off from the store
		alone  bool // cut off from the peers
		config int
		lag    int       // how late it learns of a configuration, in ticks
		since  time.Time // since when it runs and reaches the store
		met    time.Time // since when it runs and reaches its peers
		badAt  time.Time // when it judged the present move's version bad
		badOf  sassafrastray.MoveName
		share  int
	}

	// fleet is several VMs, the store between them, and the truth about
	// both. Its faults are set by the test.
	fleet struct {
		rng     *rand.Rand
		now     time.Time
		vms     []*vm
		configs []*sassafrastray.Move
		history []written
		queue   []pending
		outage  bool
		lossy   bool // answers to calls are lost at times
		slow    time.Duration
		healthy time.Time // since when the store has had no fault
		bad     int       // the set of VMs that see that the new version is bad
		mute    bool      // no judgements reach the VMs
		murky   bool      // judgements can't tell at times
		full    bool      // no figure for headroom
		calls   int
		ledgers []*evidence.Ledger // judge in place of bad, if there are any
	}
)

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)}
	f.configs = []*sassafrastray.Move{nil}
	f.healthy = f.now
	for i := range vmCount {
		f.vms = append(f.vms, &vm{})
		f.start(i)
	}
	return f
}

func (f *fleet) name(i int) sassafrastray.VMName { return sassafrastray.VMName(fmt.Sprint("vm", i)) }

// start replaces a VM's process by a new one that knows nothing.
func (f *fleet) start(i int) {
	v := f.vms[i]
	inc := v.inc + 1
	*v = vm{inc: inc, noLink: v.noLink, alone: v.alone, since: f.now, met: f.now, lag: 1 + f.rng.IntN(40)}
	v.m = New(f.name(i), inc, rand.New(rand.NewPCG(f.rng.Uint64(), 2)), Options{})
	v.config = len(f.configs) - 1
	var all []sassafrastray.VMName
	for j := range vmCount {
		all = append(all, f.name(j))
	}
	v.m.Configure(int64(v.config+1), f.services(v.config), f.now)
	f.step(i, Members{all})
}

func (f *fleet) services(config int) []sassafrastray.Service {
	return []sassafrastray.Service{{
		Name: stock, Version: "v1", Move: f.configs[config],
		Backends: []sassafrastray.BackendServer{{Name: "old", Version: "v1"}, {Name: "new", Version: "v2"}},
	}}
}

func (f *fleet) publish(m *sassafrastray.Move) { f.configs = append(f.configs, m) }

func (f *fleet) step(i int, ev Event) {
	for _, e := range f.vms[i].m.Step(ev, f.now) {
		switch e := e.(type) {
		case Get:
			f.send(pending{vm: i, get: &e})
		case Put:
			f.send(pending{vm: i, put: &e})
		case Raised:
			if f.ledgers != nil {
				f.ledgers[i].ShareRaised(stock, f.now)
			}
		}
	}
}

// send puts a store call of a VM on its way, or an answer or a beat.
func (f *fleet) send(p pending) {
	p.run = f.vms[p.vm].inc
	p.ask = -1
	f.calls++
	if f.vms[p.vm].noLink {
		f.answer(p, sassafrastray.Object{}, sassafrastray.ErrUnavailable)
		return
	}
	p.lost = f.lossy && f.rng.IntN(2) == 0
	p.at = f.now.Add(f.delay())
	f.queue = append(f.queue, p)
}

func (f *fleet) hop() time.Duration { return time.Duration(f.rng.Int64N(int64(50 * time.Millisecond))) }

func (f *fleet) delay() time.Duration {
	d := f.hop()
	if f.slow > 0 {
		d += time.Duration(f.rng.Int64N(int64(f.slow)))
	}
	return d
}

// held returns the record's object in the store.
func (f *fleet) held() sassafrastray.Object {
	n := len(f.history)
	if n == 0 {
		return sassafrastray.Object{}
	}
	return sassafrastray.Object{Key: Key(stock), Version: int64(n), Value: f.history[n-1].rec.encode()}
}

func (f *fleet) record() *Record {
	if n := len(f.history); n > 0 {
		return f.history[n-1].rec
	}
	return nil
}

// arrive lets a call take effect in the store and sends the answer back.
func (f *fleet) arrive(p pending) {
	o := f.held()
	var err error
	switch {
	case f.outage:
		err = sassafrastray.ErrUnavailable
	case p.put != nil && p.put.Version != o.Version:
		err = sassafrastray.ErrConflict
	case p.put != nil:
		rec, _ := Decode(p.put.Value)
		f.history = append(f.history, written{f.now, rec})
		o = f.held()
		f.watchers(o)
	case o.Version == 0:
		err = sassafrastray.ErrNotFound
	}
	if p.lost {
		err = sassafrastray.ErrUnknown
	}
	f.answer(p, o, err)
}

func (f *fleet) answer(p pending, o sassafrastray.Object, err error) {
	a := pending{vm: p.vm, run: p.run, at: f.now.Add(f.delay()), ask: -1}
	if p.get != nil {
		a.event = Got{Service: stock, Token: p.get.Token, Object: o, Err: err}
	} else {
		a.event = Wrote{Service: stock, Token: p.put.Token, Version: o.Version, Err: err}
	}
	f.queue = append(f.queue, a)
}

// watchers sends an object to the VMs that reach the store; some of them miss
// it, and some get it late.
func (f *fleet) watchers(o sassafrastray.Object) {
	for i, v := range f.vms {
		if v.noLink || f.lossy && f.rng.IntN(3) == 0 {
			continue
		}
		at := f.now.Add(f.delay())
		if f.rng.IntN(4) == 0 {
			at = at.Add(time.Duration(f.rng.IntN(15)) * time.Second)
		}
		f.queue = append(f.queue, pending{vm: i, run: v.inc, at: at, event: Watched{Service: stock, Object: o}, ask: -1})
	}
}

// beats lets every VM ask every other one for its beat. Some answers come
// twice or late.
func (f *fleet) beats() {
	for i, v := range f.vms {
		for j := range f.vms {
			if i != j && !v.paused {
				f.queue = append(f.queue, pending{vm: i, run: v.inc, at: f.now.Add(f.hop()), ask: j, sent: f.now})
			}
		}
	}
}

// advance moves time by one tick.
func (f *fleet) advance() {
	f.now = f.now.Add(tick)
	if f.outage || f.lossy || f.slow > 0 {
		f.healthy = f.now
	}
	if f.now.UnixMilli()%1000 == 0 {
		f.beats()
	}
	f.deliver()
	for i, v := range f.vms {
		if v.paused || v.noLink {
			v.since = f.now
		}
		if v.paused || v.alone {
			v.met = f.now
		}
		if v.paused {
			continue
		}
		if v.config < len(f.configs)-1 && f.rng.IntN(v.lag) == 0 {
			v.config++
			v.m.Configure(int64(v.config+1), f.services(v.config), f.now)
		}
		f.step(i, Tick{})
		if !f.mute && f.now.UnixMilli()%1000 == 0 {
			f.judge(i)
		}
	}
}

// deliver hands over what is due. What is due to a paused VM waits.
func (f *fleet) deliver() {
	due := f.queue
	f.queue = nil
	f.rng.Shuffle(len(due), func(a, b int) { due[a], due[b] = due[b], due[a] })
	for _, p := range due {
		store := p.put != nil || p.get != nil
		v := f.vms[p.vm]
		switch {
		case p.at.After(f.now), v.paused && !store:
			f.queue = append(f.queue, p)
		case store:
			f.arrive(p)
		case v.inc != p.run:
		case p.ask >= 0:
			f.ask(p)
		default:
			f.step(p.vm, p.event)
		}
	}
}

func (f *fleet) ask(p pending) {
	peer := f.vms[p.ask]
	if peer.paused || peer.alone || f.vms[p.vm].alone {
		return
	}
	a := pending{vm: p.vm, run: p.run, at: f.now.Add(f.hop()), ask: -1, event: Heard{Beat: peer.m.Beat(f.now), Asked: p.sent}}
	f.queue = append(f.queue, a)
	if f.rng.IntN(8) == 0 {
		a.at = f.now.Add(5 * time.Second)
		f.queue = append(f.queue, a)
	}
}

// judge gives a VM its judgement. A bad version shows where it is seen.
func (f *fleet) judge(i int) {
	v := f.vms[i]
	m := f.configs[v.config]
	if m == nil {
		return
	}
	ev := Judged{Service: stock, Move: m.Name, Verdict: evidence.Verdict{Kind: evidence.Good}}
	if !f.full {
		h := whole
		ev.Headroom = &h
	}
	if f.bad&(1<<i) != 0 && v.m.Share(stock, f.now).Share > 0 {
		ev.Verdict = evidence.Verdict{Kind: evidence.Bad, Reason: "it fails"}
		if v.badOf != m.Name {
			v.badOf, v.badAt = m.Name, f.now
		}
	}
	if f.ledgers != nil {
		ev.Verdict = f.ledgers[i].Judge(stock, m.From, m.To, f.now)
	}
	if f.murky && f.rng.IntN(4) == 0 && ev.Verdict.Kind == evidence.Good {
		ev.Verdict.Kind = evidence.Suspect
	}
	f.step(i, ev)
}

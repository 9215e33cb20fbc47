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
	// written is a value of the record's object and the time at which the store
	// began to hold it.
	written struct {
		at  time.Time
		rec *Record
	}

	// pending is a message in transit: an event to a VM, a call to the store,
	// or a request for a peer's heartbeat.
	pending struct {
		at    time.Time
		vm    int
		inc   sassafrastray.Incarnation
		event Event
		put   *Put
		get   *Get
		lost  bool
		peer  int // the peer whose heartbeat is requested, or -1
		sent  time.Time
	}

	// vm is one VM of the simulated fleet.
	vm struct {
		m                   *Mover
		inc                 sassafrastray.Incarnation
		paused              bool
		storeCut            bool // cut off from the store
		peersCut            bool // cut off from the peers
		config              int
		lag                 int       // mean delay of a new configuration, in ticks
		storeReachableSince time.Time // when it last became able to reach the store
		peersReachableSince time.Time // when it last became able to reach its peers
		badAt               time.Time // when it judged the version of badMove bad
		badMove             sassafrastray.MoveName
		share               int
	}

	// fleet is a simulation of several VMs and the store that they use, with
	// the history of both. The test injects its faults.
	fleet struct {
		rng            *rand.Rand
		now            time.Time
		vms            []*vm
		configs        []*sassafrastray.Move
		history        []written
		queue          []pending
		outage         bool
		lossy          bool // some answers and watch events are lost
		slow           time.Duration
		lastStoreFault time.Time // when the store last had a fault
		badSeenBy      int       // bit set of the VMs on which the new version is bad
		noVerdicts     bool      // the VMs receive no verdicts
		uncertain      bool      // some good verdicts are replaced by suspect ones
		noHeadroom     bool      // verdicts come without a figure for headroom
		calls          int
		ledgers        []*evidence.Ledger // give the verdicts in place of badSeenBy, if set
	}
)

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)}
	f.configs = []*sassafrastray.Move{nil}
	f.lastStoreFault = f.now
	for i := range vmCount {
		f.vms = append(f.vms, &vm{})
		f.start(i)
	}
	return f
}

func (f *fleet) name(i int) sassafrastray.VMName { return sassafrastray.VMName(fmt.Sprint("vm", i)) }

// start replaces a VM's process by a new one without state.
func (f *fleet) start(i int) {
	v := f.vms[i]
	inc := v.inc + 1
	*v = vm{inc: inc, storeCut: v.storeCut, peersCut: v.peersCut, storeReachableSince: f.now, peersReachableSince: f.now, lag: 1 + f.rng.IntN(40)}
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

// send queues a VM's store call, or fails it if the VM is cut off from the
// store.
func (f *fleet) send(p pending) {
	p.inc = f.vms[p.vm].inc
	p.peer = -1
	f.calls++
	if f.vms[p.vm].storeCut {
		f.answer(p, sassafrastray.Object{}, sassafrastray.ErrUnavailable)
		return
	}
	p.lost = f.lossy && f.rng.IntN(2) == 0
	p.at = f.now.Add(f.storeDelay())
	f.queue = append(f.queue, p)
}

func (f *fleet) hop() time.Duration { return time.Duration(f.rng.Int64N(int64(50 * time.Millisecond))) }

func (f *fleet) storeDelay() time.Duration {
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

// handleStoreCall carries out a call in the store and queues the answer.
func (f *fleet) handleStoreCall(p pending) {
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
		f.notifyWatchers(o)
	case o.Version == 0:
		err = sassafrastray.ErrNotFound
	}
	if p.lost {
		err = sassafrastray.ErrUnknown
	}
	f.answer(p, o, err)
}

func (f *fleet) answer(p pending, o sassafrastray.Object, err error) {
	a := pending{vm: p.vm, inc: p.inc, at: f.now.Add(f.storeDelay()), peer: -1}
	if p.get != nil {
		a.event = Got{Service: stock, Token: p.get.Token, Object: o, Err: err}
	} else {
		a.event = Wrote{Service: stock, Token: p.put.Token, Version: o.Version, Err: err}
	}
	f.queue = append(f.queue, a)
}

// notifyWatchers sends an object to the VMs that reach the store. Some VMs miss
// it, and some receive it late.
func (f *fleet) notifyWatchers(o sassafrastray.Object) {
	for i, v := range f.vms {
		if v.storeCut || f.lossy && f.rng.IntN(3) == 0 {
			continue
		}
		at := f.now.Add(f.storeDelay())
		if f.rng.IntN(4) == 0 {
			at = at.Add(time.Duration(f.rng.IntN(15)) * time.Second)
		}
		f.queue = append(f.queue, pending{vm: i, inc: v.inc, at: at, event: Watched{Service: stock, Object: o}, peer: -1})
	}
}

// requestHeartbeats makes every VM request the heartbeat of every other one.
// Some answers arrive twice or late.
func (f *fleet) requestHeartbeats() {
	for i, v := range f.vms {
		for j := range f.vms {
			if i != j && !v.paused {
				f.queue = append(f.queue, pending{vm: i, inc: v.inc, at: f.now.Add(f.hop()), peer: j, sent: f.now})
			}
		}
	}
}

// advance simulates one tick.
func (f *fleet) advance() {
	f.now = f.now.Add(tick)
	if f.outage || f.lossy || f.slow > 0 {
		f.lastStoreFault = f.now
	}
	if f.now.UnixMilli()%1000 == 0 {
		f.requestHeartbeats()
	}
	f.deliver()
	for i, v := range f.vms {
		if v.paused || v.storeCut {
			v.storeReachableSince = f.now
		}
		if v.paused || v.peersCut {
			v.peersReachableSince = f.now
		}
		if v.paused {
			continue
		}
		if v.config < len(f.configs)-1 && f.rng.IntN(v.lag) == 0 {
			v.config++
			v.m.Configure(int64(v.config+1), f.services(v.config), f.now)
		}
		f.step(i, Tick{})
		if !f.noVerdicts && f.now.UnixMilli()%1000 == 0 {
			f.judge(i)
		}
	}
}

// deliver delivers the messages that are due. Messages to a paused VM wait.
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
			f.handleStoreCall(p)
		case v.inc != p.inc:
		case p.peer >= 0:
			f.answerHeartbeatRequest(p)
		default:
			f.step(p.vm, p.event)
		}
	}
}

func (f *fleet) answerHeartbeatRequest(p pending) {
	peer := f.vms[p.peer]
	if peer.paused || peer.peersCut || f.vms[p.vm].peersCut {
		return
	}
	a := pending{vm: p.vm, inc: p.inc, at: f.now.Add(f.hop()), peer: -1, event: HeartbeatReceived{Heartbeat: peer.m.Heartbeat(f.now), RequestedAt: p.sent}}
	f.queue = append(f.queue, a)
	if f.rng.IntN(8) == 0 {
		a.at = f.now.Add(5 * time.Second)
		f.queue = append(f.queue, a)
	}
}

// judge sends a VM its verdict. A bad version shows only on the VMs in
// badSeenBy, and only while they send requests to it.
func (f *fleet) judge(i int) {
	v := f.vms[i]
	m := f.configs[v.config]
	if m == nil {
		return
	}
	ev := Judged{Service: stock, Move: m.Name, Verdict: evidence.Verdict{Kind: evidence.Good}}
	if !f.noHeadroom {
		h := fullShare
		ev.Headroom = &h
	}
	if f.badSeenBy&(1<<i) != 0 && v.m.Share(stock, f.now).Share > 0 {
		ev.Verdict = evidence.Verdict{Kind: evidence.Bad, Reason: "it fails"}
		if v.badMove != m.Name {
			v.badMove, v.badAt = m.Name, f.now
		}
	}
	if f.ledgers != nil {
		ev.Verdict = f.ledgers[i].Judge(stock, m.From, m.To, f.now)
	}
	if f.uncertain && f.rng.IntN(4) == 0 && ev.Verdict.Kind == evidence.Good {
		ev.Verdict.Kind = evidence.Suspect
	}
	f.step(i, ev)
}

package place

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

type (
	// Event is something that happened: Tick, Places, Answer, Probed, Leave
	// or Recheck.
	Event interface{ event() }

	// Tick passes the time. The control loop sends it about every 100 ms.
	Tick struct{}

	// Places tells how many places the failure domain has.
	Places struct{ Count int }

	// Answer is the outcome of the store's call with this ID. Err is nil or
	// one of the store's outcomes.
	Answer struct {
		ID      uint64
		Objects []sassafrastray.Object // of a List or a Get
		Version int64                  // of a Put
		Err     error
	}

	// Probed tells whether a new connection to a VM succeeded.
	Probed struct {
		VM sassafrastray.VMName
		OK bool
	}

	// Leave makes the Machine give its place back.
	Leave struct{}

	// Recheck makes a holder stop using its place until it has read the
	// record again.
	Recheck struct{}

	// Effect is something to do: List, Get, Put, Delete, Hold or Probe.
	Effect interface{ effect() }

	// List asks the store for the objects below Prefix.
	List struct {
		ID     uint64
		Prefix string
	}

	// Get asks the store for an object.
	Get struct {
		ID  uint64
		Key string
	}

	// Put writes an object if its version is still Version.
	Put struct {
		ID      uint64
		Key     string
		Value   []byte
		Version int64
	}

	// Delete removes an object if its version is still Version.
	Delete struct {
		ID      uint64
		Key     string
		Version int64
	}

	// Hold tells which place may be used, and from when. A nil Place means
	// none.
	Hold struct {
		Place *sassafrastray.Place
		From  time.Time
	}

	// Probe asks for a new connection to a VM, whose result comes back as
	// Probed.
	Probe struct{ VM sassafrastray.VMName }
)

func (Tick) event()    {}
func (Places) event()  {}
func (Answer) event()  {}
func (Probed) event()  {}
func (Leave) event()   {}
func (Recheck) event() {}

func (List) effect()   {}
func (Get) effect()    {}
func (Put) effect()    {}
func (Delete) effect() {}
func (Hold) effect()   {}
func (Probe) effect()  {}

// Step handles one event.
func (m *Machine) Step(ev Event, now time.Time) []Effect {
	out := m.notePause(now)
	switch ev := ev.(type) {
	case Tick:
	case Places:
		m.places = ev.Count
	case Leave:
		m.leaving = true
	case Recheck:
		out = append(out, m.recheck(now)...)
	case Probed:
		m.noteProbe(ev, now)
	case Answer:
		if ev.ID == m.call && m.call != 0 {
			m.call = 0
			out = append(out, m.answer(ev, now)...)
		}
	}
	return append(out, m.proceed(now)...)
}

// notePause stops the use of the place if the steps were interrupted for too
// long. An answer that was under way may be older than the pause, so it is
// forgotten.
func (m *Machine) notePause(now time.Time) []Effect {
	paused := !m.lastStep.IsZero() && now.Sub(m.lastStep) > m.opt.Pause
	m.lastStep = now
	if !paused {
		return nil
	}
	clear(m.down)
	clear(m.seen)
	return m.recheck(now)
}

// recheck reads the record again before the place is used any further.
func (m *Machine) recheck(now time.Time) []Effect {
	m.call = 0
	m.next = now
	switch m.state {
	case Holding, Checking:
		m.state = Checking
		return m.drop()
	case Claiming:
		m.state = Seeking
	}
	return nil
}

// drop tells the caller to stop using the place.
func (m *Machine) drop() []Effect {
	if !m.held {
		return nil
	}
	m.held = false
	return []Effect{Hold{}}
}

// proceed starts the next call when it is time.
func (m *Machine) proceed(now time.Time) []Effect {
	var out []Effect
	if m.call != 0 && now.Sub(m.sent) > answerWait {
		m.call = 0
		out = m.answer(Answer{Err: sassafrastray.ErrUnknown}, now)
	}
	if m.state == Holding && (m.leaving || m.index >= m.places) {
		m.state, m.call, m.next = Releasing, 0, now
		out = append(out, m.drop()...)
	}
	if m.state == Seeking && m.leaving {
		m.state = Stopped
	}
	if m.call != 0 || now.Before(m.next) || m.state == Stopped {
		return out
	}
	id := m.newCall(now)
	key := m.key(m.index)
	switch m.state {
	case Seeking, Claiming:
		m.state = Seeking
		return append(out, List{ID: id, Prefix: Prefix(m.domain)})
	case Holding:
		r := m.record
		r.Renewals++
		return append(out, Put{ID: id, Key: key, Value: r.encode(), Version: m.version})
	case Releasing:
		return append(out, Delete{ID: id, Key: key, Version: m.version})
	default:
		return append(out, Get{ID: id, Key: key})
	}
}

func (m *Machine) newCall(now time.Time) uint64 {
	m.lastID++
	m.call, m.sent = m.lastID, now
	return m.lastID
}

// wait sets the time of the next call around a mean, so that the VMs of a
// fleet don't call together.
func (m *Machine) wait(now time.Time, mean time.Duration) {
	m.next = now.Add(time.Duration(float64(mean) * (0.75 + 0.5*m.rng.Float64())))
}

// retry repeats the call after a time that doubles with each failure.
func (m *Machine) retry(now time.Time) {
	m.backoff = min(max(2*m.backoff, backoffLeast), backoffMost)
	m.wait(now, m.backoff)
}

func (m *Machine) noteProbe(ev Probed, now time.Time) {
	if ev.OK {
		delete(m.down, ev.VM)
	} else if _, ok := m.down[ev.VM]; !ok {
		m.down[ev.VM] = now
	}
}

func (m *Machine) key(index int) string { return Prefix(m.domain) + strconv.Itoa(index) }

func (r Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "place: a record is always encodable"))
	}
	return b
}

// decode returns the index and the record of an object, or false if it is none.
func (m *Machine) decode(o sassafrastray.Object) (int, Record, bool) {
	var r Record
	index, err := strconv.Atoi(strings.TrimPrefix(o.Key, Prefix(m.domain)))
	if err != nil || index < 0 || o.Deleted || json.Unmarshal(o.Value, &r) != nil {
		return 0, Record{}, false
	}
	return index, r, true
}

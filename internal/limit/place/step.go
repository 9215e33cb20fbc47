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
	// Event is an input of a StateMachine: Tick, Places, Answer, Probed, Leave
	// or Recheck.
	Event interface{ event() }

	// Tick advances the time. The control loop sends it about every 100 ms.
	Tick struct{}

	// Places sets how many places the failure domain has.
	Places struct{ Count int }

	// Answer is the outcome of the store call with this ID. Err is nil or one of
	// the errors that a store returns.
	Answer struct {
		ID      uint64
		Objects []sassafrastray.Object // of a List or a Get
		Version int64                  // of a Put
		Err     error
	}

	// Probed reports whether a new connection to a VM succeeded.
	Probed struct {
		VM sassafrastray.VMName
		OK bool
	}

	// Leave makes the StateMachine release its place and stop.
	Leave struct{}

	// Recheck makes a holder stop using its place until it has read and renewed
	// its record.
	Recheck struct{}

	// Effect is an output of a StateMachine that the caller executes: List, Get,
	// Put, Delete, Hold or Probe.
	Effect interface{ effect() }

	// List lists the store's objects below Prefix.
	List struct {
		ID     uint64
		Prefix string
	}

	// Get reads an object from the store.
	Get struct {
		ID  uint64
		Key string
	}

	// Put writes an object if its version in the store is Version; zero means
	// that there is no object yet.
	Put struct {
		ID      uint64
		Key     string
		Value   []byte
		Version int64
	}

	// Delete deletes an object if its version in the store is Version.
	Delete struct {
		ID      uint64
		Key     string
		Version int64
	}

	// Hold sets which place the VM may use, and from when. A nil Place means
	// none.
	Hold struct {
		Place *sassafrastray.Place
		From  time.Time
	}

	// Probe attempts a new connection to a VM. The result comes back as Probed.
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

// Step handles one event and returns the effects to execute.
func (m *StateMachine) Step(ev Event, now time.Time) []Effect {
	out := m.detectPause(now)
	switch ev := ev.(type) {
	case Tick:
	case Places:
		m.places = ev.Count
	case Leave:
		m.leaving = true
	case Recheck:
		out = append(out, m.recheck(now)...)
	case Probed:
		m.recordProbe(ev, now)
	case Answer:
		if ev.ID == m.call && m.call != 0 {
			m.call = 0
			out = append(out, m.onAnswer(ev, now)...)
		}
	}
	return append(out, m.proceed(now)...)
}

// detectPause stops the use of the place if more than Options.MaxPause passed since
// the last step. It ignores the answer to the current call, which may be from
// before the pause.
func (m *StateMachine) detectPause(now time.Time) []Effect {
	paused := !m.lastStep.IsZero() && now.Sub(m.lastStep) > m.opt.MaxPause
	m.lastStep = now
	if !paused {
		return nil
	}
	clear(m.unreachableSince)
	clear(m.observed)
	return m.recheck(now)
}

// recheck stops the use of the place and starts the next call at once. That call
// reads from the store again, unless the place is being released: then it repeats
// the release.
func (m *StateMachine) recheck(now time.Time) []Effect {
	m.call = 0
	m.nextAt = now
	switch m.state {
	case Holding, Checking:
		m.state = Checking
		return m.stopUse()
	case Claiming:
		m.state = Seeking
	}
	return nil
}

// stopUse tells the caller to stop using the place.
func (m *StateMachine) stopUse() []Effect {
	if !m.inUse {
		return nil
	}
	m.inUse = false
	return []Effect{Hold{}}
}

// proceed gives up a call that was not answered in time, and starts the next call
// when it is due.
func (m *StateMachine) proceed(now time.Time) []Effect {
	var out []Effect
	if m.call != 0 && now.Sub(m.sentAt) > answerTimeout {
		m.call = 0
		out = m.onAnswer(Answer{Err: sassafrastray.ErrUnknown}, now)
	}
	if m.state == Holding && (m.leaving || m.index >= m.places) {
		m.state, m.call, m.nextAt = Releasing, 0, now
		out = append(out, m.stopUse()...)
	}
	if m.state == Seeking && m.leaving {
		m.state = Stopped
	}
	if m.call != 0 || now.Before(m.nextAt) || m.state == Stopped {
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

// newCall returns the ID of a new call. Answers to earlier calls are ignored from
// then on.
func (m *StateMachine) newCall(now time.Time) uint64 {
	m.lastID++
	m.call, m.sentAt = m.lastID, now
	return m.lastID
}

// scheduleCall schedules the next call after a random time around the mean, so that
// the VMs of a fleet don't call the store at the same time.
func (m *StateMachine) scheduleCall(now time.Time, mean time.Duration) {
	m.nextAt = now.Add(time.Duration(float64(mean) * (0.75 + 0.5*m.rng.Float64())))
}

// scheduleRetry schedules the next call with exponential backoff.
func (m *StateMachine) scheduleRetry(now time.Time) {
	m.backoff = min(max(2*m.backoff, minBackoff), maxBackoff)
	m.scheduleCall(now, m.backoff)
}

// recordProbe tracks since when connections to a VM fail.
func (m *StateMachine) recordProbe(ev Probed, now time.Time) {
	if ev.OK {
		delete(m.unreachableSince, ev.VM)
	} else if _, ok := m.unreachableSince[ev.VM]; !ok {
		m.unreachableSince[ev.VM] = now
	}
}

func (m *StateMachine) key(index int) string { return Prefix(m.domain) + strconv.Itoa(index) }

func (r Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "place: encode record"))
	}
	return b
}

// decode returns the index and the record of an object, or false if the object is
// not a place.
func (m *StateMachine) decode(o sassafrastray.Object) (int, Record, bool) {
	var r Record
	index, err := strconv.Atoi(strings.TrimPrefix(o.Key, Prefix(m.domain)))
	if err != nil || index < 0 || o.Deleted || json.Unmarshal(o.Value, &r) != nil {
		return 0, Record{}, false
	}
	return index, r, true
}

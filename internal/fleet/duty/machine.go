package duty

import (
	"maps"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// maxReports is the number of windows that the record holds.
	maxReports = 16
	// maxAge is the number of windows after whose time a window is given up.
	maxAge = 12
	// unknownAfter is how long a VM that knows of no holder waits for a claim.
	unknownAfter = 2 * time.Second
	// unreachedAfter is how long a holder may fail before the duty is taken from it.
	unreachedAfter = 3 * time.Second
	// countsDelay is how long a new holder decides no window: a claim reaches the other
	// VMs within about a second, and their counts come within another one.
	countsDelay = 2200 * time.Millisecond
	// rankDelay is how much later each further candidate takes a vacant duty, so
	// that the first ones need not be able to.
	rankDelay = 2 * time.Second
	// claimValidity is how long a VM counts as failing after it said so.
	claimValidity = 10 * time.Second
	// skew bounds the difference between two VMs' estimates of the fleet's time.
	skew = time.Second
	// generationLead is how far the generation of a claim may be ahead of the fleet's
	// time, as after a correction of the time.
	generationLead = 24 * time.Hour
	// failureWindow is the time in which maxFailures failed calls mean that this VM
	// does not reach the platform, and failingFor how long that is believed.
	failureWindow = 6 * time.Second
	maxFailures   = 3
	failingFor    = 30 * time.Second
	retryDelay    = 500 * time.Millisecond
	limitedDelay  = time.Second
	maxRejections = 3
	storeBackoff  = 200 * time.Millisecond
	maxBackoff    = 2 * time.Second
)

type (
	// Machine is the state machine of one VM. It is not safe for concurrent use.
	Machine struct {
		opt       Options
		in        Input
		tickedAt  time.Time // the time of in
		startedAt time.Time
		// first is the window in which the machine started.
		first  int64
		notes  []Effect
		lastID int64

		// What is known of the duty, and of the VMs that may hold it.
		claim   Claim
		failing map[sassafrastray.VMName]time.Time
		recent  map[sassafrastray.VMName]time.Time

		// What is known of the windows. floor is the highest window that this
		// machine will not decide; attempts are counts of writes with unknown
		// outcome, which later attempts repeat.
		reports  map[int64]*Report
		attempts map[int64]*attempt
		rejected map[int64]int
		floor    int64

		// The record as it was last read or written.
		rec      *Record
		at       sassafrastray.Position
		readAt   time.Time
		needRead bool

		// Whether this VM holds the duty. grant is the start of the last write that
		// confirmed it; no call is made before waitUntil.
		held      bool
		gen       int64
		grant     time.Time
		confirmed bool // no call has been made since the last write
		waitUntil time.Time
		// decideAfter is when the other VMs have sent their counts to a new holder.
		decideAfter time.Time
		lostAt      time.Time
		stopping    bool
		restate     bool  // the state is to be written under a new generation
		tried       int64 // the generation of the last write that took the duty

		// Whether decisions may be missing from the record after the store returned
		// to an older copy, and the highest window that may have been decided.
		doubt       bool
		doubtWindow int64
		doubtNew    bool // doubtWindow is to be set at the next tick
		trusted     bool // this VM was the holder when it noticed
		// cleared is the generation and era in which this VM resolved a doubt that
		// the record may still express.
		cleared clearance

		// Store calls and platform calls.
		op           *operation
		call         *call
		storeFailing time.Time
		failures     int
		conflicts    int // writes in a row that the store refused
		retryAt      time.Time
		nextCall     time.Time
		strayUntil   time.Time // until then a call of unknown outcome may arrive
		failedCalls  []time.Time
		failingUntil time.Time
		vacantSince  time.Time
		vacantGen    int64
		lastSent     int64
		lastSentAge  time.Duration
	}

	// clearance is the end of a doubt.
	clearance struct{ gen, era int64 }

	// attempt is the content that a window is decided with, once it was in a write.
	attempt struct {
		counts           map[sassafrastray.TeamName]int64
		covered, missing int
	}

	// operation is a read or write under way.
	operation struct {
		id    int64 // zero for a read
		start time.Time
		known Claim // when a read began
		rec   *Record
		at    sassafrastray.Position
		take  bool
		quick bool // the previous holder released the duty
		notes []Note
	}

	// call is a Send under way.
	call struct {
		id     int64
		window int64
		grant  time.Time
	}
)

// New returns a Machine that knows of no holder.
func New(opt Options) *Machine {
	return &Machine{
		opt:     opt,
		failing: map[sassafrastray.VMName]time.Time{}, recent: map[sassafrastray.VMName]time.Time{},
		reports: map[int64]*Report{}, attempts: map[int64]*attempt{}, rejected: map[int64]int{},
	}
}

// Tick advances the machine and returns what is to be done. It is called several
// times a second, and after each ReadDone, WriteDone and SendDone.
func (m *Machine) Tick(in Input, now time.Time) []Effect {
	if !in.FleetTime.IsZero() {
		m.in, m.tickedAt = in, now
		m.observe(now)
		if e := m.next(now); e != nil {
			m.notes = append(m.notes, e)
		}
	}
	out := m.notes
	m.notes = nil
	return out
}

// observe updates what depends on the time and on the other VMs.
func (m *Machine) observe(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt, m.first = now, m.window(m.in.FleetTime)
	}
	for _, vm := range m.in.Candidates {
		m.recent[vm] = now
	}
	maps.DeleteFunc(m.recent, func(_ sassafrastray.VMName, t time.Time) bool {
		return now.Sub(t) > maxReports*m.opt.Window
	})
	maps.DeleteFunc(m.failing, func(_ sassafrastray.VMName, t time.Time) bool { return now.After(t) })
	if m.doubtNew {
		m.doubtWindow, m.doubtNew = max(m.doubtWindow, m.settled(m.in.FleetTime.Add(skew))), false
	}
	m.announce(now)
}

// next returns the next call to the store or the platform. There is at most one at a
// time, so that a release never overtakes a call.
func (m *Machine) next(now time.Time) Effect {
	switch {
	case m.op != nil || m.call != nil:
		return nil
	case now.Before(m.retryAt):
		return nil
	case m.needRead:
		return m.read(now)
	case m.held:
		return m.hold(now)
	default:
		return m.contend(now)
	}
}

// Pause reports that the process did not run for a while. A holder reads the record
// before it does anything else, and other VMs wait for claims before they take the duty.
func (m *Machine) Pause(now time.Time) {
	m.grant, m.vacantSince = time.Time{}, time.Time{}
	m.needRead = m.needRead || m.held
	if later := now.Add(unknownAfter); later.After(m.retryAt) && !m.held {
		m.retryAt = later
	}
}

// Release gives up the duty for good because the VM stops. The VM goes on calling Tick
// until Held returns false or it exits.
func (m *Machine) Release(_ time.Time) { m.stopping = true }

// Held reports whether this VM holds the duty.
func (m *Machine) Held() bool { return m.held }

// Status returns the state for operators.
func (m *Machine) Status(now time.Time) Status {
	s := Status{
		Holder: m.claim.Holder, Generation: m.claim.Generation, Holds: m.held,
		Decided: m.claim.Decided, Finished: m.claim.Finished, Reaches: !m.claim.Unreached && !now.Before(m.failingUntil),
		LastSent: m.lastSent, LastSentAge: m.lastSentAge,
	}
	if m.held {
		s.Waiting = max(0, m.waitUntil.Sub(now))
	}
	for _, r := range m.reports {
		if !r.Sent && r.Window > m.claim.Finished {
			s.Pending++
		}
	}
	return s
}

func (m *Machine) note(n Note) { m.notes = append(m.notes, n) }

func (m *Machine) nextID() int64 {
	m.lastID++
	return m.lastID
}

// read requests the record. A record older than what was known when the read began
// shows that the store has returned to an older copy.
func (m *Machine) read(now time.Time) Effect {
	m.op = &operation{start: now, known: m.claim}
	return Read{}
}

// write requests a conditional update.
func (m *Machine) write(op *operation, now time.Time) Effect {
	op.id, op.start, op.at = m.nextID(), now, m.at
	if m.rec == nil {
		op.at.Revision = 0
	}
	m.op = op
	return Write{Record: *op.rec.clone(), At: op.at, ID: op.id}
}

// record returns the state to be written.
func (m *Machine) record(gen int64) *Record {
	r := &Record{Holder: m.opt.Self, Generation: gen, Era: m.at.Era, Floor: m.closed()}
	switch {
	case m.doubt:
		r.Era = unknownEra
	case m.at.Era == 0 && m.rec != nil:
		r.Era = max(0, m.rec.Era)
	}
	for _, w := range slices.Sorted(maps.Keys(m.reports)) {
		r.Reports = append(r.Reports, *m.reports[w])
	}
	return r
}

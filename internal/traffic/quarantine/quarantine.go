// Package quarantine keeps requests away from backend servers that crash when they run
// them. Such a request comes again under other IDs, at any VM, so it is known by a
// fingerprint of what a server gets to see.
//
// All requests at a server that crashes are suspects. Most of them are innocent: one that
// is answered later, anywhere, is cleared, and a crash at which a request in quarantine
// was present says nothing about the others. A request is put in quarantine once it was
// present at crashes at several times without being answered in between. Crashes at the
// same moment count once, since a whole rack may fail, and the request must have been
// present at a good part of all crashes of its service. Before that a VM accuses the
// request in its report, and waits for other VMs at which it was answered to say so. After
// a while one VM lets the request through again, so that a mended server gets it.
//
// VMs tell each other of the latest crashes, answers and quarantines. The size of these
// reports is bounded whatever the number of VMs, requests and crashes, and they are passed
// on, so that VMs which do not hear from each other directly learn of them.
//
// The package does no I/O. A Table is not safe for concurrent use.
package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

const (
	// minMoments is at how many different moments servers must have crashed under a
	// request before it is put in quarantine.
	minMoments = 3

	// accusedMoments is at how many moments a request is accused already, so that
	// objections are known by then.
	accusedMoments = 2

	// tiedMoments replaces minMoments for requests that were present at the same
	// crashes, since one of them is innocent.
	tiedMoments = 5

	// minCoverage is at which part of the crashes of its service, from lookBack before the
	// first to the last of its own, a request must have been present to be put in
	// quarantine, and manyCoverage and mostCoverage from manyCrashes and mostCrashes on:
	// several requests may be harmful at the same time. Servers that crashed before say
	// that there is another cause.
	lookBack     = 5 * time.Second
	minCoverage  = 0.4
	manyCoverage = 0.25
	mostCoverage = 0.15
	manyCrashes  = 6
	mostCrashes  = 10

	// moment is the time within which crashes count as one. It allows for the time that
	// a report takes.
	moment = 150 * time.Millisecond

	// settleTime is how long after a crash it counts, when all requests that were present
	// have ended, and objectionTime how long an accused request has to be one before it is
	// put in quarantine. The other VMs answer an urgent report within that time.
	settleTime    = 150 * time.Millisecond
	objectionTime = 600 * time.Millisecond

	// accusedTime is how long a VM remembers which requests others accuse.
	accusedTime = 3 * time.Second

	// memory is how long a crash, an answer and the end of a quarantine are remembered.
	memory = 2 * time.Minute

	// firstTerm is how long the first quarantine of a request lasts, and termFactor by
	// how much each further one is longer, up to maxTerm.
	firstTerm  = 20 * time.Second
	termFactor = 3
	maxTerm    = 10 * time.Minute

	// trialStep is after which time without a trial the next VM, in an order that all
	// know, may let the request through.
	trialStep = 2 * time.Second

	// trialTime is how long a trial may take.
	trialTime = 10 * time.Second

	// maxCrashes, maxSuspects, maxAnswers and maxCases bound what is remembered: the
	// crashes, the requests at each of them, the answered requests and the quarantines.
	maxCrashes  = 64
	maxSuspects = 12
	maxAnswers  = 4096
	maxCases    = 256

	// maxEvents bounds the unread events.
	maxEvents = 64
)

type (
	// Fingerprint identifies a request by what a backend server gets to see of it. Zero
	// means unknown.
	Fingerprint uint64

	// Verdict says what to do with a request.
	Verdict struct {
		// Refused means that the request must not be sent before RetryAfter has passed.
		Refused    bool
		RetryAfter time.Duration
	}

	// Event is a change of a quarantine: its begin, a trial or its end.
	Event struct {
		Fingerprint Fingerprint
		Service     sassafrastray.ServiceName
		Kind        Kind
		// Crashes is how many servers crashed with the request present, as far as is
		// known here, and Term how long the quarantine lasts.
		Crashes int
		Term    time.Duration
		// From is set if another VM reported it.
		From sassafrastray.VMName
	}

	// Kind is the kind of an Event.
	Kind string

	// Table holds what one VM knows of crashes and quarantines.
	Table struct {
		self    sassafrastray.VMName
		others  []sassafrastray.VMName
		crashes map[uint64]*crash
		// answered maps requests of services with crashes to the start of the latest
		// attempt that was answered.
		answered map[Fingerprint]answer
		cases    map[Fingerprint]*quarantined
		// accused maps the requests that this VM accuses to the time since when, and
		// accusedBy those that other VMs accuse to when they did so last.
		accused, accusedBy map[Fingerprint]time.Time
		events             []Event
		// news is set until a report was sent to the other VMs if they should hear of a
		// change at once.
		news bool
	}

	// crash is the crash of one incarnation of a backend server.
	crash struct {
		service  sassafrastray.ServiceName
		at       time.Time
		suspects map[Fingerprint]bool
	}

	answer struct {
		service sassafrastray.ServiceName
		started time.Time
	}

	// quarantined is a request in quarantine, or one that was.
	quarantined struct {
		service sassafrastray.ServiceName
		// level counts the quarantines of the request from 1.
		level   int
		since   time.Time
		trialAt time.Time
		// ended means that the request was answered.
		ended   bool
		crashes int
	}
)

// Kinds of events.
const (
	Begun Kind = "begun"
	Trial Kind = "trial"
	Ended Kind = "ended"
)

// New returns an empty table of a VM.
func New(self sassafrastray.VMName) *Table {
	return &Table{
		self: self, crashes: make(map[uint64]*crash), answered: make(map[Fingerprint]answer), cases: make(map[Fingerprint]*quarantined),
		accused: make(map[Fingerprint]time.Time), accusedBy: make(map[Fingerprint]time.Time),
	}
}

// SetFleet sets the other VMs, which take turns with trials.
func (t *Table) SetFleet(others []sassafrastray.VM) {
	t.others = t.others[:0]
	for i := range others {
		t.others = append(t.others, others[i].Name)
	}
}

// Watches reports whether the fingerprints of the service's requests are needed: its
// servers crashed lately, or one of its requests is in quarantine.
func (t *Table) Watches(s sassafrastray.ServiceName) bool {
	for _, c := range t.crashes {
		if c.service == s {
			return true
		}
	}
	for _, q := range t.cases {
		if q.service == s && !q.ended {
			return true
		}
	}
	return false
}

// crashID identifies the crash of an incarnation of a server.
func crashID(b *sassafrastray.BackendServer) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(b.Name))
	_, _ = d.Write([]byte{0, byte(b.Incarnation), byte(b.Incarnation >> 8), byte(b.Incarnation >> 16), byte(b.Incarnation >> 24), byte(b.Incarnation >> 32), byte(b.Incarnation >> 40)})
	return d.Sum64()
}

// Crash records that a backend server crashed while it had the request.
func (t *Table) Crash(b *sassafrastray.BackendServer, f Fingerprint, now time.Time) {
	if f == 0 {
		return
	}
	t.addCrash(crashID(b), b.Service, []Fingerprint{f}, now)
	t.news = true
}

func (t *Table) addCrash(id uint64, s sassafrastray.ServiceName, suspects []Fingerprint, at time.Time) {
	c := t.crashes[id]
	if c == nil {
		if len(t.crashes) >= maxCrashes {
			t.dropOldestCrash()
		}
		c = &crash{service: s, at: at, suspects: make(map[Fingerprint]bool)}
		t.crashes[id] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	for _, f := range suspects {
		if f == 0 || c.suspects[f] || len(c.suspects) >= maxSuspects {
			continue
		}
		c.suspects[f] = true
		if q := t.cases[f]; q != nil && !q.ended && q.since.Before(c.at) {
			t.prolong(f, q, c.at)
		}
	}
}

// prolong renews the quarantine of a request under which a server crashed again: after a
// trial for longer, and otherwise from that crash on.
func (t *Table) prolong(f Fingerprint, q *quarantined, at time.Time) {
	q.crashes++
	if !q.trialAt.IsZero() && !at.Before(q.trialAt) {
		q.level, q.since, q.trialAt = q.level+1, at, time.Time{}
		t.record(Event{Fingerprint: f, Service: q.service, Kind: Begun, Crashes: q.crashes, Term: q.term()})
		t.news = true
	}
}

func (t *Table) dropOldestCrash() {
	var oldest uint64
	var at time.Time
	for id, c := range t.crashes {
		if at.IsZero() || c.at.Before(at) {
			oldest, at = id, c.at
		}
	}
	delete(t.crashes, oldest)
}

// Answered records that a backend server ran the request and answered, in an attempt
// that started at a time.
func (t *Table) Answered(s sassafrastray.ServiceName, f Fingerprint, started, now time.Time) {
	if f == 0 {
		return
	}
	t.addAnswer(s, f, started, "", now)
	t.news = t.news || !t.accusedBy[f].IsZero()
}

func (t *Table) addAnswer(s sassafrastray.ServiceName, f Fingerprint, started time.Time, from sassafrastray.VMName, now time.Time) {
	if !started.After(t.answered[f].started) {
		return
	}
	if len(t.answered) >= maxAnswers && t.answered[f].started.IsZero() {
		t.dropAnswers()
	}
	t.answered[f] = answer{s, started}
	if q := t.cases[f]; q != nil && !q.ended && started.After(t.lastCrash(f, q)) {
		q.ended, q.since, q.trialAt = true, now, time.Time{}
		t.news = true
		t.record(Event{Fingerprint: f, Service: q.service, Kind: Ended, Crashes: q.crashes, From: from})
	}
}

// dropAnswers forgets the older half of the answers.
func (t *Table) dropAnswers() {
	var at []time.Time
	for _, a := range t.answered {
		at = append(at, a.started)
	}
	slices.SortFunc(at, time.Time.Compare)
	middle := at[len(at)/2]
	maps.DeleteFunc(t.answered, func(_ Fingerprint, a answer) bool { return !a.started.After(middle) })
}

// lastCrash returns when a server last crashed with a request in quarantine present.
func (t *Table) lastCrash(f Fingerprint, q *quarantined) time.Time {
	at := q.since
	for _, c := range t.crashes {
		if c.suspects[f] && c.at.After(at) {
			at = c.at
		}
	}
	return at
}

// Check says what to do with a request. A request in quarantine whose term is over is let
// through by the VM whose turn it is.
func (t *Table) Check(f Fingerprint, now time.Time) Verdict {
	q := t.cases[f]
	if f == 0 || q == nil || q.ended {
		return Verdict{}
	}
	from := q.since.Add(q.term() + time.Duration(t.turn(f))*trialStep)
	if !q.trialAt.IsZero() {
		from = later(from, q.trialAt.Add(trialTime))
	}
	if now.Before(from) {
		return Verdict{Refused: true, RetryAfter: from.Sub(now)}
	}
	q.trialAt, t.news = now, true
	t.record(Event{Fingerprint: f, Service: q.service, Kind: Trial, Crashes: q.crashes})
	return Verdict{}
}

// Crashes returns how many servers crashed with the request present since it was last
// answered, without another one that is in quarantine.
func (t *Table) Crashes(f Fingerprint) int {
	if q := t.cases[f]; t.isActive(f) {
		return q.crashes
	}
	return len(t.unexplained()[f])
}

func (q *quarantined) term() time.Duration {
	d := firstTerm
	for range q.level - 1 {
		if d = termFactor * d; d >= maxTerm {
			return maxTerm
		}
	}
	return d
}

// turn returns the position of this VM in the order of trials of a request.
func (t *Table) turn(f Fingerprint) int {
	own, n := rank(f, t.self), 0
	for _, o := range t.others {
		if rank(f, o) > own {
			n++
		}
	}
	return n
}

func rank(f Fingerprint, vm sassafrastray.VMName) uint64 {
	x := (uint64(f) ^ xxhash.Sum64String(string(vm))) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isActive reports whether the request is in quarantine.
func (t *Table) isActive(f Fingerprint) bool {
	q := t.cases[f]
	return q != nil && !q.ended
}

func (t *Table) dropOldestCase() {
	var oldest Fingerprint
	var at time.Time
	for f, q := range t.cases {
		if at.IsZero() || q.since.Before(at) {
			oldest, at = f, q.since
		}
	}
	delete(t.cases, oldest)
}

// Tick puts requests in quarantine and forgets what is old. It is called about five times
// a second.
func (t *Table) Tick(now time.Time) {
	if len(t.crashes) > 0 || len(t.accused) > 0 {
		t.convict(now)
	}
	maps.DeleteFunc(t.accusedBy, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > accusedTime })
	old := func(at time.Time) bool { return now.Sub(at) > memory }
	maps.DeleteFunc(t.crashes, func(_ uint64, c *crash) bool { return old(c.at) })
	maps.DeleteFunc(t.answered, func(_ Fingerprint, a answer) bool { return old(a.started) })
	maps.DeleteFunc(t.cases, func(_ Fingerprint, q *quarantined) bool {
		if q.ended {
			return old(q.since)
		}
		// A request that did not come again for a whole term is forgotten.
		return now.Sub(q.since) > 2*maxTerm
	})
}

// Active returns the number of requests in quarantine.
func (t *Table) Active() int {
	n := 0
	for f := range t.cases {
		if t.isActive(f) {
			n++
		}
	}
	return n
}

// Events returns the events since the last call. Events beyond maxEvents are dropped.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

func (t *Table) record(e Event) {
	if len(t.events) < maxEvents {
		t.events = append(t.events, e)
	}
}

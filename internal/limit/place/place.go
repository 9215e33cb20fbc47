// Package place assigns a VM one of the numbered places of its failure domain. The
// VM that holds a place is entitled to a share of every quota. The configuration
// sets how many places a domain has, and the store keeps the record of each place
// under the key place/DOMAIN/INDEX.
//
// A record names the holder and changes only by conditional writes. A VM holds its
// place without a time limit, so that a failure domain that is cut off from the
// store keeps serving. The place passes to another process in three cases: its
// holder releases it; a process with the holder's name and a greater incarnation
// starts; or the record has not been renewed for Options.TakeoverAfter and
// connections to the holder have failed for as long. A holder that was paused for
// longer than Options.MaxPause stops using its place until it has read and renewed
// its record. MaxPause is far below TakeoverAfter, so a pause that goes undetected
// is too short for a takeover.
//
// A StateMachine does no I/O: it receives events with the current time and returns
// effects for its caller to execute. It is not safe for concurrent use.
package place

import (
	"math/rand/v2"
	"time"

	"sassafrastray"
)

const (
	// Seeking means that the VM has no place and looks for one.
	Seeking State = "seeking"
	// Claiming means that the VM waits for the result of writing its claim.
	Claiming State = "claiming"
	// Holding means that the VM has a place and may use it.
	Holding State = "holding"
	// Checking means that the VM has a place but must read its record again
	// before using it.
	Checking State = "checking"
	// Releasing means that the VM deletes its record to give the place back.
	Releasing State = "releasing"
	// Stopped means that the VM has no place and looks for none.
	Stopped State = "stopped"
)

const (
	// minBackoff and maxBackoff bound the time until a failed call to the store
	// is repeated.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
	// answerTimeout is the time after which a call without an answer counts as one
	// with an unknown outcome.
	answerTimeout = 10 * time.Second
)

type (
	// State is the state of a StateMachine.
	State string

	// Options sets the intervals and timeouts of a StateMachine.
	Options struct {
		// RenewInterval is the mean time between two renewals of the record.
		RenewInterval time.Duration
		// SeekInterval is the mean time between two searches for a free place.
		SeekInterval time.Duration
		// MaxPause is the longest time between two steps after which a holder
		// may still assume that it holds its place.
		MaxPause time.Duration
		// TakeoverAfter is how long a record must be unchanged, and its holder
		// unreachable, before another VM takes the place over.
		TakeoverAfter time.Duration
		// Quarantine is how long a new holder waits before it uses the place,
		// so that the loans of the previous holder have expired.
		Quarantine time.Duration
	}

	// Record is the value of a place's object.
	Record struct {
		VM  sassafrastray.VMName      `json:"vm"`
		Inc sassafrastray.Incarnation `json:"run"`
		// Renewals increases with every renewal by the same holder.
		Renewals int64 `json:"renewals"`
	}

	// StateMachine acquires, renews and releases a place for one VM.
	StateMachine struct {
		self   sassafrastray.VMName
		inc    sassafrastray.Incarnation
		domain sassafrastray.DomainName
		rng    *rand.Rand
		opt    Options

		state    State
		places   int
		leaving  bool
		index    int
		record   Record
		version  int64
		inUse    bool // the caller was told to use the place
		useFrom  time.Time
		lastStep time.Time

		call    uint64 // ID of the call without an answer yet, or 0
		lastID  uint64
		sentAt  time.Time
		nextAt  time.Time
		backoff time.Duration

		observed         map[int]observation
		unreachableSince map[sassafrastray.VMName]time.Time
	}

	// observation is another VM's record and since when it has not changed.
	observation struct {
		record  Record
		version int64
		since   time.Time
	}
)

// DefaultOptions returns the options of a production fleet.
func DefaultOptions() Options {
	return Options{
		RenewInterval: 30 * time.Second,
		SeekInterval:  5 * time.Second,
		MaxPause:      2 * time.Second,
		TakeoverAfter: 75 * time.Second,
		Quarantine:    3100 * time.Millisecond,
	}
}

// New returns a StateMachine that looks for a place once a Places event has told it
// how many there are.
func New(self sassafrastray.VMName, inc sassafrastray.Incarnation, domain sassafrastray.DomainName,
	rng *rand.Rand, opt Options,
) *StateMachine {
	return &StateMachine{
		self: self, inc: inc, domain: domain, rng: rng, opt: opt,
		state:            Seeking,
		observed:         make(map[int]observation),
		unreachableSince: make(map[sassafrastray.VMName]time.Time),
	}
}

// State returns the current state.
func (m *StateMachine) State() State { return m.state }

// Place returns the place that the VM holds and may use, or nil.
func (m *StateMachine) Place() *sassafrastray.Place {
	if !m.inUse {
		return nil
	}
	return &sassafrastray.Place{Domain: m.domain, Index: m.index}
}

// Prefix returns the prefix of the store keys of a failure domain's places.
func Prefix(d sassafrastray.DomainName) string { return "place/" + string(d) + "/" }

// Package place gives one VM a place of its failure domain: the right to a
// share of every quota.
//
// A place is an object in the platform's store, changed only by conditional
// update. A VM keeps it without a time limit, so that a failure domain that is
// cut off from the store goes on serving. It passes to another VM when its
// holder gives it back, when the holder's name comes back with a greater
// incarnation, or when the record has not been renewed for Takeover and new
// connections to the holder failed for as long. A holder whose process was
// paused for longer than Pause stops using its place until it has read its
// record again, and Pause is far below Takeover.
//
// A Machine is pure: it receives events with the time and returns effects for
// its caller to carry out. It is not safe for concurrent use.
package place

import (
	"math/rand/v2"
	"time"

	"sassafrastray"
)

const (
	// Seeking VMs have no place and look for one.
	Seeking State = "seeking"
	// Claiming VMs wait for the answer to their write.
	Claiming State = "claiming"
	// Holding VMs have a place and may use it.
	Holding State = "holding"
	// Checking VMs have a place and read its record again before they use it.
	Checking State = "checking"
	// Releasing VMs give their place back.
	Releasing State = "releasing"
	// Stopped VMs have no place and want none.
	Stopped State = "stopped"
)

const (
	// backoffLeast and backoffMost bound the time until a failed call to the
	// store is repeated.
	backoffLeast = 200 * time.Millisecond
	backoffMost  = 10 * time.Second
	// answerWait is when a call without an answer counts as unknown.
	answerWait = 10 * time.Second
)

type (
	// State is what a Machine is doing.
	State string

	// Options sets the times of a Machine.
	Options struct {
		// Renew is the mean time between two renewals of the record.
		Renew time.Duration
		// Seek is the mean time between two looks for a free place.
		Seek time.Duration
		// Pause is the longest time between two steps after which the holder
		// still trusts that it holds its place.
		Pause time.Duration
		// Takeover is how long a record must be unchanged, and its holder
		// unreachable, before another VM takes it over.
		Takeover time.Duration
		// Quarantine is how long a new holder waits before it uses the
		// place, so that loans of the previous holder have lapsed.
		Quarantine time.Duration
	}

	// Record is the value of a place's object.
	Record struct {
		VM  sassafrastray.VMName      `json:"vm"`
		Inc sassafrastray.Incarnation `json:"run"`
		// Renewals grows with every write of the same holder.
		Renewals int64 `json:"renewals"`
	}

	// Machine is one VM's side of the places of its failure domain.
	Machine struct {
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
		held     bool // the caller was told to use the place
		from     time.Time
		lastStep time.Time

		call    uint64 // the call that waits for its answer, or 0
		lastID  uint64
		sent    time.Time
		next    time.Time
		backoff time.Duration

		seen map[int]sighting
		down map[sassafrastray.VMName]time.Time
	}

	// sighting is a record of another VM and since when it is unchanged.
	sighting struct {
		record  Record
		version int64
		since   time.Time
	}
)

// DefaultOptions returns the times that a fleet uses.
func DefaultOptions() Options {
	return Options{
		Renew:      30 * time.Second,
		Seek:       5 * time.Second,
		Pause:      2 * time.Second,
		Takeover:   75 * time.Second,
		Quarantine: 3100 * time.Millisecond,
	}
}

// New returns a Machine that seeks a place once it knows how many there are.
func New(self sassafrastray.VMName, inc sassafrastray.Incarnation, domain sassafrastray.DomainName,
	rng *rand.Rand, opt Options,
) *Machine {
	return &Machine{
		self: self, inc: inc, domain: domain, rng: rng, opt: opt,
		state: Seeking,
		seen:  make(map[int]sighting),
		down:  make(map[sassafrastray.VMName]time.Time),
	}
}

// State returns what the Machine is doing.
func (m *Machine) State() State { return m.state }

// Place returns the place that the VM holds and may use, or nil.
func (m *Machine) Place() *sassafrastray.Place {
	if !m.held {
		return nil
	}
	return &sassafrastray.Place{Domain: m.domain, Index: m.index}
}

// Prefix returns the prefix of the store's keys for a failure domain.
func Prefix(d sassafrastray.DomainName) string { return "place/" + string(d) + "/" }

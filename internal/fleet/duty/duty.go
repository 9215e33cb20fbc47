// Package duty decides which VM may perform a duty that only one VM at a time
// performs: sending the usage reports. A VM holds the duty through a record in the
// store that is changed only by conditional updates. It is a pure state machine: it
// does no I/O and takes the time as an argument. docs/design/duty.md has the protocol.
package duty

import (
	"time"

	"sassafrastray"
)

// Results of a Send.
const (
	// Sent means that the platform accepted the report.
	Sent Outcome = iota + 1
	// Limited means that the platform refused the call because of its rate limit.
	Limited
	// Failed means that the call may have arrived: its response was lost, late or
	// a server error.
	Failed
	// Unreached means that no byte of the call was sent because the address can't
	// be reached.
	Unreached
	// Expired means that no byte was sent because NotAfter had passed.
	Expired
	// Rejected means that the platform refused the report itself (a client error
	// other than the rate limit).
	Rejected
)

// Events of a Note.
const (
	Taken    Event = "taken"    // this VM now holds the duty
	Lost     Event = "lost"     // this VM no longer holds the duty
	Released Event = "released" // this VM gave up the duty
	Decided  Event = "decided"  // a window's counts are in the record
	Reported Event = "reported" // the platform accepted a window's report
	Retried  Event = "retried"  // a call failed and will be repeated
	GivenUp  Event = "given-up" // windows will not be reported
	Rollback Event = "rollback" // the store returned to an older copy of the record
)

type (
	// Options are the parameters of a Machine.
	Options struct {
		Self sassafrastray.VMName
		// Window is the length of a window. Window k begins k windows after 1970.
		Window time.Duration
		// Lateness is how long after a window's end its report is due.
		Lateness time.Duration
		// Settle is how long after a window's end it is decided.
		Settle time.Duration
		// Lease bounds how long a holder may act after it was replaced.
		Lease time.Duration
		// MaxPerSecond bounds the calls of all VMs together to the platform.
		MaxPerSecond float64
	}

	// Outcome is the result of a Send.
	Outcome int

	// Event is the kind of a Note.
	Event string

	// Input is what a Machine needs to know at each tick.
	Input struct {
		// Candidates are the VMs that may hold the duty, in order of preference.
		// The own name is among them if this VM may take it.
		Candidates []sassafrastray.VMName
		// Fleet are all VMs that may exist, as the store's list and the heartbeats
		// tell. Without it a holder gives up a window or two whenever the store
		// returns to an older copy, because another VM may have decided them.
		Fleet []sassafrastray.VMName
		// Suspect reports whether nothing was heard from the VM for too long. It is
		// true for VMs that are unknown.
		Suspect func(sassafrastray.VMName) bool
		// FleetTime is the fleet's estimate of the true time. The machine does
		// nothing while it is zero.
		FleetTime time.Time
		// Counts returns the counts of a window, the number of VMs that they cover
		// and the number of VMs whose counts are missing. A window that covers no
		// VM is not reported.
		Counts func(window int64) (counts map[sassafrastray.TeamName]int64, covered, missing int)
	}

	// Effect is an action that a Machine requests. Each Read, Write and Send is
	// answered exactly once by ReadDone, WriteDone or SendDone, in bounded time.
	Effect interface{ effect() }

	// Read requests the current record from the store; a stale copy won't do.
	Read struct{}

	// Write requests a conditional update of the record. A revision of zero means
	// that the record must not exist yet.
	Write struct {
		Record Record
		At     sassafrastray.Position
		ID     int64
	}

	// Send requests a call that reports a window's counts to the platform. The
	// call is not begun after NotAfter, and is aborted then if it has not ended.
	Send struct {
		Report   Report
		NotAfter time.Time
		ID       int64
	}

	// Note is an event to be logged.
	Note struct {
		Event      Event
		Holder     sassafrastray.VMName
		Generation int64
		Window     int64
		// Covered and Missing count the VMs in a decided window's counts.
		Covered, Missing int
		// Age is the time since the window's end.
		Age    time.Duration
		Reason string
	}

	// Status is the state of a Machine for operators.
	Status struct {
		// Holder and Generation are those of the last known holder.
		Holder     sassafrastray.VMName
		Generation int64
		// Holds is whether this VM holds the duty.
		Holds bool
		// Waiting is how long this VM will not send because a previous holder may
		// still do so.
		Waiting time.Duration
		// Decided and Finished are the highest decided window, and the highest
		// window up to which all are reported or given up.
		Decided, Finished int64
		// Pending is the number of decided windows that are not reported yet.
		Pending int
		// Reaches is whether the holder reaches the store and, as far as it called
		// it lately, this VM the platform.
		Reaches bool
		// LastSent is the last window that this VM reported, and LastSentAge its
		// age then.
		LastSent    int64
		LastSentAge time.Duration
	}
)

func (Read) effect()  {}
func (Write) effect() {}
func (Send) effect()  {}
func (Note) effect()  {}

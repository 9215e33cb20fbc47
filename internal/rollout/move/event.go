package move

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/rollout/evidence"
)

type (
	// Event is an input of a Mover.
	Event interface{ event() }

	// Tick reports that time has passed. It is sent several times per second.
	Tick struct{}

	// Members are the VMs that may lead.
	Members struct{ VMs []sassafrastray.VMName }

	// Got is the answer to a Get. If Err is neither nil nor ErrNotFound, the
	// state of the record is unknown.
	Got struct {
		Service sassafrastray.ServiceName
		Token   int64
		Object  sassafrastray.Object
		Err     error
	}

	// Wrote is the answer to a Put.
	Wrote struct {
		Service sassafrastray.ServiceName
		Token   int64
		Version int64
		Err     error
	}

	// Watched is a record received from a watch of the store. It may be out of
	// date.
	Watched struct {
		Service sassafrastray.ServiceName
		Object  sassafrastray.Object
	}

	// Judged is this VM's verdict on a move's new version. Headroom is the
	// share in thousandths that the version's backend servers could take now,
	// or nil if there is no recent figure.
	Judged struct {
		Service  sassafrastray.ServiceName
		Move     sassafrastray.MoveName
		Verdict  evidence.Verdict
		Headroom *int
	}

	// HeartbeatReceived is a peer's heartbeat. RequestedAt is when this VM, by
	// its own clock, sent the request that the heartbeat answers. It is zero if
	// the peer sent the heartbeat without a request; such a heartbeat confirms
	// no record.
	HeartbeatReceived struct {
		Heartbeat   Heartbeat
		RequestedAt time.Time
	}

	// Heartbeat is what a VM reports to its peers about moves.
	Heartbeat struct {
		Records []ConfirmedRecord `json:"records,omitempty"`
		Bad     []BadReport       `json:"bad,omitempty"`
	}

	// ConfirmedRecord is a record without its past outcomes, and the time since
	// the store was last known to hold it. Age is negative if that was never
	// known.
	ConfirmedRecord struct {
		Service sassafrastray.ServiceName `json:"service"`
		Version int64                     `json:"version"`
		Age     time.Duration             `json:"age"`
		Record  Record                    `json:"record"`
	}

	// BadReport reports that a move's new version is bad.
	BadReport struct {
		Service sassafrastray.ServiceName `json:"service"`
		Move    sassafrastray.MoveName    `json:"move"`
		// VM is the VM that judged the version.
		VM     sassafrastray.VMName `json:"vm"`
		Reason string               `json:"reason"`
	}

	// Effect is an action that a Mover requests.
	Effect interface{ effect() }

	// Get requests a read of the record's object. The answer is a Got.
	Get struct {
		Service sassafrastray.ServiceName
		Key     string
		Token   int64
	}

	// Put requests a conditional update of the record's object. The answer is a
	// Wrote.
	Put struct {
		Service sassafrastray.ServiceName
		Key     string
		Token   int64
		Value   []byte
		Version int64
	}

	// Raised reports that this VM now sends a larger share to the new version.
	Raised struct {
		Service sassafrastray.ServiceName
		Share   int
	}

	// Log is a decision to be logged.
	Log struct {
		Service  sassafrastray.ServiceName
		Move     sassafrastray.MoveName
		Decision string
		Share    int
		Reason   string
	}
)

func (Tick) event()              {}
func (Members) event()           {}
func (Got) event()               {}
func (Wrote) event()             {}
func (Watched) event()           {}
func (Judged) event()            {}
func (HeartbeatReceived) event() {}

func (Get) effect()    {}
func (Put) effect()    {}
func (Raised) effect() {}
func (Log) effect()    {}

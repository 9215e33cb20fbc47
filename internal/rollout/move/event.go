package move

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/rollout/evidence"
)

type (
	// Event is what a Mover is told.
	Event interface{ event() }

	// Tick tells that time has passed. It comes several times a second.
	Tick struct{}

	// Members are the VMs that may lead.
	Members struct{ VMs []sassafrastray.VMName }

	// Got is the answer to a Get. Err is nil, ErrNotFound or another error,
	// which all mean that nothing was learned.
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

	// Watched is a record that a watch has brought. It may be late.
	Watched struct {
		Service sassafrastray.ServiceName
		Object  sassafrastray.Object
	}

	// Judged is the local judgement on a move's new version. Headroom is the
	// share in thousandths that its backend servers could take now; nil
	// means that there is no recent figure.
	Judged struct {
		Service  sassafrastray.ServiceName
		Move     sassafrastray.MoveName
		Verdict  evidence.Verdict
		Headroom *int
	}

	// Heard is a peer's Beat. Asked is when this VM sent the request that
	// the beat answers, by its own clock; it is zero if the peer sent the
	// beat unasked, and then it confirms nothing.
	Heard struct {
		Beat  Beat
		Asked time.Time
	}

	// Beat is what a VM tells its peers about moves.
	Beat struct {
		Records []Confirmed `json:"records,omitempty"`
		Bad     []Bad       `json:"bad,omitempty"`
	}

	// Confirmed is a record without its past, and how long ago the store was
	// known to hold it. Age is negative if that was never known.
	Confirmed struct {
		Service sassafrastray.ServiceName `json:"service"`
		Version int64                     `json:"version"`
		Age     time.Duration             `json:"age"`
		Record  Record                    `json:"record"`
	}

	// Bad tells that a move's new version is bad.
	Bad struct {
		Service sassafrastray.ServiceName `json:"service"`
		Move    sassafrastray.MoveName    `json:"move"`
		// VM is the VM that judged.
		VM     sassafrastray.VMName `json:"vm"`
		Reason string               `json:"reason"`
	}

	// Effect is what a Mover asks for.
	Effect interface{ effect() }

	// Get asks for the record's object. The answer is a Got.
	Get struct {
		Service sassafrastray.ServiceName
		Key     string
		Token   int64
	}

	// Put asks for a conditional update of the record. The answer is a Wrote.
	Put struct {
		Service sassafrastray.ServiceName
		Key     string
		Token   int64
		Value   []byte
		Version int64
	}

	// Raised tells that this VM now sends a larger share to the new version.
	Raised struct {
		Service sassafrastray.ServiceName
		Share   int
	}

	// Log is a decision for the log.
	Log struct {
		Service  sassafrastray.ServiceName
		Move     sassafrastray.MoveName
		Decision string
		Share    int
		Reason   string
	}
)

func (Tick) event()    {}
func (Members) event() {}
func (Got) event()     {}
func (Wrote) event()   {}
func (Watched) event() {}
func (Judged) event()  {}
func (Heard) event()   {}

func (Get) effect()    {}
func (Put) effect()    {}
func (Raised) effect() {}
func (Log) effect()    {}

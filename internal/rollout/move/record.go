package move

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

// States of a move.
const (
	// Running moves shift traffic step by step.
	Running State = "running"
	// Done moves have given all traffic to the new version.
	Done State = "done"
	// Reverted moves have given all traffic back to the old version.
	Reverted State = "reverted"
)

const (
	// Prefix is the prefix of the records' keys in the store.
	Prefix = "move/"
	// fullShare is the share of all requests, in thousandths.
	fullShare = 1000
	// maxFirstShare is the largest share that may be sent without evidence. A
	// plan that starts above it starts with safeShare instead. Both are in
	// thousandths.
	maxFirstShare = 50
	safeShare     = 10
	// maxPast bounds the number of outcomes of past moves in a record.
	maxPast = 128
)

type (
	// State is the state of a move. Done and Reverted are final.
	State string

	// Record is the authoritative state of a service's move. It is one object
	// in the store and changes only by conditional update.
	Record struct {
		Move   sassafrastray.MoveName    `json:"move"`
		From   sassafrastray.VersionName `json:"from"`
		To     sassafrastray.VersionName `json:"to"`
		State  State                     `json:"state"`
		Reason string                    `json:"reason,omitempty"`
		// Step is the number of raises of Share, which is in thousandths.
		Step  int `json:"step"`
		Share int `json:"share"`
		// Began is the wall time of the last raise. It is shown to operators;
		// no decision depends on it.
		Began  time.Time `json:"began"`
		Leader Leader    `json:"leader"`
		// Renewals is the number of writes in the current leader's term.
		Renewals int64 `json:"renewals"`
		// Config is the number of the newest configuration that a writer has
		// used. VMs with an older one do not write the record.
		Config int64     `json:"config"`
		Past   []Outcome `json:"past,omitempty"`
	}

	// Leader is the VM that raises the share while its lease lasts.
	Leader struct {
		VM   sassafrastray.VMName      `json:"vm"`
		Inc  sassafrastray.Incarnation `json:"inc"`
		Term int64                     `json:"term"`
	}

	// Outcome is how a past move ended.
	Outcome struct {
		Move   sassafrastray.MoveName `json:"move"`
		State  State                  `json:"state"`
		Reason string                 `json:"reason,omitempty"`
	}
)

// Key returns the key of the service's record in the store.
func Key(service sassafrastray.ServiceName) string { return Prefix + string(service) }

// Decode decodes a record from an object's value.
func Decode(value []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Wrap(err, "move: decode record")
	}
	return r, nil
}

func (r *Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("move: the record can't be encoded")
	}
	return b
}

// final reports whether the record's move has ended. A nil record is final too.
func (r *Record) final() bool { return r == nil || r.State != Running }

// Outcome returns how the named move ended, or nil if it is running or unknown.
func (r *Record) Outcome(name sassafrastray.MoveName) *Outcome {
	if r == nil {
		return nil
	}
	if r.Move == name {
		if r.State == Running {
			return nil
		}
		return &Outcome{Move: name, State: r.State, Reason: r.Reason}
	}
	if i := slices.IndexFunc(r.Past, func(o Outcome) bool { return o.Move == name }); i >= 0 {
		return &r.Past[i]
	}
	return nil
}

// begin returns the record of a new move that follows the one in r, which is
// final or nil.
func (r *Record) begin(m *sassafrastray.Move) *Record {
	n := &Record{Move: m.Name, From: m.From, To: m.To, State: Running}
	if r != nil {
		n.Leader.Term = r.Leader.Term
		n.Past = append(slices.Clone(r.Past), *r.Outcome(r.Move))
		n.Past = n.Past[max(0, len(n.Past)-maxPast):]
	}
	return n
}

// end returns the record with its running move ended.
func (r *Record) end(s State, reason string) *Record {
	if r.final() {
		panic("move: the record's move has already ended")
	}
	n := *r
	n.State, n.Reason = s, reason
	if s == Reverted {
		n.Share = 0
	}
	return &n
}

// plannedShares returns the shares that the new version receives one after the
// other. They rise strictly and end with fullShare.
func plannedShares(m *sassafrastray.Move) []int {
	var out []int
	last := 0
	for _, s := range append(slices.Clone(m.Steps), fullShare) {
		if s > last && s <= fullShare {
			out, last = append(out, s), s
		}
	}
	if out[0] > maxFirstShare {
		out = append([]int{safeShare}, out...)
	}
	return out
}

// remainingShares returns the planned shares above share.
func remainingShares(m *sassafrastray.Move, share int) []int {
	p := plannedShares(m)
	i := slices.IndexFunc(p, func(s int) bool { return s > share })
	if i < 0 {
		return nil
	}
	return p[i:]
}

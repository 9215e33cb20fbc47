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
	// whole is all of the traffic, in thousandths.
	whole = 1000
	// firstShare is the largest share without evidence. A plan that starts
	// above it starts with safeShare instead.
	firstShare = 50
	safeShare  = 10
	// maxPast is how many outcomes of past moves a record remembers.
	maxPast = 128
)

type (
	// State is where a move stands. Done and Reverted are final.
	State string

	// Record is the truth about a service's move. It is one object in the
	// store and changes only by conditional update.
	Record struct {
		Move   sassafrastray.MoveName    `json:"move"`
		From   sassafrastray.VersionName `json:"from"`
		To     sassafrastray.VersionName `json:"to"`
		State  State                     `json:"state"`
		Reason string                    `json:"reason,omitempty"`
		// Step counts the raises of Share, which is in thousandths.
		Step  int `json:"step"`
		Share int `json:"share"`
		// Began is the wall time of the last raise. It is for operators;
		// nothing is decided by it.
		Began  time.Time `json:"began"`
		Leader Leader    `json:"leader"`
		// Renewals counts the writes of the present leader's term.
		Renewals int64 `json:"renewals"`
		// Config is the greatest configuration that a writer has gone by.
		// VMs with an older one leave the record alone.
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

// Key returns the store's key of the service's record.
func Key(service sassafrastray.ServiceName) string { return Prefix + string(service) }

// Decode returns the record in an object's value.
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
		panic("move: a record that can't be encoded")
	}
	return b
}

// final tells whether the record's move has ended. No record is final too.
func (r *Record) final() bool { return r == nil || r.State != Running }

// Outcome returns how the named move ended, or nil if it runs or is unknown.
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

// begin returns the record of a new move after the one in r, which is final
// or nil.
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
		panic("move: a second outcome")
	}
	n := *r
	n.State, n.Reason = s, reason
	if s == Reverted {
		n.Share = 0
	}
	return &n
}

// plan returns the shares that a move's new version receives one after the
// other. It rises strictly and ends with the whole.
func plan(m *sassafrastray.Move) []int {
	var out []int
	last := 0
	for _, s := range append(slices.Clone(m.Steps), whole) {
		if s > last && s <= whole {
			out, last = append(out, s), s
		}
	}
	if out[0] > firstShare {
		out = append([]int{safeShare}, out...)
	}
	return out
}

// rest returns the shares of the plan above share.
func rest(m *sassafrastray.Move, share int) []int {
	p := plan(m)
	i := slices.IndexFunc(p, func(s int) bool { return s > share })
	if i < 0 {
		return nil
	}
	return p[i:]
}

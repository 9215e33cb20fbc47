package quota

import (
	"sort"
	"time"

	"sassafrastray"
)

type (
	// Message is what one Book tells another. It may be lost, repeated,
	// late or overtaken. Both incarnations are part of the address: a
	// message to or from an earlier process of a VM is void.
	Message struct {
		From     sassafrastray.VMName      `json:"from"`
		To       sassafrastray.VMName      `json:"to"`
		FromInc  sassafrastray.Incarnation `json:"run"`
		ToInc    sassafrastray.Incarnation `json:"peer"`
		Asks     []Ask                     `json:"asks,omitempty"`
		Grants   []Grant                   `json:"grants,omitempty"`
		Renewals []Renewal                 `json:"renewals,omitempty"`
		Renewed  []Renewal                 `json:"renewed,omitempty"`
		Returns  []Return                  `json:"returns,omitempty"`
	}

	// Ask asks for a loan. ID is unique within the borrower's process and
	// names the loan from then on.
	Ask struct {
		ID  uint64 `json:"id"`
		Key string `json:"key"`
		// Units asks for units with their rate.
		Units int64 `json:"units,omitempty"`
		// Need asks for tokens alone, for requests that wait.
		Need int64 `json:"need,omitempty"`
		// Hub is set by the VM that gathers spare units. Demand is its own,
		// by which an earlier hub knows that it is to step down.
		Hub    bool    `json:"hub,omitempty"`
		Demand float64 `json:"demand,omitempty"`
	}

	// Grant answers an Ask. No units mean that the lender has none to spare.
	// A loan of tokens alone has as many units as tokens, and no rate.
	Grant struct {
		ID     uint64        `json:"id"`
		Key    string        `json:"key"`
		Units  int64         `json:"units"`
		Rate   float64       `json:"rate"`
		Tokens float64       `json:"tokens"`
		Length time.Duration `json:"length"`
		// Hub is where to ask instead, if the lender knows.
		Hub sassafrastray.VMName `json:"hub,omitempty"`
	}

	// Renewal asks to prolong a loan, and comes back as the answer. ID names
	// the attempt: the borrower counts the length from that attempt.
	Renewal struct {
		ID     uint64        `json:"id"`
		Loan   uint64        `json:"loan"`
		Key    string        `json:"key"`
		Length time.Duration `json:"length,omitempty"`
	}

	// Return ends a loan and gives back tokens that the borrower no longer
	// has.
	Return struct {
		ID     uint64  `json:"id"`
		Key    string  `json:"key"`
		Tokens float64 `json:"tokens"`
	}

	// party is one process of a VM.
	party struct {
		vm  sassafrastray.VMName
		inc sassafrastray.Incarnation
	}
)

// to returns the message under preparation for a process.
func (b *Book) to(p party) *Message {
	m := b.out[p]
	if m == nil {
		m = &Message{From: b.self, To: p.vm, FromInc: b.inc, ToInc: p.inc}
		b.out[p] = m
	}
	return m
}

// flush returns the messages that have been prepared, ordered by receiver.
func (b *Book) flush() []Message {
	if len(b.out) == 0 {
		return nil
	}
	list := make([]Message, 0, len(b.out))
	for _, m := range b.out {
		list = append(list, *m)
	}
	clear(b.out)
	sort.Slice(list, func(i, j int) bool {
		if list[i].To != list[j].To {
			return list[i].To < list[j].To
		}
		return list[i].ToInc < list[j].ToInc
	})
	return list
}

// Receive handles a message and returns the answers.
func (b *Book) Receive(m Message, now time.Time) []Message {
	if m.To != b.self || m.ToInc != b.inc || b.opt.Static {
		return nil
	}
	b.check(now)
	from := party{vm: m.From, inc: m.FromInc}
	for _, r := range m.Returns {
		b.onReturn(from, r, now)
	}
	for _, a := range m.Asks {
		b.onAsk(from, a, now)
	}
	for _, r := range m.Renewals {
		b.onRenewal(from, r, now)
	}
	for _, g := range m.Grants {
		b.onGrant(from, g, now)
	}
	for _, r := range m.Renewed {
		b.onRenewed(from, r, now)
	}
	return b.flush()
}

// entry returns the limit with its bucket advanced and lapsed loans expired,
// or nil if there is none.
func (b *Book) entry(key string, now time.Time) *entry {
	e := b.entries[key]
	if e != nil {
		e.expire(now)
		e.advance(now)
	}
	return e
}

package quota

import (
	"sort"
	"time"

	"sassafrastray"
)

type (
	// Message carries what one Limiter sends to another. Messages may be lost,
	// duplicated, delayed or reordered. Both incarnations belong to the
	// address: a message to or from an earlier process of a VM is ignored.
	Message struct {
		From         sassafrastray.VMName      `json:"from"`
		To           sassafrastray.VMName      `json:"to"`
		FromInc      sassafrastray.Incarnation `json:"run"`
		ToInc        sassafrastray.Incarnation `json:"peer"`
		LoanRequests []LoanRequest             `json:"asks,omitempty"`
		Grants       []Grant                   `json:"grants,omitempty"`
		Renewals     []Renewal                 `json:"renewals,omitempty"`
		Renewed      []Renewal                 `json:"renewed,omitempty"`
		Returns      []Return                  `json:"returns,omitempty"`
	}

	// LoanRequest requests a loan. ID is unique within the borrower's process
	// and identifies the loan from then on.
	LoanRequest struct {
		ID  uint64 `json:"id"`
		Key string `json:"key"`
		// Units is the number of requested units, with their rate.
		Units int64 `json:"units,omitempty"`
		// Tokens is the number of tokens requested without a rate, for requests
		// that wait.
		Tokens int64 `json:"need,omitempty"`
		// Hub is set by the VM that gathers spare units. Demand is that VM's
		// demand: a former hub steps down unless its own demand is higher, or
		// equal and its name is greater.
		Hub    bool    `json:"hub,omitempty"`
		Demand float64 `json:"demand,omitempty"`
	}

	// Grant answers a LoanRequest. Zero Units mean that the request is
	// declined. A loan of tokens alone has as many units as tokens, and no
	// rate.
	Grant struct {
		ID     uint64        `json:"id"`
		Key    string        `json:"key"`
		Units  int64         `json:"units"`
		Rate   float64       `json:"rate"`
		Tokens float64       `json:"tokens"`
		Length time.Duration `json:"length"`
		// Hub is the VM to ask instead, if the lender knows it.
		Hub sassafrastray.VMName `json:"hub,omitempty"`
	}

	// Renewal requests the extension of a loan, and is sent back as the answer.
	// ID identifies the attempt: the borrower counts the loan's length from
	// when it sent that attempt.
	Renewal struct {
		ID     uint64        `json:"id"`
		Loan   uint64        `json:"loan"`
		Key    string        `json:"key"`
		Length time.Duration `json:"length,omitempty"`
	}

	// Return ends a loan and gives back Tokens, which the borrower has removed
	// from its bucket.
	Return struct {
		ID     uint64  `json:"id"`
		Key    string  `json:"key"`
		Tokens float64 `json:"tokens"`
	}

	// process identifies one run of a VM's process.
	process struct {
		vm  sassafrastray.VMName
		inc sassafrastray.Incarnation
	}
)

// messageTo returns the message that the next flush sends to a process.
func (lim *Limiter) messageTo(p process) *Message {
	m := lim.outbox[p]
	if m == nil {
		m = &Message{From: lim.self, To: p.vm, FromInc: lim.inc, ToInc: p.inc}
		lim.outbox[p] = m
	}
	return m
}

// flush empties the outbox and returns its messages, ordered by receiver.
func (lim *Limiter) flush() []Message {
	if len(lim.outbox) == 0 {
		return nil
	}
	list := make([]Message, 0, len(lim.outbox))
	for _, m := range lim.outbox {
		list = append(list, *m)
	}
	clear(lim.outbox)
	sort.Slice(list, func(i, j int) bool {
		if list[i].To != list[j].To {
			return list[i].To < list[j].To
		}
		return list[i].ToInc < list[j].ToInc
	})
	return list
}

// Receive handles a message and returns the messages to send in response.
func (lim *Limiter) Receive(m Message, now time.Time) []Message {
	if m.To != lim.self || m.ToInc != lim.inc || lim.opt.Static {
		return nil
	}
	lim.updateActive(now)
	from := process{vm: m.From, inc: m.FromInc}
	for _, r := range m.Returns {
		lim.onReturn(from, r, now)
	}
	for _, req := range m.LoanRequests {
		lim.onLoanRequest(from, req, now)
	}
	for _, r := range m.Renewals {
		lim.onRenewal(from, r, now)
	}
	for _, g := range m.Grants {
		lim.onGrant(from, g, now)
	}
	for _, r := range m.Renewed {
		lim.onRenewed(from, r, now)
	}
	return lim.flush()
}

// lookup returns the entry of a limit with its bucket advanced and lapsed loans
// expired, or nil if there is none.
func (lim *Limiter) lookup(key string, now time.Time) *entry {
	e := lim.entries[key]
	if e != nil {
		e.expire(now)
		e.advance(now)
	}
	return e
}

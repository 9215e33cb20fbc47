package ratelimit

import (
	"math"
	"time"

	"sassafrastray"
)

const (
	// loanTime is how long a loan lasts, from when the borrower sent the message that
	// the lender confirms with it. clockMargin is how much longer the lender waits,
	// for clocks that run at different speeds.
	loanTime    = 3 * time.Second
	clockMargin = 100 * time.Millisecond

	// GrantTime is how long a VM may use a token that another one granted, from when it
	// asked for it.
	GrantTime = 500 * time.Millisecond

	// baseInterval is how often a VM computes its base anew.
	baseInterval = 200 * time.Millisecond

	// loanUnit is the fraction of a quota that loans are multiples of, and minPass the
	// least time for which a borrowed part is passed on.
	loanUnit = 1e-6
	minPass  = 500 * time.Millisecond
)

type (
	// Stamp identifies a message of a VM. Later messages have later stamps.
	Stamp struct {
		Incarnation sassafrastray.Incarnation `json:"inc,omitempty"`
		Sequence    uint64                    `json:"seq,omitempty"`
	}

	// Loan is a part of a team's quota as a fraction of it.
	Loan struct {
		// Share is lent by its owner. Passed was lent to the lender by a VM of another
		// region.
		Share  float64 `json:"s,omitempty"`
		Passed float64 `json:"p,omitempty"`
	}

	// Loans are the loans of one VM to another one.
	Loans map[sassafrastray.TeamName]Loan

	// Transfer is the part of a message by which VMs lend each other parts of quotas.
	Transfer struct {
		// Heard is the stamp of the receiver's latest message that the sender has, and
		// Loans what it lends to the receiver. They replace all earlier loans.
		Heard Stamp `json:"heard"`
		Loans Loans `json:"loans,omitempty"`
		// Fixed loans stay lent for their whole time, so the receiver may pass them on.
		Fixed bool `json:"fixed,omitempty"`
		// PassedFor is how long the passed parts last.
		PassedFor time.Duration `json:"for,omitempty"`
	}

	// Contact is a VM to which messages are sent. Direct ones are not represented by
	// their region.
	Contact struct {
		VM     sassafrastray.VMName
		Region sassafrastray.RegionName
		Direct bool
	}

	// ledger records what a VM owns, lends and borrows. For each team, the sum of lent
	// is at most lendable, and passed at most what VMs of other regions lend.
	ledger struct {
		// vms is the number of VMs that own a part of each quota, base this VM's part
		// as of baseAt, and lendable how much of it may be lent.
		vms            int
		base, lendable float64
		baseAt         time.Time
		// settled is set once no loan of an earlier process can be in use, confirmed once
		// none in the own region can.
		settled, confirmed bool
		incarnation        sassafrastray.Incarnation
		contacts           map[sassafrastray.Source]*contact
		// lent, passed, borrowed and imported are the sums over the contacts. Imported
		// is the part of borrowed that may be passed on.
		lent, passed, borrowed, imported map[sassafrastray.TeamName]float64
		// nextExpiry is when the next borrowed part ends, or zero.
		nextExpiry time.Time
	}

	// contact is the state of the exchange of messages with another VM.
	contact struct {
		Contact
		latest  Stamp
		heardAt time.Time
		// confirmed is set once the VM has confirmed a message of this process.
		confirmed bool
		// sent holds what was sent, the oldest first, without what the VM has replaced
		// by something later or can't use any more. Lent is the most that the VM may
		// use.
		sent []notice
		lent Loans
		// loans are those of the VM, which last until a time.
		loans              Loans
		fixed              bool
		until, passedUntil time.Time
	}

	// notice is a sent Transfer.
	notice struct {
		stamp              Stamp
		at                 time.Time
		loans              Loans
		fixed              bool
		until, passedUntil time.Time
	}
)

func newLedger() ledger {
	return ledger{
		contacts: make(map[sassafrastray.Source]*contact),
		lent:     make(map[sassafrastray.TeamName]float64), passed: make(map[sassafrastray.TeamName]float64),
		borrowed: make(map[sassafrastray.TeamName]float64), imported: make(map[sassafrastray.TeamName]float64),
	}
}

// after reports whether s is later than o.
func (s Stamp) after(o Stamp) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	return s.Sequence > o.Sequence
}

// Send returns what the message with a stamp tells another VM, and remembers it as sent.
func (l *Limiter) Send(to Contact, at Stamp, now time.Time) Transfer {
	l.updateBase(now)
	l.updatePlan(now)
	d := &l.ledger
	d.incarnation = at.Incarnation
	c := d.contact(to)
	before := c.lent
	c.dropNotices(now)
	c.countLent()
	d.addLent(before, c.lent)
	n := notice{stamp: at, at: now, fixed: !to.Direct, loans: l.newLoans(c, now), until: now.Add(loanTime + clockMargin)}
	out := Transfer{Heard: c.latest, Loans: n.loans, Fixed: n.fixed}
	if until := d.passUntil(); len(n.loans) > 0 && !until.IsZero() {
		n.passedUntil, out.PassedFor = until, until.Sub(now)-clockMargin
	}
	c.sent = append(c.sent, n)
	dropped := c.lent
	c.countLent()
	d.addLent(dropped, c.lent)
	l.updateSharesOf(now, before, c.lent)
	return out
}

// newLoans returns the planned loans to a contact as far as they can be made.
func (l *Limiter) newLoans(c *contact, now time.Time) Loans {
	d := &l.ledger
	passes := false
	if until := d.passUntil(); !until.IsZero() {
		passes = until.Sub(now)-clockMargin >= minPass
	}
	var out Loans
	for team, want := range l.plan.loansTo(c) {
		have := c.lent[team]
		others := d.lent[team] - have.Share
		loan := Loan{Share: floorUnit(min(want.Share, d.lendable-others))}
		if !c.Direct {
			loan.Share = floorUnit(min(loan.Share, d.exportable()-(d.exported(team)-have.Share)))
		}
		if t := l.teams[team]; t != nil && loan.Share > have.Share {
			// What was admitted in the window must fit into what is not lent.
			used := float64(l.countAdmitted(t, now)) / l.limit(t)
			loan.Share = floorUnit(max(have.Share, min(loan.Share, d.base-others-used)))
		}
		if passes && c.Direct {
			loan.Passed = floorUnit(min(want.Passed, d.imported[team]-(d.passed[team]-have.Passed)))
		}
		if loan.Share+loan.Passed < minLoan*d.base {
			continue
		}
		if out == nil {
			out = make(Loans)
		}
		out[team] = loan
	}
	return out
}

// exportable returns how much of a quota may be lent to other regions: nothing while those
// may still have what an earlier process lent.
func (d *ledger) exportable() float64 {
	if !d.settled {
		return 0
	}
	return exportFraction * d.lendable
}

// exported returns how much of a quota is lent to other regions.
func (d *ledger) exported(team sassafrastray.TeamName) (sum float64) {
	for _, c := range d.contacts {
		if !c.Direct {
			sum += c.lent[team].Share
		}
	}
	return sum
}

func floorUnit(x float64) float64 { return max(0, math.Floor(x/loanUnit)*loanUnit) }

// Receive applies what another VM's message with a stamp tells. An older message than the
// latest one of the VM changes nothing. Messages of VMs that lend nothing have no Transfer.
func (l *Limiter) Receive(from Contact, at Stamp, t *Transfer, now time.Time) {
	d := &l.ledger
	c := d.contact(from)
	if !at.after(c.latest) {
		return
	}
	l.expireLoans(now)
	c.latest, c.heardAt = at, now
	lent, loans := c.lent, c.loans
	c.loans, c.fixed = nil, false
	if t != nil {
		c.confirmed = c.confirmed || t.Heard.Incarnation != 0 && t.Heard.Incarnation == d.incarnation
		if asked, ok := c.confirm(t.Heard); ok && now.Before(asked.Add(loanTime)) {
			c.loans, c.fixed, c.until = t.Loans.bounded(), t.Fixed, asked.Add(loanTime)
			c.passedUntil = asked.Add(min(t.PassedFor, loanTime))
		}
	}
	c.countLent()
	d.addLent(lent, c.lent)
	if len(loans)+len(c.loans) > 0 {
		d.countBorrowed(now)
	}
	l.updateBase(now)
	l.updateSharesOf(now, lent, loans, c.loans)
}

// bounded returns the loans that are possible.
func (o Loans) bounded() Loans {
	out := make(Loans, len(o))
	for team, loan := range o {
		if loan.Share >= 0 && loan.Share <= 1 && loan.Passed >= 0 && loan.Passed <= 1 {
			out[team] = loan
		}
	}
	return out
}

func (d *ledger) contact(k Contact) *contact {
	c := d.contacts[k.VM.Source()]
	if c == nil {
		c = &contact{}
		d.contacts[k.VM.Source()] = c
	}
	c.Contact = k
	return c
}

// confirm handles that the VM has the message with a stamp. It returns when that was sent.
// What was sent before it, the VM has replaced, but what it may have passed on.
func (c *contact) confirm(s Stamp) (sentAt time.Time, ok bool) {
	for i := range c.sent {
		if c.sent[i].stamp != s {
			continue
		}
		sentAt = c.sent[i].at
		kept := c.sent[:0]
		for j := range c.sent {
			if j >= i || c.sent[j].fixed {
				kept = append(kept, c.sent[j])
			}
		}
		c.sent = kept
		return sentAt, true
	}
	return time.Time{}, false
}

// dropNotices drops the notices of which the VM can't use anything any more.
func (c *contact) dropNotices(now time.Time) {
	kept := c.sent[:0]
	for i := range c.sent {
		if now.Before(c.sent[i].until) {
			kept = append(kept, c.sent[i])
		}
	}
	c.sent = kept
}

// countLent computes the most that the VM may use of what it was sent.
func (c *contact) countLent() {
	c.lent = nil
	for i := range c.sent {
		for team, loan := range c.sent[i].loans {
			if c.lent == nil {
				c.lent = make(Loans)
			}
			have := c.lent[team]
			c.lent[team] = Loan{Share: max(have.Share, loan.Share), Passed: max(have.Passed, loan.Passed)}
		}
	}
}

// addLent replaces the part of a contact in the sums of what is lent.
func (d *ledger) addLent(before, after Loans) {
	for team, loan := range before {
		d.lent[team] -= loan.Share
		d.passed[team] -= loan.Passed
	}
	for team, loan := range after {
		d.lent[team] += loan.Share
		d.passed[team] += loan.Passed
	}
}

// countBorrowed drops what was borrowed until now, and adds up the rest.
func (d *ledger) countBorrowed(now time.Time) {
	clear(d.borrowed)
	clear(d.imported)
	d.nextExpiry = time.Time{}
	for _, c := range d.contacts {
		if len(c.loans) == 0 {
			continue
		}
		if !now.Before(c.until) {
			c.loans = nil
			continue
		}
		passed := now.Before(c.passedUntil)
		for team, loan := range c.loans {
			d.borrowed[team] += loan.Share
			if passed {
				d.borrowed[team] += loan.Passed
			}
			if c.fixed {
				d.imported[team] += loan.Share
			}
		}
		end := c.until
		if passed && c.passedUntil.Before(end) {
			end = c.passedUntil
		}
		if d.nextExpiry.IsZero() || end.Before(d.nextExpiry) {
			d.nextExpiry = end
		}
	}
}

// passUntil returns when the first of the loans ends that may be passed on.
func (d *ledger) passUntil() (until time.Time) {
	if len(d.imported) == 0 {
		return until
	}
	for _, c := range d.contacts {
		if c.fixed && len(c.loans) > 0 && (until.IsZero() || c.until.Before(until)) {
			until = c.until
		}
	}
	return until
}

// dropLoans gives up all that was borrowed.
func (d *ledger) dropLoans() {
	for _, c := range d.contacts {
		c.loans = nil
	}
	d.countBorrowed(time.Time{})
}

// expireLoans ends the loans of which the time is over, each at its time.
func (l *Limiter) expireLoans(now time.Time) {
	for d := &l.ledger; !d.nextExpiry.IsZero() && !now.Before(d.nextExpiry); {
		end := d.nextExpiry
		d.countBorrowed(end)
		l.updateShares(end)
	}
}

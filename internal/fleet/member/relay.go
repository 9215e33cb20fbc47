package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

// exchange is how often a VM of a sparse fleet also asks a VM of its failure
// domain that it does not hear of, as one in so many rounds. It finds VMs that
// no other VM of the domain has found.
const exchange = 8

// ageUnit is the unit of ages on the wire.
const ageUnit = 100 * time.Millisecond

type (
	// Mark is how far one VM's knowledge of a failure domain goes. Number
	// grows with each round in which the domain is known to live; Sum is a
	// hash of the domain's summary, which changes more seldom.
	Mark struct {
		Domain sassafrastray.DomainName `json:"d"`
		Number uint64                   `json:"n"`
		Sum    uint16                   `json:"s"`
		// Age is how long ago the sender's mark grew, by what it was told
		// itself, in tenths of a second.
		Age int64 `json:"a,omitempty"`
	}

	// Seen is the latest heartbeat that a VM has of another one. Run is a
	// hash of the incarnation: it only tells whether two are the same.
	Seen struct {
		VM       sassafrastray.VMName `json:"v"`
		Run      uint16               `json:"r"`
		Sequence uint64               `json:"q"`
	}

	// domain is what the table knows of a failure domain as a whole.
	domain struct {
		mark    Mark
		entries []sassafrastray.VMName
		// moved is when the mark last grew.
		moved time.Time
	}
)

// newer reports whether m replaces o. Delegates that differ may use the same
// number; then the larger hash wins everywhere.
func (m Mark) newer(o Mark) bool {
	return cmp.Or(cmp.Compare(m.Number, o.Number), cmp.Compare(m.Sum, o.Sum)) > 0
}

// Sparse reports whether the fleet is large and heartbeats arrive through others.
func (t *Table) Sparse() bool { return t.Large() && t.opt.Regions == nil }

// Writes reports whether this VM is the one that writes the summary of its
// failure domain: the first delegate or, if the summary stands still, another
// one. A VM that was paused listens first, since its view is from before the
// pause.
func (t *Table) Writes(now time.Time) bool {
	if !t.Sparse() || now.Before(t.silentUntil) {
		return false
	}
	r := t.Rank(now)
	return r == 0 || r < t.opt.Delegates && now.Sub(t.domain(t.self.Domain).moved) > t.opt.Stall
}

// Entries returns the VMs of the own failure domain, this one apart, that
// others may be sent to, those of highest rank first.
func (t *Table) Entries(now time.Time) []Member {
	var live []*entry
	for _, e := range t.sorted() {
		if e.beat.VM.Domain == t.self.Domain && t.alive(e, now) {
			live = append(live, e)
		}
	}
	slices.SortFunc(live, func(a, b *entry) int { return cmp.Compare(rank(b.beat.VM.Name), rank(a.beat.VM.Name)) })
	out := make([]Member, len(live))
	for i, e := range live {
		out[i] = Member{Beat: e.beat, Age: now.Sub(e.heard)}
	}
	return out
}

// Write gives the own domain's summary its next number.
func (t *Table) Write(sum uint16, now time.Time) Mark {
	d := t.domain(t.self.Domain)
	d.mark.Number++
	d.mark.Sum, d.moved = sum, now
	return d.mark
}

// Marks returns how far the table's knowledge of each failure domain goes.
func (t *Table) Marks(now time.Time) []Mark {
	out := make([]Mark, 0, len(t.domains))
	for _, d := range t.domains {
		if d.mark.Number > 0 {
			m := d.mark
			m.Age = int64(now.Sub(d.moved) / ageUnit)
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Mark) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// Newer returns the marks that are newer than theirs. Those whose Sum differs
// need their summary sent along.
func (t *Table) Newer(theirs []Mark, now time.Time) (marks []Mark, changed []sassafrastray.DomainName) {
	has := make(map[sassafrastray.DomainName]Mark, len(theirs))
	for _, m := range theirs {
		has[m.Domain] = m
	}
	for _, m := range t.Marks(now) {
		o := has[m.Domain]
		if !m.newer(o) {
			continue
		}
		marks = append(marks, m)
		if m.Sum != o.Sum || o.Number == 0 {
			changed = append(changed, m.Domain)
		}
	}
	return marks, changed
}

// Refresh takes in a mark without its summary: the domain still lives, and its
// summary is the one that the table has. It reports whether that was news.
func (t *Table) Refresh(m Mark, now time.Time) bool {
	d := t.domains[m.Domain]
	if d == nil || d.mark.Number == 0 || m.Sum != d.mark.Sum || !m.newer(d.mark) {
		return false
	}
	at := now.Add(-time.Duration(m.Age) * ageUnit)
	d.mark, d.moved = m, at
	d.mark.Age = 0
	if m.Domain == t.self.Domain {
		return true
	}
	for _, name := range d.entries {
		if e := t.entries[name]; e != nil && !e.heard.IsZero() {
			e.heard = at
		}
	}
	return true
}

// Learn takes in a mark with the heartbeats of its summary. It reports whether
// that was news. VMs that the summary does not name are out of the view at once; the
// table keeps their incarnations, so that late heartbeats of theirs stay late.
func (t *Table) Learn(m Mark, entries []Beat, now time.Time) bool {
	d := t.domain(m.Domain)
	if !m.newer(d.mark) {
		return false
	}
	at := now.Add(-time.Duration(m.Age) * ageUnit)
	d.mark, d.moved = m, at
	d.mark.Age = 0
	if m.Domain == t.self.Domain {
		// The own domain's VMs are known better than by their summary.
		return true
	}
	named := make(map[sassafrastray.VMName]bool, len(entries))
	d.entries = d.entries[:0]
	for _, b := range entries {
		named[b.VM.Name] = true
		d.entries = append(d.entries, b.VM.Name)
		t.Hear(b, now)
		if e := t.entries[b.VM.Name]; e != nil && e.beat.Incarnation == b.Incarnation {
			e.heard = at
		}
	}
	for name, e := range t.entries {
		if e.beat.VM.Domain == m.Domain {
			e.named = named[name]
		}
	}
	return true
}

// passing reports whether a VM of another domain was heard directly while its
// domain's summary names others. Nobody would tell when it dies.
func (t *Table) passing(e *entry) bool {
	d := e.beat.VM.Domain
	return t.Sparse() && d != t.self.Domain && !e.named && t.domains[d] != nil && t.domains[d].mark.Number > 0
}

// Seen returns the latest heartbeats of the own failure domain's VMs.
func (t *Table) Seen() []Seen {
	var out []Seen
	for _, e := range t.sorted() {
		if e.beat.VM.Domain == t.self.Domain && !e.heard.IsZero() {
			out = append(out, Seen{e.beat.VM.Name, run(e.beat.Incarnation), e.beat.Sequence})
		}
	}
	return out
}

// Unseen returns the VMs of the own failure domain of which theirs lacks the
// latest heartbeat, if the VM was heard of lately.
func (t *Table) Unseen(theirs []Seen, now time.Time) []Member {
	has := make(map[sassafrastray.VMName]Seen, len(theirs))
	for _, s := range theirs {
		has[s.VM] = s
	}
	var out []Member
	for _, e := range t.sorted() {
		b := e.beat
		if b.VM.Domain != t.self.Domain || e.heard.IsZero() || now.Sub(e.heard) > t.dead() {
			continue
		}
		if s, ok := has[b.VM.Name]; !ok || s.Run != run(b.Incarnation) || b.Sequence > s.Sequence {
			out = append(out, Member{Beat: b, Age: now.Sub(e.heard)})
		}
	}
	return out
}

// sparse returns a VM of the own failure domain and, in so many rounds that
// the domain makes Fanout of them together, one of another domain.
func (t *Table) sparse(all []*entry, now time.Time) []sassafrastray.VM {
	byDomain := make(map[sassafrastray.DomainName][]*entry)
	var domains []sassafrastray.DomainName
	for _, e := range all {
		d := e.beat.VM.Domain
		if byDomain[d] == nil && d != t.self.Domain {
			domains = append(domains, d)
		}
		byDomain[d] = append(byDomain[d], e)
	}
	mates := byDomain[t.self.Domain]
	live := t.speaking(mates, now)
	var to []sassafrastray.VM
	if len(live) == 0 || t.rng.IntN(exchange) == 0 {
		to = t.any(to, mates)
	} else {
		to = t.any(to, live)
	}
	if len(domains) == 0 || t.rng.IntN(len(live)+1) >= t.opt.Fanout {
		return to
	}
	// Domains that are not heard of are drawn like others: a cut that ends
	// is only found by trying.
	far := byDomain[domains[t.rng.IntN(len(domains))]]
	if l := t.speaking(far, now); len(l) > 0 {
		far = l
	}
	return t.any(to, far)
}

// speaking returns the VMs that were heard of lately, leaving ones included.
func (t *Table) speaking(of []*entry, now time.Time) []*entry {
	var out []*entry
	for _, e := range of {
		if !e.heard.IsZero() && now.Sub(e.heard) <= t.suspect() {
			out = append(out, e)
		}
	}
	return out
}

// any appends a VM drawn from the entries, if there are some.
func (t *Table) any(to []sassafrastray.VM, from []*entry) []sassafrastray.VM {
	if len(from) == 0 {
		return to
	}
	return append(to, from[t.rng.IntN(len(from))].beat.VM)
}

func run(i sassafrastray.Incarnation) uint16 { return uint16(xxhash.Sum64String(i.String())) }

func (t *Table) domain(name sassafrastray.DomainName) *domain {
	d := t.domains[name]
	if d == nil {
		d = &domain{mark: Mark{Domain: name}}
		t.domains[name] = d
	}
	return d
}

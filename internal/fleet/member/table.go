// Package member keeps one VM's view of the other VMs: who they are, whether
// they are alive, and whom to send heartbeats to.
//
// The platform's list names candidates; heartbeats tell who is alive. A VM
// that is dead and a VM that is cut off look alike, so nothing may rely on a
// VM missing from the view being dead.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

type (
	// Options are the table's bounds.
	Options struct {
		// Suspect is the silence after which a VM gets no new work.
		Suspect time.Duration
		// Dead is the silence after which a VM leaves the view.
		Dead time.Duration
		// Forget is how long a dead VM that the platform no longer lists is
		// still sent heartbeats.
		Forget time.Duration
		// Direct is the largest fleet in which every VM sends heartbeats to
		// every other. Beyond it the fleet is sparse: a VM speaks to one VM
		// of its failure domain at a time, the domain's VMs together speak
		// to Fanout VMs of other domains in a round, and Delegates of each
		// domain write its summary.
		Direct    int
		Delegates int
		Fanout    int
		// SparseSuspect and SparseDead take the place of Suspect and Dead in
		// a sparse fleet, where heartbeats arrive through others.
		SparseSuspect time.Duration
		SparseDead    time.Duration
		// Stall is how long a summary stands still before another delegate
		// writes it.
		Stall time.Duration
		// Regions has the region of each failure domain. If it is set, a fleet
		// beyond Direct is not sparse: a VM speaks to all VMs of its region
		// and to so many Partners in each other region, and not to one that
		// did not answer within Avoid while others are there.
		Regions  map[sassafrastray.DomainName]sassafrastray.RegionName
		Partners int
		Avoid    time.Duration
		// Quiet is how long after a heartbeat of a VM, or its answer, none is
		// sent to it; zero sends always. It does not hold in a sparse fleet.
		Quiet time.Duration
	}

	// Beat is the part of a heartbeat that the table reads.
	Beat struct {
		VM          sassafrastray.VM
		Incarnation sassafrastray.Incarnation
		// Sequence grows with each heartbeat of an incarnation.
		Sequence uint64
		// Config is the number of the configuration in force on the VM.
		Config int64
	}

	// Member is a VM as others see it.
	Member struct {
		Beat
		// Age is the time since the VM's latest heartbeat.
		Age time.Duration
		// Suspect VMs are silent for too long to get new work.
		Suspect bool
	}

	entry struct {
		beat  Beat
		heard time.Time
		// failed is set from a failed connection to the next heartbeat.
		failed bool
		// unanswered is when a heartbeat to the VM last had no answer.
		unanswered time.Time
		// retired tells that the platform's latest list has the VM leaving.
		// The list may mean an earlier process of the VM, so it counts only
		// until the next list.
		retired bool
		// missed is when the platform's list last lacked the VM.
		missed time.Time
		// named tells that the latest summary of the VM's domain names it.
		named bool
	}

	// Table is the view of one VM. It is not safe for concurrent use.
	Table struct {
		self    sassafrastray.VM
		opt     Options
		rng     *rand.Rand
		entries map[sassafrastray.VMName]*entry
		domains map[sassafrastray.DomainName]*domain
		// order has the entries by name, nil after a change.
		order []*entry
		// ticked is the time of the last Tick. After a pause the VM writes
		// no summary before silentUntil.
		ticked      time.Time
		silentUntil time.Time
	}
)

// Defaults returns the usual bounds.
func Defaults() Options {
	return Options{
		Suspect: 2 * time.Second, Dead: 6 * time.Second, Forget: time.Minute,
		Direct: 24, Delegates: 2, Fanout: 6,
		SparseSuspect: 8 * time.Second, SparseDead: 10 * time.Second, Stall: 3 * time.Second,
	}
}

// New returns a table that knows only the VM itself.
func New(self sassafrastray.VM, opt Options, rng *rand.Rand) *Table {
	return &Table{
		self: self, opt: opt, rng: rng,
		entries: make(map[sassafrastray.VMName]*entry), domains: make(map[sassafrastray.DomainName]*domain),
	}
}

// List takes in the platform's list. It lags, so a VM that it lacks is
// forgotten only if it is silent too. A VM is leaving if the latest list or the
// VM's own latest heartbeat says so.
func (t *Table) List(vms []sassafrastray.VM, now time.Time) {
	seen := make(map[sassafrastray.VMName]bool, len(vms))
	for _, v := range vms {
		if v.Name == t.self.Name {
			continue
		}
		seen[v.Name] = true
		e := t.entries[v.Name]
		if e == nil {
			e = &entry{beat: Beat{VM: v}}
			t.entries[v.Name], t.order = e, nil
		}
		if e.heard.IsZero() {
			e.beat.VM = v
		}
		e.retired, e.missed = v.State == sassafrastray.VMLeaving, time.Time{}
	}
	for name, e := range t.entries {
		if !seen[name] && e.missed.IsZero() {
			e.missed = now
		}
	}
}

// Hear takes in a heartbeat that arrived straight from its VM. It reports
// whether the heartbeat was news: late and repeated ones change nothing.
func (t *Table) Hear(b Beat, now time.Time) bool { return t.Relayed(b, 0, now) }

// Relayed is Hear for a heartbeat that arrived through another VM, which heard
// of it that long ago.
func (t *Table) Relayed(b Beat, age time.Duration, now time.Time) bool {
	if b.VM.Name == t.self.Name {
		return false
	}
	e := t.entries[b.VM.Name]
	if e == nil {
		e = &entry{missed: now}
		t.entries[b.VM.Name], t.order = e, nil
	}
	old := e.beat
	if b.Incarnation < old.Incarnation || b.Incarnation == old.Incarnation && b.Sequence <= old.Sequence {
		return false
	}
	e.beat, e.heard, e.failed = b, now.Add(-age), false
	return true
}

// Fail notes that no connection to a VM could be opened. It is suspect until
// it is heard of again. It reports whether that is news.
func (t *Table) Fail(name sassafrastray.VMName) bool {
	e := t.entries[name]
	if e == nil || e.failed {
		return false
	}
	e.failed = true
	return true
}

// Tick forgets VMs that are neither listed nor heard of, and returns the VMs
// that the next heartbeat goes to.
func (t *Table) Tick(now time.Time) []sassafrastray.VM {
	for name, e := range t.entries {
		silent := e.heard.IsZero() || now.Sub(e.heard) > t.dead()
		if silent && !e.missed.IsZero() && now.Sub(e.missed) > t.opt.Forget {
			delete(t.entries, name)
			t.order = nil
		}
	}
	if now.Sub(t.ticked) > t.suspect() {
		t.silentUntil = now.Add(t.suspect())
	}
	t.ticked = now
	if !t.Sparse() {
		return t.targets(now)
	}
	return t.sparse(t.sorted(), now)
}

// Rank returns how many live VMs of the failure domain come before this VM
// when one or a few are to act for all.
func (t *Table) Rank(now time.Time) int {
	return t.RankAmong(func(sassafrastray.VMName) bool { return true }, now)
}

// RankAmong is Rank among the VMs that are able to act.
func (t *Table) RankAmong(able func(sassafrastray.VMName) bool, now time.Time) int {
	own, n := rank(t.self.Name), 0
	for _, e := range t.entries {
		vm := e.beat.VM
		if vm.Domain == t.self.Domain && t.alive(e, now) && rank(vm.Name) > own && able(vm.Name) {
			n++
		}
	}
	return n
}

// View returns the VMs that were heard of lately, by name. The VM itself is
// not among them.
func (t *Table) View(now time.Time) []Member {
	var view []Member
	for _, e := range t.sorted() {
		if e.heard.IsZero() || t.passing(e) {
			continue
		}
		age := now.Sub(e.heard)
		if age > t.dead() {
			continue
		}
		view = append(view, Member{Beat: e.now(), Age: age, Suspect: e.failed || age > t.suspect()})
	}
	return view
}

// Find returns the VM called name.
func (t *Table) Find(name sassafrastray.VMName) (sassafrastray.VM, bool) {
	e := t.entries[name]
	if e == nil {
		return sassafrastray.VM{}, false
	}
	return e.now().VM, true
}

// Incarnation returns the latest incarnation that was heard of, or 0.
func (t *Table) Incarnation(name sassafrastray.VMName) sassafrastray.Incarnation {
	if e := t.entries[name]; e != nil {
		return e.beat.Incarnation
	}
	return 0
}

// Known returns all candidates, heard of or not, by name.
func (t *Table) Known() []sassafrastray.VM { return vms(t.sorted()) }

func (t *Table) alive(e *entry, now time.Time) bool {
	return !e.failed && !e.heard.IsZero() && now.Sub(e.heard) <= t.suspect() && e.now().VM.State == sassafrastray.VMLive
}

// now returns the VM's heartbeat with what the platform's list adds.
func (e *entry) now() Beat {
	b := e.beat
	if e.retired {
		b.VM.State = sassafrastray.VMLeaving
	}
	return b
}

func (t *Table) suspect() time.Duration {
	if t.Sparse() {
		return t.opt.SparseSuspect
	}
	return t.opt.Suspect
}

func (t *Table) dead() time.Duration {
	if t.Sparse() {
		return t.opt.SparseDead
	}
	return t.opt.Dead
}

func (t *Table) sorted() []*entry {
	if t.order != nil || len(t.entries) == 0 {
		return t.order
	}
	t.order = make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		t.order = append(t.order, e)
	}
	slices.SortFunc(t.order, func(a, b *entry) int { return cmp.Compare(a.beat.VM.Name, b.beat.VM.Name) })
	return t.order
}

func vms(es []*entry) []sassafrastray.VM {
	out := make([]sassafrastray.VM, len(es))
	for i, e := range es {
		out[i] = e.beat.VM
	}
	return out
}

// rank orders the VMs of a domain the same way on every VM, independently of
// how names are given out.
func rank(n sassafrastray.VMName) uint64 { return xxhash.Sum64String(string(n)) }

// Package member maintains one VM's view of the fleet's membership: which other
// VMs exist, whether they are alive, and which of them to send heartbeats to.
//
// The platform's list names candidates; heartbeats show which are alive. A dead
// VM and one that is cut off look alike, so nothing may rely on a VM that is
// missing from the view being dead.
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
	// Options are the table's timeouts and limits.
	Options struct {
		// SuspectAfter is the silence after which a VM gets no new work.
		SuspectAfter time.Duration
		// DeadAfter is the silence after which a VM leaves the view.
		DeadAfter time.Duration
		// ForgetAfter is how long heartbeats are still sent to a dead VM that
		// the platform no longer lists.
		ForgetAfter time.Duration
		// MaxDirect is the size of the fleet, this VM included, up to which
		// every VM sends heartbeats to every other. A larger fleet is sparse
		// unless Regions is set: in each round, a VM contacts one VM of its
		// failure domain, the domain's VMs together contact Fanout VMs of other
		// domains, and Delegates of each domain write its summary.
		MaxDirect int
		Delegates int
		Fanout    int
		// SparseSuspectAfter and SparseDeadAfter replace SuspectAfter and
		// DeadAfter in a sparse fleet, where most heartbeats are relayed.
		SparseSuspectAfter time.Duration
		SparseDeadAfter    time.Duration
		// StallTimeout is how long a summary may go without a new version
		// before another delegate writes it.
		StallTimeout time.Duration
		// Regions has the region of each failure domain. If it is set, a fleet
		// larger than MaxDirect is not sparse: a VM contacts all VMs of its
		// region and PartnersPerRegion VMs of each other region. A VM that left
		// a heartbeat unanswered within AvoidFor is a partner only if there are
		// too few others.
		Regions           map[sassafrastray.DomainName]sassafrastray.RegionName
		PartnersPerRegion int
		AvoidFor          time.Duration
		// QuietPeriod is how long after the last heartbeat of a VM, or its
		// answer, no heartbeat is sent to it; zero always sends. It is not used
		// in a sparse fleet.
		QuietPeriod time.Duration
	}

	// Heartbeat is the part of a heartbeat that the table uses.
	Heartbeat struct {
		VM          sassafrastray.VM
		Incarnation sassafrastray.Incarnation
		// Sequence grows with each heartbeat of an incarnation.
		Sequence uint64
		// Config is the number of the configuration in force on the VM.
		Config int64
	}

	// Member is another VM as this one sees it.
	Member struct {
		Heartbeat
		// Age is the time since the VM's latest heartbeat.
		Age time.Duration
		// Suspect VMs have been silent too long to get new work.
		Suspect bool
	}

	entry struct {
		heartbeat Heartbeat
		lastSeen  time.Time
		// failed is set when a connection fails, until the next heartbeat.
		failed bool
		// unansweredAt is when a heartbeat to the VM last got no answer.
		unansweredAt time.Time
		// listedLeaving is whether the platform's latest list has the VM as
		// leaving. The list may refer to an earlier process of the VM, so this
		// holds only until the next list.
		listedLeaving bool
		// unlistedSince is when the VM was first found missing from the
		// platform's list, zero if the latest list has it.
		unlistedSince time.Time
		// inSummary is whether the latest summary of the VM's domain names it.
		inSummary bool
	}

	// Table is one VM's view of the fleet. It is not safe for concurrent use.
	Table struct {
		self    sassafrastray.VM
		opt     Options
		rng     *rand.Rand
		entries map[sassafrastray.VMName]*entry
		domains map[sassafrastray.DomainName]*domain
		// order caches the entries by name; it is nil after a change.
		order []*entry
		// lastTick is the time of the last Tick. After a pause the VM writes no
		// summary before noSummaryBefore.
		lastTick        time.Time
		noSummaryBefore time.Time
	}
)

// DefaultOptions returns the timeouts and limits of a fleet without special
// needs.
func DefaultOptions() Options {
	return Options{
		SuspectAfter: 2 * time.Second, DeadAfter: 6 * time.Second, ForgetAfter: time.Minute,
		MaxDirect: 24, Delegates: 2, Fanout: 6,
		SparseSuspectAfter: 8 * time.Second, SparseDeadAfter: 10 * time.Second, StallTimeout: 3 * time.Second,
	}
}

// New returns a table that knows no other VM yet.
func New(self sassafrastray.VM, opt Options, rng *rand.Rand) *Table {
	return &Table{
		self: self, opt: opt, rng: rng,
		entries: make(map[sassafrastray.VMName]*entry), domains: make(map[sassafrastray.DomainName]*domain),
	}
}

// ApplyList updates the table from the platform's list. The list lags, so a VM
// that is missing from it is forgotten only if it is silent too. A VM is
// leaving if the latest list or the VM's own latest heartbeat says so.
func (t *Table) ApplyList(vms []sassafrastray.VM, now time.Time) {
	seen := make(map[sassafrastray.VMName]bool, len(vms))
	for _, v := range vms {
		if v.Name == t.self.Name {
			continue
		}
		seen[v.Name] = true
		e := t.entries[v.Name]
		if e == nil {
			e = &entry{heartbeat: Heartbeat{VM: v}}
			t.entries[v.Name], t.order = e, nil
		}
		if e.lastSeen.IsZero() {
			e.heartbeat.VM = v
		}
		e.listedLeaving, e.unlistedSince = v.State == sassafrastray.VMLeaving, time.Time{}
	}
	for name, e := range t.entries {
		if !seen[name] && e.unlistedSince.IsZero() {
			e.unlistedSince = now
		}
	}
}

// ApplyHeartbeat updates the table from a heartbeat that its VM sent directly.
// It reports whether the heartbeat was newer than the one in the table; late
// and repeated heartbeats change nothing.
func (t *Table) ApplyHeartbeat(h Heartbeat, now time.Time) bool { return t.ApplyRelayed(h, 0, now) }

// ApplyRelayed is ApplyHeartbeat for a heartbeat that another VM relayed. Age
// is how old the heartbeat was when that VM sent it on.
func (t *Table) ApplyRelayed(h Heartbeat, age time.Duration, now time.Time) bool {
	if h.VM.Name == t.self.Name {
		return false
	}
	e := t.entries[h.VM.Name]
	if e == nil {
		e = &entry{unlistedSince: now}
		t.entries[h.VM.Name], t.order = e, nil
	}
	old := e.heartbeat
	if h.Incarnation < old.Incarnation || h.Incarnation == old.Incarnation && h.Sequence <= old.Sequence {
		return false
	}
	e.heartbeat, e.lastSeen, e.failed = h, now.Add(-age), false
	return true
}

// MarkFailed records that no connection to a VM could be opened. The VM is
// suspect until its next heartbeat. MarkFailed reports whether the table has
// changed.
func (t *Table) MarkFailed(name sassafrastray.VMName) bool {
	e := t.entries[name]
	if e == nil || e.failed {
		return false
	}
	e.failed = true
	return true
}

// Tick forgets VMs that are neither listed nor alive, and returns the VMs to
// send the next heartbeat to.
func (t *Table) Tick(now time.Time) []sassafrastray.VM {
	for name, e := range t.entries {
		silent := e.lastSeen.IsZero() || now.Sub(e.lastSeen) > t.deadAfter()
		if silent && !e.unlistedSince.IsZero() && now.Sub(e.unlistedSince) > t.opt.ForgetAfter {
			delete(t.entries, name)
			t.order = nil
		}
	}
	if now.Sub(t.lastTick) > t.suspectAfter() {
		t.noSummaryBefore = now.Add(t.suspectAfter())
	}
	t.lastTick = now
	if !t.Sparse() {
		return t.directTargets(now)
	}
	return t.sparseTargets(t.sorted(), now)
}

// Rank returns how many live VMs of the failure domain rank above this VM. The
// first one or the first few act for the domain.
func (t *Table) Rank(now time.Time) int {
	return t.RankAmong(func(sassafrastray.VMName) bool { return true }, now)
}

// RankAmong is Rank among the VMs for which eligible returns true.
func (t *Table) RankAmong(eligible func(sassafrastray.VMName) bool, now time.Time) int {
	return t.countAbove(func(vm sassafrastray.VM) bool { return vm.Domain == t.self.Domain && eligible(vm.Name) }, now)
}

// RankDirect is RankAmong among the direct VMs of all failure domains.
func (t *Table) RankDirect(eligible func(sassafrastray.VMName) bool, now time.Time) int {
	return t.countAbove(func(vm sassafrastray.VM) bool { return t.IsDirect(vm) && eligible(vm.Name) }, now)
}

// countAbove returns how many of the live VMs for which counts returns true rank above this
// VM.
func (t *Table) countAbove(counts func(sassafrastray.VM) bool, now time.Time) int {
	n := 0
	for _, e := range t.entries {
		vm := e.heartbeat.VM
		if t.alive(e, now) && compareRank(vm, t.self) > 0 && counts(vm) {
			n++
		}
	}
	return n
}

// View returns the other VMs with a recent heartbeat, suspect ones included, by
// name.
func (t *Table) View(now time.Time) []Member {
	var view []Member
	for _, e := range t.sorted() {
		if e.lastSeen.IsZero() || t.absentFromSummary(e) {
			continue
		}
		age := now.Sub(e.lastSeen)
		if age > t.deadAfter() {
			continue
		}
		view = append(view, Member{Heartbeat: e.current(), Age: age, Suspect: e.failed || age > t.suspectAfter()})
	}
	return view
}

// Find returns the VM called name, and whether the table has it.
func (t *Table) Find(name sassafrastray.VMName) (sassafrastray.VM, bool) {
	e := t.entries[name]
	if e == nil {
		return sassafrastray.VM{}, false
	}
	return e.current().VM, true
}

// Incarnation returns the latest known incarnation of a VM, or 0.
func (t *Table) Incarnation(name sassafrastray.VMName) sassafrastray.Incarnation {
	if e := t.entries[name]; e != nil {
		return e.heartbeat.Incarnation
	}
	return 0
}

// Known returns all candidates, alive or not, by name.
func (t *Table) Known() []sassafrastray.VM { return vms(t.sorted()) }

func (t *Table) alive(e *entry, now time.Time) bool {
	return !e.failed && !e.lastSeen.IsZero() && now.Sub(e.lastSeen) <= t.suspectAfter() && e.current().VM.State == sassafrastray.VMLive
}

// current returns the VM's latest heartbeat, with the state corrected by the
// platform's list.
func (e *entry) current() Heartbeat {
	h := e.heartbeat
	if e.listedLeaving {
		h.VM.State = sassafrastray.VMLeaving
	}
	return h
}

func (t *Table) suspectAfter() time.Duration {
	if t.Sparse() {
		return t.opt.SparseSuspectAfter
	}
	return t.opt.SuspectAfter
}

func (t *Table) deadAfter() time.Duration {
	if t.Sparse() {
		return t.opt.SparseDeadAfter
	}
	return t.opt.DeadAfter
}

func (t *Table) sorted() []*entry {
	if t.order != nil || len(t.entries) == 0 {
		return t.order
	}
	t.order = make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		t.order = append(t.order, e)
	}
	slices.SortFunc(t.order, func(a, b *entry) int { return cmp.Compare(a.heartbeat.VM.Name, b.heartbeat.VM.Name) })
	return t.order
}

func vms(es []*entry) []sassafrastray.VM {
	out := make([]sassafrastray.VM, len(es))
	for i, e := range es {
		out[i] = e.heartbeat.VM
	}
	return out
}

// compareRank orders the VMs of a domain in the same way on every VM: by their capacity,
// since the first ones send to the others, and then whatever their naming scheme.
func compareRank(a, b sassafrastray.VM) int {
	return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(rank(a.Name), rank(b.Name)))
}

func rank(n sassafrastray.VMName) uint64 { return xxhash.Sum64String(string(n)) }

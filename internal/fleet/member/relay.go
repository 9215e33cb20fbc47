package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

// exploreOdds sets how often a VM of a sparse fleet picks its target from all
// VMs of its failure domain, silent ones included: in one of exploreOdds rounds
// on average, and always while all of them are silent. This finds VMs that no
// other VM of the domain has contacted yet.
const exploreOdds = 8

// ageUnit is the unit of ages on the wire.
const ageUnit = 100 * time.Millisecond

type (
	// SummaryVersion is the version of a failure domain's summary that a VM
	// has. Number grows with each round in which the domain is known to be
	// alive; Hash is a hash of the summary, which changes less often.
	SummaryVersion struct {
		Domain sassafrastray.DomainName `json:"d"`
		Number uint64                   `json:"n"`
		Hash   uint16                   `json:"s"`
		// Age is how long ago the sender got this number, in tenths of a
		// second. It includes the ages that were reported on the way.
		Age int64 `json:"a,omitempty"`
	}

	// HeartbeatVersion identifies the latest heartbeat that a VM has of another
	// one. IncarnationHash only serves to tell whether two incarnations are the
	// same.
	HeartbeatVersion struct {
		VM              sassafrastray.VMName `json:"v"`
		IncarnationHash uint16               `json:"r"`
		Sequence        uint64               `json:"q"`
	}

	// domain is the table's state of a failure domain as a whole.
	domain struct {
		version SummaryVersion
		entries []sassafrastray.VMName
		// advancedAt is when the version last changed.
		advancedAt time.Time
	}
)

// newer reports whether v replaces o. Delegates may write different summaries
// under the same number; then the larger hash wins on every VM.
func (v SummaryVersion) newer(o SummaryVersion) bool {
	return cmp.Or(cmp.Compare(v.Number, o.Number), cmp.Compare(v.Hash, o.Hash)) > 0
}

// Sparse reports whether the fleet is large and most heartbeats are relayed.
func (t *Table) Sparse() bool { return t.Large() && t.opt.Regions == nil }

// IsSummaryWriter reports whether this VM is the one to write the summary of
// its failure domain: the first delegate or, if the summary is not updated,
// another one. After a pause a VM first waits for heartbeats, since its view is
// out of date.
func (t *Table) IsSummaryWriter(now time.Time) bool {
	if !t.Sparse() || now.Before(t.noSummaryBefore) {
		return false
	}
	r := t.Rank(now)
	return r == 0 || r < t.opt.Delegates && now.Sub(t.domain(t.self.Domain).advancedAt) > t.opt.StallTimeout
}

// LiveInDomain returns the other live VMs of the own failure domain, those of
// highest rank first.
func (t *Table) LiveInDomain(now time.Time) []Member {
	var live []*entry
	for _, e := range t.sorted() {
		if e.heartbeat.VM.Domain == t.self.Domain && t.alive(e, now) {
			live = append(live, e)
		}
	}
	slices.SortFunc(live, func(a, b *entry) int { return compareRank(b.heartbeat.VM, a.heartbeat.VM) })
	out := make([]Member, len(live))
	for i, e := range live {
		out[i] = Member{Heartbeat: e.heartbeat, Age: now.Sub(e.lastSeen)}
	}
	return out
}

// AdvanceSummary gives the own domain's summary its next number, records its
// hash, and returns the new version.
func (t *Table) AdvanceSummary(hash uint16, now time.Time) SummaryVersion {
	d := t.domain(t.self.Domain)
	d.version.Number++
	d.version.Hash, d.advancedAt = hash, now
	return d.version
}

// SummaryVersions returns the version of each failure domain's summary.
func (t *Table) SummaryVersions(now time.Time) []SummaryVersion {
	out := make([]SummaryVersion, 0, len(t.domains))
	for _, d := range t.domains {
		if d.version.Number > 0 {
			v := d.version
			v.Age = int64(now.Sub(d.advancedAt) / ageUnit)
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b SummaryVersion) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// NewerSummaries returns the versions that are newer than theirs, and the
// failure domains whose summary has to be sent too because its hash differs.
func (t *Table) NewerSummaries(theirs []SummaryVersion, now time.Time) (versions []SummaryVersion, changed []sassafrastray.DomainName) {
	has := make(map[sassafrastray.DomainName]SummaryVersion, len(theirs))
	for _, v := range theirs {
		has[v.Domain] = v
	}
	for _, v := range t.SummaryVersions(now) {
		o := has[v.Domain]
		if !v.newer(o) {
			continue
		}
		versions = append(versions, v)
		if v.Hash != o.Hash || o.Number == 0 {
			changed = append(changed, v.Domain)
		}
	}
	return versions, changed
}

// RefreshSummary applies a version without its summary: the domain is still
// alive, and its summary is the one that the table has. It reports whether the
// table has changed.
func (t *Table) RefreshSummary(v SummaryVersion, now time.Time) bool {
	d := t.domains[v.Domain]
	if d == nil || d.version.Number == 0 || v.Hash != d.version.Hash || !v.newer(d.version) {
		return false
	}
	at := now.Add(-time.Duration(v.Age) * ageUnit)
	d.version, d.advancedAt = v, at
	d.version.Age = 0
	if v.Domain == t.self.Domain {
		return true
	}
	for _, name := range d.entries {
		if e := t.entries[name]; e != nil && !e.lastSeen.IsZero() {
			e.lastSeen = at
		}
	}
	return true
}

// ApplySummary applies a version with the heartbeats of its summary. It reports
// whether the version was newer. VMs that the summary does not name leave the
// view at once; the table keeps their incarnations, so that their late
// heartbeats are still recognized as late.
func (t *Table) ApplySummary(v SummaryVersion, entries []Heartbeat, now time.Time) bool {
	d := t.domain(v.Domain)
	if !v.newer(d.version) {
		return false
	}
	at := now.Add(-time.Duration(v.Age) * ageUnit)
	d.version, d.advancedAt = v, at
	d.version.Age = 0
	if v.Domain == t.self.Domain {
		// The table has newer heartbeats of the own domain's VMs than the summary.
		return true
	}
	named := make(map[sassafrastray.VMName]bool, len(entries))
	d.entries = d.entries[:0]
	for _, h := range entries {
		named[h.VM.Name] = true
		d.entries = append(d.entries, h.VM.Name)
		t.ApplyHeartbeat(h, now)
		if e := t.entries[h.VM.Name]; e != nil && e.heartbeat.Incarnation == h.Incarnation {
			e.lastSeen = at
		}
	}
	for name, e := range t.entries {
		if e.heartbeat.VM.Domain == v.Domain {
			e.inSummary = named[name]
		}
	}
	return true
}

// absentFromSummary reports whether a VM of another domain is missing from its
// domain's summary, though it may have sent a heartbeat directly. It is kept
// out of the view, because no summary would report its death.
func (t *Table) absentFromSummary(e *entry) bool {
	d := e.heartbeat.VM.Domain
	return t.Sparse() && d != t.self.Domain && !e.inSummary && t.domains[d] != nil && t.domains[d].version.Number > 0
}

// HeartbeatVersions returns the versions of the latest heartbeats of the own
// failure domain's VMs.
func (t *Table) HeartbeatVersions() []HeartbeatVersion {
	var out []HeartbeatVersion
	for _, e := range t.sorted() {
		if e.heartbeat.VM.Domain == t.self.Domain && !e.lastSeen.IsZero() {
			out = append(out, HeartbeatVersion{e.heartbeat.VM.Name, hashIncarnation(e.heartbeat.Incarnation), e.heartbeat.Sequence})
		}
	}
	return out
}

// NewerHeartbeats returns the VMs of the own failure domain whose latest
// heartbeat is missing from theirs, unless the VM is dead.
func (t *Table) NewerHeartbeats(theirs []HeartbeatVersion, now time.Time) []Member {
	has := make(map[sassafrastray.VMName]HeartbeatVersion, len(theirs))
	for _, v := range theirs {
		has[v.VM] = v
	}
	var out []Member
	for _, e := range t.sorted() {
		h := e.heartbeat
		if h.VM.Domain != t.self.Domain || e.lastSeen.IsZero() || now.Sub(e.lastSeen) > t.deadAfter() {
			continue
		}
		if v, ok := has[h.VM.Name]; !ok || v.IncarnationHash != hashIncarnation(h.Incarnation) || h.Sequence > v.Sequence {
			out = append(out, Member{Heartbeat: h, Age: now.Sub(e.lastSeen)})
		}
	}
	return out
}

// sparseTargets returns a VM of the own failure domain and, with the
// probability at which the domain's VMs together contact Fanout of them, one of
// another domain.
func (t *Table) sparseTargets(all []*entry, now time.Time) []sassafrastray.VM {
	byDomain := make(map[sassafrastray.DomainName][]*entry)
	var domains []sassafrastray.DomainName
	for _, e := range all {
		d := e.heartbeat.VM.Domain
		if byDomain[d] == nil && d != t.self.Domain {
			domains = append(domains, d)
		}
		byDomain[d] = append(byDomain[d], e)
	}
	domainPeers := byDomain[t.self.Domain]
	live := t.recentlySeen(domainPeers, now)
	var to []sassafrastray.VM
	if len(live) == 0 || t.rng.IntN(exploreOdds) == 0 {
		to = t.appendRandom(to, domainPeers)
	} else {
		to = t.appendRandom(to, live)
	}
	if len(domains) == 0 || t.rng.IntN(len(live)+1) >= t.opt.Fanout {
		return to
	}
	// Domains without heartbeats are drawn like the others, because only an
	// attempt finds out that a cut has ended.
	far := byDomain[domains[t.rng.IntN(len(domains))]]
	if l := t.recentlySeen(far, now); len(l) > 0 {
		far = l
	}
	return t.appendRandom(to, far)
}

// recentlySeen returns the VMs that are not suspect for their silence, leaving
// ones included.
func (t *Table) recentlySeen(of []*entry, now time.Time) []*entry {
	var out []*entry
	for _, e := range of {
		if !e.lastSeen.IsZero() && now.Sub(e.lastSeen) <= t.suspectAfter() {
			out = append(out, e)
		}
	}
	return out
}

// appendRandom appends one VM drawn from the entries, if there are any.
func (t *Table) appendRandom(to []sassafrastray.VM, from []*entry) []sassafrastray.VM {
	if len(from) == 0 {
		return to
	}
	return append(to, from[t.rng.IntN(len(from))].heartbeat.VM)
}

func hashIncarnation(i sassafrastray.Incarnation) uint16 {
	return uint16(xxhash.Sum64String(i.String()))
}

func (t *Table) domain(name sassafrastray.DomainName) *domain {
	d := t.domains[name]
	if d == nil {
		d = &domain{version: SummaryVersion{Domain: name}}
		t.domains[name] = d
	}
	return d
}

package ratelimit

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
)

const (
	// demandFactor times its demand in a window, and spareRequests, is what a VM needs of
	// a team's limit.
	demandFactor  = 2
	spareRequests = 2

	// poolTokens is the average number of requests in a window that a quota allows each of
	// the VMs in use, below which the VMs of a region lend their parts of it to a hub.
	poolTokens = 4

	// hubTimeout is the time after its last heartbeat at which a VM is no hub.
	hubTimeout = 2300 * time.Millisecond

	// minLoan is the least loan, as a fraction of a base.
	minLoan = 0.01

	// A plan of up to directVMs, and of up to directParts of quotas, is made anew for each
	// message after a change. A larger one is used for planTime.
	directVMs   = 32
	directParts = 256
	planTime    = 250 * time.Millisecond
)

type (
	// plan tells what to lend to whom. It follows the reported demand and decides
	// nothing about how much may be lent.
	plan struct {
		madeAt  time.Time
		changed bool
		// members are the VMs whose usage is known one by one, groups the regions that
		// report together.
		members []planMember
		groups  []planGroup
		// loans holds the planned loans to direct contacts, exports those to all VMs of
		// another region together.
		loans   map[sassafrastray.Source]Loans
		exports map[sassafrastray.RegionName]Loans
		// partners is the number of contacts in each of these regions.
		partners map[sassafrastray.RegionName]int
		// active is the number of VMs to which callers are sent.
		active float64
	}

	// planMember is a VM, this one included, and what the plan says about a quota, in
	// fractions of it: the part that the VM holds, the part that it would hold if all
	// were in use, and the part that it needs.
	planMember struct {
		source sassafrastray.Source
		region sassafrastray.RegionName
		uses   TeamUsage
		// self is this VM, idle ones get no callers, new ones don't know their demand,
		// and those that were not heard from lately are no hubs.
		self, idle, new, silent bool
		owns                    float64

		demand             float64
		holds, most, needs float64
	}

	planGroup struct {
		region             sassafrastray.RegionName
		report             Report
		vms, active, owns  float64
		demand             float64
		holds, most, needs float64
	}
)

// loansTo returns the planned loans to a contact.
func (p *plan) loansTo(c *contact) Loans {
	if c.Direct {
		return p.loans[c.VM.Source()]
	}
	out := make(Loans, len(p.exports[c.Region]))
	for team, loan := range p.exports[c.Region] {
		out[team] = Loan{Share: loan.Share / float64(max(1, p.partners[c.Region]))}
	}
	return out
}

// updatePlan makes a new plan if the last one is outdated.
func (l *Limiter) updatePlan(now time.Time) {
	p := &l.plan
	large := len(p.members) > directVMs || len(p.members)*len(l.teams) > directParts
	if !p.madeAt.IsZero() && (!p.changed || large) && now.Sub(p.madeAt) < planTime {
		return
	}
	p.madeAt, p.changed = now, false
	l.findMembers(now)
	p.loans, p.exports = make(map[sassafrastray.Source]Loans), make(map[sassafrastray.RegionName]Loans)
	p.partners = make(map[sassafrastray.RegionName]int)
	for _, c := range l.ledger.contacts {
		if !c.Direct && now.Sub(c.heardAt) <= peerTimeout {
			p.partners[c.Region]++
		}
	}
	clear(l.ledger.lent)
	clear(l.ledger.passed)
	for _, c := range l.ledger.contacts {
		l.ledger.addLent(nil, c.lent)
	}
	for name, t := range l.teams {
		l.planTeam(name, t)
	}
}

// findMembers finds the VMs and regions whose usage is known.
func (l *Limiter) findMembers(now time.Time) {
	p := &l.plan
	p.members, p.groups = p.members[:0], p.groups[:0]
	own := make(TeamUsage, len(l.teams))
	for name, t := range l.teams {
		t.decay(now)
		own[name] = Usage{Demand: t.demand(), Imported: l.ledger.imported[name]}
	}
	p.members = append(p.members, planMember{
		source: l.opt.Self.Source(), region: l.opt.Region, uses: own, self: true, idle: l.idle, new: l.IsNew(now), owns: ownedParts(l.owner),
	})
	for source, k := range l.peers {
		switch age := now.Sub(k.heardAt); {
		case age > peerTimeout:
		case source != k.Region.Source():
			p.members = append(p.members, planMember{
				source: source, region: k.Region, uses: k.report.Uses, idle: k.report.Idle > 0, new: k.report.New > 0, silent: age > hubTimeout, owns: float64(k.count()),
			})
		default:
			p.groups = append(p.groups, planGroup{
				region: k.Region, report: k.report, vms: float64(k.report.VMs - k.report.New), active: float64(max(0, k.report.VMs-k.report.New-k.report.Idle)),
				owns: float64(min(k.count(), k.report.VMs-k.report.New)),
			})
		}
	}
	slices.SortFunc(p.members, func(a, b planMember) int { return cmp.Compare(a.source, b.source) })
	p.active = 0
	for i := range p.members {
		if !p.members[i].idle {
			p.active++
		}
	}
	for i := range p.groups {
		p.active += p.groups[i].active
	}
}

// ownedParts returns the number of parts of a quota that a VM owns.
func ownedParts(owner bool) float64 {
	if owner {
		return 1
	}
	return 0
}

// planTeam plans the loans of one team's quota.
func (l *Limiter) planTeam(name sassafrastray.TeamName, t *team) {
	t.hub = ""
	limit := l.limit(t)
	pooled := limit < poolTokens*l.plan.active
	l.divide(name, pooled, limit)
	if pooled {
		l.pool(name, t)
	}
	l.planLoans(name, pooled)
}

// divide computes what each VM and region holds of a quota, what it would hold at most,
// by its demand, and what it needs. A new VM keeps its part, unless it is pooled.
func (l *Limiter) divide(name sassafrastray.TeamName, pooled bool, limit float64) {
	p := &l.plan
	vms, window := float64(max(1, l.ledger.vms)), l.opt.Window.Seconds()
	weights, known := 0.0, 0.0
	weight := func(m *planMember) float64 {
		if m.idle {
			return m.demand
		}
		return m.demand + assumedDemand
	}
	for i := range p.members {
		m := &p.members[i]
		u := m.uses[name]
		m.demand, m.holds, m.most, m.needs = u.Demand, m.owns/vms+u.Imported, m.owns/vms, 0
		if !m.new || pooled {
			weights, known = weights+weight(m), known+m.owns
		}
	}
	for i := range p.groups {
		g := &p.groups[i]
		g.demand, g.holds = g.report.Uses[name].Demand, g.owns/vms
		weights, known = weights+g.demand+assumedDemand*g.active, known+g.owns
	}
	share := func(n, weight float64) float64 {
		if weights == 0 {
			return n / vms
		}
		return (evenFraction*n + (1-evenFraction)*known*weight/weights) / vms
	}
	for i := range p.members {
		m := &p.members[i]
		if !m.new || pooled {
			m.most = share(m.owns, weight(m))
		}
		if !m.idle || m.demand > 0 {
			m.needs = min(m.most, (demandFactor*m.demand*window+spareRequests)/limit)
		}
	}
	for i := range p.groups {
		g := &p.groups[i]
		g.most = share(g.owns, g.demand+assumedDemand*g.active)
		g.needs = min(g.most, (demandFactor*g.demand*window+spareRequests*g.active)/limit)
	}
}

// pool lets the hub of each region need the parts of all VMs of the region.
func (l *Limiter) pool(name sassafrastray.TeamName, t *team) {
	p := &l.plan
	kept := evenFraction / float64(max(1, l.ledger.vms))
	hubs := make(map[sassafrastray.RegionName]*planMember)
	rank := func(m *planMember) uint64 { return xxhash.Sum64String(string(name) + " " + string(m.source)) }
	for i := range p.members {
		m := &p.members[i]
		if best := hubs[m.region]; !m.idle && !m.silent && (best == nil || rank(m) > rank(best)) {
			hubs[m.region] = m
		}
	}
	for i := range p.members {
		if m, hub := &p.members[i], hubs[p.members[i].region]; hub != nil && m != hub {
			hub.most += max(0, m.most-kept)
			m.most, m.needs = min(m.most, kept), 0
		}
	}
	for _, hub := range hubs {
		hub.needs = hub.most
	}
	if hub := hubs[l.opt.Region]; hub != nil && !hub.self {
		t.hub = hub.source
	}
}

// planLoans plans what this VM lends: what it holds and others need, in proportion to
// what the VMs with more than their part can lend. Regions lend each other what their VMs
// do not need.
func (l *Limiter) planLoans(name sassafrastray.TeamName, pooled bool) {
	p := &l.plan
	var self *planMember
	spare, missing, regionSpare := 0.0, 0.0, 0.0
	for i := range p.members {
		m := &p.members[i]
		if m.self {
			self = m
		}
		if !m.new || pooled {
			spare += max(0, m.holds-m.most)
		}
		missing += max(0, m.needs-m.holds)
		regionSpare += m.holds - m.uses[name].Imported - m.most
	}
	ownSpare := max(0, self.holds-self.most)
	if self.new && !pooled || ownSpare == 0 || spare == 0 {
		return
	}
	exported := l.planExports(name, max(0, regionSpare), ownSpare/spare)
	given := 0.0
	if rest := spare - max(0, regionSpare); rest > 0 {
		given = max(0, ownSpare-exported) * min(1, missing/rest)
	}
	owned := min(given, max(0, l.ledger.lendable-exported))
	for i := range p.members {
		m := &p.members[i]
		if part := max(0, m.needs-m.holds) / max(missing, loanUnit); part > 0 && !m.self {
			if p.loans[m.source] == nil {
				p.loans[m.source] = make(Loans)
			}
			p.loans[m.source][name] = Loan{Share: owned * part, Passed: (given - owned) * part}
		}
	}
}

// planExports plans this VM's part of what its region lends to others, and returns it.
func (l *Limiter) planExports(name sassafrastray.TeamName, regionSpare, part float64) float64 {
	p := &l.plan
	missing, spare := 0.0, regionSpare
	for i := range p.groups {
		g := &p.groups[i]
		missing, spare = missing+max(0, g.needs-g.holds), spare+max(0, g.holds-g.most)
	}
	if missing == 0 || regionSpare == 0 {
		return 0
	}
	exported := min(l.ledger.lendable, part*regionSpare*min(1, missing/spare))
	for i := range p.groups {
		g := &p.groups[i]
		if need := max(0, g.needs-g.holds); need > 0 {
			if p.exports[g.region] == nil {
				p.exports[g.region] = make(Loans)
			}
			p.exports[g.region][name] = Loan{Share: exported * need / missing}
		}
	}
	return exported
}

// holder returns the address of a VM that may have a token of the team: the hub, or the
// VM that reported most of them and of the own region if possible. It returns none if no
// VM is known to have one.
func (l *Limiter) holder(t *team, name sassafrastray.TeamName, now time.Time) (none netip.AddrPort) {
	if now.Before(t.emptyUntil) {
		return none
	}
	if p := l.peers[t.hub]; t.hub != "" && p != nil && !now.Before(t.hubSilentUntil) {
		return p.Address
	}
	var best *peer
	for _, p := range l.peers {
		if p.Address.IsValid() && now.Sub(p.heardAt) <= hubTimeout && p.report.Uses[name].Tokens > 0 && (best == nil || l.prefers(p, best, name)) {
			best = p
		}
	}
	if best == nil {
		return none
	}
	u := best.report.Uses[name]
	u.Tokens--
	best.report.Uses[name] = u
	return best.Address
}

// prefers reports whether p is asked for a token rather than q.
func (l *Limiter) prefers(p, q *peer, name sassafrastray.TeamName) bool {
	if near := p.Region == l.opt.Region; near != (q.Region == l.opt.Region) {
		return near
	}
	a, b := p.report.Uses[name].Tokens, q.report.Uses[name].Tokens
	return a > b || a == b && p.Source < q.Source
}

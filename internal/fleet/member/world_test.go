package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"sassafrastray"
)

// node is one VM of a world: its table, and the summaries that it has.
type node struct {
	*Table
	vm       sassafrastray.VM
	inc      sassafrastray.Incarnation
	sequence uint64
	config   int64
	up       bool
	paused   bool
	// listedLeaving is whether the platform's list has the VM as leaving.
	listedLeaving bool
	summaries     map[sassafrastray.DomainName][]Heartbeat
	// extraRoundsLeft is how many extra rounds are left to send.
	extraRoundsLeft int
}

// message is a heartbeat in flight.
type message struct {
	from, to          int
	heartbeat         Heartbeat
	heartbeatVersions []HeartbeatVersion
	summaryVersions   []SummaryVersion
	relayed           []Member
	summaries         map[sassafrastray.DomainName][]Heartbeat
	answer            bool
}

// world is a simulated fleet with a network.
type world struct {
	now   time.Time
	rng   *rand.Rand
	nodes []*node
	index map[sassafrastray.VMName]int
	ticks int
	// inFlight has the messages that arrive in the next tick.
	inFlight []message
	// cut reports whether messages between two VMs are lost.
	cut func(a, b *node) bool
	// sent counts the messages that were sent.
	sent messageCounts
}

// messageCounts counts messages and what they carry: requestVersions and
// answerVersions are the summary versions in requests and in answers.
type messageCounts struct{ requests, answers, heartbeatVersions, requestVersions, relayed, answerVersions, summaries int }

func (c *messageCounts) add(m message) {
	if m.answer {
		c.answers++
		c.answerVersions += len(m.summaryVersions)
	} else {
		c.requests++
		c.requestVersions += len(m.summaryVersions)
	}
	c.heartbeatVersions += len(m.heartbeatVersions)
	c.relayed += len(m.relayed)
	c.summaries += len(m.summaries)
}

const (
	tick         = 100 * time.Millisecond
	ticksInRound = 5
	sparseTicks  = 10
	extraRounds  = 3
)

func newWorld(domains, perDomain int, opt Options, seed uint64) *world {
	w := &world{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		index: make(map[sassafrastray.VMName]int), cut: func(_, _ *node) bool { return false },
	}
	for i := range domains * perDomain {
		d := i % domains
		vm := sassafrastray.VM{
			Name:   sassafrastray.VMName(fmt.Sprintf("vm-%04d", i)),
			Domain: sassafrastray.DomainName(fmt.Sprintf("d-%02d", d)), State: sassafrastray.VMLive,
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), byte(i / 256), byte(i)}), 1),
		}
		w.index[vm.Name] = i
		w.nodes = append(w.nodes, &node{vm: vm})
	}
	for i := range w.nodes {
		w.start(i, opt)
	}
	return w
}

// start begins a new process of a VM, which reads the platform's list.
func (w *world) start(i int, opt Options) {
	n := w.nodes[i]
	n.vm.State = sassafrastray.VMLive
	n.Table = New(n.vm, opt, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	n.inc = sassafrastray.Incarnation(w.now.UnixNano())
	n.sequence, n.up, n.summaries = 0, true, make(map[sassafrastray.DomainName][]Heartbeat)
	w.readList(i)
}

// readList passes the platform's list to a VM.
func (w *world) readList(i int) {
	var all []sassafrastray.VM
	for _, n := range w.nodes {
		vm := n.vm
		vm.State = sassafrastray.VMLive
		if n.listedLeaving {
			vm.State = sassafrastray.VMLeaving
		}
		all = append(all, vm)
	}
	w.nodes[i].ApplyList(all, w.now)
}

func (n *node) heartbeat() Heartbeat {
	n.sequence++
	return Heartbeat{VM: n.vm, Incarnation: n.inc, Sequence: n.sequence, Config: n.config}
}

// round returns the heartbeats that one VM sends in a round.
func (w *world) round(i int) []message {
	n := w.nodes[i]
	if n.IsSummaryWriter(w.now) {
		entries := []Heartbeat{}
		if n.vm.State == sassafrastray.VMLive {
			entries = append(entries, n.heartbeat())
		}
		for _, m := range n.LiveInDomain(w.now) {
			if len(entries) < 4 {
				entries = append(entries, m.Heartbeat)
			}
		}
		n.summaries[n.vm.Domain] = entries
		n.AdvanceSummary(hashSummary(entries), w.now)
	}
	var out []message
	for _, to := range n.Tick(w.now) {
		m := message{from: i, to: w.index[to.Name], heartbeat: n.heartbeat()}
		if n.Sparse() {
			m.summaryVersions = n.SummaryVersions(w.now)
			if to.Domain == n.vm.Domain {
				m.heartbeatVersions = n.HeartbeatVersions()
			}
		}
		out = append(out, m)
	}
	return out
}

// hashSummary hashes a summary without the sequence numbers of its heartbeats.
func hashSummary(entries []Heartbeat) uint16 {
	s := uint64(17)
	for _, h := range entries {
		s = s*31 + rank(h.VM.Name) + uint64(h.Incarnation) + uint64(h.Config)
	}
	return uint16(s ^ s>>16 ^ s>>32 ^ s>>48)
}

// deliver delivers a message and returns the answer, if there is one.
func (w *world) deliver(m message) (message, bool) {
	n := w.nodes[m.to]
	if !n.up || n.paused || w.cut(w.nodes[m.from], n) {
		return message{}, false
	}
	n.ApplyHeartbeat(m.heartbeat, w.now)
	if m.heartbeat.Config > n.config {
		n.config, n.extraRoundsLeft = m.heartbeat.Config, extraRounds
	}
	for _, r := range m.relayed {
		n.ApplyRelayed(r.Heartbeat, r.Age, w.now)
	}
	for _, version := range m.summaryVersions {
		if s, ok := m.summaries[version.Domain]; !ok {
			n.RefreshSummary(version, w.now)
		} else if n.ApplySummary(version, s, w.now) {
			n.summaries[version.Domain] = s
		}
	}
	if m.answer {
		return message{}, false
	}
	a := message{from: m.to, to: m.from, heartbeat: n.heartbeat(), answer: true, summaries: make(map[sassafrastray.DomainName][]Heartbeat)}
	if !n.Sparse() {
		return a, true
	}
	if m.heartbeat.VM.Domain == n.vm.Domain {
		a.relayed = n.NewerHeartbeats(m.heartbeatVersions, w.now)
	}
	var changed []sassafrastray.DomainName
	a.summaryVersions, changed = n.NewerSummaries(m.summaryVersions, w.now)
	for _, d := range changed {
		a.summaries[d] = n.summaries[d]
	}
	return a, true
}

// step advances by one tick. A message takes one tick, and so does its answer.
// The VMs' rounds are spread over the ticks.
func (w *world) step() {
	w.now = w.now.Add(tick)
	w.ticks++
	ms := w.inFlight
	w.inFlight = nil
	for _, m := range ms {
		w.sent.add(m)
		if a, ok := w.deliver(m); ok {
			w.inFlight = append(w.inFlight, a)
		}
	}
	for i, n := range w.nodes {
		every := ticksInRound
		if n.Sparse() {
			every = sparseTicks
		}
		due := (w.ticks+i)%every == 0
		if !n.up || n.paused || !due && (n.extraRoundsLeft == 0 || !n.Sparse()) {
			continue
		}
		n.extraRoundsLeft = max(0, n.extraRoundsLeft-1)
		w.inFlight = append(w.inFlight, w.round(i)...)
	}
}

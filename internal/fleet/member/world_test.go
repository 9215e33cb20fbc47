package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"sassafrastray"
)

// node is one VM of a world: its table, and what it has of others' summaries.
type node struct {
	*Table
	vm       sassafrastray.VM
	inc      sassafrastray.Incarnation
	sequence uint64
	config   int64
	up       bool
	paused   bool
	// retired tells that the platform's list has the VM leaving.
	retired   bool
	summaries map[sassafrastray.DomainName][]Beat
	// news is how many extra rounds are left, due when the next one is.
	news int
}

// message is a heartbeat on its way.
type message struct {
	from, to  int
	beat      Beat
	seen      []Seen
	marks     []Mark
	mates     []Member
	summaries map[sassafrastray.DomainName][]Beat
	answer    bool
}

// world is a fleet with a network that a test steers.
type world struct {
	now   time.Time
	rng   *rand.Rand
	nodes []*node
	index map[sassafrastray.VMName]int
	ticks int
	// flying are the messages that arrive in the next tick.
	flying []message
	// cut reports whether messages between two VMs are lost.
	cut func(a, b *node) bool
	// sent counts what the messages carried.
	sent carried
}

// carried counts messages, and what they carried.
type carried struct{ asks, answers, seen, asked, mates, told, summaries int }

func (c *carried) add(m message) {
	if m.answer {
		c.answers++
		c.told += len(m.marks)
	} else {
		c.asks++
		c.asked += len(m.marks)
	}
	c.seen += len(m.seen)
	c.mates += len(m.mates)
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

// start begins a new process of a VM, which has the platform's list.
func (w *world) start(i int, opt Options) {
	n := w.nodes[i]
	n.vm.State = sassafrastray.VMLive
	n.Table = New(n.vm, opt, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	n.inc = sassafrastray.Incarnation(w.now.UnixNano())
	n.sequence, n.up, n.summaries = 0, true, make(map[sassafrastray.DomainName][]Beat)
	w.list(i)
}

func (w *world) list(i int) {
	var all []sassafrastray.VM
	for _, n := range w.nodes {
		vm := n.vm
		vm.State = sassafrastray.VMLive
		if n.retired {
			vm.State = sassafrastray.VMLeaving
		}
		all = append(all, vm)
	}
	w.nodes[i].List(all, w.now)
}

func (n *node) beat() Beat {
	n.sequence++
	return Beat{VM: n.vm, Incarnation: n.inc, Sequence: n.sequence, Config: n.config}
}

// round lets one VM send its heartbeats.
func (w *world) round(i int) []message {
	n := w.nodes[i]
	if n.Writes(w.now) {
		entries := []Beat{}
		if n.vm.State == sassafrastray.VMLive {
			entries = append(entries, n.beat())
		}
		for _, m := range n.Entries(w.now) {
			if len(entries) < 4 {
				entries = append(entries, m.Beat)
			}
		}
		n.summaries[n.vm.Domain] = entries
		n.Write(sum(entries), w.now)
	}
	var out []message
	for _, to := range n.Tick(w.now) {
		m := message{from: i, to: w.index[to.Name], beat: n.beat()}
		if n.Sparse() {
			m.marks = n.Marks(w.now)
			if to.Domain == n.vm.Domain {
				m.seen = n.Seen()
			}
		}
		out = append(out, m)
	}
	return out
}

// sum hashes a summary; the sequence of its heartbeats does not count.
func sum(entries []Beat) uint16 {
	s := uint64(17)
	for _, b := range entries {
		s = s*31 + rank(b.VM.Name) + uint64(b.Incarnation) + uint64(b.Config)
	}
	return uint16(s ^ s>>16 ^ s>>32 ^ s>>48)
}

// deliver hands over a message and returns the answer, if there is one.
func (w *world) deliver(m message) (message, bool) {
	n := w.nodes[m.to]
	if !n.up || n.paused || w.cut(w.nodes[m.from], n) {
		return message{}, false
	}
	n.Hear(m.beat, w.now)
	if m.beat.Config > n.config {
		n.config, n.news = m.beat.Config, extraRounds
	}
	for _, b := range m.mates {
		n.Relayed(b.Beat, b.Age, w.now)
	}
	for _, mark := range m.marks {
		if s, ok := m.summaries[mark.Domain]; !ok {
			n.Refresh(mark, w.now)
		} else if n.Learn(mark, s, w.now) {
			n.summaries[mark.Domain] = s
		}
	}
	if m.answer {
		return message{}, false
	}
	a := message{from: m.to, to: m.from, beat: n.beat(), answer: true, summaries: make(map[sassafrastray.DomainName][]Beat)}
	if !n.Sparse() {
		return a, true
	}
	if m.beat.VM.Domain == n.vm.Domain {
		a.mates = n.Unseen(m.seen, w.now)
	}
	var changed []sassafrastray.DomainName
	a.marks, changed = n.Newer(m.marks, w.now)
	for _, d := range changed {
		a.summaries[d] = n.summaries[d]
	}
	return a, true
}

// step lets one tick pass. A message takes one tick, and so does its answer.
// The VMs' rounds are spread over the ticks.
func (w *world) step() {
	w.now = w.now.Add(tick)
	w.ticks++
	ms := w.flying
	w.flying = nil
	for _, m := range ms {
		w.sent.add(m)
		if a, ok := w.deliver(m); ok {
			w.flying = append(w.flying, a)
		}
	}
	for i, n := range w.nodes {
		every := ticksInRound
		if n.Sparse() {
			every = sparseTicks
		}
		due := (w.ticks+i)%every == 0
		if !n.up || n.paused || !due && (n.news == 0 || !n.Sparse()) {
			continue
		}
		n.news = max(0, n.news-1)
		w.flying = append(w.flying, w.round(i)...)
	}
}

package edge

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
	"sassafrastray/internal/fleet/neighbor"
	"sassafrastray/internal/limit/ratelimit"
	"sassafrastray/internal/rollout/rollout"
	"sassafrastray/internal/traffic/placement"
)

// doubtEvery is the least time between two checks of the own watches because
// another VM does not reach the store.
const doubtEvery = 2 * time.Second

// beatAll sends the heartbeats of a round, also to the seeds while their VMs are
// not known.
func (v *VM) beatAll(now time.Time) {
	to := v.members.Tick(now)
	known := map[netip.AddrPort]bool{v.self.Inner: true}
	for _, vm := range v.members.Known() {
		known[vm.Inner] = true
	}
	for _, a := range v.opt.Seeds {
		if !known[a] {
			to = append(to, sassafrastray.VM{Inner: a})
		}
	}
	v.beatTo(to, now)
}

func (v *VM) beatTo(to []sassafrastray.VM, now time.Time) {
	b := v.beat(now)
	for _, t := range to {
		v.beatOne(t, b, now)
	}
}

// beatOne sends a heartbeat to one VM and takes in the answer.
func (v *VM) beatOne(to sassafrastray.VM, b *neighbor.Beat, now time.Time) {
	m := v.address(*b, to, now)
	m.Seen = v.members.Incarnation(to.Name)
	m.Digest = v.digest()
	if have := v.beats[to.Name]; have == nil || have.Digest != m.Digest {
		m.Fleet = v.fleet()
	}
	v.spawn(func() {
		asked := v.times.Now()
		answer, err := v.client.Beat(to.Inner, &m, beatTimeout)
		if err != nil {
			v.metrics.beats.WithLabelValues("failed").Inc()
			v.post(func(now time.Time) { v.members.Unanswered(to.Name, now) })
			return
		}
		v.metrics.beats.WithLabelValues("ok").Inc()
		trip := v.times.Now().Sub(asked)
		v.post(func(now time.Time) {
			v.hear(answer, now)
			v.measure(answer.VM, trip)
		})
	})
}

// beat is what the VM tells about itself.
func (v *VM) beat(now time.Time) *neighbor.Beat {
	v.sequence++
	b := &neighbor.Beat{
		VM: v.self, Inc: v.inc, Sequence: v.sequence, Ready: v.ready.Load(), Idle: v.idle,
		Latest: v.mirror.Latest(), Store: v.mirror.Failing(now) == 0,
	}
	if c := v.mirror.Config(); c != nil {
		b.Config = c.Number
	}
	v.quotas.do(func(q *ratelimit.Limiter, now time.Time) { b.Uses = q.ReportUsage(now) })
	v.rollouts.do(func(d *rollout.Tracker, _ time.Time) { b.Evidence = d.Evidence() })
	return b
}

// Beat takes in another VM's heartbeat and returns the VM's own.
func (v *VM) Beat(b *neighbor.Beat) *neighbor.Beat {
	answer := make(chan *neighbor.Beat, 1)
	if !v.post(func(now time.Time) {
		v.hear(b, now)
		a := v.address(*v.beat(now), b.VM, now)
		a.Seen, a.Digest = v.members.Incarnation(b.VM.Name), v.digest()
		if a.Digest != b.Digest {
			a.Fleet = v.fleet()
		}
		answer <- &a
	}) {
		return &neighbor.Beat{VM: v.opt.VM}
	}
	select {
	case a := <-answer:
		return a
	case <-v.ctx.Done():
		return &neighbor.Beat{VM: v.opt.VM}
	}
}

// Copy returns the VM's copy of the topics of the store in which it holds later
// changes.
func (v *VM) Copy(held map[sassafrastray.Topic]int64) []sassafrastray.Batch {
	answer := make(chan []sassafrastray.Batch, 1)
	if !v.post(func(time.Time) { answer <- v.mirror.Whole(held) }) {
		return nil
	}
	select {
	case b := <-answer:
		return b
	case <-v.ctx.Done():
		return nil
	}
}

// hear takes in a heartbeat.
func (v *VM) hear(b *neighbor.Beat, now time.Time) {
	if b.Seen > v.inc {
		// The clock went back since an earlier run of this VM, whose
		// heartbeats would pass for newer ones.
		v.inc = b.Seen + 1
	}
	v.learn(b.Fleet, now)
	if !v.members.Hear(b.Member(), now) {
		return
	}
	if v.beats[b.VM.Name] == nil {
		v.log.Info("VM heard of", "peer", b.VM.Name, "domain", b.VM.Domain, "ready", b.Ready, "config", b.Config)
	}
	v.known.heard(b.VM.Name, now)
	kept := *b
	kept.Fleet = nil
	v.beats[b.VM.Name] = &kept
	switch {
	case b.Summary != nil:
		v.hearRegion(b.Summary, now)
	case !v.summed(b.VM, now):
		v.hearFigures(b)
	}
	if !b.Store && v.mirror.Failing(now) == 0 && v.every("doubt", doubtEvery, now) {
		v.interrupt("")
	}
}

// hearFigures takes in what teams ask of another VM, and what it saw of rollouts.
func (v *VM) hearFigures(b *neighbor.Beat) {
	v.quotas.do(func(q *ratelimit.Limiter, now time.Time) { q.UpdatePeer(b.VM.Name.Source(), b.Report(), now) })
	if len(b.Evidence) > 0 {
		v.rollouts.do(func(d *rollout.Tracker, _ time.Time) { d.Receive(b.VM.Name.Source(), b.Evidence) })
	}
}

// learn takes in VMs that another VM or the store knows, and forgets those that
// are gone for good.
func (v *VM) learn(vms []sassafrastray.VM, now time.Time) {
	if len(vms) == 0 {
		return
	}
	all := v.known.left(slices.Concat(v.members.Known(), vms), v.members.Near, now)
	v.members.List(all, now)
	var others []sassafrastray.VM
	var names []sassafrastray.VMName
	for _, m := range all {
		if m.Name != v.self.Name {
			others = append(others, m)
			names = append(names, m.Name)
		}
	}
	v.places.do(func(t *placement.Table, _ time.Time) { t.SetFleet(names) })
	v.retries.bound(v.retryReserve(len(others)))
	v.count(others)
}

// measure keeps the shortest round trip to each region, slowly forgetting it.
func (v *VM) measure(to sassafrastray.VM, trip time.Duration) {
	region := v.opt.Regions[to.Domain]
	if region == "" || region == v.opt.Region {
		return
	}
	old, ok := v.distance[region]
	if ok && trip > old {
		trip = old + (trip-old)/50
	}
	v.distance[region] = trip
	v.places.do(func(t *placement.Table, _ time.Time) { t.SetDistance(region, trip) })
}

// fleet returns all VMs that this one knows, itself included.
func (v *VM) fleet() []sassafrastray.VM { return append(v.members.Known(), v.self) }

// digest stands for the fleet.
func (v *VM) digest() uint64 {
	var d uint64
	for _, m := range v.fleet() {
		d ^= xxhash.Sum64String(string(m.Name) + m.Inner.String())
	}
	return d
}

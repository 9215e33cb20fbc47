package vm

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/operator/settings"
	"sassafrastray/internal/standin/object"
	"sassafrastray/internal/traffic/lookup"
	"sassafrastray/internal/traffic/scheduler"
)

// testVM returns VM i of failure domain d.
func testVM(d, i int) sassafrastray.VM {
	return sassafrastray.VM{
		Name:          sassafrastray.VMName(fmt.Sprintf("entry-%02d-%02d", d, i)),
		Domain:        sassafrastray.DomainName(fmt.Sprintf("domain-%02d", d)),
		CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(d), byte(i)}), 7200),
		PeerAddress:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(d), byte(i)}), 7201), State: sassafrastray.VMLive,
	}
}

// testHeartbeat returns a heartbeat of VM i of failure domain d, with the given
// number of loads.
func testHeartbeat(d, i, loads int, sequence uint64) peer.Heartbeat {
	h := peer.Heartbeat{
		VM: testVM(d, i), Inc: sassafrastray.Incarnation(1_800_000_000_000_000_000 + int64(d*7919+i*104729)*1_000_003),
		Sequence: sequence, Config: 4711, Confirmed: int64(400 + 37*i), Ready: true,
	}
	for l := range loads {
		h.Loads = append(h.Loads, scheduler.Load{
			Service: sassafrastray.ServiceName(fmt.Sprint("service-", (i*loads+l)%50)), Version: "v12", Domain: h.VM.Domain,
			Slots: 8, Used: (d + i + l) % 9, Mean: time.Duration(20+i+l) * time.Millisecond,
		})
	}
	return h
}

// newSparseVM returns a VM without a network that knows the members of a large
// fleet.
func newSparseVM(tb testing.TB, domains, each, loads int) *VM {
	set := &settings.Settings{Name: testVM(0, 0).Name, Domain: "domain-00", Inner: testVM(0, 0).PeerAddress, Secret: "0123456789abcdef"}
	v, err := New(set, domainPlatform{memoryPlatform: &memoryPlatform{table: object.New()}}, sassafrastray.SystemClock{}, discardLog)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { v.stop(); v.workers.Release() })
	now := v.clock.Now()
	var all []sassafrastray.VM
	for d := range domains {
		for i := range each {
			all = append(all, testVM(d, i))
		}
	}
	v.members.ApplyList(all, now)
	r := &peer.Relay{}
	for i := 1; i < each; i++ {
		r.Heartbeats = append(r.Heartbeats, testHeartbeat(0, i, loads, 100))
	}
	for d := 1; d < domains; d++ {
		var heartbeats []*peer.Heartbeat
		for i := range each {
			h := testHeartbeat(d, i, loads, 100)
			heartbeats = append(heartbeats, &h)
		}
		s := peer.Summarize(heartbeats[0].VM.Domain, heartbeats)
		r.Summaries = append(r.Summaries, s)
		r.SummaryVersions = append(r.SummaryVersions, member.SummaryVersion{Domain: s.Domain, Number: uint64(20_000 + 13*d), Hash: s.Hash()})
	}
	v.applyRelay(r, now)
	return v
}

// staleRequest returns the heartbeat of a VM that lacks the latest heartbeats
// of some VMs of its failure domain, some summary versions and some summaries.
func staleRequest(v *VM, relayed, versions, summaries int) *peer.Heartbeat {
	now := v.clock.Now()
	h := v.heartbeat(now)
	h.Relay = v.relayRequest(testVM(0, 1))
	for i := range h.Relay.HeartbeatVersions {
		if i < relayed {
			h.Relay.HeartbeatVersions[i].Sequence--
		}
	}
	for i := range h.Relay.SummaryVersions {
		if i < versions {
			h.Relay.SummaryVersions[i].Number--
		}
		if i < summaries {
			h.Relay.SummaryVersions[i].Hash++
		}
	}
	return h
}

// BenchmarkRelay measures the messages of one exchange by the size of the fleet
// and by the number of loads of each VM. The requester lacks a third of its
// failure domain's heartbeats and of the summary versions, as in BenchmarkRounds
// of package member, and one summary.
func BenchmarkRelay(b *testing.B) {
	for _, s := range []struct{ domains, each, loads int }{
		{10, 10, 4}, {25, 16, 4}, {74, 10, 4}, {74, 19, 4}, {74, 19, 1}, {74, 19, 2}, {74, 19, 8}, {74, 19, 16},
	} {
		b.Run(fmt.Sprintf("domains=%d/each=%d/lines=%d", s.domains, s.each, s.loads), func(b *testing.B) {
			v := newSparseVM(b, s.domains, s.each, s.loads)
			request := staleRequest(v, s.each/3, s.domains/3, 1)
			var requestSize, answerSize int
			for b.Loop() {
				h := *request
				h.Relay = v.relayRequest(testVM(0, 1))
				out := peer.Encode(&h)
				requestSize = len(out)
				a := v.heartbeat(v.clock.Now())
				a.Relay = v.relayAnswer(request, v.clock.Now())
				answerSize = len(peer.Encode(a))
			}
			b.ReportMetric(float64(requestSize), "ask-B")
			b.ReportMetric(float64(answerSize), "answer-B")
		})
	}
}

// BenchmarkSummary measures the answer by the number of summaries in it.
func BenchmarkSummary(b *testing.B) {
	for _, n := range []int{0, 1, 4, 16, 73} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := newSparseVM(b, 74, 19, 4)
			request := staleRequest(v, 6, max(25, n), n)
			answerSize := 0
			for b.Loop() {
				a := v.heartbeat(v.clock.Now())
				a.Relay = v.relayAnswer(request, v.clock.Now())
				answerSize = len(peer.Encode(a))
			}
			b.ReportMetric(float64(answerSize), "answer-B")
		})
	}
}

// BenchmarkTick measures one tick without heartbeats, of ten a second.
func BenchmarkTick(b *testing.B) {
	v := newSparseVM(b, 74, 19, 4)
	v.conf.current, v.conf.blocks = fullConfig(0), lookup.NewTable(nil)
	now := v.clock.Now()
	for b.Loop() {
		v.tickQuotas(now)
		v.judgeMoves(now)
		v.listDue(now)
	}
}

// BenchmarkRound measures the preparation of one heartbeat round.
func BenchmarkRound(b *testing.B) {
	v := newSparseVM(b, 74, 19, 4)
	now := v.clock.Now()
	for b.Loop() {
		v.dropForgotten()
		v.summarize(now)
		v.members.Tick(now)
	}
}

// BenchmarkApplyRelay decodes and applies an answer like those of
// BenchmarkRelay.
func BenchmarkApplyRelay(b *testing.B) {
	v := newSparseVM(b, 74, 19, 4)
	now := v.clock.Now()
	a := v.heartbeat(now)
	a.Relay = v.relayAnswer(staleRequest(v, 6, 25, 1), now)
	body, err := json.Marshal(a)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var h peer.Heartbeat
		if err := json.Unmarshal(body, &h); err != nil {
			b.Fatal(err)
		}
		v.applyRelay(h.Relay, now)
	}
}

// fullConfig returns a configuration with 200 regions, of which 28 have failure
// domains and links, 74 failure domains, 50 services and the given number of
// blocks.
func fullConfig(blocks int) *sassafrastray.Config {
	c := &sassafrastray.Config{Number: 1, PublishID: "p"}
	for i := range 200 {
		c.Fleet.Regions = append(c.Fleet.Regions, sassafrastray.Region{Name: sassafrastray.RegionName(fmt.Sprint("site-", i))})
	}
	for d := range 74 {
		c.Fleet.Domains = append(c.Fleet.Domains, sassafrastray.FailureDomain{
			Name: testVM(d, 0).Domain, Region: c.Fleet.Regions[d%28].Name, Places: 19,
		})
	}
	for a := range 28 {
		for z := range 28 {
			if a != z {
				c.Fleet.Links = append(c.Fleet.Links, sassafrastray.Link{
					From: c.Fleet.Regions[a].Name, To: c.Fleet.Regions[z].Name, BytesPerSecond: 1 << 30, Delay: time.Duration(10+a+z) * time.Millisecond,
				})
			}
		}
	}
	for s := range 50 {
		c.Services = append(c.Services, sassafrastray.Service{Name: sassafrastray.ServiceName(fmt.Sprint("service-", s))})
	}
	for i := range blocks {
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 0}), 24)
		c.Fleet.Blocks = append(c.Fleet.Blocks, sassafrastray.AddressBlock{Prefix: p, Region: c.Fleet.Regions[i/8%200].Name})
	}
	return c
}

// BenchmarkPublish measures the publishing of one snapshot. The ticks of a
// sparse fleet publish at most two a second.
func BenchmarkPublish(b *testing.B) {
	for _, s := range []struct{ domains, each int }{{6, 2}, {10, 10}, {25, 16}, {74, 19}} {
		b.Run(fmt.Sprintf("domains=%d/each=%d", s.domains, s.each), func(b *testing.B) {
			v := newSparseVM(b, s.domains, s.each, 4)
			c := fullConfig(0)
			v.conf.current, v.conf.blocks = c, lookup.NewTable(nil)
			for b.Loop() {
				v.publish(v.clock.Now())
			}
		})
	}
}

// BenchmarkMemory measures the heap that a VM of a full-size fleet needs: for
// its view, the configuration and the table of blocks.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		v := newSparseVM(b, 74, 19, 4)
		view := heap()
		c := fullConfig(150_000)
		conf := heap()
		v.conf.current, v.conf.blocks = c, lookup.NewTable(c.Fleet.Blocks)
		b.ReportMetric(float64(view-before)/1e6, "view-MB")
		b.ReportMetric(float64(conf-view)/1e6, "config-MB")
		b.ReportMetric(float64(heap()-conf)/1e6, "blocks-MB")
		runtime.KeepAlive(v)
		runtime.KeepAlive(c)
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

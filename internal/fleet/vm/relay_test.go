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

// fellowVM returns VM i of failure domain d.
func fellowVM(d, i int) sassafrastray.VM {
	return sassafrastray.VM{
		Name:          sassafrastray.VMName(fmt.Sprintf("entry-%02d-%02d", d, i)),
		Domain:        sassafrastray.DomainName(fmt.Sprintf("domain-%02d", d)),
		CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(d), byte(i)}), 7200),
		PeerAddress:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(d), byte(i)}), 7201), State: sassafrastray.VMLive,
	}
}

// fellowBeat returns a heartbeat with lines loads.
func fellowBeat(d, i, lines int, sequence uint64) peer.Heartbeat {
	h := peer.Heartbeat{
		VM: fellowVM(d, i), Inc: sassafrastray.Incarnation(1_800_000_000_000_000_000 + int64(d*7919+i*104729)*1_000_003),
		Sequence: sequence, Config: 4711, Confirmed: int64(400 + 37*i), Ready: true,
	}
	for l := range lines {
		h.Loads = append(h.Loads, scheduler.Load{
			Service: sassafrastray.ServiceName(fmt.Sprint("service-", (i*lines+l)%50)), Version: "v12", Domain: h.VM.Domain,
			Slots: 8, Used: (d + i + l) % 9, Mean: time.Duration(20+i+l) * time.Millisecond,
		})
	}
	return h
}

// sparseVM returns a VM that knows a large fleet, but has no network.
func sparseVM(tb testing.TB, domains, each, lines int) *VM {
	set := &settings.Settings{Name: fellowVM(0, 0).Name, Domain: "domain-00", Inner: fellowVM(0, 0).PeerAddress, Secret: "0123456789abcdef"}
	v, err := New(set, seat{memory: &memory{table: object.New()}}, sassafrastray.SystemClock{}, wordless)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { v.stop(); v.work.Release() })
	now := v.clock.Now()
	var all []sassafrastray.VM
	for d := range domains {
		for i := range each {
			all = append(all, fellowVM(d, i))
		}
	}
	v.members.List(all, now)
	r := &peer.Relay{}
	for i := 1; i < each; i++ {
		r.Mates = append(r.Mates, fellowBeat(0, i, lines, 100))
	}
	for d := 1; d < domains; d++ {
		var beats []*peer.Heartbeat
		for i := range each {
			h := fellowBeat(d, i, lines, 100)
			beats = append(beats, &h)
		}
		s := peer.Summarize(beats[0].VM.Domain, beats)
		r.Summaries = append(r.Summaries, s)
		r.Marks = append(r.Marks, member.Mark{Domain: s.Domain, Number: uint64(20_000 + 13*d), Sum: s.Sum()})
	}
	v.hearRelay(r, now)
	return v
}

// lacking returns what a VM asks that lacks the latest of some mates, marks
// and summaries.
func lacking(v *VM, mates, marks, summaries int) *peer.Heartbeat {
	now := v.clock.Now()
	h := v.heartbeat(now)
	h.Relay = v.asks(fellowVM(0, 1))
	for i := range h.Relay.Seen {
		if i < mates {
			h.Relay.Seen[i].Sequence--
		}
	}
	for i := range h.Relay.Marks {
		if i < marks {
			h.Relay.Marks[i].Number--
		}
		if i < summaries {
			h.Relay.Marks[i].Sum++
		}
	}
	return h
}

// BenchmarkRelay measures the messages of one exchange at several sizes: by
// the fleet, and by the lines of load on a VM. The asker lacks a
// third of the mates and marks, as in BenchmarkRounds of member, and one
// summary.
func BenchmarkRelay(b *testing.B) {
	for _, s := range []struct{ domains, each, lines int }{
		{10, 10, 4}, {25, 16, 4}, {74, 10, 4}, {74, 19, 4}, {74, 19, 1}, {74, 19, 2}, {74, 19, 8}, {74, 19, 16},
	} {
		b.Run(fmt.Sprintf("domains=%d/each=%d/lines=%d", s.domains, s.each, s.lines), func(b *testing.B) {
			v := sparseVM(b, s.domains, s.each, s.lines)
			ask := lacking(v, s.each/3, s.domains/3, 1)
			var asked, told int
			for b.Loop() {
				h := *ask
				h.Relay = v.asks(fellowVM(0, 1))
				out := peer.Encode(&h)
				asked = len(out)
				a := v.heartbeat(v.clock.Now())
				a.Relay = v.tells(ask, v.clock.Now())
				told = len(peer.Encode(a))
			}
			b.ReportMetric(float64(asked), "ask-B")
			b.ReportMetric(float64(told), "answer-B")
		})
	}
}

// BenchmarkSummary measures the answer by the number of summaries in it.
func BenchmarkSummary(b *testing.B) {
	for _, n := range []int{0, 1, 4, 16, 73} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := sparseVM(b, 74, 19, 4)
			ask := lacking(v, 6, max(25, n), n)
			told := 0
			for b.Loop() {
				a := v.heartbeat(v.clock.Now())
				a.Relay = v.tells(ask, v.clock.Now())
				told = len(peer.Encode(a))
			}
			b.ReportMetric(float64(told), "answer-B")
		})
	}
}

// BenchmarkTick measures one tick without heartbeats, of ten a second.
func BenchmarkTick(b *testing.B) {
	v := sparseVM(b, 74, 19, 4)
	v.conf.current, v.conf.table = fullConfig(0), lookup.NewTable(nil)
	now := v.clock.Now()
	for b.Loop() {
		v.lend(now)
		v.judge(now)
		v.readsList(now)
	}
}

// BenchmarkRound measures what one round costs before anything is sent.
func BenchmarkRound(b *testing.B) {
	v := sparseVM(b, 74, 19, 4)
	now := v.clock.Now()
	for b.Loop() {
		v.forget()
		v.summarize(now)
		v.members.Tick(now)
	}
}

// BenchmarkHearRelay takes in an answer like those of BenchmarkRelay.
func BenchmarkHearRelay(b *testing.B) {
	v := sparseVM(b, 74, 19, 4)
	now := v.clock.Now()
	a := v.heartbeat(now)
	a.Relay = v.tells(lacking(v, 6, 25, 1), now)
	body, err := json.Marshal(a)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var h peer.Heartbeat
		if err := json.Unmarshal(body, &h); err != nil {
			b.Fatal(err)
		}
		v.hearRelay(h.Relay, now)
	}
}

// fullConfig is a configuration of 200 sites in 28 regions' worth of links,
// 74 failure domains, 50 services and 150,000 blocks.
func fullConfig(blocks int) *sassafrastray.Config {
	c := &sassafrastray.Config{Number: 1, PublishID: "p"}
	for i := range 200 {
		c.Fleet.Regions = append(c.Fleet.Regions, sassafrastray.Region{Name: sassafrastray.RegionName(fmt.Sprint("site-", i))})
	}
	for d := range 74 {
		c.Fleet.Domains = append(c.Fleet.Domains, sassafrastray.FailureDomain{
			Name: fellowVM(d, 0).Domain, Region: c.Fleet.Regions[d%28].Name, Places: 19,
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

// BenchmarkPublish measures one snapshot for traffic. Ticks of a sparse fleet
// make at most two a second.
func BenchmarkPublish(b *testing.B) {
	for _, s := range []struct{ domains, each int }{{6, 2}, {10, 10}, {25, 16}, {74, 19}} {
		b.Run(fmt.Sprintf("domains=%d/each=%d", s.domains, s.each), func(b *testing.B) {
			v := sparseVM(b, s.domains, s.each, 4)
			c := fullConfig(0)
			v.conf.current, v.conf.table = c, lookup.NewTable(nil)
			for b.Loop() {
				v.publish(v.clock.Now())
			}
		})
	}
}

// BenchmarkMemory measures what a VM of a full-size fleet holds: its view, the
// configuration and the table of blocks.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		v := sparseVM(b, 74, 19, 4)
		view := heap()
		c := fullConfig(150_000)
		conf := heap()
		v.conf.current, v.conf.table = c, lookup.NewTable(c.Fleet.Blocks)
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

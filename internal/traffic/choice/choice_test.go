package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
	"sassafrastray/internal/traffic/scheduler"
)

// requestBytes is the expected size of each request and its answer.
const requestBytes = 1000

// fleet is the oracle: it holds the peers' reports, and counts the requests to each
// VM and the bytes to each region that were sent since.
type fleet struct {
	in        Input
	now       time.Time
	sent      map[sassafrastray.VMName]int
	sentBytes map[sassafrastray.RegionName]int64
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{now: time.Unix(1e9, 0)}
	regions := []sassafrastray.RegionName{"r0", "r1", "r2"}
	f.in.Config = &sassafrastray.Config{Services: []sassafrastray.Service{{
		Name: "stock", Regions: regions[rapid.IntRange(0, 1).Draw(t, "first"):],
	}}}
	for i := range 9 {
		f.in.Peers = append(f.in.Peers, Peer{Member: scheduler.Member{
			VM:     sassafrastray.VMName(fmt.Sprint("vm", i)),
			Domain: sassafrastray.DomainName(fmt.Sprint("d", i%6)),
			Region: regions[i%6/2],
		}})
	}
	f.in.Self = f.in.Peers[0].Member
	f.drawReports(t)
	return f
}

// drawReports draws new reports for all peers and links. Some are old, some
// are missing, and some VMs are leaving or suspect.
func (f *fleet) drawReports(t *rapid.T) {
	age := func() time.Time {
		ms := rapid.SampledFrom([]int{0, 0, 0, 100, 1000, 5000, -1}).Draw(t, "age")
		if ms < 0 {
			return time.Time{}
		}
		return f.now.Add(-time.Duration(ms) * time.Millisecond)
	}
	f.now = f.now.Add(time.Hour)
	f.sent = map[sassafrastray.VMName]int{}
	f.sentBytes = map[sassafrastray.RegionName]int64{}
	for i := range f.in.Peers {
		p := &f.in.Peers[i]
		p.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		p.Suspect = rapid.IntRange(0, 5).Draw(t, "suspect") == 0
		p.At, p.Loads = age(), nil
		if rapid.IntRange(0, 5).Draw(t, "missing") > 0 {
			l := scheduler.Load{Service: "stock", Version: "v1", Slots: rapid.IntRange(0, 9).Draw(t, "slots"), Mean: 100 * time.Millisecond}
			l.Used = rapid.IntRange(0, l.Slots).Draw(t, "used")
			if l.Used == l.Slots {
				l.Queued = rapid.IntRange(0, 30).Draw(t, "queued")
				l.Wait = time.Duration(l.Queued+1) * l.Mean / time.Duration(max(1, l.Slots))
			}
			p.Loads = []scheduler.Load{l}
		}
	}
	f.in.Links = nil
	for _, r := range []sassafrastray.RegionName{"r1", "r2"} {
		f.in.Links = append(f.in.Links, Link{
			To: r, Delay: 20 * time.Millisecond, At: age(),
			Headroom: rapid.Int64Range(0, 5*requestBytes).Draw(t, "headroom"),
		})
	}
}

// usable reports whether the VM may be chosen at all.
func (f *fleet) usable(p Peer) bool {
	return !p.Leaving && !p.Suspect && len(p.Loads) == 1 && p.Loads[0].Slots > 0 &&
		slices.Contains(f.in.Config.Services[0].Regions, p.Region)
}

// free returns how many slots are certainly free: those of an up-to-date
// report, less what was sent since.
func (f *fleet) free(p Peer) int {
	if !f.usable(p) || !p.At.Equal(f.now) {
		return 0
	}
	l := p.Loads[0]
	return l.Slots - l.Used - l.Queued - f.sent[p.VM]
}

func (f *fleet) peer(vm sassafrastray.VMName) Peer {
	return f.in.Peers[slices.IndexFunc(f.in.Peers, func(p Peer) bool { return p.VM == vm })]
}

// headroom reports whether the link may take one more request.
func (f *fleet) headroom(r sassafrastray.RegionName) bool {
	for _, l := range f.in.Links {
		if l.To == r {
			fresh := f.now.Sub(l.At) < maxReportAge
			return fresh && f.sentBytes[r]+requestBytes <= l.Headroom
		}
	}
	return false
}

func (f *fleet) send(c Choice) {
	c.Sent()
	f.sent[c.VM]++
	if c.Region != "r0" {
		f.sentBytes[c.Region] += requestBytes
	}
}

// check fails the test if a choice breaks a rule: only usable VMs are chosen, a free
// slot nearby takes precedence, and requests to other regions stay within the
// headroom of the link and this VM's share of the headroom there.
func (f *fleet) check(t *rapid.T, c Choice, ok bool) {
	local, domain, own, region := false, false, false, false
	for _, p := range f.in.Peers {
		if f.usable(p) && p.Region == "r0" {
			local = true
			domain = domain || f.free(p) > 0 && p.Domain == "d0"
			region = region || f.free(p) > 0
			own = own || p.Domain == "d0"
		}
	}
	if !ok {
		if local {
			t.Fatalf("no VM is chosen though the region has usable ones: %s", c.Reason)
		}
		return
	}
	p := f.peer(c.VM)
	if !f.usable(p) || c.Second.VM != "" && (!f.usable(f.peer(c.Second.VM)) || c.Second.VM == c.VM) {
		t.Fatalf("an unusable VM, or the same VM twice, is chosen: %+v", c)
	}
	if domain && p.Domain != "d0" || region && p.Region != "r0" {
		t.Fatalf("%s is chosen though a nearer one has a free slot", c.VM)
	}
	if p.Region == "r0" {
		return
	}
	if !f.headroom(p.Region) {
		t.Fatalf("a request goes to region %s without headroom on the link", p.Region)
	}
	l := p.Loads[0]
	if local {
		senders := 0
		for _, o := range f.in.Peers {
			if o.Region != p.Region && !o.Leaving {
				senders++
			}
		}
		share := float64(l.Slots-l.Used-l.Queued) / float64(senders)
		if f.now.Sub(p.At) >= maxReportAge || share <= 0 || float64(f.sent[p.VM]) > share {
			t.Fatalf("a request goes to %s of another region after %d others, with a share of %.1f", p.VM, f.sent[p.VM], share)
		}
	}
}

// TestChoice checks choices for random reports against the fleet.
func TestChoice(t *testing.T) {
	crossed := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		rng := rand.New(rand.NewPCG(3, rapid.Uint64().Draw(t, "seed")))
		s := New(f.in, nil, f.now)
		var open []Choice
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "picks") {
					c, ok := s.Pick(Request{Service: "stock", Version: "v1", Bytes: requestBytes}, f.now, rng)
					f.check(t, c, ok)
					if !ok {
						return
					}
					if c.Reason == ReasonLink {
						crossed++
					}
					f.send(c)
					open = append(open, c)
				}
			},
			"done": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				c := open[i]
				open = slices.Delete(open, i, i+1)
				c.Done()
				f.sent[c.VM]--
				if c.Region != "r0" {
					f.sentBytes[c.Region] -= requestBytes
				}
			},
			// A new snapshot of the same reports keeps the counters.
			"rebuild": func(*rapid.T) { s = New(f.in, s, f.now) },
			"draw reports": func(t *rapid.T) {
				f.drawReports(t)
				s, open = New(f.in, nil, f.now), nil
			},
		})
	})
	if crossed == 0 {
		t.Error("no request went to another region because of the wait in its own region")
	}
}

// TestOffer checks the steps of a choice for the waits that its targets report.
func TestOffer(t *testing.T) {
	const ms = time.Millisecond
	both := Choice{Target: Target{VM: "a"}, Second: Target{VM: "b"}}
	one := Choice{Target: Target{VM: "a"}}
	for _, c := range []struct {
		choice  Choice
		n       int
		waits   [2]time.Duration
		vm      sassafrastray.VMName
		maxWait time.Duration
	}{
		{one, 0, [2]time.Duration{}, "a", 0},
		{one, 1, [2]time.Duration{9 * ms}, "", 0},
		{both, 0, [2]time.Duration{}, "a", crossDomainCost},
		{both, 1, [2]time.Duration{9 * ms}, "b", 9 * ms},
		{both, 1, [2]time.Duration{Never}, "b", 0},
		{both, 2, [2]time.Duration{9 * ms, 20 * ms}, "a", 0},
		{both, 2, [2]time.Duration{9 * ms, 8 * ms}, "b", 0},
		{both, 2, [2]time.Duration{9 * ms, Never}, "a", 0},
		{both, 2, [2]time.Duration{Never, 8 * ms}, "", 0},
		{both, 3, [2]time.Duration{9 * ms, 8 * ms}, "", 0},
	} {
		o, ok := c.choice.Offer(c.n, c.waits)
		if o.VM != c.vm || o.MaxWait != c.maxWait || ok != (c.vm != "") {
			t.Errorf("step %d after %v: %s %v %t", c.n, c.waits, o.VM, o.MaxWait, ok)
		}
	}
}

// TestSpread checks that requests are spread over VMs with equal reports.
func TestSpread(t *testing.T) {
	in, now := benchInput(), time.Unix(1e9, 0)
	s := New(in, nil, now)
	rng := rand.New(rand.NewPCG(1, 2))
	count := map[sassafrastray.VMName]int{}
	for range 60 {
		s = New(in, s, now)
		c, _ := s.Pick(Request{Service: "s0", Version: "v1"}, now, rng)
		c.Sent()
		count[c.VM]++
	}
	for vm, n := range count {
		if n > 60/len(count)+4 {
			t.Errorf("%s got %d of 60: %v", vm, n, count)
		}
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	s, now := benchSnapshot(), time.Unix(1e9, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	if n := testing.AllocsPerRun(100, func() { s.Pick(Request{Service: "s0", Version: "v1"}, now, rng) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func benchSnapshot() *Snapshot { return New(benchInput(), nil, time.Unix(1e9, 0)) }

// benchInput returns 4 services at 11 VMs of one region.
func benchInput() Input {
	now := time.Unix(1e9, 0)
	in := Input{Config: &sassafrastray.Config{}}
	for s := range 4 {
		in.Config.Services = append(in.Config.Services, sassafrastray.Service{
			Name: sassafrastray.ServiceName(fmt.Sprint("s", s)), Regions: []sassafrastray.RegionName{"r"},
		})
	}
	for i := range 11 {
		p := Peer{At: now, Member: scheduler.Member{
			VM: sassafrastray.VMName(fmt.Sprint("vm", i)), Domain: sassafrastray.DomainName(fmt.Sprint("d", i%6)), Region: "r",
		}}
		for s := range 4 {
			p.Loads = append(p.Loads, scheduler.Load{Service: in.Config.Services[s].Name, Version: "v1", Slots: 8, Mean: time.Second})
		}
		in.Peers = append(in.Peers, p)
	}
	in.Self = in.Peers[0].Member
	return in
}

func BenchmarkPick(b *testing.B) {
	s, now := benchSnapshot(), time.Unix(1e9, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		s.Pick(Request{Service: "s0", Version: "v1"}, now, rng)
	}
}

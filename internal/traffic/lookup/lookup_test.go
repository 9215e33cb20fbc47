package lookup

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"pgregory.net/rapid"

	"sassafrastray"
)

// drawInput draws a fleet of three regions; some links between them may be
// missing.
func drawInput(t *rapid.T) Input {
	c := &sassafrastray.Config{Number: 7, Services: []sassafrastray.Service{{Name: "orders"}}}
	regions := []sassafrastray.RegionName{"a", "b", "c"}
	for _, r := range regions {
		c.Fleet.Regions = append(c.Fleet.Regions, sassafrastray.Region{Name: r})
		for _, to := range regions {
			if r != to && rapid.IntRange(0, 4).Draw(t, "linked") > 0 {
				d := time.Duration(rapid.IntRange(1, 3).Draw(t, "delay")) * time.Millisecond
				c.Fleet.Links = append(c.Fleet.Links, sassafrastray.Link{From: r, To: to, Delay: d})
			}
		}
	}
	blocks := []sassafrastray.AddressBlock{
		{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "a"},
		{Prefix: netip.MustParsePrefix("10.2.0.0/16"), Region: "b"},
		{Prefix: netip.MustParsePrefix("10.3.0.0/16"), Region: "c"},
	}
	in := Input{Config: c, Table: NewTable(blocks), TTL: 5 * time.Second, Home: "b"}
	for i := range rapid.IntRange(0, 24).Draw(t, "members") {
		state := rapid.SampledFrom([]sassafrastray.VMState{sassafrastray.VMLive, sassafrastray.VMLive, sassafrastray.VMLeaving}).Draw(t, "state")
		in.Members = append(in.Members, Member{
			VM: sassafrastray.VM{
				Name: sassafrastray.VMName(fmt.Sprint("vm", i)), State: state,
				CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 80),
			},
			Region:  rapid.SampledFrom(regions[:rapid.IntRange(1, 3).Draw(t, "spread")]).Draw(t, "region"),
			Weight:  rapid.IntRange(0, 3).Draw(t, "weight"),
			Suspect: rapid.Bool().Draw(t, "suspect"),
		})
	}
	return in
}

// TestAnswer checks properties of the answer for random fleets.
func TestAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		s := Build(in)
		near := rapid.SampledFrom([]sassafrastray.RegionName{"a", "b", "c"}).Draw(t, "near")
		caller := map[sassafrastray.RegionName]string{"a": "10.1.9.9", "b": "192.0.2.1", "c": "::ffff:10.3.0.1"}[near]
		b, ok := s.Answer("orders", netip.MustParseAddr(caller))
		again, _ := s.Answer("orders", netip.MustParseAddr(caller))
		if string(b) != string(again) {
			t.Fatalf("%s, then %s", b, again)
		}
		live := 0
		members := map[sassafrastray.VMName]Member{}
		for _, m := range in.Members {
			members[m.VM.Name] = m
			if m.VM.State == sassafrastray.VMLive {
				live++
			}
		}
		if ok != (live > 0) {
			t.Fatalf("%d VMs live, answer %t", live, ok)
		}
		if !ok {
			return
		}
		checkAnswer(t, in, near, b, members)
	})
}

// checkAnswer fails the test if the answer names a wrong VM, or leaves out a
// better one.
func checkAnswer(t *rapid.T, in Input, near sassafrastray.RegionName, b []byte, members map[sassafrastray.VMName]Member) {
	var a Answer
	if err := json.Unmarshal(b, &a); err != nil {
		t.Fatal(err)
	}
	if a.Service != "orders" || a.Config != 7 || a.TTL != 5 || len(a.VMs) == 0 || len(a.VMs) > maxVMs {
		t.Fatalf("%+v", a)
	}
	first := members[a.VMs[0].Name]
	for _, v := range a.VMs {
		m := members[v.Name]
		if m.VM.State != sassafrastray.VMLive || m.VM.CallerAddress != v.Address || v.Weight < 1 || m.Region != first.Region {
			t.Fatalf("%+v names %+v", a, m)
		}
	}
	distance := func(r sassafrastray.RegionName) time.Duration {
		if r == near {
			return 0
		}
		if l := in.Config.Link(near, r); l != nil {
			return l.Delay
		}
		return time.Hour
	}
	// preferred counts the VMs of the answer's region that are neither suspect nor
	// without headroom.
	preferred, anyHealthy := 0, false
	for _, m := range in.Members {
		if m.VM.State != sassafrastray.VMLive {
			continue
		}
		anyHealthy = anyHealthy || !m.Suspect
		if m.Region == first.Region && !m.Suspect && m.Weight > 0 {
			preferred++
		}
	}
	for _, m := range in.Members {
		if m.VM.State == sassafrastray.VMLive && (!m.Suspect || !anyHealthy) && distance(m.Region) < distance(first.Region) {
			t.Fatalf("%+v names region %s though %+v is nearer", a, first.Region, m)
		}
	}
	for _, v := range a.VMs {
		if m := members[v.Name]; m.Suspect && anyHealthy || preferred > 0 && m.Weight == 0 {
			t.Fatalf("%+v names %+v though there are better ones", a, m)
		}
	}
	if anyHealthy && preferred > 0 && len(a.VMs) != min(preferred, maxVMs) {
		t.Fatalf("%+v leaves out some of %d preferred VMs", a, preferred)
	}
}

func TestAnswerOfUnknownService(t *testing.T) {
	s := Build(Input{Config: &sassafrastray.Config{}, Table: NewTable(nil)})
	if b, ok := s.Answer("nothing", netip.Addr{}); ok {
		t.Errorf("%s", b)
	}
}

// TestLimit checks that the services of a large region use all its VMs together.
func TestLimit(t *testing.T) {
	used := map[sassafrastray.VMName]bool{}
	for i := range 50 {
		var vms []VM
		for j := range 40 {
			vms = append(vms, VM{Name: sassafrastray.VMName(fmt.Sprint("vm", j))})
		}
		got := limit(sassafrastray.ServiceName(fmt.Sprint("service", i)), vms)
		if len(got) != maxVMs {
			t.Fatalf("%d VMs", len(got))
		}
		for _, v := range got {
			used[v.Name] = true
		}
	}
	if len(used) != 40 {
		t.Errorf("only %d VMs are used", len(used))
	}
}

// TestSteer checks how many VMs teams with small and large bursts get, and that
// a team keeps its VMs when others leave.
func TestSteer(t *testing.T) {
	var vms []VM
	for i := range 11 {
		vms = append(vms, VM{Name: sassafrastray.VMName(fmt.Sprint("vm", i)), Weight: 5})
	}
	for burst, want := range map[int]int{0: 2, 5: 2, 8: 2, 9: 2, 20: 3, 80: 10, 200: 11} {
		if got, steered := steer(vms, "coop", burst); len(got) != want || steered != (want < len(vms)) {
			t.Errorf("burst %d: %d VMs, want %d", burst, len(got), want)
		}
	}
	first := map[sassafrastray.VMName]int{}
	for i := range 100 {
		team := sassafrastray.TeamName(fmt.Sprint("team", i))
		got, _ := steer(vms, team, 5)
		if got[0].Weight != primaryWeight || got[1].Weight != 1 || vms[0].Weight != 5 {
			t.Fatalf("%+v of %+v", got, vms)
		}
		first[got[0].Name]++
		// VMs that the team does not use can leave without effect on it.
		rest := slices.DeleteFunc(slices.Clone(vms), func(v VM) bool {
			return v.Name != got[0].Name && v.Name != got[1].Name && v.Name > "vm5"
		})
		if again, _ := steer(rest, team, 5); !slices.Equal(again, got) {
			t.Errorf("%s: %+v, then %+v", team, got, again)
		}
	}
	if len(first) < 9 {
		t.Errorf("100 teams use only %d VMs", len(first))
	}
}

// largeInput returns a fleet of 200 regions, 1,400 VMs, 100 services and
// 150,000 address blocks of callers.
func largeInput() Input {
	c := &sassafrastray.Config{}
	for i := range 200 {
		c.Fleet.Regions = append(c.Fleet.Regions, sassafrastray.Region{Name: sassafrastray.RegionName(fmt.Sprint("site-", i))})
	}
	for i := range 100 {
		c.Services = append(c.Services, sassafrastray.Service{Name: sassafrastray.ServiceName(fmt.Sprint("service-", i))})
	}
	in := Input{Config: c, Table: NewTable(manyBlocks(150_000)), TTL: 5 * time.Second, Home: "site-0"}
	for i := range 1400 {
		in.Members = append(in.Members, Member{
			VM:     sassafrastray.VM{Name: sassafrastray.VMName(fmt.Sprint("vm", i)), State: sassafrastray.VMLive},
			Region: sassafrastray.RegionName(fmt.Sprint("site-", i%200)), Weight: 10,
		})
	}
	return in
}

// BenchmarkAnswer measures look-ups of answers that are encoded already.
func BenchmarkAnswer(b *testing.B) {
	in := largeInput()
	s := Build(in)
	var addrs []netip.Addr
	for p := range in.Table.blocks.All() {
		addrs = append(addrs, p.Addr())
	}
	for i, a := range addrs {
		s.Answer(in.Config.Services[i%100].Name, a)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.Answer(in.Config.Services[i%100].Name, addrs[i%len(addrs)])
		i++
	}
}

// BenchmarkFirstAnswer measures look-ups whose answer is not encoded yet.
func BenchmarkFirstAnswer(b *testing.B) {
	s := Build(largeInput())
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		vms, _ := s.choose("service-1", s.in.Config.Fleet.Regions[i%200].Name)
		s.encode("service-1", vms)
		i++
	}
}

func BenchmarkBuild(b *testing.B) {
	in := largeInput()
	b.ReportAllocs()
	for b.Loop() {
		Build(in)
	}
}

// BenchmarkHandle measures the HTTP handler without a connection.
func BenchmarkHandle(b *testing.B) {
	s := Build(largeInput())
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, &net.TCPAddr{IP: net.IPv4(10, 1, 2, 3)}, nil)
	ctx.Request.SetRequestURI(Path + "?service=service-1")
	b.ReportAllocs()
	for b.Loop() {
		ctx.Response.Reset()
		Handle(&ctx, s, "", false)
	}
	if ctx.Response.StatusCode() != fasthttp.StatusOK {
		b.Fatal(ctx.Response.String())
	}
}

// BenchmarkHTTP measures look-ups over an in-memory HTTP connection. The caller
// runs on the same core.
func BenchmarkHTTP(b *testing.B) {
	s := Build(largeInput())
	l := fasthttputil.NewInmemoryListener()
	server := fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { Handle(ctx, s, "", false) }}
	go func() { _ = server.Serve(l) }()
	defer l.Close()
	client := fasthttp.HostClient{Addr: "vm", Dial: func(string) (net.Conn, error) { return l.Dial() }}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://vm" + Path + "?service=service-1")
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
			b.Fatal(err, resp.StatusCode())
		}
	}
}

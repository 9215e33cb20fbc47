package edge

import (
	"maps"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
)

// TestBehind checks that a VM knows since when another one has a later configuration, until
// it has that one itself or the other one is not heard of any more.
func TestBehind(t *testing.T) {
	v := newQuietVM(t)
	list, _ := newFleet(2)
	other := list[3]
	receive := func(sequence uint64, config int64) {
		v.receive(&gossip.Heartbeat{VM: other, Incarnation: 1, Sequence: sequence, Ready: true, Config: config}, v.clock.Now())
	}
	for i, c := range []struct {
		config int64
		silent time.Duration
		want   time.Duration
	}{
		{2, 0, 0},
		{3, 0, 0},
		{3, time.Second, time.Second},
		{4, time.Second, 2 * time.Second},
		{2, time.Second, 0},
		{5, 0, 0},
		{0, 10 * time.Second, 0},
	} {
		advance(v, c.silent)
		if c.config > 0 {
			receive(uint64(i+1), c.config)
		}
		v.checkCurrency(v.clock.Now())
		if got := v.currency.behind(v.clock.Now()); got != c.want {
			t.Errorf("step %d: behind for %v, want %v", i, got, c.want)
		}
	}
	receive(20, 7)
	v.checkCurrency(v.clock.Now())
	v.applyBatch(sassafrastray.Batch{Topic: sassafrastray.TopicConfig, Revision: 9, Entries: []sassafrastray.Entry{
		{Name: "main", Revision: 9, Config: &sassafrastray.Config{Number: 7}},
	}}, v.clock.Now())
	v.checkCurrency(v.clock.Now())
	if got := v.currency.behind(v.clock.Now()); got != 0 || !v.replica.HeardAt(sassafrastray.TopicConfig).Equal(v.clock.Now()) {
		t.Errorf("behind for %v with the latest configuration", got)
	}
}

// TestAddedRouteAtAVMBehind guards against a VM that answers 404 for a route which was added
// in a configuration that another VM has and it does not.
func TestAddedRouteAtAVMBehind(t *testing.T) {
	v := newQuietVM(t)
	list, _ := newFleet(2)
	check := func(when string, want int) {
		t.Helper()
		v.checkCurrency(v.clock.Now())
		if got := requestUnknownRoute(v); got != want {
			t.Errorf("%s: status %d, want %d", when, got, want)
		}
	}
	check("with the latest configuration", fasthttp.StatusNotFound)
	v.receive(&gossip.Heartbeat{VM: list[3], Incarnation: 1, Sequence: 1, Ready: true, Config: 3}, v.clock.Now())
	check("while another VM has a later one", fasthttp.StatusServiceUnavailable)
	v.applyBatch(sassafrastray.Batch{Topic: sassafrastray.TopicConfig, Revision: 9, Entries: []sassafrastray.Entry{
		{Name: "main", Revision: 9, Config: &sassafrastray.Config{Number: 3}},
	}}, v.clock.Now())
	check("with that one", fasthttp.StatusNotFound)
}

// requestUnknownRoute returns the status of the answer to a request for a route that the VM
// does not know.
func requestUnknownRoute(v *VM) int {
	v.handler.Dialect.ParseDeadline = func([]byte) (time.Duration, bool) { return 0, false }
	v.handler.Dialect.FormatWait = time.Duration.String
	server, client := net.Pipe()
	defer server.Close()
	defer client.Close()
	var ctx fasthttp.RequestCtx
	ctx.Init2(server, nil, false)
	ctx.Request.SetRequestURI("/")
	ctx.Request.Header.SetHost("added")
	v.handler.Handle(&ctx)
	return ctx.Response.StatusCode()
}

// TestAddedRouteAtAVMThatHearsNothing guards against a VM that answers 404 for a route which
// was added in a configuration that it has not heard of, since it hears neither the store
// nor a VM that does. Its control goroutine may be late, so requests find out by themselves.
func TestAddedRouteAtAVMThatHearsNothing(t *testing.T) {
	const maxApply = 2 * time.Second
	v := newQuietVM(t)
	v.handler.MaxConfigAge = maxApply
	list, _ := newFleet(2)
	for i, step := range []struct {
		wait time.Duration
		// from is what another VM tells, if the configuration has a number.
		config int64
		age    time.Duration
		late   time.Duration
		want   int
	}{
		{0, 2, time.Millisecond, 0, fasthttp.StatusNotFound},
		{maxApply - time.Second, 0, 0, 0, fasthttp.StatusNotFound},
		{time.Second, 0, 0, 0, fasthttp.StatusServiceUnavailable},
		// The other VM has heard nothing either.
		{0, 2, 5 * time.Second, 0, fasthttp.StatusServiceUnavailable},
		{0, 2, time.Second, 0, fasthttp.StatusNotFound},
		// An answer waits for the control goroutine.
		{5 * time.Second, 2, time.Second, 3 * time.Second, fasthttp.StatusServiceUnavailable},
		{0, 1, time.Second, 0, fasthttp.StatusNotFound},
		// The other VM has a later configuration.
		{5 * time.Second, 3, time.Millisecond, 0, fasthttp.StatusServiceUnavailable},
	} {
		advance(v, step.wait)
		if step.config > 0 {
			now := v.clock.Now()
			v.receive(&gossip.Heartbeat{
				VM: list[3], Incarnation: 1, Sequence: uint64(i + 1), Ready: true, Config: step.config, Confirmed: step.age, Asked: now.Add(-step.late),
			}, now)
		}
		if got := requestUnknownRoute(v); got != step.want {
			t.Errorf("step %d: status %d, want %d", i, got, step.want)
		}
	}
}

// TestConfirmationsReachAllVMs checks that in a quiet fleet all VMs know within the time in
// which a configuration has to be in force that theirs is the latest one, and that VMs which
// are cut off from all that know do not.
func TestConfirmationsReachAllVMs(t *testing.T) {
	for _, c := range []struct {
		each     int
		maxApply time.Duration
	}{{1, 2 * time.Second}, {2, 2 * time.Second}, {20, 4 * time.Second}} {
		vms, clock := newFleetVMs(t, c.each)
		names := slices.Sorted(maps.Keys(vms))
		for _, v := range vms {
			v.opt.Bounds.MaxApply = c.maxApply
			v.replica.Apply(sassafrastray.Batch{Topic: sassafrastray.TopicConfig, Revision: 5, Complete: true, Entries: []sassafrastray.Entry{
				{Name: "main", Revision: 5, Config: &sassafrastray.Config{Number: 7}},
			}}, clock.now)
		}
		cut, asked := notCut, 0
		oldest := map[bool]time.Duration{}
		const ticks = int(heartbeatInterval / tickInterval)
		for tick := range 20 * ticks {
			clock.now = clock.now.Add(tickInterval)
			if tick == 12*ticks {
				cut = func(a, b *VM) bool { return (a.opt.Region == "r2") != (b.opt.Region == "r2") }
			}
			if tick%ticks == 0 {
				vms[names[0]].confirmation.confirm(clock.now)
			}
			for i, name := range names {
				v := vms[name]
				if i%ticks == tick%ticks {
					sendRound(v, vms, cut, clock.now, func(*gossip.Heartbeat) {})
				}
				if to := v.confirmingPeer(clock.now); to != nil {
					asked += sendTo(v, []sassafrastray.VM{*to}, vms, cut, clock.now, func(*gossip.Heartbeat) {})
				}
			}
			for _, v := range vms {
				if tick > 5*ticks && tick < 12*ticks {
					oldest[false] = max(oldest[false], v.confirmation.age())
				} else if tick == 20*ticks-1 && v.opt.Region == "r2" {
					oldest[true] = max(oldest[true], v.confirmation.age())
				}
			}
		}
		t.Logf("%d VMs: oldest %v, cut off %v, %d heartbeats to ask", len(vms), oldest[false], oldest[true], asked)
		if oldest[false] > c.maxApply || oldest[true] < 8*time.Second-c.maxApply {
			t.Errorf("%d VMs: the oldest confirmation is of %v ago, %v at the VMs that are cut off", len(vms), oldest[false], oldest[true])
		}
	}
}

package edge

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/traffic/upstream"
)

// slowLink is the capacity of a small VM's network link in bytes per second.
const slowLink = 10e6 / 8

// newPeer returns the address of a VM that accepts every message, and a function that
// returns how many messages it got and their bytes.
func newPeer(t *testing.T) (netip.AddrPort, func() (messages, bytes int)) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var mu sync.Mutex
	var messages, bytes int
	go func() {
		_ = (&fasthttp.Server{MaxRequestBodySize: 64 << 20, Handler: func(ctx *fasthttp.RequestCtx) {
			mu.Lock()
			defer mu.Unlock()
			messages, bytes = messages+1, bytes+len(ctx.PostBody())
			ctx.Response.Header.Set("Request-Id", string(ctx.Request.Header.Peek("Request-Id")))
			ctx.SetBodyString("true")
		}}).Serve(ln)
	}()
	return netip.MustParseAddrPort(ln.Addr().String()), func() (int, int) {
		mu.Lock()
		defer mu.Unlock()
		return messages, bytes
	}
}

// word returns a name of eight random letters.
func word(rng *rand.Rand) string {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte('a' + rng.IntN(26))
	}
	return string(b)
}

// largeConfig returns the entry of a configuration with many routes and teams.
func largeConfig(rng *rand.Rand, revision int64) sassafrastray.Entry {
	c := &sassafrastray.Config{Number: revision}
	for i := range 1880 {
		c.Routes = append(c.Routes, sassafrastray.Route{
			Name: sassafrastray.RouteName(word(rng)), Host: "shop.example", Path: "/" + word(rng) + "/", Idempotent: i%2 == 0, MaxAttempts: 2, Priority: i % 3,
			Timeout: time.Duration(1+i%3) * time.Second, LatencyObjective: 500 * time.Millisecond, Targets: []sassafrastray.Target{{Service: "catalogue", Weight: 1000}},
		})
	}
	for range 80 {
		c.Fleet.Teams = append(c.Fleet.Teams, sassafrastray.Team{
			Name: sassafrastray.TeamName(word(rng)), Rate: 12, Burst: 10,
			Keys: []sassafrastray.KeyDigest{sassafrastray.KeyDigest(word(rng) + word(rng) + word(rng) + word(rng)), sassafrastray.KeyDigest(word(rng) + word(rng) + word(rng) + word(rng))},
		})
	}
	return sassafrastray.Entry{Name: "main", Revision: revision, Config: c}
}

// serverEntries returns the entries of backend servers with revisions from first on.
func serverEntries(rng *rand.Rand, n int, first int64) []sassafrastray.Entry {
	var out []sassafrastray.Entry
	for i := range n {
		name := fmt.Sprintf("i-%05d%s", i, word(rng))
		out = append(out, sassafrastray.Entry{Name: name, Revision: first + int64(i), Backend: &sassafrastray.BackendServer{
			Name: sassafrastray.BackendName(name), Domain: "r0-0", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 8564),
			Slots: 3, Version: "v1", Service: "catalogue", Incarnation: 1791115130045 + int64(i), Sequence: int64(i),
		}})
	}
	return out
}

// TestForwardedChangesFitTheLink guards against a VM that fills its network link with
// changes of the store for the other VMs of its failure domain: its own news of servers
// that leave, and callers' requests, then wait for seconds. What one change makes it send
// must pass a small VM's link in a quarter of a second.
func TestForwardedChangesFitTheLink(t *testing.T) {
	const limit = slowLink / 4
	for _, each := range []int{10, 25, 50} {
		for _, c := range []struct {
			name   string
			change func(v *VM, rng *rand.Rand, now time.Time)
		}{
			{"a configuration with many routes", func(v *VM, rng *rand.Rand, now time.Time) {
				v.applyBatch(sassafrastray.Batch{Topic: sassafrastray.TopicConfig, Revision: 9001, Entries: []sassafrastray.Entry{largeConfig(rng, 9001)}}, now)
			}},
			{"three configurations at once", func(v *VM, rng *rand.Rand, now time.Time) {
				v.applyBatch(sassafrastray.Batch{
					Topic: sassafrastray.TopicConfig, Revision: 9003,
					Entries: []sassafrastray.Entry{largeConfig(rng, 9001), largeConfig(rng, 9002), largeConfig(rng, 9003)},
				}, now)
			}},
			{"all servers are read again", func(v *VM, rng *rand.Rand, now time.Time) {
				servers := serverEntries(rng, 2000, 1000)
				v.replica.Apply(sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: 9000, Complete: true, Entries: servers}, now)
				changed := append(servers[30:], serverEntries(rng, 20, 9001)...)
				v.applyBatch(sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: 9100, Complete: true, Entries: changed}, now)
			}},
			{"the first read", func(v *VM, rng *rand.Rand, now time.Time) {
				v.applyBatch(sassafrastray.Batch{Topic: sassafrastray.TopicBackends, Revision: 9000, Complete: true, Entries: serverEntries(rng, 2000, 1000)}, now)
			}},
		} {
			t.Run(fmt.Sprintf("%d VMs/%s", each, c.name), func(t *testing.T) {
				address, received := newPeer(t)
				list, _ := newFleet(each)
				for i := range list {
					list[i].PeerAddress = address
				}
				clock := &manualClock{time.Now()}
				v := newFleetVM(t, list[0], clock)
				v.trafficClock = sassafrastray.SystemClock{}
				v.client = gossip.New(v.innerPool, v.trafficClock)
				v.learnVMs(list, clock.now)
				for _, vm := range list[1:each] {
					v.receive(&gossip.Heartbeat{VM: vm, Incarnation: 1, Sequence: 1, Ready: true, StoreReachable: true}, clock.now)
				}
				c.change(v, rand.New(rand.NewPCG(1, 2)), clock.now)
				for v.workers.Running() > 0 {
					time.Sleep(time.Millisecond)
				}
				messages, bytes := received()
				t.Logf("%d messages, %d bytes", messages, bytes)
				if c.name == "the first read" && messages > 0 {
					t.Error("a first read was forwarded, which every VM makes itself")
				}
				if bytes > limit {
					t.Errorf("%d bytes, %.2f s of the link, for one change", bytes, float64(bytes)/slowLink)
				}
			})
		}
	}
}

// serveMessages lets a VM that runs no other goroutines answer messages until the end of
// the test, at the address that is returned.
func serveMessages(t *testing.T, v *VM) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ln.Close()
		v.stop()
	})
	go func() {
		_ = v.newServer("inner", func(ctx *fasthttp.RequestCtx) { gossip.Handle(ctx, v) }).Serve(ln)
	}()
	go func() {
		for {
			select {
			case f := <-v.tasks:
				v.run(f)
			case <-v.ctx.Done():
				return
			}
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// TestLargeUpdateReachesTheDomain lets a VM forward a change that is too large to send it
// to all VMs of its failure domain. All must get it, from it or from each other.
func TestLargeUpdateReachesTheDomain(t *testing.T) {
	const each = 25
	list, _ := newFleet(each)
	clock := &manualClock{time.Now()}
	vms := make([]*VM, each)
	for i := range vms {
		vms[i] = newFleetVM(t, list[i], clock)
		vms[i].trafficClock = sassafrastray.SystemClock{}
		vms[i].innerPool = upstream.New(vms[i].trafficClock, upstream.Options{DialTimeout: dialTimeout, IdleTimeout: idleConnTimeout, MaxIdlePerAddress: maxIdleConns})
		vms[i].client = gossip.New(vms[i].innerPool, vms[i].trafficClock)
	}
	known := slices.Clone(list)
	for i, v := range vms {
		known[i].PeerAddress = serveMessages(t, v)
	}
	for _, v := range vms {
		ask(v, func(now time.Time) bool {
			v.learnVMs(known, now)
			for _, vm := range known[:each] {
				if vm.Name != v.self.Name {
					v.receive(&gossip.Heartbeat{VM: vm, Incarnation: 1, Sequence: 1, Ready: true, StoreReachable: true}, now)
				}
			}
			v.replica.Apply(sassafrastray.Batch{Topic: sassafrastray.TopicConfig, Revision: 9000, Complete: true}, now)
			return true
		})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	e := largeConfig(rng, 9001)
	ask(vms[0], func(now time.Time) bool {
		vms[0].applyBatch(sassafrastray.Batch{Topic: sassafrastray.TopicConfig, Revision: 9001, Entries: []sassafrastray.Entry{e}}, now)
		return true
	})
	for _, v := range vms {
		for i := 0; ; i++ {
			if c := ask(v, func(time.Time) *sassafrastray.Config { return v.replica.Config() }); c != nil && len(c.Routes) == len(e.Config.Routes) {
				break
			}
			if i > 1000 {
				t.Fatalf("%s did not get the change", v.self.Name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

package keeper

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrastray"
)

// benchKeeper keeps services of 20 backend servers with 4 slots.
func benchKeeper(services int, now time.Time) *Keeper {
	cfg := &sassafrastray.Config{Fleet: sassafrastray.Fleet{
		Domains: []sassafrastray.FailureDomain{{Name: "n1", Region: "north"}},
	}}
	for s := range services {
		svc := sassafrastray.Service{Name: sassafrastray.ServiceName(fmt.Sprint("s", s))}
		for i := range 20 {
			svc.Backends = append(svc.Backends, sassafrastray.BackendServer{
				Name: sassafrastray.BackendName(fmt.Sprint("s", s, "b", i)), Domain: "n1", Slots: 4, Version: "v1",
			})
		}
		cfg.Services = append(cfg.Services, svc)
	}
	k := New("vm0", rand.New(rand.NewPCG(1, 2)), Defaults())
	k.Configure(cfg, now)
	k.View([]Member{{VM: "vm0", Domain: "n1", Region: "north"}}, now)
	k.Tick(now.Add(time.Minute))
	return k
}

// BenchmarkOffer offers and ends requests while as many slots of the service
// are busy, and as many requests wait, as the name says.
func BenchmarkOffer(b *testing.B) {
	for _, busy := range []int{0, 60, 80, 140} {
		b.Run(fmt.Sprint("busy ", busy), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			k := benchKeeper(4, now)
			id, done := uint64(0), uint64(0)
			offer := func() {
				id++
				k.Offer(Request{
					ID: id, Service: "s0", Version: "v1", Team: teams[id%8], Weight: 1, Deadline: now.Add(time.Hour),
				}, now)
			}
			for range busy {
				offer()
			}
			b.ReportAllocs()
			for b.Loop() {
				offer()
				done++
				k.Done(done, End{Kind: OK, Latency: time.Millisecond}, now)
			}
		})
	}
}

var teams = [8]sassafrastray.TeamName{"a", "b", "c", "d", "e", "f", "g", "h"}

func BenchmarkTick(b *testing.B) {
	now := time.Unix(1e9, 0)
	k := benchKeeper(4, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		k.Tick(now)
	}
}

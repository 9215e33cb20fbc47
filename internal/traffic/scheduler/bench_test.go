package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrastray"
)

// benchScheduler returns a scheduler that owns services with 20 backend servers of
// 4 slots each.
func benchScheduler(services int, now time.Time) *Scheduler {
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
	sched := New("vm0", rand.New(rand.NewPCG(1, 2)), DefaultOptions())
	sched.Configure(cfg, now)
	sched.SetMembers([]Member{{VM: "vm0", Domain: "n1", Region: "north"}}, now)
	sched.Tick(now.Add(time.Minute))
	return sched
}

// BenchmarkOffer offers and ends requests while the given number of requests is
// in flight or waiting. The service has 80 slots.
func BenchmarkOffer(b *testing.B) {
	for _, busy := range []int{0, 60, 80, 140} {
		b.Run(fmt.Sprint("busy ", busy), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			sched := benchScheduler(4, now)
			id, done := uint64(0), uint64(0)
			offer := func() {
				id++
				sched.Offer(Request{
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
				sched.Done(done, End{Kind: OK, Latency: time.Millisecond}, now)
			}
		})
	}
}

var teams = [8]sassafrastray.TeamName{"a", "b", "c", "d", "e", "f", "g", "h"}

func BenchmarkTick(b *testing.B) {
	now := time.Unix(1e9, 0)
	sched := benchScheduler(4, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		sched.Tick(now)
	}
}

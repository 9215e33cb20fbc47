package edge

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
)

// The bounds of the deployment that allows the least time.
const (
	// stableWindow is how long after a disturbance of the store changes have to reach all
	// VMs within changeBound.
	stableWindow = 3 * time.Second
	changeBound  = 2 * time.Second
)

type (
	// mutedStore is a store that never answers a call which arrives or would be answered
	// in a silence.
	mutedStore struct {
		sassafrastray.MetadataStore
		mu         sync.Mutex
		revision   int64
		changes    map[sassafrastray.Topic][]sassafrastray.Entry
		changed    chan struct{}
		mutedUntil time.Time
	}

	// mutedLink is a VM's way to the store.
	mutedLink struct {
		*mutedStore
		latency time.Duration
	}
)

func newMutedStore() *mutedStore {
	return &mutedStore{revision: 50, changes: make(map[sassafrastray.Topic][]sassafrastray.Entry), changed: make(chan struct{})}
}

// change changes the entry of a topic and returns its revision.
func (s *mutedStore) change(t sassafrastray.Topic) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := sassafrastray.Entry{Name: "e", Revision: s.revision}
	switch t {
	case sassafrastray.TopicConfig:
		e.Config = &sassafrastray.Config{Number: s.revision}
	case sassafrastray.TopicBackends:
		e.Backend = &sassafrastray.BackendServer{
			Name: "e", Service: "s", Domain: "r0-0", Slots: 1, Sequence: s.revision, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}
	case sassafrastray.TopicRollouts:
		e.Rollout = &sassafrastray.Rollout{Service: "s", To: sassafrastray.VersionName(fmt.Sprint("v", s.revision)), MaxDuration: time.Minute}
	}
	s.changes[t] = append(s.changes[t], e)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// mute lets the store be silent for d, or for longer if it is already.
func (s *mutedStore) mute(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(d); until.After(s.mutedUntil) {
		s.mutedUntil = until
	}
}

// calmFor reports whether there was no silence within d.
func (s *mutedStore) calmFor(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.mutedUntil) >= d
}

// since returns the changes of a topic after a revision, what signals the next change, and
// whether the store is silent.
func (s *mutedStore) since(t sassafrastray.Topic, after int64) (b sassafrastray.Batch, changed <-chan struct{}, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b = sassafrastray.Batch{Topic: t, Revision: s.revision}
	for _, e := range s.changes[t] {
		if e.Revision > after {
			b.Entries = append(b.Entries, e)
		}
	}
	return b, s.changed, time.Now().Before(s.mutedUntil)
}

// Read returns the latest change of a topic as its only entry.
func (l mutedLink) Read(ctx context.Context, t sassafrastray.Topic, _ bool) (sassafrastray.Batch, error) {
	b, err := l.call(ctx, t, 0, 0, 2*time.Second)
	b.Complete, b.Entries = true, b.Entries[max(0, len(b.Entries)-1):]
	return b, err
}

// Watch waits for changes of a topic.
func (l mutedLink) Watch(ctx context.Context, t sassafrastray.Topic, after sassafrastray.Position, wait time.Duration) (sassafrastray.Batch, error) {
	return l.call(ctx, t, after.Revision, wait, 800*time.Millisecond)
}

// call answers a call that waits for a change. Without an answer it fails at its limit,
// which begins after the wait.
func (l mutedLink) call(ctx context.Context, t sassafrastray.Topic, after int64, wait, limit time.Duration) (sassafrastray.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+limit)
	defer cancel()
	time.Sleep(l.latency)
	b, changed, silent := l.since(t, after)
	lost := silent
	for end, over := time.After(wait), wait == 0; !lost && !over && len(b.Entries) == 0; b, changed, silent = l.since(t, after) {
		select {
		case <-changed:
		case <-end:
			over = true
		case <-ctx.Done():
			lost = true
		}
	}
	if lost || silent {
		<-ctx.Done()
	}
	time.Sleep(l.latency)
	if ctx.Err() != nil {
		return sassafrastray.Batch{}, sassafrastray.ErrUnavailable
	}
	return b, nil
}

// startMutedFleet starts six VMs in three regions that follow the store, in the order in
// which they check it, and their heartbeats. It must be called in a synctest bubble.
func startMutedFleet(t *testing.T, s *mutedStore) (vms []*VM) {
	t.Helper()
	list, regions := newFleet(1)
	for i := range list {
		list[i].Cores = float64(len(list) - i)
		// Nothing listens there: the heartbeats are those below, and copies fail.
		list[i].PeerAddress = netip.MustParseAddrPort("127.0.0.1:1")
	}
	for i, vm := range list {
		l := mutedLink{s, time.Duration(2+25*(i/2)) * time.Millisecond}
		v, err := New(Options{VM: vm, Region: regions[vm.Domain], Regions: regions}, l, sassafrastray.SystemClock{}, sassafrastray.SystemClock{}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		startLoops(v)
		vms = append(vms, v)
	}
	stop := make(chan struct{})
	var beats sync.WaitGroup
	for i, from := range vms {
		beats.Go(func() {
			for next := time.After(time.Duration(i) * 137 * time.Millisecond); ; next = time.After(heartbeatInterval) {
				select {
				case <-stop:
					return
				case <-next:
				}
				for _, to := range vms[i+1:] {
					exchangeHeartbeat(from, to)
				}
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		beats.Wait()
		for _, v := range vms {
			v.stop()
			v.loops.Wait()
			if err := v.workers.ReleaseTimeout(time.Minute); err != nil {
				t.Error(err)
			}
		}
	})
	return vms
}

// exchangeHeartbeat sends one VM's heartbeat to another one, and the answer back, if both
// run.
func exchangeHeartbeat(from, to *VM) {
	asked := from.clock.Now()
	h := ask(from, func(now time.Time) *gossip.Heartbeat {
		h := from.addressed(from.newHeartbeat(now), to.opt.VM, from.heartbeats[to.opt.VM.Name], now)
		return &h
	})
	if h == nil || to.ctx.Err() != nil {
		return
	}
	answer := to.Heartbeat(h)
	answer.Asked = asked
	from.post(func(now time.Time) { from.receive(answer, now) })
}

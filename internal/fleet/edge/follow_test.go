package edge

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/replica"
)

// refusingStore is a store that refuses all calls until it serves, and notes when each topic
// was first served.
type refusingStore struct {
	sassafrastray.MetadataStore
	mu     sync.Mutex
	serves bool
	served map[sassafrastray.Topic]time.Time
}

// Read fails until the store serves.
func (s *refusingStore) Read(_ context.Context, t sassafrastray.Topic, _ bool) (sassafrastray.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.serves {
		return sassafrastray.Batch{}, sassafrastray.ErrUnavailable
	}
	s.served[t] = time.Now()
	return sassafrastray.Batch{Topic: t, Revision: 50, Complete: true}, nil
}

// Watch waits until the context ends.
func (s *refusingStore) Watch(ctx context.Context, _ sassafrastray.Topic, _ sassafrastray.Position, _ time.Duration) (sassafrastray.Batch, error) {
	<-ctx.Done()
	return sassafrastray.Batch{}, sassafrastray.ErrUnavailable
}

// quietStore is a store in which nothing changes.
type quietStore struct{ *recordingStore }

// Watch waits and returns no changes.
func (quietStore) Watch(ctx context.Context, t sassafrastray.Topic, after sassafrastray.Position, wait time.Duration) (sassafrastray.Batch, error) {
	select {
	case <-time.After(wait):
		return sassafrastray.Batch{Topic: t, Era: after.Era, Revision: after.Revision}, nil
	case <-ctx.Done():
		return sassafrastray.Batch{}, sassafrastray.ErrUnavailable
	}
}

// startFollowing returns a VM that follows a store.
func startFollowing(t *testing.T, store sassafrastray.MetadataStore) *VM {
	t.Helper()
	list, regions := newFleet(1)
	v, err := New(Options{VM: list[0], Region: "r0", Regions: regions}, store, sassafrastray.SystemClock{}, sassafrastray.SystemClock{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	startLoops(v)
	t.Cleanup(func() {
		v.stop()
		v.loops.Wait()
	})
	return v
}

// startLoops starts a VM's control goroutine and followers of the store.
func startLoops(v *VM) {
	v.loops.Add(1 + len(replica.Topics))
	go v.control()
	for _, topic := range replica.Topics {
		go v.followTopic(topic)
	}
}

// TestLeaderConfirmsTheConfiguration checks that the VM that leads knows all the time that
// there is no later configuration, though the store has no changes to report.
func TestLeaderConfirmsTheConfiguration(t *testing.T) {
	v := startFollowing(t, quietStore{newRecordingStore(0)})
	time.Sleep(2 * time.Second)
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		if age := v.confirmation.age(); age > leaderWait+500*time.Millisecond {
			t.Fatalf("the configuration was last confirmed %v ago", age)
		}
	}
}

// TestAllTopicsAreReadWhenTheStoreIsBack guards against a VM that hears late of servers that
// leave: the store answers for one topic, and the others wait for the end of their pauses.
func TestAllTopicsAreReadWhenTheStoreIsBack(t *testing.T) {
	const atOnce = 150 * time.Millisecond
	s := &refusingStore{served: make(map[sassafrastray.Topic]time.Time)}
	startFollowing(t, s)
	// By then the pauses between calls have grown to their maximum.
	time.Sleep(3 * time.Second)
	s.mu.Lock()
	s.serves = true
	s.mu.Unlock()
	time.Sleep(2 * maxBackoff)
	s.mu.Lock()
	defer s.mu.Unlock()
	var first, last time.Time
	delete(s.served, sassafrastray.TopicVMs)
	for _, at := range s.served {
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	if len(s.served) != len(replica.Topics) || last.Sub(first) > atOnce {
		t.Errorf("%d of %d topics were read within %v of the first", len(s.served), len(replica.Topics), last.Sub(first))
	}
}

package publish

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"sassafrastray"
	"sassafrastray/internal/operator/config"
)

// TestMain runs more cases than rapid's default, because schedules in which a paused
// deletion hits a chunk that is needed again are rare.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "300"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// content returns one of a few configurations, which share chunks.
func content(variant int) *sassafrastray.Config {
	return &sassafrastray.Config{
		Fleet: sassafrastray.Fleet{
			DNSDomain: fmt.Sprintf("d%d.example", variant%2),
			Regions:   []sassafrastray.Region{{Name: sassafrastray.RegionName(fmt.Sprintf("r%d", 0))}},
		},
		Services: []sassafrastray.Service{{Name: sassafrastray.ServiceName(fmt.Sprintf("s%d", variant/2))}},
	}
}

// attempt is a publish and its result.
type attempt struct {
	id      string
	variant int
	result  Result
	err     error
}

// run publishes the variant. The publisher gives up when it has to sleep more than
// maxSleeps times.
func (a *attempt) run(store sassafrastray.Store, inline, maxSleeps int, seed uint64) {
	sleep := func(context.Context, time.Duration) error {
		if maxSleeps--; maxSleeps < 0 {
			return context.DeadlineExceeded
		}
		return nil
	}
	p := New(store, sleep, rand.New(rand.NewPCG(seed, 0)), a.id)
	p.maxInlineSize, p.retainedHeads = inline, 1
	base, err := p.Base(context.Background())
	if err != nil {
		a.err = err
		return
	}
	a.result, a.err = p.Put(context.Background(), base, content(a.variant))
}

// runInterleaved runs publishers concurrently until all have ended, one store call at
// a time. Rapid draws which publisher continues and for how many calls, so that others
// may finish while one is paused between two calls.
func runInterleaved(t *rapid.T, f *fakeStore, attempts []*attempt, inline int) {
	pending, ended := make(chan pendingCall), make(chan int)
	waiting := map[int]pendingCall{}
	next := func() {
		select {
		case w := <-pending:
			waiting[w.publisher] = w
		case <-ended:
		}
	}
	for i, a := range attempts {
		maxSleeps := rapid.IntRange(0, 12).Draw(t, "patience")
		go func() {
			a.run(&client{f, i, pending}, inline, maxSleeps, uint64(i))
			ended <- i
		}()
		next()
	}
	for len(waiting) > 0 {
		who := rapid.SampledFrom(slices.Sorted(maps.Keys(waiting))).Draw(t, "who")
		calls := rapid.IntRange(1, 20).Draw(t, "calls")
		for w, ok := waiting[who]; ok && calls > 0; w, ok = waiting[who] {
			calls--
			if len(f.delayedWrites) > 0 && rapid.Bool().Draw(t, "arrives") {
				f.delayedWrites[0]()
				f.delayedWrites = f.delayedWrites[1:]
			}
			fault := noFault
			if rapid.IntRange(0, 7).Draw(t, "faulty") == 1 {
				fault = rapid.Map(rapid.IntRange(1, int(faultCount)-1), toFault).Draw(t, "fault")
			}
			delete(waiting, who)
			w.fault <- fault
			// Wait for the publisher's next call or end before continuing.
			next()
			if f.changed {
				checkHeads(t, f)
				f.changed = false
			}
		}
	}
}

func toFault(i int) fault { return fault(i) }

// checkHeads fails if a number is skipped or published twice, or if the head in
// force can't be assembled.
func checkHeads(t *rapid.T, f *fakeStore) {
	for i, h := range f.heads {
		if h.Number != int64(i+1) {
			t.Fatalf("head %d has number %d", i+1, h.Number)
		}
	}
	if len(f.heads) == 0 {
		return
	}
	h := f.heads[len(f.heads)-1]
	_, err := config.Assemble(h, func(d config.Digest) ([]byte, error) {
		o, ok := f.objects[d.Key()]
		if !ok {
			return nil, sassafrastray.ErrNotFound
		}
		return o.Value, nil
	})
	if err != nil {
		t.Fatalf("the head in force: %v", err)
	}
}

// checkResult fails if a publisher's result contradicts the heads that were written.
func checkResult(t *rapid.T, f *fakeStore, a *attempt) {
	var published []int64
	for _, h := range f.heads {
		if h.Publish == a.id {
			published = append(published, h.Number)
		}
	}
	v := a.result
	switch {
	case len(published) > 1:
		t.Fatalf("%s published the numbers %v", a.id, published)
	case a.err != nil || v.Outcome == Refused || v.Outcome == Conflict || v.Outcome == Unchanged:
		if len(published) > 0 {
			t.Fatalf("%s published %d, but its result is %+v, %v", a.id, published[0], v, a.err)
		}
	case v.Outcome == Published:
		if len(published) != 1 || published[0] != v.Number {
			t.Fatalf("%s published %v, but its result is %+v", a.id, published, v)
		}
	case v.Outcome != Unknown:
		t.Fatalf("%s has the unexpected result %+v", a.id, v)
	}
	if v.Outcome == Conflict && v.WonBy != "" && f.heads[v.Number-1].Publish != v.WonBy {
		t.Fatalf("%s was told that %s published %d", a.id, v.WonBy, v.Number)
	}
	if v.Outcome == Unchanged && f.heads[v.Number-1].Digest != digestOf(v, a) {
		t.Fatalf("%s was told that %d has its content", a.id, v.Number)
	}
}

func digestOf(v Result, a *attempt) config.Digest {
	c := content(a.variant)
	c.Number, c.PublishID = v.Number, v.Publish
	return config.Sum(c)
}

// TestConcurrentPublishes runs concurrent publishes while calls to the store fail, get
// lost, lose their answer or take effect late.
func TestConcurrentPublishes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeStore{objects: map[string]sassafrastray.Object{}}
		inline := rapid.SampledFrom([]int{0, 0, config.MaxInlineSize}).Draw(t, "inline")
		var attempts []*attempt
		for i := range rapid.IntRange(1, 12).Draw(t, "publishes") {
			v := rapid.IntRange(0, 3).Draw(t, "variant")
			attempts = append(attempts, &attempt{id: fmt.Sprintf("operator/%d", i), variant: v})
		}
		runInterleaved(t, f, attempts, inline)
		for _, do := range f.delayedWrites {
			do()
		}
		checkHeads(t, f)
		for _, a := range attempts {
			checkResult(t, f, a)
		}
		checkRetiredDeleted(t, f, inline)
	})
}

// checkRetiredDeleted fails if chunks that no head refers to are still in the store
// after further publishes have succeeded.
func checkRetiredDeleted(t *rapid.T, f *fakeStore, inline int) {
	for i := range 6 {
		a := &attempt{id: fmt.Sprintf("quiet/%d", i), variant: i % 2}
		a.run(&client{store: f}, inline, 0, 0)
		if a.err != nil || a.result.Outcome != Published && a.result.Outcome != Unchanged {
			t.Fatalf("without faults: %+v, %v", a.result, a.err)
		}
	}
	h := f.heads[len(f.heads)-1]
	for key := range f.objects {
		d, ok := strings.CutPrefix(key, config.ChunkPrefix)
		if !ok || slices.Contains(h.Chunks, config.Digest(d)) {
			continue
		}
		if !slices.ContainsFunc(h.Retired, func(r config.RetiredChunk) bool {
			return string(r.Chunk) == d && r.Number == h.Number
		}) {
			t.Fatalf("chunk %s stays though nothing refers to it", d)
		}
	}
}

// TestLostAnswerBeforeLaterPublishes checks the result of a publisher that gets no
// answer to its write and then finds later publishes after its own.
func TestLostAnswerBeforeLaterPublishes(t *testing.T) {
	for later, want := range map[int]Outcome{
		0: Published, 1: Published, config.MaxHistory: Published, config.MaxHistory + 1: Unknown,
	} {
		f := &fakeStore{objects: map[string]sassafrastray.Object{}}
		store := &lostAnswerClient{client: &client{store: f}, others: later}
		a := &attempt{id: "first/1", variant: 0}
		a.run(store, config.MaxInlineSize, 9, 1)
		if a.err != nil || a.result.Outcome != want {
			t.Errorf("after %d later publishes: %+v, %v; want %s", later, a.result, a.err, want)
		}
	}
}

// lostAnswerClient loses the answer to its first successful write, after which others
// publish.
type lostAnswerClient struct {
	*client
	others int
	lost   bool
}

func (c *lostAnswerClient) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	v, err := c.client.Put(ctx, key, value, version)
	if c.lost || err != nil {
		return v, err
	}
	c.lost = true
	for i := range c.others {
		a := &attempt{id: fmt.Sprintf("other/%d", i), variant: 1 + i%2}
		a.run(c.client, config.MaxInlineSize, 0, 0)
		if a.result.Outcome != Published {
			panic("another publisher failed")
		}
	}
	return 0, sassafrastray.ErrUnknown
}

// TestRepair checks that a configuration in force with missing or damaged chunks is
// reported, and can be replaced by a new publish.
func TestRepair(t *testing.T) {
	for _, value := range [][]byte{nil, []byte("damaged")} {
		f := &fakeStore{objects: map[string]sassafrastray.Object{}}
		first := &attempt{id: "nok/1", variant: 0}
		first.run(&client{store: f}, 0, 0, 0)
		for _, d := range f.heads[0].Chunks {
			if value == nil {
				delete(f.objects, d.Key())
			} else {
				f.objects[d.Key()] = sassafrastray.Object{Key: d.Key(), Version: 99, Value: value}
			}
		}
		second := &attempt{id: "lek/1", variant: 0}
		second.run(&client{store: f}, 0, 0, 0)
		if !errors.Is(second.err, ErrUnreadable) || len(f.heads) != 1 {
			t.Fatalf("%+v, %v", second.result, second.err)
		}
		p := New(&client{store: f}, nil, rand.New(rand.NewPCG(0, 0)), "lek/2")
		p.maxInlineSize = 0
		base, err := p.Base(context.Background())
		if !errors.Is(err, ErrUnreadable) {
			t.Fatal(err)
		}
		v, err := p.Put(context.Background(), base, content(0))
		if err != nil || v.Outcome != Published || v.Number != 2 {
			t.Fatalf("%+v, %v", v, err)
		}
		if base, err = p.Base(context.Background()); err != nil || base.Config.Number != 2 {
			t.Fatalf("after the repair: %v", err)
		}
	}
}

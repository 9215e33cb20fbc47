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

// TestMain runs more cases than rapid's default: the schedules in which a
// paused deletion meets a chunk that is needed again are rare.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "300"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// content returns one of a few configurations, so that their chunks recur.
func content(variant int) *sassafrastray.Config {
	return &sassafrastray.Config{
		Fleet: sassafrastray.Fleet{
			Domain:  fmt.Sprintf("d%d.example", variant%2),
			Regions: []sassafrastray.Region{{Name: sassafrastray.RegionName(fmt.Sprintf("r%d", 0))}},
		},
		Services: []sassafrastray.Service{{Name: sassafrastray.ServiceName(fmt.Sprintf("s%d", variant/2))}},
	}
}

// attempt is one publish and what it was told.
type attempt struct {
	id      string
	variant int
	verdict Verdict
	err     error
}

// run publishes a variant with a limited patience.
func (a *attempt) run(store sassafrastray.Store, inline, patience int, seed uint64) {
	sleep := func(context.Context, time.Duration) error {
		if patience--; patience < 0 {
			return context.DeadlineExceeded
		}
		return nil
	}
	p := New(store, sleep, rand.New(rand.NewPCG(seed, 0)), a.id)
	p.inline, p.keep = inline, 1
	base, err := p.Base(context.Background())
	if err != nil {
		a.err = err
		return
	}
	a.verdict, a.err = p.Put(context.Background(), base, content(a.variant))
}

// race lets publishers run until all have ended, one store call at a time.
// Rapid draws who goes on and for how many calls, so that one may end, and
// others after it, while a third is paused between two calls.
func race(t *rapid.T, f *fake, attempts []*attempt, inline int) {
	turns, ended := make(chan turn), make(chan int)
	waiting := map[int]turn{}
	next := func() {
		select {
		case w := <-turns:
			waiting[w.who] = w
		case <-ended:
		}
	}
	for i, a := range attempts {
		patience := rapid.IntRange(0, 12).Draw(t, "patience")
		go func() {
			a.run(&access{f, i, turns}, inline, patience, uint64(i))
			ended <- i
		}()
		next()
	}
	for len(waiting) > 0 {
		who := rapid.SampledFrom(slices.Sorted(maps.Keys(waiting))).Draw(t, "who")
		calls := rapid.IntRange(1, 20).Draw(t, "calls")
		for w, ok := waiting[who]; ok && calls > 0; w, ok = waiting[who] {
			calls--
			if len(f.later) > 0 && rapid.Bool().Draw(t, "arrives") {
				f.later[0]()
				f.later = f.later[1:]
			}
			fault := none
			if rapid.IntRange(0, 7).Draw(t, "faulty") == 1 {
				fault = rapid.Map(rapid.IntRange(1, int(faults)-1), toFault).Draw(t, "fault")
			}
			delete(waiting, who)
			w.answer <- fault
			// The publisher's next turn or end comes before anything else.
			next()
			if f.changed {
				checkHeads(t, f)
				f.changed = false
			}
		}
	}
}

func toFault(i int) fault { return fault(i) }

// checkHeads fails if a number is skipped or made twice, or if the head in
// force can't be assembled.
func checkHeads(t *rapid.T, f *fake) {
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

// checkVerdict fails if a publisher was told something that is not true.
func checkVerdict(t *rapid.T, f *fake, a *attempt) {
	var made []int64
	for _, h := range f.heads {
		if h.Publish == a.id {
			made = append(made, h.Number)
		}
	}
	v := a.verdict
	switch {
	case len(made) > 1:
		t.Fatalf("%s made the numbers %v", a.id, made)
	case a.err != nil || v.Outcome == Refused || v.Outcome == Lost || v.Outcome == Unchanged:
		if len(made) > 0 {
			t.Fatalf("%s made %d and was told %+v, %v", a.id, made[0], v, a.err)
		}
	case v.Outcome == Published:
		if len(made) != 1 || made[0] != v.Number {
			t.Fatalf("%s made %v and was told %+v", a.id, made, v)
		}
	case v.Outcome != Unknown:
		t.Fatalf("%s was told %+v", a.id, v)
	}
	if v.Outcome == Lost && v.By != "" && f.heads[v.Number-1].Publish != v.By {
		t.Fatalf("%s was told that %s made %d", a.id, v.By, v.Number)
	}
	if v.Outcome == Unchanged && f.heads[v.Number-1].Digest != digestOf(v, a) {
		t.Fatalf("%s was told that %d has its content", a.id, v.Number)
	}
}

func digestOf(v Verdict, a *attempt) config.Digest {
	c := content(a.variant)
	c.Number, c.Publish = v.Number, v.Publish
	return config.Sum(c)
}

// TestRace lets operators race through outages and lost and late answers.
func TestRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fake{objects: map[string]sassafrastray.Object{}}
		inline := rapid.SampledFrom([]int{0, 0, config.MaxInlineSize}).Draw(t, "inline")
		var attempts []*attempt
		for i := range rapid.IntRange(1, 12).Draw(t, "publishes") {
			v := rapid.IntRange(0, 3).Draw(t, "variant")
			attempts = append(attempts, &attempt{id: fmt.Sprintf("operator/%d", i), variant: v})
		}
		race(t, f, attempts, inline)
		for _, do := range f.later {
			do()
		}
		checkHeads(t, f)
		for _, a := range attempts {
			checkVerdict(t, f, a)
		}
		checkCollected(t, f, inline)
	})
}

// checkCollected fails if chunks that nothing refers to stay in the store once
// publishes succeed.
func checkCollected(t *rapid.T, f *fake, inline int) {
	for i := range 6 {
		a := &attempt{id: fmt.Sprintf("quiet/%d", i), variant: i % 2}
		a.run(&access{fake: f}, inline, 0, 0)
		if a.err != nil || a.verdict.Outcome != Published && a.verdict.Outcome != Unchanged {
			t.Fatalf("without faults: %+v, %v", a.verdict, a.err)
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

// TestAnswerLostBeforeOthers has a publisher whose answer was lost, and who
// finds later publishes above its own.
func TestAnswerLostBeforeOthers(t *testing.T) {
	for later, want := range map[int]Outcome{
		0: Published, 1: Published, config.MaxHistory: Published, config.MaxHistory + 1: Unknown,
	} {
		f := &fake{objects: map[string]sassafrastray.Object{}}
		hooked := &hook{access: &access{fake: f}, others: later}
		a := &attempt{id: "first/1", variant: 0}
		a.run(hooked, config.MaxInlineSize, 9, 1)
		if a.err != nil || a.verdict.Outcome != want {
			t.Errorf("after %d later publishes: %+v, %v; want %s", later, a.verdict, a.err, want)
		}
	}
}

// hook loses the answer to its first write and then lets others publish.
type hook struct {
	*access
	others int
	lost   bool
}

func (h *hook) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	v, err := h.access.Put(ctx, key, value, version)
	if h.lost || err != nil {
		return v, err
	}
	h.lost = true
	for i := range h.others {
		a := &attempt{id: fmt.Sprintf("other/%d", i), variant: 1 + i%2}
		a.run(h.access, config.MaxInlineSize, 0, 0)
		if a.verdict.Outcome != Published {
			panic("another publisher failed")
		}
	}
	return 0, sassafrastray.ErrUnknown
}

// TestRepair loses or damages a chunk of the configuration in force, and
// publishes over it.
func TestRepair(t *testing.T) {
	for _, value := range [][]byte{nil, []byte("damaged")} {
		f := &fake{objects: map[string]sassafrastray.Object{}}
		first := &attempt{id: "nok/1", variant: 0}
		first.run(&access{fake: f}, 0, 0, 0)
		for _, d := range f.heads[0].Chunks {
			if value == nil {
				delete(f.objects, d.Key())
			} else {
				f.objects[d.Key()] = sassafrastray.Object{Key: d.Key(), Version: 99, Value: value}
			}
		}
		second := &attempt{id: "lek/1", variant: 0}
		second.run(&access{fake: f}, 0, 0, 0)
		if !errors.Is(second.err, ErrBroken) || len(f.heads) != 1 {
			t.Fatalf("%+v, %v", second.verdict, second.err)
		}
		p := New(&access{fake: f}, nil, rand.New(rand.NewPCG(0, 0)), "lek/2")
		p.inline = 0
		base, err := p.Base(context.Background())
		if !errors.Is(err, ErrBroken) {
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

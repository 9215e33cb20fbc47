package publish

import (
	"context"
	"slices"
	"strings"
	"time"

	"sassafrastray"
	"sassafrastray/internal/operator/config"
)

// Faults of one call to the fake store.
const (
	none     fault = iota
	outage         // not taken, and the caller is told so
	lostCall       // not taken, and the caller does not know
	lostTake       // taken, and the caller does not know
	late           // taken after other calls, and the caller does not know
	faults
)

type (
	fault int

	// fake is an object store in memory. It is used by one goroutine at a
	// time, which the race's schedule picks.
	fake struct {
		objects  map[string]sassafrastray.Object
		revision int64
		// heads are all heads that were written, in order.
		heads []config.Head
		// later are writes that take effect at some time to come.
		later []func()
		// changed is set by each write of the head and each deletion.
		changed bool
	}

	// turn is the point at which a publisher waits for the schedule. The
	// schedule answers with a fault.
	turn struct {
		who    int
		answer chan fault
	}

	// access is one publisher's way to the fake store. Without turns there is
	// no schedule and there are no faults.
	access struct {
		fake  *fake
		who   int
		turns chan turn
	}
)

func (f *fake) put(key string, value []byte, version int64) (int64, error) {
	if f.objects[key].Version != version {
		return 0, sassafrastray.ErrConflict
	}
	f.revision++
	f.objects[key] = sassafrastray.Object{Key: key, Version: f.revision, Value: value}
	if key == config.HeadKey {
		h, err := config.ParseHead(value)
		if err != nil {
			panic(err)
		}
		f.heads = append(f.heads, h)
		f.changed = true
	}
	return f.revision, nil
}

func (f *fake) remove(key string, version int64) error {
	o, ok := f.objects[key]
	if !ok {
		return sassafrastray.ErrNotFound
	}
	if o.Version != version {
		return sassafrastray.ErrConflict
	}
	delete(f.objects, key)
	f.changed = true
	return nil
}

func (a *access) wait() fault {
	if a.turns == nil {
		return none
	}
	t := turn{a.who, make(chan fault)}
	a.turns <- t
	return <-t.answer
}

// write runs a write under the fault that the schedule picks.
func (a *access) write(do func() error) error {
	switch a.wait() {
	case outage:
		return sassafrastray.ErrUnavailable
	case lostCall:
		return sassafrastray.ErrUnknown
	case lostTake:
		_ = do()
		return sassafrastray.ErrUnknown
	case late:
		a.fake.later = append(a.fake.later, func() { _ = do() })
		return sassafrastray.ErrUnknown
	}
	return do()
}

func (a *access) Put(_ context.Context, key string, value []byte, version int64) (v int64, err error) {
	err = a.write(func() error {
		var err error
		v, err = a.fake.put(key, value, version)
		return err
	})
	return v, err
}

func (a *access) Delete(_ context.Context, key string, version int64) error {
	return a.write(func() error { return a.fake.remove(key, version) })
}

func (a *access) Get(_ context.Context, key string) (sassafrastray.Object, error) {
	if a.wait() != none {
		return sassafrastray.Object{}, sassafrastray.ErrUnavailable
	}
	o, ok := a.fake.objects[key]
	if !ok {
		return o, sassafrastray.ErrNotFound
	}
	return o, nil
}

func (a *access) List(_ context.Context, prefix string) ([]sassafrastray.Object, error) {
	if a.wait() != none {
		return nil, sassafrastray.ErrUnavailable
	}
	var out []sassafrastray.Object
	for key, o := range a.fake.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b sassafrastray.Object) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

func (*access) Watch(context.Context, string, int64, time.Duration) ([]sassafrastray.Object, int64, error) {
	panic("a publisher watches nothing")
}

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
	noFault      fault = iota
	unavailable        // not executed, and the caller gets an error that says so
	requestLost        // not executed, and the caller can't tell
	responseLost       // executed, and the caller can't tell
	writeDelayed       // executed after later calls, and the caller can't tell
	faultCount
)

type (
	fault int

	// fakeStore is an object store in memory. It is used by one goroutine at a
	// time, which runInterleaved selects.
	fakeStore struct {
		objects  map[string]sassafrastray.Object
		revision int64
		// heads holds all heads that were written, in order.
		heads []config.Head
		// delayedWrites holds writes that take effect later.
		delayedWrites []func()
		// changed is set by a write of the head and by a deletion.
		changed bool
	}

	// pendingCall is a store call that waits until runInterleaved lets it
	// continue, with the fault that it sends.
	pendingCall struct {
		publisher int
		fault     chan fault
	}

	// client is a publisher's connection to the fake store. If pending is nil,
	// calls do not wait and have no faults.
	client struct {
		store     *fakeStore
		publisher int
		pending   chan pendingCall
	}
)

func (f *fakeStore) put(key string, value []byte, version int64) (int64, error) {
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

func (f *fakeStore) remove(key string, version int64) error {
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

func (c *client) nextFault() fault {
	if c.pending == nil {
		return noFault
	}
	call := pendingCall{c.publisher, make(chan fault)}
	c.pending <- call
	return <-call.fault
}

// write executes a write with the fault that it is given.
func (c *client) write(do func() error) error {
	switch c.nextFault() {
	case unavailable:
		return sassafrastray.ErrUnavailable
	case requestLost:
		return sassafrastray.ErrUnknown
	case responseLost:
		_ = do()
		return sassafrastray.ErrUnknown
	case writeDelayed:
		c.store.delayedWrites = append(c.store.delayedWrites, func() { _ = do() })
		return sassafrastray.ErrUnknown
	}
	return do()
}

func (c *client) Put(_ context.Context, key string, value []byte, version int64) (v int64, err error) {
	err = c.write(func() error {
		var err error
		v, err = c.store.put(key, value, version)
		return err
	})
	return v, err
}

func (c *client) Delete(_ context.Context, key string, version int64) error {
	return c.write(func() error { return c.store.remove(key, version) })
}

func (c *client) Get(_ context.Context, key string) (sassafrastray.Object, error) {
	if c.nextFault() != noFault {
		return sassafrastray.Object{}, sassafrastray.ErrUnavailable
	}
	o, ok := c.store.objects[key]
	if !ok {
		return o, sassafrastray.ErrNotFound
	}
	return o, nil
}

func (c *client) List(_ context.Context, prefix string) ([]sassafrastray.Object, error) {
	if c.nextFault() != noFault {
		return nil, sassafrastray.ErrUnavailable
	}
	var out []sassafrastray.Object
	for key, o := range c.store.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b sassafrastray.Object) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

func (*client) Watch(context.Context, string, int64, time.Duration) ([]sassafrastray.Object, int64, error) {
	panic("a publisher must not call Watch")
}

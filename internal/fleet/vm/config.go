package vm

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/operator/apikey"
	"sassafrastray/internal/operator/config"
	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/traffic/lookup"
	"sassafrastray/internal/traffic/route"
)

const (
	// watchWait is how long the store holds a watch without news. The end of
	// each wait confirms that the configuration is the newest.
	watchWait = 3 * time.Second

	// kept is how many configurations a VM remembers, to make differences
	// for VMs that are a few behind.
	kept = 4

	// manyBlocks is the number of blocks above which a VM remembers only one
	// earlier configuration, since each takes megabytes.
	manyBlocks = 20_000

	// wholeInline is the size in bytes up to which a whole configuration
	// travels uncompressed.
	wholeInline = 64 << 10

	backoffLeast = 100 * time.Millisecond
	backoffMost  = 5 * time.Second
)

type (
	// configuration is what the VM knows of the operators' configuration.
	configuration struct {
		current *sassafrastray.Config
		// past are the configurations before current, the newest last.
		past []*sassafrastray.Config
		// confirmed is when current was last known to be the newest.
		confirmed time.Time
		routes    *route.Table
		keys      *apikey.Table
		table     *lookup.Table
		// encoded are the transfers of current that were asked for, by what
		// the asker had.
		encoded *transfers
	}

	// transfers remembers encoded configurations, because the VMs of a
	// failure domain ask for the same ones.
	transfers struct {
		mu  sync.Mutex
		all map[config.Stamp][]byte
	}

	// transfer is a configuration on its way to another VM: as a difference
	// if the other has one of the sender's past ones, or else whole.
	transfer struct {
		Difference *config.Difference       `json:"difference,omitempty"`
		Head       *config.Head             `json:"head,omitempty"`
		Chunks     map[config.Digest][]byte `json:"chunks,omitempty"`
	}
)

// watchConfig follows the head in the store until the VM stops.
func (v *VM) watchConfig() {
	v.follow(config.HeadKey, func(objects []sassafrastray.Object, asked time.Time) bool {
		for _, o := range objects {
			if !v.fetch(o) {
				return false
			}
		}
		if len(objects) == 0 {
			// The store had nothing newer when it began to wait, at least.
			v.post(func(time.Time) { v.confirm(asked) })
		}
		return true
	})
}

// follow watches the objects below a prefix until the VM stops, and hands
// their changes to take, again if that fails. Only the watchers of a failure
// domain watch; the others look now and then whether they have become one.
func (v *VM) follow(prefix string, take func(objects []sassafrastray.Object, asked time.Time) bool) {
	defer v.loops.Done()
	after, wait := int64(0), backoffLeast
	for v.ctx.Err() == nil {
		if !v.watching() {
			v.rest(watchWait)
			continue
		}
		asked := v.clock.Now()
		objects, revision, err := v.watch(prefix, after)
		v.metrics.store.WithLabelValues("watch", sassafrastray.Outcome(err)).Inc()
		if err != nil || !take(objects, asked) {
			v.rest(wait)
			wait = min(2*wait, backoffMost)
			continue
		}
		after, wait = revision, backoffLeast
	}
}

func (v *VM) watch(prefix string, after int64) ([]sassafrastray.Object, int64, error) {
	ctx, cancel := context.WithTimeout(v.ctx, watchWait+storeTimeout)
	defer cancel()
	return v.platform.Watch(ctx, prefix, after, watchWait)
}

// watching asks the control goroutine whether this VM is one of its failure
// domain's watchers.
func (v *VM) watching() bool {
	answer := make(chan bool, 1)
	if !v.post(func(now time.Time) { answer <- v.members.Rank(now) < member.Watchers }) {
		return false
	}
	select {
	case w := <-answer:
		return w
	case <-v.ctx.Done():
		return false
	}
}

// rest waits for a random time between d/2 and d, so that VMs which lost the
// store together don't come back together.
func (v *VM) rest(d time.Duration) {
	t := time.NewTimer(jitter(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-v.ctx.Done():
	}
}

// fetch assembles the configuration of a head and hands it to the control
// goroutine.
func (v *VM) fetch(o sassafrastray.Object) bool {
	if o.Deleted {
		v.log.Error("the configuration's head was deleted; the VM keeps its own", "key", o.Key)
		return true
	}
	h, err := config.ParseHead(o.Value)
	if err != nil {
		v.log.Error("unreadable head of the configuration; the VM keeps its own", "error", err)
		return true
	}
	c, err := v.assemble(h)
	if err != nil {
		v.log.Warn("configuration not assembled", "number", h.Number, "error", err)
		return false
	}
	asked := v.clock.Now()
	return v.post(func(now time.Time) {
		v.adopt(c, "store", now)
		v.confirm(asked)
	})
}

// assemble reads the chunks that the configuration in force lacks.
func (v *VM) assemble(h config.Head) (*sassafrastray.Config, error) {
	read := func(d config.Digest) ([]byte, error) {
		ctx, cancel := context.WithTimeout(v.ctx, storeTimeout)
		defer cancel()
		o, err := v.platform.Get(ctx, d.Key())
		v.metrics.store.WithLabelValues("get", sassafrastray.Outcome(err)).Inc()
		return o.Value, err
	}
	if old := v.handler.Config(); old != nil {
		return config.Update(old, h, read)
	}
	return config.Assemble(h, read)
}

// confirm notes that the configuration was the newest at the given time.
func (v *VM) confirm(at time.Time) {
	if v.conf.current != nil && at.After(v.conf.confirmed) {
		v.conf.confirmed = at
	}
}

// adopt puts a configuration in force, if it is newer than the one in force.
func (v *VM) adopt(c *sassafrastray.Config, source string, now time.Time) {
	old := v.conf.current
	if old != nil {
		if c.Number <= old.Number {
			return
		}
		v.conf.past = append(v.conf.past, old)
		keep := kept
		if len(c.Fleet.Blocks) > manyBlocks {
			keep = 1
		}
		v.conf.past = slices.Clone(v.conf.past[max(0, len(v.conf.past)-keep):])
	}
	v.conf.current, v.conf.encoded = c, &transfers{all: make(map[config.Stamp][]byte)}
	v.conf.routes, v.conf.keys = route.New(c), apikey.NewTable(c)
	v.conf.table = tableFor(old, c, v.conf.table)
	v.metrics.config.Set(float64(c.Number))
	v.news = extraRounds
	v.log.Info(message.ConfigApplied, "number", c.Number, "publish", c.PublishID, "source", source)
	v.configure(now)
}

// Config returns the configuration for a VM that has the given stamp, or
// false if it is not behind.
func (v *VM) Config(have config.Stamp) ([]byte, bool) {
	answer := make(chan configuration, 1)
	if !v.post(func(time.Time) { answer <- v.conf }) {
		return nil, false
	}
	select {
	case c := <-answer:
		return c.transfer(have)
	case <-v.ctx.Done():
		return nil, false
	}
}

// transfer encodes the configuration. It runs outside the control goroutine,
// because a large one takes a while.
func (c configuration) transfer(have config.Stamp) ([]byte, bool) {
	if c.current == nil || c.current.Number <= have.Number {
		return nil, false
	}
	c.encoded.mu.Lock()
	defer c.encoded.mu.Unlock()
	if b := c.encoded.all[have]; b != nil {
		return b, true
	}
	t, err := c.build(have)
	if err != nil {
		return nil, false
	}
	b, err := json.Marshal(t)
	if err != nil {
		panic("vm: a configuration can't be encoded: " + err.Error())
	}
	c.encoded.all[have] = b
	return b, true
}

func (c configuration) build(have config.Stamp) (*transfer, error) {
	for _, p := range c.past {
		if p.Number == have.Number && config.StampOf(p) == have {
			d := config.Diff(p, c.current)
			return &transfer{Difference: &d}, nil
		}
	}
	h, chunks, err := config.Split(c.current, wholeInline)
	return &transfer{Head: &h, Chunks: chunks}, err
}

// pull asks another VM for its newer configuration.
func (v *VM) pull(from sassafrastray.VM) {
	if v.pulling {
		return
	}
	base := v.conf.current
	v.pulling = v.spawn(func() {
		a, err := v.pulled(from, base)
		v.post(func(now time.Time) {
			v.pulling = false
			if err != nil {
				v.log.Warn("configuration not pulled", "from", from.Name, "error", err)
				return
			}
			if a != nil {
				v.adopt(a, string(from.Name), now)
			}
		})
	})
}

func (v *VM) pulled(from sassafrastray.VM, base *sassafrastray.Config) (*sassafrastray.Config, error) {
	var have config.Stamp
	if base != nil {
		have = config.StampOf(base)
	}
	b, err := v.client.Config(from, have, storeTimeout)
	if err != nil || b == nil {
		return nil, err
	}
	var t transfer
	if err := json.Unmarshal(b, &t); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	switch {
	case t.Difference != nil && base != nil:
		return config.Apply(base, *t.Difference)
	case t.Head != nil:
		return config.Assemble(*t.Head, func(d config.Digest) ([]byte, error) { return t.Chunks[d], nil })
	}
	return nil, errors.New("empty transfer")
}

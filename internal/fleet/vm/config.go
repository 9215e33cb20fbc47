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
	// watchWait is how long the store holds a watch without changes. A watch that
	// ends without changes confirms that the configuration is the newest.
	watchWait = 3 * time.Second

	// maxPastConfigs is how many earlier configurations a VM keeps, to send
	// differences to VMs that are a few versions behind.
	maxPastConfigs = 4

	// manyBlocks is the number of blocks above which a VM keeps only one
	// earlier configuration, since each takes megabytes.
	manyBlocks = 20_000

	// maxInlineSize is the size in bytes up to which a full configuration is
	// sent uncompressed.
	maxInlineSize = 64 << 10

	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

type (
	// configuration is the VM's state of the operators' configuration.
	configuration struct {
		current *sassafrastray.Config
		// past holds the configurations before current, the newest last.
		past []*sassafrastray.Config
		// confirmed is when current was last known to be the newest.
		confirmed time.Time
		routes    *route.Table
		keys      *apikey.Table
		blocks    *lookup.Table
		// encoded caches the transfers of current that were requested.
		encoded *transfers
	}

	// transfers caches encoded configurations by the stamp of the requester's
	// configuration, because the VMs of a failure domain request the same ones.
	transfers struct {
		mu      sync.Mutex
		byStamp map[config.Stamp][]byte
	}

	// transfer is a configuration as sent to another VM: a difference if the
	// other has one of the sender's past configurations, the full configuration
	// otherwise.
	transfer struct {
		Difference *config.Difference       `json:"difference,omitempty"`
		Head       *config.Head             `json:"head,omitempty"`
		Chunks     map[config.Digest][]byte `json:"chunks,omitempty"`
	}
)

// watchConfig watches the configuration's head in the store until the VM stops.
func (v *VM) watchConfig() {
	v.watchLoop(config.HeadKey, func(objects []sassafrastray.Object, requestedAt time.Time) bool {
		for _, o := range objects {
			if !v.handleHead(o) {
				return false
			}
		}
		if len(objects) == 0 {
			// Nothing newer was stored before the watch began, so the
			// configuration is confirmed as of then.
			v.post(func(time.Time) { v.confirm(requestedAt) })
		}
		return true
	})
}

// watchLoop watches the objects below a prefix until the VM stops and passes
// changes to handle. It delivers the same changes again if handle returns false.
// Only the watchers of a failure domain watch the store; the other VMs check at
// intervals whether they have become one.
func (v *VM) watchLoop(prefix string, handle func(objects []sassafrastray.Object, requestedAt time.Time) bool) {
	defer v.loops.Done()
	after, wait := int64(0), minBackoff
	for v.ctx.Err() == nil {
		if !v.isWatcher() {
			v.sleepJittered(watchWait)
			continue
		}
		requestedAt := v.clock.Now()
		objects, revision, err := v.watch(prefix, after)
		v.metrics.store.WithLabelValues("watch", sassafrastray.Outcome(err)).Inc()
		if err != nil || !handle(objects, requestedAt) {
			v.sleepJittered(wait)
			wait = min(2*wait, maxBackoff)
			continue
		}
		after, wait = revision, minBackoff
	}
}

func (v *VM) watch(prefix string, after int64) ([]sassafrastray.Object, int64, error) {
	ctx, cancel := context.WithTimeout(v.ctx, watchWait+storeTimeout)
	defer cancel()
	return v.platform.Watch(ctx, prefix, after, watchWait)
}

// isWatcher asks the control goroutine whether this VM is one of its failure
// domain's watchers.
func (v *VM) isWatcher() bool {
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

// sleepJittered waits for a random time between d/2 and d, so that VMs that
// lost the store at the same time don't all reconnect at once.
func (v *VM) sleepJittered(d time.Duration) {
	t := time.NewTimer(jitter(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-v.ctx.Done():
	}
}

// handleHead assembles the configuration of a head and passes it to the control
// goroutine. It returns false if it should be tried again.
func (v *VM) handleHead(o sassafrastray.Object) bool {
	if o.Deleted {
		v.log.Error("the configuration's head was deleted; keeping the configuration in force", "key", o.Key)
		return true
	}
	h, err := config.ParseHead(o.Value)
	if err != nil {
		v.log.Error("the configuration's head can't be decoded; keeping the configuration in force", "error", err)
		return true
	}
	c, err := v.assemble(h)
	if err != nil {
		v.log.Warn("assembling the configuration failed", "number", h.Number, "error", err)
		return false
	}
	requestedAt := v.clock.Now()
	return v.post(func(now time.Time) {
		v.adopt(c, "store", now)
		v.confirm(requestedAt)
	})
}

// assemble builds the configuration of a head. It reads only the chunks that
// the configuration in force lacks.
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

// confirm records that the configuration was the newest at the given time.
func (v *VM) confirm(at time.Time) {
	if v.conf.current != nil && at.After(v.conf.confirmed) {
		v.conf.confirmed = at
	}
}

// adopt puts a configuration in force if it is newer than the current one.
func (v *VM) adopt(c *sassafrastray.Config, source string, now time.Time) {
	old := v.conf.current
	if old != nil {
		if c.Number <= old.Number {
			return
		}
		v.conf.past = append(v.conf.past, old)
		maxPast := maxPastConfigs
		if len(c.Fleet.Blocks) > manyBlocks {
			maxPast = 1
		}
		v.conf.past = slices.Clone(v.conf.past[max(0, len(v.conf.past)-maxPast):])
	}
	v.conf.current, v.conf.encoded = c, &transfers{byStamp: make(map[config.Stamp][]byte)}
	v.conf.routes, v.conf.keys = route.New(c), apikey.NewTable(c)
	v.conf.blocks = blockTable(old, c, v.conf.blocks)
	v.metrics.config.Set(float64(c.Number))
	v.extraRoundsLeft = extraRounds
	v.log.Info(message.ConfigApplied, "number", c.Number, "publish", c.PublishID, "source", source)
	v.applyConfig(now)
}

// NewerConfig returns the configuration, encoded for a VM whose configuration
// has the given stamp, or false if that is not older.
func (v *VM) NewerConfig(have config.Stamp) ([]byte, bool) {
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
// because encoding a large one takes long.
func (c configuration) transfer(have config.Stamp) ([]byte, bool) {
	if c.current == nil || c.current.Number <= have.Number {
		return nil, false
	}
	c.encoded.mu.Lock()
	defer c.encoded.mu.Unlock()
	if b := c.encoded.byStamp[have]; b != nil {
		return b, true
	}
	t, err := c.newTransfer(have)
	if err != nil {
		return nil, false
	}
	b, err := json.Marshal(t)
	if err != nil {
		panic("vm: a configuration can't be encoded: " + err.Error())
	}
	c.encoded.byStamp[have] = b
	return b, true
}

func (c configuration) newTransfer(have config.Stamp) (*transfer, error) {
	for _, p := range c.past {
		if p.Number == have.Number && config.StampOf(p) == have {
			d := config.Diff(p, c.current)
			return &transfer{Difference: &d}, nil
		}
	}
	h, chunks, err := config.Split(c.current, maxInlineSize)
	return &transfer{Head: &h, Chunks: chunks}, err
}

// pull fetches the newer configuration of another VM and adopts it.
func (v *VM) pull(from sassafrastray.VM) {
	if v.pulling {
		return
	}
	base := v.conf.current
	v.pulling = v.spawn(func() {
		c, err := v.fetchConfig(from, base)
		v.post(func(now time.Time) {
			v.pulling = false
			if err != nil {
				v.log.Warn("fetching the configuration from another VM failed", "from", from.Name, "error", err)
				return
			}
			if c != nil {
				v.adopt(c, string(from.Name), now)
			}
		})
	})
}

func (v *VM) fetchConfig(from sassafrastray.VM, base *sassafrastray.Config) (*sassafrastray.Config, error) {
	var have config.Stamp
	if base != nil {
		have = config.StampOf(base)
	}
	b, err := v.client.FetchConfig(from, have, storeTimeout)
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
	return nil, errors.New("the transfer holds no configuration")
}

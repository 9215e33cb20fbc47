package edge

import (
	"math"
	"sync/atomic"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/gossip"
	"sassafrastray/internal/operator/message"
)

// confirmationInterval is the minimum interval between two heartbeats that ask for a
// confirmation of the configuration.
const confirmationInterval = 500 * time.Millisecond

// Ways on which a VM gets what is in the store.
const (
	wayStore  way = "store"
	wayUpdate way = "update"
	wayCopy   way = "copy"
	wayMemory way = "memory"
)

type (
	way string

	// origin is where a change of the replica came from. The peer is empty for the store.
	origin struct {
		way  way
		peer sassafrastray.VMName
	}

	// currency tells since when another VM is known to have a later configuration than
	// this one, which one, and which VM.
	currency struct {
		since  time.Time
		latest int64
		from   sassafrastray.VMName
	}

	// confirmation tells when the VM's configuration was last known to be the latest one in
	// the store. It is safe for concurrent use: requests read it also while the control
	// goroutine is late.
	confirmation struct {
		clock sassafrastray.Clock
		at    atomic.Pointer[time.Time]
	}
)

// confirm records that the configuration was the latest one at a time.
func (c *confirmation) confirm(at time.Time) {
	for {
		known := c.at.Load()
		if known != nil && !at.After(*known) || c.at.CompareAndSwap(known, &at) {
			return
		}
	}
}

// age returns how long ago the configuration was last known to be the latest one, or the
// longest duration if it never was.
func (c *confirmation) age() time.Duration {
	if at := c.at.Load(); at != nil {
		return c.clock.Now().Sub(*at)
	}
	return math.MaxInt64
}

// confirmConfig records what a heartbeat tells of the VM's own configuration: at the time of
// the sender's confirmation there was no later one than the sender's. Only an answer counts,
// and from when it was asked for: any other message may have waited for seconds on its way
// to a VM that is short of processor time.
func (v *VM) confirmConfig(h *gossip.Heartbeat) {
	if c := v.replica.Config(); h.Confirmed > 0 && !h.Asked.IsZero() && c != nil && h.Config <= c.Number {
		v.confirmation.confirm(h.Asked.Add(-h.Confirmed))
	}
}

// confirmingPeer returns a VM to send a heartbeat to, if the confirmation is getting old: the
// VM that leads, or in a large fleet a random one. The VM's rounds may leave out all others,
// since those send heartbeats to it.
func (v *VM) confirmingPeer(now time.Time) *sassafrastray.VM {
	if v.opt.Bounds.MaxApply == 0 || v.confirmation.age() < v.opt.Bounds.MaxApply/2 || !v.isDue("confirmation", confirmationInterval, now) {
		return nil
	}
	var peer *sassafrastray.VM
	n := 0
	for _, m := range v.members.View(now) {
		h := v.heartbeats[m.VM.Name]
		if h == nil || m.Suspect || !h.StoreReachable || !v.members.IsDirect(m.VM) {
			continue
		}
		if !v.members.Large() {
			return &m.VM
		}
		if n++; v.rng.IntN(n) == 0 {
			peer = &m.VM
		}
	}
	return peer
}

// behind returns how long another VM is known to have had a later configuration.
func (c *currency) behind(now time.Time) time.Duration {
	if c.since.IsZero() {
		return 0
	}
	return now.Sub(c.since)
}

// checkCurrency finds out whether another VM has a later configuration.
func (v *VM) checkCurrency(now time.Time) {
	own := int64(0)
	if c := v.replica.Config(); c != nil {
		own = c.Number
	}
	was := v.currency
	v.currency.latest = own
	for _, m := range v.members.View(now) {
		if h := v.heartbeats[m.VM.Name]; h != nil && !m.Suspect && h.Config > v.currency.latest {
			v.currency.latest, v.currency.from = h.Config, m.VM.Name
		}
	}
	heard := v.replica.HeardAt(sassafrastray.TopicConfig)
	switch {
	case v.currency.latest == own:
		v.currency.since = time.Time{}
	case was.since.IsZero():
		v.currency.since = now
	}
	if v.currency.latest > max(own, was.latest) {
		v.log.Warn(message.ConfigBehind, "config", own, "latest", v.currency.latest, "from", v.currency.from, "behind", v.currency.behind(now),
			"revision", v.replica.Position(sassafrastray.TopicConfig).Revision, "watching", v.watching.Load(), "copying", v.copying,
			"word", now.Sub(heard), "failing", v.replica.FailingFor(now))
	}
	v.handler.SetBehind(!v.currency.since.IsZero() || v.pendingSnapshot != nil)
	v.metrics.configBehind.Set(v.currency.behind(now).Seconds())
	v.metrics.configWordAge.Set(now.Sub(heard).Seconds())
	age := v.confirmation.age()
	v.metrics.configConfirmedAge.Set(age.Seconds())
	if unconfirmed := v.opt.Bounds.MaxApply > 0 && age > v.opt.Bounds.MaxApply; unconfirmed != v.unconfirmed {
		v.unconfirmed = unconfirmed
		text := message.ConfigConfirmed
		if unconfirmed {
			text = message.ConfigUnconfirmed
		}
		v.log.Warn(text, "config", own, "age", age, "word", now.Sub(heard), "watching", v.watching.Load(), "failing", v.replica.FailingFor(now))
	}
}

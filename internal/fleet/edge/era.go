package edge

import (
	"math/rand/v2"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/replica"
	"sassafrastray/internal/operator/message"
)

const (
	// registerSpread is the time over which the VMs register again after the store has
	// returned to an older copy, which may lack their entries.
	registerSpread = 2 * time.Second

	// recallInterval is the minimum interval between two requests for the memory of
	// another VM.
	recallInterval = 700 * time.Millisecond
)

// recall says whether this VM lacks what others know of the store's history: after its
// start, after the store has returned to an older copy, and if another VM has a later
// configuration than the store shows.
type recall struct {
	needed, asking bool
	// configSince is when another VM was first found to have a later configuration.
	configSince time.Time
}

// recordEra handles an era of the store that an answer named. If it is a later one, the
// topics are read again, and the VM registers again and asks another VM what the copy
// lacks.
func (v *VM) recordEra(at sassafrastray.Position, t sassafrastray.Topic) {
	was := v.era.Load()
	if at.Era <= was {
		return
	}
	v.era.Store(at.Era)
	v.metrics.era.Set(float64(at.Era))
	if was == 0 {
		return
	}
	v.log.Warn(message.StoreReturned, "topic", t, "era", at.Era, "was", was, "revision", at.Revision)
	v.cancelWatches(t)
	v.recall.needed = true
	v.loops.Add(1)
	go func() {
		v.sleep(rand.N(registerSpread))
		v.register()
	}()
}

// correctEra drops an era that only another VM has named: the store, asked after that, is
// in an earlier one.
func (v *VM) correctEra(at sassafrastray.Position, t sassafrastray.Topic, known int64) {
	if v.era.CompareAndSwap(known, at.Era) {
		v.log.Error("another VM named an era that the store has not reached", "era", known, "topic", t, "store", at.Era)
		v.metrics.era.Set(float64(at.Era))
	}
	v.replica.LimitEra(at.Era)
}

// recallMemory asks another VM what it knows and a copy of the store may lack, if this
// VM needs to.
func (v *VM) recallMemory(now time.Time) {
	from := v.configAhead(now)
	if !v.recall.needed && from == nil || v.recall.asking {
		return
	}
	if from == nil {
		from = v.rememberingPeer(now)
	}
	if from == nil || !v.isDue("recall", recallInterval, now) {
		return
	}
	config := int64(0)
	if c := v.replica.Config(); c != nil {
		config = c.Number
	}
	era := v.era.Load()
	v.recall.asking = v.spawn(func() {
		m, err := v.client.Memory(from.PeerAddress, config, copyTimeout)
		v.post(func(now time.Time) {
			v.recall.asking = false
			if err != nil {
				v.log.Warn("asking another VM what it remembers failed", "from", from.Name, "error", err.Error())
				return
			}
			if era == v.era.Load() {
				v.recall.needed = false
			}
			v.log.Info("memory of another VM", "from", from.Name, "era", m.Era, "departures", len(m.Departures), "rollouts", len(m.Rollouts), "config", m.Config != nil)
			v.applyChange(v.replica.Learn(m, now), origin{wayMemory, from.Name}, now)
		})
	})
}

// configAhead returns a VM that has had a later configuration for behindTolerance though
// its replica is not ahead, or nil. The store has returned to a copy without it, or did
// before this VM started.
func (v *VM) configAhead(now time.Time) *sassafrastray.VM {
	c := v.replica.Config()
	for _, m := range v.members.View(now) {
		h := v.heartbeats[m.VM.Name]
		if c == nil || h == nil || m.Suspect || h.Config <= c.Number || v.replica.RevisionsBehind(h.Era, h.Latest) > 0 {
			continue
		}
		if v.recall.configSince.IsZero() {
			v.recall.configSince = now
		}
		if now.Sub(v.recall.configSince) < behindTolerance {
			return nil
		}
		return &m.VM
	}
	v.recall.configSince = time.Time{}
	return nil
}

// rememberingPeer returns a random VM that is heard from, if possible one that has run
// for a while and reaches the store, or nil.
func (v *VM) rememberingPeer(now time.Time) *sassafrastray.VM {
	var best *sassafrastray.VM
	bestRank, n := -1, 0
	for _, m := range v.members.View(now) {
		h := v.heartbeats[m.VM.Name]
		if h == nil || m.Suspect {
			continue
		}
		rank := 0
		if !h.New {
			rank += 2
		}
		if h.StoreReachable {
			rank++
		}
		if rank > bestRank {
			bestRank, n = rank, 0
		}
		if rank < bestRank {
			continue
		}
		// Each VM of this rank is chosen with the same probability.
		if n++; v.rng.IntN(n) == 0 {
			best = &m.VM
		}
	}
	return best
}

// Memory returns what the VM knows and a copy of the store may lack.
func (v *VM) Memory(config int64) replica.Memory {
	return ask(v, func(now time.Time) replica.Memory { return v.replica.Memory(config, now) })
}

package vm

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/limit/bandwidth"
	"sassafrastray/internal/limit/place"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/traffic/entry"
)

// limits returns all limits that count over the whole fleet.
func limits(c *sassafrastray.Config) []quota.Limit {
	var ls []quota.Limit
	for _, s := range c.Services {
		for _, a := range s.Teams {
			ls = append(ls, quota.Limit{Key: entry.QuotaKey(s.Name, a.Team), Rate: a.Rate, Burst: float64(a.Burst)})
		}
	}
	for _, l := range c.Fleet.Links {
		ls = append(ls, bandwidth.Limit(l, c.Fleet.Domains))
	}
	return ls
}

// lend lets the quotas ask, grant and expire, and sends their messages.
func (v *VM) lend(now time.Time) {
	var (
		peers     []quota.Peer
		out       []quota.Message
		suspended bool
	)
	// The other VMs' figures change with their heartbeats alone.
	period := beatEvery / 2
	if v.members.Sparse() {
		period = sparseEvery
	}
	fresh := v.every("peers", period, now)
	if fresh {
		peers = v.quotaPeers(now)
	}
	v.quotas.do(func(b *quota.Limiter, now time.Time) {
		if fresh {
			b.SetPeers(peers, now)
		}
		out = b.Tick(now)
		suspended = b.Suspended()
	})
	if suspended {
		v.stepPlace(place.Recheck{}, now)
	}
	v.sendQuota(out)
}

func (v *VM) quotaPeers(now time.Time) []quota.Peer {
	if v.conf.current == nil {
		return nil
	}
	var peers []quota.Peer
	for _, m := range v.members.View(now) {
		if h := v.beats[m.VM.Name]; h != nil && !m.Suspect {
			peers = append(peers, quota.Peer{
				Name: m.VM.Name, Inc: m.Incarnation, Domain: m.VM.Domain,
				Region: v.conf.current.RegionOf(m.VM.Domain), Digest: h.Quota,
			})
		}
	}
	return peers
}

// sendQuota sends each message and hands the answers back to the quotas. A
// message that is lost only leaves quota unused for a while.
func (v *VM) sendQuota(messages []quota.Message) {
	for _, m := range messages {
		to, ok := v.members.Find(m.To)
		if !ok {
			continue
		}
		v.spawn(func() {
			answers, err := v.client.Quota(to, m, callTimeout)
			if err != nil {
				v.log.Debug("quota message lost", "to", to.Name, "error", err)
				return
			}
			if further := v.receive(answers); len(further) > 0 {
				v.post(func(time.Time) { v.sendQuota(further) })
			}
		})
	}
}

// receive hands messages to the quotas and returns what they answer.
func (v *VM) receive(messages []quota.Message) []quota.Message {
	var out []quota.Message
	v.quotas.do(func(b *quota.Limiter, now time.Time) {
		for _, m := range messages {
			out = append(out, b.Receive(m, now)...)
		}
	})
	return out
}

// Quota takes in a message from another VM and returns the answers to it.
func (v *VM) Quota(m quota.Message) []quota.Message {
	answers := v.receive([]quota.Message{m})
	back := make([]quota.Message, 0, len(answers))
	var others []quota.Message
	for _, a := range answers {
		if a.To == m.From {
			back = append(back, a)
		} else {
			others = append(others, a)
		}
	}
	if len(others) > 0 {
		v.post(func(time.Time) { v.sendQuota(others) })
	}
	return back
}

package vm

import (
	"time"

	"sassafrastray"
	"sassafrastray/internal/limit/bandwidth"
	"sassafrastray/internal/limit/place"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/traffic/entry"
)

// limits returns all limits that apply to the whole fleet: the teams' rates and
// the links' bandwidths.
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

// tickQuotas advances the limiter, which requests, grants and expires loans,
// and sends the resulting messages.
func (v *VM) tickQuotas(now time.Time) {
	var (
		peers     []quota.Peer
		out       []quota.Message
		suspended bool
	)
	// The peers' digests change only with their heartbeats.
	period := heartbeatInterval / 2
	if v.members.Sparse() {
		period = sparseInterval
	}
	fresh := v.isDue("peers", period, now)
	if fresh {
		peers = v.quotaPeers(now)
	}
	v.quotas.do(func(l *quota.Limiter, now time.Time) {
		if fresh {
			l.SetPeers(peers, now)
		}
		out = l.Tick(now)
		suspended = l.Suspended()
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
		if h := v.heartbeats[m.VM.Name]; h != nil && !m.Suspect {
			peers = append(peers, quota.Peer{
				Name: m.VM.Name, Inc: m.Incarnation, Domain: m.VM.Domain,
				Region: v.conf.current.RegionOf(m.VM.Domain), Digest: h.Quota,
			})
		}
	}
	return peers
}

// sendQuota sends each message and passes the answers to the limiter. If a
// message is lost, some quota stays unused for a while.
func (v *VM) sendQuota(messages []quota.Message) {
	for _, m := range messages {
		to, ok := v.members.Find(m.To)
		if !ok {
			continue
		}
		v.spawn(func() {
			answers, err := v.client.SendQuota(to, m, callTimeout)
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

// receive passes messages to the limiter and returns its answers.
func (v *VM) receive(messages []quota.Message) []quota.Message {
	var out []quota.Message
	v.quotas.do(func(l *quota.Limiter, now time.Time) {
		for _, m := range messages {
			out = append(out, l.Receive(m, now)...)
		}
	})
	return out
}

// HandleQuota handles a message from another VM and returns the answers to it.
// Messages to third VMs are sent in the background.
func (v *VM) HandleQuota(m quota.Message) []quota.Message {
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

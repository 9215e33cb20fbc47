package vm

import (
	"context"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/member"
	"sassafrastray/internal/limit/bandwidth"
	"sassafrastray/internal/limit/quota"
	"sassafrastray/internal/traffic/choice"
	"sassafrastray/internal/traffic/scheduler"
)

// newChoice builds the snapshot from which requests choose a VM.
func (v *VM) newChoice(view []member.Member, now time.Time) *choice.Snapshot {
	c := v.conf.current
	own := scheduler.Member{VM: v.self.Name, Domain: v.self.Domain, Region: c.RegionOf(v.self.Domain)}
	in := choice.Input{Self: own, Config: c, Links: v.outgoingLinks(own.Region, now)}
	in.Peers = append(in.Peers, choice.Peer{
		Member: own, Leaving: v.state != sassafrastray.VMLive, At: now, Loads: v.slots.Load(),
	})
	for _, m := range view {
		p := choice.Peer{
			Member:  scheduler.Member{VM: m.VM.Name, Domain: m.VM.Domain, Region: c.RegionOf(m.VM.Domain)},
			Leaving: m.VM.State != sassafrastray.VMLive, Suspect: m.Suspect, At: now.Add(-m.Age),
		}
		if h := v.heartbeats[m.VM.Name]; h != nil {
			p.Loads = h.Loads
		}
		in.Peers = append(in.Peers, p)
	}
	s := choice.New(in, v.lastChoice.Load(), now)
	v.lastChoice.Store(s)
	return s
}

// outgoingLinks returns the links that leave the VM's own region, with the
// bytes that the VM may send over each at once.
func (v *VM) outgoingLinks(own sassafrastray.RegionName, now time.Time) []choice.Link {
	tokens := make(map[string]float64)
	v.quotas.do(func(l *quota.Limiter, _ time.Time) {
		for _, s := range l.Status() {
			tokens[s.Key] = s.Tokens
		}
	})
	var links []choice.Link
	for _, l := range v.conf.current.Fleet.Links {
		if l.From == own {
			links = append(links, choice.Link{To: l.To, Delay: l.Delay, Headroom: int64(tokens[bandwidth.Key(l.From, l.To)]), At: now})
		}
	}
	return links
}

// sleep waits for d or until ctx ends, and then returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

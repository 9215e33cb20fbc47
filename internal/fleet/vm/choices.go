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

// choose builds what requests choose a VM from.
func (v *VM) choose(view []member.Member, now time.Time) *choice.Snapshot {
	c := v.conf.current
	own := scheduler.Member{VM: v.self.Name, Domain: v.self.Domain, Region: c.RegionOf(v.self.Domain)}
	in := choice.Input{Self: own, Config: c, Links: v.ways(own.Region, now)}
	in.Peers = append(in.Peers, choice.Peer{
		Member: own, Leaving: v.state != sassafrastray.Live, At: now, Loads: v.gate.Load(),
	})
	for _, m := range view {
		p := choice.Peer{
			Member:  scheduler.Member{VM: m.VM.Name, Domain: m.VM.Domain, Region: c.RegionOf(m.VM.Domain)},
			Leaving: m.VM.State != sassafrastray.Live, Suspect: m.Suspect, At: now.Add(-m.Age),
		}
		if h := v.beats[m.VM.Name]; h != nil {
			p.Loads = h.Loads
		}
		in.Peers = append(in.Peers, p)
	}
	s := choice.New(in, v.picks.Load(), now)
	v.picks.Store(s)
	return s
}

// ways returns the links that leave the VM's own region, with what the VM may
// send over them at once.
func (v *VM) ways(own sassafrastray.RegionName, now time.Time) []choice.Link {
	held := make(map[string]float64)
	v.quotas.do(func(b *quota.Limiter, _ time.Time) {
		for _, s := range b.Status() {
			held[s.Key] = s.Tokens
		}
	})
	var ways []choice.Link
	for _, l := range v.conf.current.Fleet.Links {
		if l.From == own {
			ways = append(ways, choice.Link{To: l.To, Delay: l.Delay, Headroom: int64(held[bandwidth.Key(l.From, l.To)]), At: now})
		}
	}
	return ways
}

// pause waits for d or until ctx ends, whose error it returns.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

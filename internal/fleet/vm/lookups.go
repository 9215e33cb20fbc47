package vm

import (
	"encoding/json"
	"net/netip"

	"sassafrastray"
	"sassafrastray/internal/traffic/entry"
)

type seenVM struct {
	VM      sassafrastray.VM
	Region  sassafrastray.RegionName
	Weight  int
	Suspect bool
}
type answers map[sassafrastray.ServiceName][]byte

func (a answers) Answer(s sassafrastray.ServiceName, _ netip.Addr) ([]byte, bool) {
	b, ok := a[s]
	return b, ok
}

func (v *VM) lookups(seen []seenVM) entry.Lookups {
	type line struct {
		Name    sassafrastray.VMName `json:"name"`
		Address netip.AddrPort       `json:"address"`
		Weight  int                  `json:"weight"`
	}
	a := answers{}
	for _, s := range v.conf.current.Services {
		var ls []line
		for _, m := range seen {
			if !m.Suspect && m.VM.State == sassafrastray.Live {
				ls = append(ls, line{m.VM.Name, m.VM.Callers, 1})
			}
		}
		b, _ := json.Marshal(map[string]any{"service": s.Name, "config": v.conf.current.Number, "ttl": v.set.Timing.TTL.Seconds(), "vms": ls})
		a[s.Name] = b
	}
	return a
}

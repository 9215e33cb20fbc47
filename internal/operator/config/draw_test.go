package config

import (
	"fmt"
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// drawName draws from a few names, so that two configurations share some of them.
// JSON has to escape some of the names.
func drawName(t *rapid.T, label string) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d", "e<&>", "f é", "g\u2028\""}).Draw(t, label)
}

// drawUnique draws a list of at most maxCount values with distinct names.
func drawUnique[T any](t *rapid.T, label string, maxCount int, draw func(name string) T) []T {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-h<é]{1,2}`), 0, maxCount, rapid.ID[string]).Draw(t, label)
	var out []T
	for _, n := range names {
		out = append(out, draw(n))
	}
	return out
}

func drawBlocks(t *rapid.T, maxCount int) []sassafrastray.AddressBlock {
	n := rapid.IntRange(0, maxCount).Draw(t, "blocks")
	seed := rapid.IntRange(0, 1<<20).Draw(t, "seed")
	seen := map[netip.Prefix]bool{}
	var out []sassafrastray.AddressBlock
	for i := range n {
		x := uint32(seed+i*7) * 2654435761
		a := netip.AddrFrom4([4]byte{byte(x >> 24), byte(x >> 16), byte(x >> 8), 0})
		if x%5 == 0 {
			a = netip.AddrFrom16([16]byte{0x20, 1, byte(x >> 24), byte(x >> 16), byte(x >> 8)})
		}
		p := netip.PrefixFrom(a, 8+int(x%17)).Masked()
		if !seen[p] {
			seen[p] = true
			out = append(out, sassafrastray.AddressBlock{Prefix: p, Region: sassafrastray.RegionName(fmt.Sprint("r", x%3))})
		}
	}
	return out
}

func drawConfig(t *rapid.T, blocks int) *sassafrastray.Config {
	return &sassafrastray.Config{
		Number:    int64(rapid.IntRange(1, 1000).Draw(t, "number")),
		PublishID: drawName(t, "publish"),
		Fleet: sassafrastray.Fleet{
			DNSDomain: drawName(t, "domain"),
			Regions: drawUnique(t, "regions", 3, func(n string) sassafrastray.Region {
				return sassafrastray.Region{Name: sassafrastray.RegionName(n), Slots: rapid.IntRange(0, 9).Draw(t, "slots")}
			}),
			Blocks: drawBlocks(t, blocks),
			Teams: drawUnique(t, "teams", 3, func(n string) sassafrastray.Team {
				return sassafrastray.Team{Name: sassafrastray.TeamName(n), Keys: drawUnique(t, "keys", 2, func(k string) sassafrastray.KeyDigest {
					return sassafrastray.KeyDigest(k)
				})}
			}),
		},
		Services: drawUnique(t, "services", 4, func(n string) sassafrastray.Service { return drawService(t, n) }),
	}
}

func drawService(t *rapid.T, name string) sassafrastray.Service {
	s := sassafrastray.Service{
		Name:    sassafrastray.ServiceName(name),
		Version: sassafrastray.VersionName(drawName(t, "version")),
		Teams: drawUnique(t, "allowances", 3, func(n string) sassafrastray.Allowance {
			return sassafrastray.Allowance{Team: sassafrastray.TeamName(n), Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate"), Burst: 3}
		}),
		Backends: drawUnique(t, "backends", 3, func(n string) sassafrastray.BackendServer {
			return sassafrastray.BackendServer{
				Name:    sassafrastray.BackendName(n),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, 1}), uint16(rapid.IntRange(1, 9).Draw(t, "port"))),
				Leaving: rapid.Bool().Draw(t, "leaving"),
			}
		}),
		Routes: drawUnique(t, "routes", 2, func(n string) sassafrastray.Route {
			return sassafrastray.Route{Name: sassafrastray.RouteName(n), Methods: drawUnique(t, "methods", 2, func(m string) string { return m })}
		}),
	}
	if rapid.Bool().Draw(t, "moves") {
		zone := time.FixedZone("", rapid.IntRange(-12, 12).Draw(t, "zone")*3600)
		s.Move = &sassafrastray.Move{
			Name:     sassafrastray.MoveName(drawName(t, "move")),
			Deadline: time.Unix(int64(rapid.IntRange(0, 1<<30).Draw(t, "deadline")), 0).In(zone),
			Steps:    []int{1, 1000},
			Soak:     time.Second,
		}
	}
	return s
}

// drawChange draws a successor of c that has much in common with it.
func drawChange(t *rapid.T, c *sassafrastray.Config) *sassafrastray.Config {
	d, err := Decode(Encode(c))
	if err != nil {
		t.Fatal(err)
	}
	other := drawConfig(t, 40)
	d.Number, d.PublishID = c.Number+1, other.PublishID
	if rapid.Bool().Draw(t, "other fleet") {
		other.Fleet.Blocks = d.Fleet.Blocks
		d.Fleet = other.Fleet
	}
	if rapid.Bool().Draw(t, "other services") {
		d.Services = other.Services
	}
	for range rapid.IntRange(0, 4).Draw(t, "blocks changed") {
		if len(d.Fleet.Blocks) == 0 {
			break
		}
		i := rapid.IntRange(0, len(d.Fleet.Blocks)-1).Draw(t, "block")
		if rapid.Bool().Draw(t, "gone") {
			d.Fleet.Blocks = append(d.Fleet.Blocks[:i:i], d.Fleet.Blocks[i+1:]...)
		} else {
			d.Fleet.Blocks[i].Region = "other"
		}
	}
	return d
}

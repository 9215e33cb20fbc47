package lookup

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
)

// drawPrefix draws prefixes that often contain one another.
func drawPrefix(t *rapid.T) netip.Prefix {
	if rapid.Bool().Draw(t, "v6") {
		a := [16]byte{0x20, 1, byte(rapid.IntRange(0, 3).Draw(t, "byte")), byte(rapid.IntRange(0, 255).Draw(t, "byte"))}
		return netip.PrefixFrom(netip.AddrFrom16(a), rapid.IntRange(0, 40).Draw(t, "bits")).Masked()
	}
	a := [4]byte{10, byte(rapid.IntRange(0, 3).Draw(t, "byte")), byte(rapid.IntRange(0, 255).Draw(t, "byte")), 0}
	return netip.PrefixFrom(netip.AddrFrom4(a), rapid.IntRange(0, 32).Draw(t, "bits")).Masked()
}

// scan is the oracle: it finds the longest prefix that contains the address by
// a linear search.
func scan(blocks map[netip.Prefix]sassafrastray.RegionName, a netip.Addr) (sassafrastray.RegionName, bool) {
	best := -1
	var region sassafrastray.RegionName
	for p, r := range blocks {
		if p.Contains(a.Unmap()) && p.Bits() > best {
			best, region = p.Bits(), r
		}
	}
	return region, best >= 0
}

// TestTableAgainstScan changes tables and compares the new tables and their
// originals, which must stay unchanged, with a linear search.
func TestTableAgainstScan(t *testing.T) {
	type version struct {
		table  *Table
		blocks map[netip.Prefix]sassafrastray.RegionName
	}
	rapid.Check(t, func(t *rapid.T) {
		versions := []version{{NewTable(nil), map[netip.Prefix]sassafrastray.RegionName{}}}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			from := versions[rapid.IntRange(0, len(versions)-1).Draw(t, "from")]
			to := version{blocks: map[netip.Prefix]sassafrastray.RegionName{}}
			for p, r := range from.blocks {
				to.blocks[p] = r
			}
			var put []sassafrastray.AddressBlock
			var dropped []netip.Prefix
			for range rapid.IntRange(0, 3).Draw(t, "dropped") {
				p := drawPrefix(t)
				dropped = append(dropped, p)
				delete(to.blocks, p)
			}
			for range rapid.IntRange(0, 12).Draw(t, "put") {
				b := sassafrastray.AddressBlock{
					Prefix: drawPrefix(t),
					Region: sassafrastray.RegionName(fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "region"))),
				}
				put = append(put, b)
				to.blocks[b.Prefix] = b.Region
			}
			to.table = from.table.Change(put, dropped)
			versions = append(versions, to)
		}
		for i, v := range versions {
			if v.table.Len() != len(v.blocks) {
				t.Fatalf("version %d has %d blocks, want %d", i, v.table.Len(), len(v.blocks))
			}
			for range 8 {
				a := drawPrefix(t).Addr()
				if a.Is4() && rapid.Bool().Draw(t, "mapped") {
					a = netip.AddrFrom16(a.As16())
				}
				got, ok := v.table.Region(a)
				want, found := scan(v.blocks, a)
				if got != want || ok != found {
					t.Fatalf("version %d, %v: %q %t, want %q %t", i, a, got, ok, want, found)
				}
				if b, ok := v.table.Block(a); ok != found || ok && (b.Region != want || !b.Prefix.Contains(a.Unmap())) {
					t.Fatalf("version %d, %v: block %v %t", i, a, b, ok)
				}
			}
		}
	})
}

// manyBlocks returns n blocks with prefixes of 16 to 24 bits for 200 regions.
func manyBlocks(n int) []sassafrastray.AddressBlock {
	r := rand.New(rand.NewPCG(1, 2))
	seen := map[netip.Prefix]bool{}
	out := make([]sassafrastray.AddressBlock, 0, n)
	for len(out) < n {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], r.Uint32())
		p := netip.PrefixFrom(netip.AddrFrom4(a), 16+r.IntN(9)).Masked()
		if seen[p] {
			continue
		}
		seen[p] = true
		out = append(out, sassafrastray.AddressBlock{Prefix: p, Region: sassafrastray.RegionName(fmt.Sprint("site-", r.IntN(200)))})
	}
	return out
}

func TestRegionAllocatesNothing(t *testing.T) {
	table := NewTable(manyBlocks(1000))
	a := netip.MustParseAddr("10.1.2.3")
	if n := testing.AllocsPerRun(1000, func() { table.Region(a) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkRegion(b *testing.B) {
	blocks := manyBlocks(150_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	table := NewTable(blocks)
	built := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(blocks)
	r := rand.New(rand.NewPCG(3, 4))
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], r.Uint32())
		addrs[i] = netip.AddrFrom4(a)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		table.Region(addrs[i&(1<<16-1)])
		i++
	}
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/(1<<20), "MB")
	b.ReportMetric(float64(built.Milliseconds()), "ms/build")
}

func BenchmarkChange(b *testing.B) {
	blocks := manyBlocks(150_000)
	table := NewTable(blocks)
	i := 0
	for b.Loop() {
		table.Change([]sassafrastray.AddressBlock{blocks[i%len(blocks)], blocks[(i+7)%len(blocks)]}, nil)
		i++
	}
}

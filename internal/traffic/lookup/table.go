// Package lookup answers callers who ask which VMs to use for a service.
package lookup

import (
	"math"
	"net/netip"

	"github.com/gaissmai/bart"

	"sassafrastray"
)

// rebuildDivisor limits the changes that copy paths of the old table to
// 1/rebuildDivisor of its blocks. For larger ones, cloning the table is cheaper.
const rebuildDivisor = 4

// Table finds the region that is nearest to a caller's address. It is
// immutable; a table returned by Change shares unchanged parts with its
// original.
type Table struct {
	blocks *bart.Table[uint16]
	// regions are indexed by the values of blocks. Change only appends to
	// them.
	regions []sassafrastray.RegionName
}

// NewTable returns a table with the given blocks.
func NewTable(blocks []sassafrastray.AddressBlock) *Table {
	t := &Table{blocks: &bart.Table[uint16]{}}
	for _, b := range blocks {
		t.blocks.Insert(b.Prefix, t.regionIndex(b.Region))
	}
	return t
}

// Region returns the region of the longest prefix that contains the address.
// It takes no lock and allocates nothing.
func (t *Table) Region(a netip.Addr) (sassafrastray.RegionName, bool) {
	i, ok := t.blocks.Lookup(a.Unmap())
	if !ok {
		return "", false
	}
	return t.regions[i], true
}

// Block returns the block with the longest prefix that contains the address.
func (t *Table) Block(a netip.Addr) (sassafrastray.AddressBlock, bool) {
	a = a.Unmap()
	if !a.IsValid() {
		return sassafrastray.AddressBlock{}, false
	}
	p, i, ok := t.blocks.LookupPrefixLPM(netip.PrefixFrom(a, a.BitLen()))
	if !ok {
		return sassafrastray.AddressBlock{}, false
	}
	return sassafrastray.AddressBlock{Prefix: p, Region: t.regions[i]}, true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.blocks.Size() }

// Change returns a copy of the table without the dropped blocks and with the
// blocks of put, which replace those with the same prefix.
func (t *Table) Change(put []sassafrastray.AddressBlock, dropped []netip.Prefix) *Table {
	out := &Table{blocks: t.blocks, regions: t.regions[:len(t.regions):len(t.regions)]}
	if len(put)+len(dropped) > t.Len()/rebuildDivisor {
		out.blocks = t.blocks.Clone()
		for _, p := range dropped {
			out.blocks.Delete(p)
		}
		for _, b := range put {
			out.blocks.Insert(b.Prefix, out.regionIndex(b.Region))
		}
		return out
	}
	for _, p := range dropped {
		out.blocks = out.blocks.DeletePersist(p)
	}
	for _, b := range put {
		out.blocks = out.blocks.InsertPersist(b.Prefix, out.regionIndex(b.Region))
	}
	return out
}

// regionIndex returns the index of a region in t.regions, to which it appends
// the region if it is new.
func (t *Table) regionIndex(r sassafrastray.RegionName) uint16 {
	// Successive blocks often have the same region, so the latest names are
	// the likeliest to match.
	for i := len(t.regions) - 1; i >= 0; i-- {
		if t.regions[i] == r {
			return uint16(i)
		}
	}
	if len(t.regions) > math.MaxUint16 {
		panic("lookup table: more than 65536 regions")
	}
	t.regions = append(t.regions, r)
	return uint16(len(t.regions) - 1)
}

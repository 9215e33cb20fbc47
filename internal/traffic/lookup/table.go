// Package lookup answers callers who ask which VMs to use for a service.
package lookup

import (
	"math"
	"net/netip"

	"github.com/gaissmai/bart"

	"sassafrastray"
)

// rebuildPart is the part of a table's blocks from which a change costs less
// as a new table than by copying paths of the old one.
const rebuildPart = 4

// Table finds the region that is nearest to a caller's address. It is
// immutable; tables that were changed from one another share what they have
// in common.
type Table struct {
	blocks *bart.Table[uint16]
	// names are the regions that the blocks' values count. A change only
	// appends to them.
	names []sassafrastray.RegionName
}

// NewTable returns the table of the blocks.
func NewTable(blocks []sassafrastray.Block) *Table {
	t := &Table{blocks: &bart.Table[uint16]{}}
	for _, b := range blocks {
		t.blocks.Insert(b.Prefix, t.index(b.Region))
	}
	return t
}

// Region returns the region of the longest block that holds the address. It
// takes no lock and allocates nothing.
func (t *Table) Region(a netip.Addr) (sassafrastray.RegionName, bool) {
	i, ok := t.blocks.Lookup(a.Unmap())
	if !ok {
		return "", false
	}
	return t.names[i], true
}

// Block returns the longest block that holds the address.
func (t *Table) Block(a netip.Addr) (sassafrastray.Block, bool) {
	a = a.Unmap()
	if !a.IsValid() {
		return sassafrastray.Block{}, false
	}
	p, i, ok := t.blocks.LookupPrefixLPM(netip.PrefixFrom(a, a.BitLen()))
	if !ok {
		return sassafrastray.Block{}, false
	}
	return sassafrastray.Block{Prefix: p, Region: t.names[i]}, true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.blocks.Size() }

// Change returns the table without the dropped blocks and with the blocks of
// put, which replace those with the same prefix. t stays as it is.
func (t *Table) Change(put []sassafrastray.Block, dropped []netip.Prefix) *Table {
	out := &Table{blocks: t.blocks, names: t.names[:len(t.names):len(t.names)]}
	if len(put)+len(dropped) > t.Len()/rebuildPart {
		out.blocks = t.blocks.Clone()
		for _, p := range dropped {
			out.blocks.Delete(p)
		}
		for _, b := range put {
			out.blocks.Insert(b.Prefix, out.index(b.Region))
		}
		return out
	}
	for _, p := range dropped {
		out.blocks = out.blocks.DeletePersist(p)
	}
	for _, b := range put {
		out.blocks = out.blocks.InsertPersist(b.Prefix, out.index(b.Region))
	}
	return out
}

// index returns the place of a region's name, which it appends if it is new.
func (t *Table) index(r sassafrastray.RegionName) uint16 {
	// Names change rarely from block to block, and the latest are the
	// likeliest to come again.
	for i := len(t.names) - 1; i >= 0; i-- {
		if t.names[i] == r {
			return uint16(i)
		}
	}
	if len(t.names) > math.MaxUint16 {
		panic("table of blocks: more regions than an index can count")
	}
	t.names = append(t.names, r)
	return uint16(len(t.names) - 1)
}

package vm

import (
	"slices"

	"sassafrastray"
	"sassafrastray/internal/operator/config"
	"sassafrastray/internal/traffic/lookup"
)

// lookups returns the answers to look-ups. They are rebuilt only when the
// configuration or the VMs have changed, because each snapshot caches its
// encoded answers.
func (v *VM) lookups(members []lookup.Member, home sassafrastray.RegionName) *lookup.Snapshot {
	if v.lookupSnapshot != nil && v.lookupConfig == v.conf.current && slices.Equal(members, v.lookupMembers) {
		return v.lookupSnapshot
	}
	v.lookupConfig, v.lookupMembers = v.conf.current, members
	v.lookupSnapshot = lookup.Build(lookup.Input{
		Config: v.conf.current, Table: v.conf.blocks, Members: members, TTL: v.settings.Timing.TTL, Home: home,
	})
	return v.lookupSnapshot
}

// blockTable returns the table of blocks for a new configuration. An existing
// table is updated by the difference, since most configurations change few
// blocks.
func blockTable(old, c *sassafrastray.Config, table *lookup.Table) *lookup.Table {
	if table == nil {
		return lookup.NewTable(c.Fleet.Blocks)
	}
	d := config.Diff(old, c)
	return table.Change(d.Blocks, d.RemovedBlocks)
}

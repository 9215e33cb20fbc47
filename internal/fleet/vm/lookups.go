package vm

import (
	"slices"

	"sassafrastray"
	"sassafrastray/internal/operator/config"
	"sassafrastray/internal/traffic/lookup"
)

// lookups returns the answers to look-ups. They are made anew only when the
// configuration or the VMs have changed, because each snapshot keeps its
// encoded answers.
func (v *VM) lookups(members []lookup.Member, home sassafrastray.RegionName) *lookup.Snapshot {
	if v.answers != nil && v.answersOf == v.conf.current && slices.Equal(members, v.named) {
		return v.answers
	}
	v.answersOf, v.named = v.conf.current, members
	v.answers = lookup.Build(lookup.Input{
		Config: v.conf.current, Table: v.conf.table, Members: members, TTL: v.set.Timing.TTL, Home: home,
	})
	return v.answers
}

// tableFor returns the table of blocks for a new configuration. The old one is
// changed where possible, since most changes leave nearly all blocks alone.
func tableFor(old, c *sassafrastray.Config, table *lookup.Table) *lookup.Table {
	if table == nil {
		return lookup.NewTable(c.Fleet.Blocks)
	}
	d := config.Diff(old, c)
	return table.Change(d.Blocks, d.RemovedBlocks)
}

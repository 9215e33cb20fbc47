package vm

import (
	"encoding/json"
	"fmt"
	"testing"

	"sassafrastray"
	"sassafrastray/internal/operator/config"
	"sassafrastray/internal/traffic/lookup"
)

// BenchmarkConfigTransfer measures what a change of five blocks costs the
// sending and the receiving VM: as a difference, and as the full configuration
// for a VM that has no earlier one.
func BenchmarkConfigTransfer(b *testing.B) {
	for _, blocks := range []int{10_000, 50_000, 100_000, 150_000} {
		old := fullConfig(blocks)
		config.Normalize(old)
		c := *old
		c.Number, c.PublishID = 2, "q"
		c.Fleet.Blocks = append([]sassafrastray.AddressBlock(nil), old.Fleet.Blocks...)
		for i := range 5 {
			c.Fleet.Blocks[i*blocks/5].Region = "site-7"
		}
		table := lookup.NewTable(old.Fleet.Blocks)
		sender := configuration{current: &c, past: []*sassafrastray.Config{old}}
		for name, have := range map[string]config.Stamp{"difference": config.StampOf(old), "whole": {}} {
			b.Run(fmt.Sprintf("%s/blocks=%d", name, blocks), func(b *testing.B) {
				var size int
				for b.Loop() {
					size = transferConfig(b, sender, have, old, table)
				}
				b.ReportMetric(float64(size), "B")
			})
		}
	}
}

// transferConfig encodes and applies the sender's configuration and returns the
// encoded size.
func transferConfig(b *testing.B, sender configuration, have config.Stamp, old *sassafrastray.Config, table *lookup.Table) int {
	t, err := sender.newTransfer(have)
	if err != nil {
		b.Fatal(err)
	}
	body, err := json.Marshal(t)
	if err != nil {
		b.Fatal(err)
	}
	var got transfer
	if err := json.Unmarshal(body, &got); err != nil {
		b.Fatal(err)
	}
	var c *sassafrastray.Config
	if got.Difference != nil {
		c, err = config.Apply(old, *got.Difference)
	} else {
		c, err = config.Assemble(*got.Head, func(d config.Digest) ([]byte, error) { return got.Chunks[d], nil })
		old, table = nil, nil
	}
	if err != nil || c.Number != 2 {
		b.Fatal(err)
	}
	blockTable(old, c, table)
	return len(body)
}

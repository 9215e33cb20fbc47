package config

import (
	"bytes"
	"net/netip"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

type (
	// Difference leads from one configuration to another. It travels
	// between VMs in place of the whole configuration.
	Difference struct {
		From    Stamp  `json:"from"`
		To      Stamp  `json:"to"`
		Publish string `json:"publish"`
		// Fleet is the new fleet without blocks, or nil if it is the same.
		Fleet    *sassafrastray.Fleet         `json:"fleet,omitempty"`
		Services []sassafrastray.Service      `json:"services,omitempty"`
		Removed  []sassafrastray.ServiceName  `json:"removed,omitempty"`
		Blocks   []sassafrastray.AddressBlock `json:"blocks,omitempty"`
		Dropped  []netip.Prefix               `json:"dropped,omitempty"`
	}

	// Stamp identifies a configuration by its number and its digest.
	Stamp struct {
		Number int64  `json:"number"`
		Digest Digest `json:"digest"`
	}
)

// StampOf returns the stamp of a configuration.
func StampOf(c *sassafrastray.Config) Stamp { return Stamp{c.Number, Sum(c)} }

// Diff returns the difference that leads from one configuration to another.
func Diff(from, to *sassafrastray.Config) Difference {
	d := Difference{From: StampOf(from), To: StampOf(to), Publish: to.PublishID}
	if f := withoutBlocks(to.Fleet); !bytes.Equal(marshal(f), marshal(withoutBlocks(from.Fleet))) {
		d.Fleet = &f
	}
	walk(from.Services, to.Services,
		compareServices,
		func(a sassafrastray.Service) { d.Removed = append(d.Removed, a.Name) },
		func(b sassafrastray.Service) { d.Services = append(d.Services, b) },
		func(a, b sassafrastray.Service) bool { return bytes.Equal(marshal(a), marshal(b)) })
	walk(from.Fleet.Blocks, to.Fleet.Blocks,
		compareBlocks,
		func(a sassafrastray.AddressBlock) { d.Dropped = append(d.Dropped, a.Prefix) },
		func(b sassafrastray.AddressBlock) { d.Blocks = append(d.Blocks, b) },
		func(a, b sassafrastray.AddressBlock) bool { return a == b })
	return d
}

// Apply returns the configuration that the difference leads to from c. It is
// an error if c is not the one that the difference starts from, or if the
// result does not match the digest. c stays as it is.
func Apply(c *sassafrastray.Config, d Difference) (*sassafrastray.Config, error) {
	if s := StampOf(c); s != d.From {
		return nil, errors.Newf("the difference starts from configuration %d (%.8s), not from %d (%.8s)",
			d.From.Number, d.From.Digest, s.Number, s.Digest)
	}
	out := &sassafrastray.Config{Number: d.To.Number, PublishID: d.Publish, Fleet: c.Fleet}
	if d.Fleet != nil {
		out.Fleet = *d.Fleet
	}
	out.Fleet.Blocks = merge(c.Fleet.Blocks, d.Blocks, d.Dropped,
		compareBlocks,
		func(b sassafrastray.AddressBlock) netip.Prefix { return b.Prefix })
	out.Services = merge(c.Services, d.Services, d.Removed,
		compareServices,
		func(s sassafrastray.Service) sassafrastray.ServiceName { return s.Name })
	if StampOf(out) != d.To {
		return nil, errors.Newf("the result of the difference is not configuration %d: its digest is another", d.To.Number)
	}
	return out, nil
}

// walk goes through two sorted lists side by side and calls gone for what is
// only in from, and put for what is only in to or is not the same in both.
func walk[T any](from, to []T, compare func(a, b T) int, gone, put func(T), same func(a, b T) bool) {
	for len(from) > 0 || len(to) > 0 {
		order := 0
		switch {
		case len(from) == 0:
			order = 1
		case len(to) == 0:
			order = -1
		default:
			order = compare(from[0], to[0])
		}
		switch {
		case order < 0:
			gone(from[0])
			from = from[1:]
		case order > 0:
			put(to[0])
			to = to[1:]
		default:
			if !same(from[0], to[0]) {
				put(to[0])
			}
			from, to = from[1:], to[1:]
		}
	}
}

// merge returns a sorted list without the dropped names, in which the values
// of put, sorted too, replace or join the others.
func merge[T any, K comparable](list, put []T, dropped []K, compare func(a, b T) int, name func(T) K) []T {
	out := make([]T, 0, len(list)+len(put))
	gone := make(map[K]bool, len(dropped)+len(put))
	for _, k := range dropped {
		gone[k] = true
	}
	for _, v := range put {
		gone[name(v)] = true
	}
	for _, v := range list {
		for len(put) > 0 && compare(put[0], v) < 0 {
			out = append(out, put[0])
			put = put[1:]
		}
		if !gone[name(v)] {
			out = append(out, v)
		}
	}
	return append(out, put...)
}

package config

import (
	"bytes"
	"net/netip"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

type (
	// Difference holds the changes from one configuration to another. VMs
	// send it to each other in place of the whole configuration.
	Difference struct {
		From    Stamp  `json:"from"`
		To      Stamp  `json:"to"`
		Publish string `json:"publish"`
		// Fleet is the new fleet without blocks, or nil if it is unchanged.
		Fleet           *sassafrastray.Fleet         `json:"fleet,omitempty"`
		Services        []sassafrastray.Service      `json:"services,omitempty"`
		RemovedServices []sassafrastray.ServiceName  `json:"removed,omitempty"`
		Blocks          []sassafrastray.AddressBlock `json:"blocks,omitempty"`
		RemovedBlocks   []netip.Prefix               `json:"dropped,omitempty"`
	}

	// Stamp identifies a configuration by its number and its digest.
	Stamp struct {
		Number int64  `json:"number"`
		Digest Digest `json:"digest"`
	}
)

// StampOf returns the stamp of a configuration.
func StampOf(c *sassafrastray.Config) Stamp { return Stamp{c.Number, Sum(c)} }

// Diff returns the difference between two configurations, for Apply.
func Diff(from, to *sassafrastray.Config) Difference {
	d := Difference{From: StampOf(from), To: StampOf(to), Publish: to.PublishID}
	if f := withoutBlocks(to.Fleet); !bytes.Equal(marshal(f), marshal(withoutBlocks(from.Fleet))) {
		d.Fleet = &f
	}
	diffSorted(from.Services, to.Services,
		compareServices,
		func(a sassafrastray.Service) { d.RemovedServices = append(d.RemovedServices, a.Name) },
		func(b sassafrastray.Service) { d.Services = append(d.Services, b) },
		func(a, b sassafrastray.Service) bool { return bytes.Equal(marshal(a), marshal(b)) })
	diffSorted(from.Fleet.Blocks, to.Fleet.Blocks,
		compareBlocks,
		func(a sassafrastray.AddressBlock) { d.RemovedBlocks = append(d.RemovedBlocks, a.Prefix) },
		func(b sassafrastray.AddressBlock) { d.Blocks = append(d.Blocks, b) },
		func(a, b sassafrastray.AddressBlock) bool { return a == b })
	return d
}

// Apply returns the configuration that results from applying the difference to c,
// which it leaves unchanged. It is an error if c is not the configuration that the
// difference was made from, or if the result does not match the digest.
func Apply(c *sassafrastray.Config, d Difference) (*sassafrastray.Config, error) {
	if s := StampOf(c); s != d.From {
		return nil, errors.Newf("the difference starts from configuration %d (%.8s), not from %d (%.8s)",
			d.From.Number, d.From.Digest, s.Number, s.Digest)
	}
	out := &sassafrastray.Config{Number: d.To.Number, PublishID: d.Publish, Fleet: c.Fleet}
	if d.Fleet != nil {
		out.Fleet = *d.Fleet
	}
	out.Fleet.Blocks = mergeSorted(c.Fleet.Blocks, d.Blocks, d.RemovedBlocks,
		compareBlocks,
		func(b sassafrastray.AddressBlock) netip.Prefix { return b.Prefix })
	out.Services = mergeSorted(c.Services, d.Services, d.RemovedServices,
		compareServices,
		func(s sassafrastray.Service) sassafrastray.ServiceName { return s.Name })
	if StampOf(out) != d.To {
		return nil, errors.Newf("the difference does not result in configuration %d: the digests differ", d.To.Number)
	}
	return out, nil
}

// diffSorted compares two sorted lists. It calls removed for each value that is only
// in from, and put for each that is only in to or differs between the two.
func diffSorted[T any](from, to []T, compare func(a, b T) int, removed, put func(T), same func(a, b T) bool) {
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
			removed(from[0])
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

// mergeSorted returns a sorted list without the values named in removed, and with
// those of put, which is sorted too, added or in place of values of the same name.
func mergeSorted[T any, K comparable](list, put []T, removed []K, compare func(a, b T) int, name func(T) K) []T {
	out := make([]T, 0, len(list)+len(put))
	skip := make(map[K]bool, len(removed)+len(put))
	for _, k := range removed {
		skip[k] = true
	}
	for _, v := range put {
		skip[name(v)] = true
	}
	for _, v := range list {
		for len(put) > 0 && compare(put[0], v) < 0 {
			out = append(out, put[0])
			put = put[1:]
		}
		if !skip[name(v)] {
			out = append(out, v)
		}
	}
	return append(out, put...)
}

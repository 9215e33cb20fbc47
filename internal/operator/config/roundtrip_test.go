package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"sassafrastray"
)

func fetchFrom(chunks map[Digest][]byte) func(Digest) ([]byte, error) {
	return func(d Digest) ([]byte, error) {
		if b, ok := chunks[d]; ok {
			return b, nil
		}
		return nil, errors.New("no such chunk")
	}
}

func equalConfigs(a, b *sassafrastray.Config) bool {
	Normalize(a)
	Normalize(b)
	return bytes.Equal(Encode(a), Encode(b))
}

// shuffled returns a copy of the configuration with its lists in another order and
// deadlines in another time zone.
func shuffled(t *rapid.T, c *sassafrastray.Config) *sassafrastray.Config {
	d, err := Decode(Encode(c))
	if err != nil {
		t.Fatal(err)
	}
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
	r.Shuffle(len(d.Services), reflect.Swapper(d.Services))
	r.Shuffle(len(d.Fleet.Blocks), reflect.Swapper(d.Fleet.Blocks))
	r.Shuffle(len(d.Fleet.Teams), reflect.Swapper(d.Fleet.Teams))
	for i := range d.Services {
		if m := d.Services[i].Move; m != nil {
			m.Deadline = m.Deadline.In(time.FixedZone("", 7*3600))
		}
		r.Shuffle(len(d.Services[i].Backends), reflect.Swapper(d.Services[i].Backends))
	}
	return d
}

// TestRoundTrip splits configurations and reassembles them, from nothing and from an
// older configuration.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t, 1500)
		want := Sum(c)
		if got := Sum(shuffled(t, c)); got != want {
			t.Fatalf("the order of lists changes the digest: %s, %s", got, want)
		}
		inline := rapid.SampledFrom([]int{0, MaxInlineSize}).Draw(t, "inline")
		h, chunks, err := Split(c, inline)
		if err != nil {
			t.Fatal(err)
		}
		h, err = ParseHead(h.Encode())
		if err != nil {
			t.Fatal(err)
		}
		got, err := Assemble(h, fetchFrom(chunks))
		if err != nil {
			t.Fatal(err)
		}
		if !equalConfigs(got, c) || Sum(got) != want {
			t.Fatalf("%s\nbecame\n%s", Encode(c), Encode(got))
		}
		if got, err = Update(drawChange(t, c), h, fetchFrom(chunks)); err != nil || Sum(got) != want {
			t.Fatalf("update: %v", err)
		}
	})
}

// TestDifference applies the difference between two configurations to the first one
// and compares the result with the second.
func TestDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawConfig(t, 60)
		b := drawChange(t, a)
		before := Encode(a)
		data, err := json.Marshal(Diff(a, b))
		if err != nil {
			t.Fatal(err)
		}
		var d Difference
		if err := json.Unmarshal(data, &d); err != nil {
			t.Fatal(err)
		}
		got, err := Apply(a, d)
		if err != nil {
			t.Fatal(err)
		}
		if !equalConfigs(got, b) {
			t.Fatalf("%s\nbecame\n%s\ninstead of\n%s", Encode(a), Encode(got), Encode(b))
		}
		if !bytes.Equal(before, Encode(a)) {
			t.Fatal("the configuration that a difference was applied to has changed")
		}
		if _, err := Apply(b, d); err == nil && StampOf(a) != StampOf(b) {
			t.Fatal("a difference was applied to another configuration than its own")
		}
	})
}

// TestCorruptedInput flips bits in heads, chunks and differences. The result must be
// either an error or the right configuration.
func TestCorruptedInput(t *testing.T) {
	flip := func(t *rapid.T, b []byte) []byte {
		b = bytes.Clone(b)
		for range rapid.IntRange(1, 3).Draw(t, "flips") {
			i := rapid.IntRange(0, len(b)-1).Draw(t, "byte")
			b[i] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		}
		return b
	}
	rapid.Check(t, func(t *rapid.T) {
		a := drawConfig(t, 40)
		b := drawChange(t, a)
		want := Sum(b)
		h, chunks, err := Split(b, rapid.SampledFrom([]int{0, MaxInlineSize}).Draw(t, "inline"))
		if err != nil {
			t.Fatal(err)
		}
		head := h.Encode()
		if len(h.Chunks) == 0 || rapid.Bool().Draw(t, "in head") {
			head = flip(t, head)
		} else {
			d := rapid.SampledFrom(h.Chunks).Draw(t, "chunk")
			chunks[d] = flip(t, chunks[d])
		}
		if h, err := ParseHead(head); err == nil {
			c, err := Assemble(h, fetchFrom(chunks))
			if err == nil && (Sum(c) != want || h.Number != c.Number || h.Publish != c.PublishID) {
				t.Fatalf("corrupted input was accepted as configuration %d", c.Number)
			}
		}
		data, err := json.Marshal(Diff(a, b))
		if err != nil {
			t.Fatal(err)
		}
		var d Difference
		if err := json.Unmarshal(flip(t, data), &d); err != nil {
			return
		}
		if c, err := Apply(a, d); err == nil && Sum(c) != want {
			t.Fatalf("a corrupted difference results in another configuration: %s", Encode(c))
		}
	})
}

// manyBlocks returns 150,000 blocks of 200 regions, with runs of adjacent blocks in
// the same region, as registries allocate them.
func manyBlocks() []sassafrastray.AddressBlock {
	r := rand.New(rand.NewPCG(1, 2))
	var out []sassafrastray.AddressBlock
	site := 0
	for i := range 150_000 {
		if r.IntN(8) == 0 {
			site = r.IntN(200)
		}
		a := netip.AddrFrom4([4]byte{byte(11 + i>>16), byte(i >> 8), byte(i), 0})
		out = append(out, sassafrastray.AddressBlock{
			Prefix: netip.PrefixFrom(a, 24), Region: sassafrastray.RegionName(fmt.Sprintf("site-%03d", site)),
		})
	}
	return out
}

// changedBlocks returns a configuration with many blocks, and a copy with five
// blocks changed, one added and one removed.
func changedBlocks() (before, after *sassafrastray.Config) {
	c := &sassafrastray.Config{Fleet: sassafrastray.Fleet{Blocks: manyBlocks()}}
	d := &sassafrastray.Config{Fleet: sassafrastray.Fleet{Blocks: slices.Clone(c.Fleet.Blocks)}}
	for i := range 5 {
		d.Fleet.Blocks[20_000*i+77].Region = "site-moved"
	}
	d.Fleet.Blocks = slices.Delete(d.Fleet.Blocks, 110_000, 110_001)
	d.Fleet.Blocks = slices.Insert(d.Fleet.Blocks, 130_000, sassafrastray.AddressBlock{
		Prefix: netip.MustParsePrefix("12.250.0.0/16"), Region: "site-new",
	})
	Normalize(c)
	Normalize(d)
	return c, d
}

// TestFewChunksChange changes seven of 150,000 blocks. Each change may affect only
// its own chunk and the next one, and Update must fetch only changed chunks.
func TestFewChunksChange(t *testing.T) {
	c, d := changedBlocks()
	old := map[Digest]bool{}
	for _, plain := range splitChunks(encodeLines(c)) {
		old[digest(plain)] = true
	}
	h := Head{Digest: Sum(d)}
	added := map[Digest][]byte{}
	for _, plain := range splitChunks(encodeLines(d)) {
		h.Chunks = append(h.Chunks, digest(plain))
		if !old[digest(plain)] {
			added[digest(plain)] = compress(plain)
		}
	}
	if len(added) > 14 || len(h.Chunks) < 40 {
		t.Errorf("%d of %d chunks are new", len(added), len(h.Chunks))
	}
	got, err := Update(c, h, fetchFrom(added))
	if err != nil || Sum(got) != Sum(d) {
		t.Errorf("update: %v", err)
	}
}

// BenchmarkSplit also reports the number and size of all chunks and of those that a
// change of seven blocks adds.
func BenchmarkSplit(b *testing.B) {
	c, d := changedBlocks()
	_, chunks, err := Split(c, MaxInlineSize)
	if err != nil {
		b.Fatal(err)
	}
	_, after, err := Split(d, MaxInlineSize)
	if err != nil {
		b.Fatal(err)
	}
	all, added, size := 0, 0, 0
	for digest, packed := range after {
		all += len(packed)
		if _, ok := chunks[digest]; !ok {
			added++
			size += len(packed)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Split(c, MaxInlineSize); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(after)), "chunks")
	b.ReportMetric(float64(all), "bytes")
	b.ReportMetric(float64(added), "new-chunks")
	b.ReportMetric(float64(size), "new-bytes")
}

func BenchmarkAssemble(b *testing.B) {
	c := &sassafrastray.Config{Fleet: sassafrastray.Fleet{Blocks: manyBlocks()}}
	h, chunks, err := Split(c, MaxInlineSize)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Assemble(h, fetchFrom(chunks)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkUpdate updates to a configuration in which seven blocks differ.
func BenchmarkUpdate(b *testing.B) {
	c, d := changedBlocks()
	h, chunks, err := Split(d, MaxInlineSize)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Update(c, h, fetchFrom(chunks)); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSum(b *testing.B) {
	c := &sassafrastray.Config{Fleet: sassafrastray.Fleet{Blocks: manyBlocks()}}
	b.ReportAllocs()
	for b.Loop() {
		Sum(c)
	}
}

// BenchmarkApply applies a difference in which seven blocks change.
func BenchmarkApply(b *testing.B) {
	c, d := changedBlocks()
	diff := Diff(c, d)
	data, err := json.Marshal(diff)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Apply(c, diff); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "bytes/difference")
}

// TestHeadContradictsValue checks that a head whose number or publish id differs from
// that of the configuration in it is an error.
func TestHeadContradictsValue(t *testing.T) {
	h, _, err := Split(&sassafrastray.Config{Number: 3, PublishID: "nok/1"}, MaxInlineSize)
	if err != nil {
		t.Fatal(err)
	}
	number, publish := h, h
	number.Number, publish.Publish = 4, "lek/1"
	for _, wrong := range []Head{number, publish} {
		if c, err := Assemble(wrong, nil); err == nil {
			t.Errorf("head of %d by %s was accepted with configuration %d by %s", wrong.Number, wrong.Publish, c.Number, c.PublishID)
		}
	}
	if _, err := Assemble(h, nil); err != nil {
		t.Error(err)
	}
}

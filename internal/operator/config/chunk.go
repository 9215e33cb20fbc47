package config

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"sassafrastray"
)

// Kinds of lines in a chunk, with the space that follows.
const (
	fleetLine   = "fleet "
	serviceLine = "service "
	blockLine   = "block "
)

// Sizes of chunks in bytes before compression.
const (
	meanChunk = 64 << 10
	minChunk  = 8 << 10
	maxChunk  = 256 << 10

	// maxPlain bounds what a chunk may unpack to, so that a wrong object
	// can't fill the memory.
	maxPlain = 64 << 20

	// hashBuffer gathers lines for the digest; maxBlockLine is the room that
	// it keeps for one more.
	hashBuffer   = 32 << 10
	maxBlockLine = 256
)

// writers keeps compressors, each of which holds the better part of a megabyte.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// lines returns the content of a sorted configuration, without number and
// publish id: a line for the fleet, one for each service, one for each block.
func lines(c *sassafrastray.Config) [][]byte {
	out := make([][]byte, 0, 1+len(c.Services)+len(c.Fleet.Blocks))
	out = append(out, fleetLineOf(c))
	for i := range c.Services {
		out = append(out, serviceLineOf(&c.Services[i]))
	}
	// One buffer for all blocks, since there are so many of them.
	buf := make([]byte, 0, len(c.Fleet.Blocks)*40)
	for _, b := range c.Fleet.Blocks {
		start := len(buf)
		buf = appendBlock(buf, b)
		out = append(out, buf[start:len(buf):len(buf)])
	}
	return out
}

func fleetLineOf(c *sassafrastray.Config) []byte {
	return line(fleetLine, marshal(withoutBlocks(c.Fleet)))
}

func serviceLineOf(s *sassafrastray.Service) []byte { return line(serviceLine, marshal(s)) }

func appendBlock(buf []byte, b sassafrastray.AddressBlock) []byte {
	buf = append(buf, blockLine...)
	buf = b.Prefix.AppendTo(buf)
	buf = append(buf, ' ')
	buf = append(buf, b.Region...)
	return append(buf, '\n')
}

func withoutBlocks(f sassafrastray.Fleet) sassafrastray.Fleet {
	f.Blocks = []sassafrastray.AddressBlock{}
	return f
}

func line(kind string, json []byte) []byte {
	out := make([]byte, 0, len(kind)+len(json)+1)
	out = append(out, kind...)
	out = append(out, json...)
	return append(out, '\n')
}

func size(lines [][]byte) int {
	n := 0
	for _, l := range lines {
		n += len(l)
	}
	return n
}

// cut splits lines into chunks. Where a chunk ends depends on the lines near
// its end alone, so that a changed line changes one chunk, or two, and leaves
// the others. The kinds of lines do not share chunks.
func cut(lines [][]byte) [][]byte {
	var (
		out     [][]byte
		current []byte
	)
	for i, l := range lines {
		current = append(current, l...)
		last := i == len(lines)-1 || l[0] != lines[i+1][0]
		if last || len(current) >= maxChunk || len(current) >= minChunk && ends(l) {
			out = append(out, current)
			current = nil
		}
	}
	return out
}

// ends tells whether a chunk may end after the line: for one byte in
// meanChunk on average, so a longer line ends one more often.
func ends(line []byte) bool {
	return xxhash.Sum64(line)%uint64(max(1, meanChunk/len(line))) == 0
}

func readLine(c *sassafrastray.Config, l []byte) error {
	l = bytes.TrimSuffix(l, []byte("\n"))
	switch {
	case bytes.HasPrefix(l, []byte(fleetLine)):
		return errors.Wrap(unmarshal(l[len(fleetLine):], &c.Fleet), "fleet")
	case bytes.HasPrefix(l, []byte(serviceLine)):
		var s sassafrastray.Service
		if err := unmarshal(l[len(serviceLine):], &s); err != nil {
			return errors.Wrap(err, "service")
		}
		c.Services = append(c.Services, s)
		return nil
	case bytes.HasPrefix(l, []byte(blockLine)):
		b, err := readBlock(l[len(blockLine):], c.Fleet.Blocks)
		c.Fleet.Blocks = append(c.Fleet.Blocks, b)
		return err
	}
	return errors.New("a line of unknown kind")
}

// readBlock parses a block. Neighbours in a list mostly lie in the same
// region and then share its name in memory.
func readBlock(l []byte, before []sassafrastray.AddressBlock) (sassafrastray.AddressBlock, error) {
	prefix, region, ok := bytes.Cut(l, []byte(" "))
	if !ok {
		return sassafrastray.AddressBlock{}, errors.New("a block without region")
	}
	p, err := netip.ParsePrefix(string(prefix))
	if err != nil {
		return sassafrastray.AddressBlock{}, errors.Wrap(err, "block")
	}
	if n := len(before); n > 0 && string(before[n-1].Region) == string(region) {
		return sassafrastray.AddressBlock{Prefix: p, Region: before[n-1].Region}, nil
	}
	return sassafrastray.AddressBlock{Prefix: p, Region: sassafrastray.RegionName(region)}, nil
}

// pack compresses a chunk. Digests are those of the plain chunk, so two
// versions of the library may compress it differently.
func pack(plain []byte) []byte {
	var buf bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&buf)
	// Writes to a buffer never fail.
	_, _ = w.Write(plain)
	_ = w.Close()
	return buf.Bytes()
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxPlain+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(plain) > maxPlain {
		return nil, errors.Newf("unpacks to more than %d bytes", maxPlain)
	}
	return plain, nil
}

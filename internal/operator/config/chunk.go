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

// Prefixes that mark the kinds of lines in a chunk.
const (
	fleetPrefix   = "fleet "
	servicePrefix = "service "
	blockPrefix   = "block "
)

// Sizes of chunks in bytes, before compression.
const (
	meanChunkSize = 64 << 10
	minChunkSize  = 8 << 10
	maxChunkSize  = 256 << 10

	// maxDecompressedSize bounds the size of a decompressed chunk, so that a
	// corrupt object can't exhaust the memory.
	maxDecompressedSize = 64 << 20

	// hashBufferSize is the size of the buffer that collects lines for the digest.
	// The buffer is flushed when less than maxBlockLineSize is free.
	hashBufferSize   = 32 << 10
	maxBlockLineSize = 256
)

// gzipWriters reuses compressors, since each one allocates nearly a megabyte.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// encodeLines returns the content of a normalized configuration, without its number
// and publish id: a line for the fleet, one per service and one per block.
func encodeLines(c *sassafrastray.Config) [][]byte {
	out := make([][]byte, 0, 1+len(c.Services)+len(c.Fleet.Blocks))
	out = append(out, fleetLine(c))
	for i := range c.Services {
		out = append(out, serviceLine(&c.Services[i]))
	}
	// All blocks share a buffer, because there may be very many of them.
	buf := make([]byte, 0, len(c.Fleet.Blocks)*40)
	for _, b := range c.Fleet.Blocks {
		start := len(buf)
		buf = appendBlock(buf, b)
		out = append(out, buf[start:len(buf):len(buf)])
	}
	return out
}

func fleetLine(c *sassafrastray.Config) []byte {
	return formatLine(fleetPrefix, marshal(withoutBlocks(c.Fleet)))
}

func serviceLine(s *sassafrastray.Service) []byte { return formatLine(servicePrefix, marshal(s)) }

func appendBlock(buf []byte, b sassafrastray.AddressBlock) []byte {
	buf = append(buf, blockPrefix...)
	buf = b.Prefix.AppendTo(buf)
	buf = append(buf, ' ')
	buf = append(buf, b.Region...)
	return append(buf, '\n')
}

func withoutBlocks(f sassafrastray.Fleet) sassafrastray.Fleet {
	f.Blocks = []sassafrastray.AddressBlock{}
	return f
}

func formatLine(kind string, json []byte) []byte {
	out := make([]byte, 0, len(kind)+len(json)+1)
	out = append(out, kind...)
	out = append(out, json...)
	return append(out, '\n')
}

func totalSize(lines [][]byte) int {
	n := 0
	for _, l := range lines {
		n += len(l)
	}
	return n
}

// splitChunks splits lines into chunks with content-defined boundaries: where a
// chunk ends depends only on the lines near its end, so a changed line changes one
// or two chunks and leaves the others as they are. A chunk holds lines of one kind.
func splitChunks(lines [][]byte) [][]byte {
	var (
		out     [][]byte
		current []byte
	)
	for i, l := range lines {
		current = append(current, l...)
		last := i == len(lines)-1 || l[0] != lines[i+1][0]
		if last || len(current) >= maxChunkSize || len(current) >= minChunkSize && endsChunk(l) {
			out = append(out, current)
			current = nil
		}
	}
	return out
}

// endsChunk reports whether a chunk may end after the line. The probability grows
// with the line's length, to one boundary per meanChunkSize bytes on average.
func endsChunk(line []byte) bool {
	return xxhash.Sum64(line)%uint64(max(1, meanChunkSize/len(line))) == 0
}

// decodeLine adds the content of one line of a chunk to c.
func decodeLine(c *sassafrastray.Config, l []byte) error {
	l = bytes.TrimSuffix(l, []byte("\n"))
	switch {
	case bytes.HasPrefix(l, []byte(fleetPrefix)):
		return errors.Wrap(unmarshal(l[len(fleetPrefix):], &c.Fleet), "fleet")
	case bytes.HasPrefix(l, []byte(servicePrefix)):
		var s sassafrastray.Service
		if err := unmarshal(l[len(servicePrefix):], &s); err != nil {
			return errors.Wrap(err, "service")
		}
		c.Services = append(c.Services, s)
		return nil
	case bytes.HasPrefix(l, []byte(blockPrefix)):
		b, err := decodeBlock(l[len(blockPrefix):], c.Fleet.Blocks)
		c.Fleet.Blocks = append(c.Fleet.Blocks, b)
		return err
	}
	return errors.New("line of unknown kind")
}

// decodeBlock parses a block. Consecutive blocks are mostly in the same region, so it
// reuses the region's string from the last block in before where it can.
func decodeBlock(l []byte, before []sassafrastray.AddressBlock) (sassafrastray.AddressBlock, error) {
	prefix, region, ok := bytes.Cut(l, []byte(" "))
	if !ok {
		return sassafrastray.AddressBlock{}, errors.New("block without a region")
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

// compress compresses a chunk. Digests are taken of the uncompressed chunk, so its
// compressed form may differ between versions of the library.
func compress(plain []byte) []byte {
	var buf bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&buf)
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(plain)
	_ = w.Close()
	return buf.Bytes()
}

func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressedSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(plain) > maxDecompressedSize {
		return nil, errors.Newf("decompresses to more than %d bytes", maxDecompressedSize)
	}
	return plain, nil
}

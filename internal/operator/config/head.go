package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"sassafrastray"
)

// Keys of the configuration's objects in the store.
const (
	HeadKey     = "config/head"
	ChunkPrefix = "config/chunk/"
)

// Bounds on what a head lists, and on how long unused chunks stay.
const (
	// MaxHistory is the number of the latest publishes that a head lists.
	MaxHistory = 32
	// MaxMoves is the number of the latest moves that a head lists.
	MaxMoves = 256
	// MaxInlineSize is the size in bytes of the largest configuration that is
	// stored in the head itself. It leaves room for the head's other fields.
	MaxInlineSize = sassafrastray.MaxObjectBytes - 64<<10
	// RetainedHeads is the number of later heads for which a chunk stays after
	// the last head that refers to it, so that a VM which is still reading an
	// older head finds its chunks.
	RetainedHeads = 8
)

type (
	// Digest is the SHA-256 digest of a chunk or of a whole configuration,
	// in lower-case hexadecimal.
	Digest string

	// Head is the object that defines which configuration is in force. It
	// contains a small configuration itself, and lists the chunks of a large
	// one.
	Head struct {
		Number  int64  `json:"number"`
		Publish string `json:"publish"`
		// Digest covers the content, the number and the publish id.
		Digest Digest          `json:"digest"`
		Value  json.RawMessage `json:"value,omitempty"`
		Chunks []Digest        `json:"chunks,omitempty"`
		// Retired lists chunks that are no longer used but not deleted yet.
		Retired []RetiredChunk `json:"retired,omitempty"`
		// History lists publishes before this one, newest first.
		History []HistoryEntry `json:"history,omitempty"`
		// Moves lists the latest published moves, newest first.
		Moves []MoveID `json:"moves,omitempty"`
	}

	// HistoryEntry is a configuration's number and the id of its publish.
	HistoryEntry struct {
		Number  int64  `json:"number"`
		Publish string `json:"publish"`
	}

	// RetiredChunk is a chunk that no head from Number on refers to. Version is
	// its version in the store at that time. A publisher that needs the chunk
	// again writes it again, which changes the version, so that a deletion
	// conditional on Version can't delete a chunk in use.
	RetiredChunk struct {
		Chunk   Digest `json:"chunk"`
		Number  int64  `json:"number"`
		Version int64  `json:"version"`
	}
)

// Key returns the key of the chunk's object in the store.
func (d Digest) Key() string { return ChunkPrefix + string(d) }

// ParseHead decodes the value of the head's object.
func ParseHead(data []byte) (Head, error) {
	var h Head
	if err := unmarshal(data, &h); err != nil {
		return Head{}, errors.Wrap(err, "configuration head")
	}
	return h, nil
}

// Encode returns the value of the head's object.
func (h Head) Encode() []byte { return marshal(h) }

// PublishOf returns the id of the publish that made the number, and whether
// the head lists it.
func (h Head) PublishOf(number int64) (string, bool) {
	if h.Number == number {
		return h.Publish, true
	}
	for _, e := range h.History {
		if e.Number == number {
			return e.Publish, true
		}
	}
	return "", false
}

// Sum returns the digest of the whole configuration in canonical form.
func Sum(c *sassafrastray.Config) Digest {
	Normalize(c)
	h := sha256.New()
	h.Write([]byte(strconv.FormatInt(c.Number, 10) + " " + strconv.Quote(c.PublishID) + "\n"))
	h.Write(fleetLine(c))
	for i := range c.Services {
		h.Write(serviceLine(&c.Services[i]))
	}
	// The blocks pass through a small buffer, since all lines together may take
	// megabytes.
	buf := make([]byte, 0, hashBufferSize)
	for _, b := range c.Fleet.Blocks {
		if buf = appendBlock(buf, b); len(buf) > hashBufferSize-maxBlockLineSize {
			h.Write(buf)
			buf = buf[:0]
		}
	}
	h.Write(buf)
	return Digest(hex.EncodeToString(h.Sum(nil)))
}

func digest(data []byte) Digest {
	s := sha256.Sum256(data)
	return Digest(hex.EncodeToString(s[:]))
}

// Split returns a head for the configuration, without history, moves and retired
// chunks, and the compressed chunks that the head lists. There are no chunks if the
// configuration takes at most inline bytes. It is an error if a compressed chunk is
// larger than the store's limit.
func Split(c *sassafrastray.Config, inline int) (Head, map[Digest][]byte, error) {
	Normalize(c)
	all := encodeLines(c)
	h := Head{Number: c.Number, Publish: c.PublishID, Digest: Sum(c)}
	if totalSize(all) <= inline {
		if v := marshal(c); len(v) <= inline {
			h.Value = v
			return h, nil, nil
		}
	}
	chunks := map[Digest][]byte{}
	for _, plain := range splitChunks(all) {
		d := digest(plain)
		h.Chunks = append(h.Chunks, d)
		packed := compress(plain)
		if len(packed) > sassafrastray.MaxObjectBytes {
			return Head{}, nil, errors.Newf("a chunk of the configuration takes %d bytes, above the store's limit of %d", len(packed), sassafrastray.MaxObjectBytes)
		}
		chunks[d] = packed
	}
	return h, chunks, nil
}

// Assemble returns the configuration that the head describes. fetch returns the
// compressed chunk with the given digest. It is an error if a chunk or the whole
// configuration does not match its digest.
func Assemble(h Head, fetch func(Digest) ([]byte, error)) (*sassafrastray.Config, error) {
	return assemble(h, nil, fetch)
}

// Update is like Assemble, but takes the chunks that the head shares with an older
// configuration from that configuration and fetches only the others.
func Update(old *sassafrastray.Config, h Head, fetch func(Digest) ([]byte, error)) (*sassafrastray.Config, error) {
	if len(h.Value) > 0 {
		return Assemble(h, fetch)
	}
	Normalize(old)
	have := map[Digest][]byte{}
	for _, plain := range splitChunks(encodeLines(old)) {
		have[digest(plain)] = plain
	}
	return assemble(h, have, fetch)
}

func assemble(h Head, have map[Digest][]byte, fetch func(Digest) ([]byte, error)) (*sassafrastray.Config, error) {
	var (
		c   *sassafrastray.Config
		err error
	)
	if len(h.Value) > 0 {
		c, err = Decode(h.Value)
	} else {
		c, err = assembleChunks(h, have, fetch)
	}
	if err != nil {
		return nil, err
	}
	if c.Number != h.Number || c.PublishID != h.Publish || Sum(c) != h.Digest {
		return nil, errors.Newf("configuration %d does not match its digest", h.Number)
	}
	return c, nil
}

func assembleChunks(h Head, have map[Digest][]byte, fetch func(Digest) ([]byte, error)) (*sassafrastray.Config, error) {
	var (
		c     = &sassafrastray.Config{Number: h.Number, PublishID: h.Publish}
		all   = make([][]byte, 0, len(h.Chunks))
		count = 0
	)
	for _, d := range h.Chunks {
		plain, ok := have[d]
		if !ok {
			var err error
			if plain, err = fetchChunk(d, fetch); err != nil {
				return nil, errors.Wrapf(err, "chunk %s", d)
			}
		}
		count += bytes.Count(plain, []byte("\n"))
		all = append(all, plain)
	}
	for i, plain := range all {
		// In a large configuration almost all lines are blocks. Growing the
		// list once avoids copying it several times.
		if bytes.HasPrefix(plain, []byte(blockPrefix)) {
			c.Fleet.Blocks = slices.Grow(c.Fleet.Blocks, count-len(c.Fleet.Blocks))
		}
		for line := range bytes.Lines(plain) {
			if err := decodeLine(c, line); err != nil {
				return nil, errors.Wrapf(err, "chunk %s", h.Chunks[i])
			}
		}
	}
	return c, nil
}

func fetchChunk(d Digest, fetch func(Digest) ([]byte, error)) ([]byte, error) {
	packed, err := fetch(d)
	if err != nil {
		return nil, err
	}
	plain, err := decompress(packed)
	if err != nil {
		return nil, err
	}
	if digest(plain) != d {
		return nil, errors.New("its content does not match its digest")
	}
	return plain, nil
}

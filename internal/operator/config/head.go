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

// Bounds on what a head remembers.
const (
	// MaxHistory is how many of the latest publishes a head names.
	MaxHistory = 32
	// MaxMoves is how many of the latest moves a head names.
	MaxMoves = 256
	// MaxInline is the size of the largest configuration that the head holds
	// itself, in bytes. It leaves room for what is beside it.
	MaxInline = sassafrastray.MaxObjectBytes - 64<<10
	// KeepHeads is for how many heads a chunk outlives the last one that
	// refers to it, so that a VM which still reads an older head finds it.
	KeepHeads = 8
)

type (
	// Digest is the SHA-256 digest of a chunk or of a whole configuration,
	// in lower-case hexadecimal.
	Digest string

	// Head is the object that says which configuration is in force. It
	// holds a small configuration itself and refers to the chunks of a
	// large one.
	Head struct {
		Number  int64  `json:"number"`
		Publish string `json:"publish"`
		// Digest covers the content with its number and publish id.
		Digest Digest          `json:"digest"`
		Value  json.RawMessage `json:"value,omitempty"`
		Chunks []Digest        `json:"chunks,omitempty"`
		// Retired are chunks of earlier heads that are not deleted yet.
		Retired []Retired `json:"retired,omitempty"`
		// History has the latest publishes, the newest first.
		History []Entry `json:"history,omitempty"`
		// Moves are those that were ever published, the newest first.
		Moves []MoveID `json:"moves,omitempty"`
	}

	// Entry says which publish made a number.
	Entry struct {
		Number  int64  `json:"number"`
		Publish string `json:"publish"`
	}

	// Retired is a chunk that no head from Number on refers to. Version is
	// the store's version of it at that time; whoever needs the chunk again
	// writes it anew, so a deletion under this version can't take it away.
	Retired struct {
		Chunk   Digest `json:"chunk"`
		Number  int64  `json:"number"`
		Version int64  `json:"version"`
	}
)

// Key returns the key of a chunk's object.
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

// Made returns which publish made a number, and whether the head knows.
func (h Head) Made(number int64) (string, bool) {
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
	Sort(c)
	h := sha256.New()
	h.Write([]byte(strconv.FormatInt(c.Number, 10) + " " + strconv.Quote(c.PublishID) + "\n"))
	h.Write(fleetLineOf(c))
	for i := range c.Services {
		h.Write(serviceLineOf(&c.Services[i]))
	}
	// The blocks go through a small buffer, since there may be megabytes.
	buf := make([]byte, 0, hashBuffer)
	for _, b := range c.Fleet.Blocks {
		if buf = appendBlock(buf, b); len(buf) > hashBuffer-maxBlockLine {
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

// Split returns the head of the configuration, without history and retired
// chunks, and the encoded chunks that it refers to. There are none if the
// configuration takes at most inline bytes.
func Split(c *sassafrastray.Config, inline int) (Head, map[Digest][]byte, error) {
	Sort(c)
	all := lines(c)
	h := Head{Number: c.Number, Publish: c.PublishID, Digest: Sum(c)}
	if size(all) <= inline {
		if v := marshal(c); len(v) <= inline {
			h.Value = v
			return h, nil, nil
		}
	}
	chunks := map[Digest][]byte{}
	for _, plain := range cut(all) {
		d := digest(plain)
		h.Chunks = append(h.Chunks, d)
		packed := pack(plain)
		if len(packed) > sassafrastray.MaxObjectBytes {
			return Head{}, nil, errors.Newf("a part of the configuration takes %d bytes, above the store's %d", len(packed), sassafrastray.MaxObjectBytes)
		}
		chunks[d] = packed
	}
	return h, chunks, nil
}

// Assemble returns the configuration that the head stands for. Fetch returns
// the encoded chunk with the digest. A configuration whose content does not
// match the head's digests is an error, never a result.
func Assemble(h Head, fetch func(Digest) ([]byte, error)) (*sassafrastray.Config, error) {
	return assemble(h, nil, fetch)
}

// Update does what Assemble does, and takes the chunks that the head shares
// with an older configuration from there in place of fetching them.
func Update(old *sassafrastray.Config, h Head, fetch func(Digest) ([]byte, error)) (*sassafrastray.Config, error) {
	if len(h.Value) > 0 {
		return Assemble(h, fetch)
	}
	Sort(old)
	have := map[Digest][]byte{}
	for _, plain := range cut(lines(old)) {
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
		c, err = join(h, have, fetch)
	}
	if err != nil {
		return nil, err
	}
	if c.Number != h.Number || c.PublishID != h.Publish || Sum(c) != h.Digest {
		return nil, errors.Newf("configuration %d does not match its digest", h.Number)
	}
	return c, nil
}

func join(h Head, have map[Digest][]byte, fetch func(Digest) ([]byte, error)) (*sassafrastray.Config, error) {
	var (
		c     = &sassafrastray.Config{Number: h.Number, PublishID: h.Publish}
		all   = make([][]byte, 0, len(h.Chunks))
		count = 0
	)
	for _, d := range h.Chunks {
		plain, ok := have[d]
		if !ok {
			var err error
			if plain, err = fetchPlain(d, fetch); err != nil {
				return nil, errors.Wrapf(err, "chunk %s", d)
			}
		}
		count += bytes.Count(plain, []byte("\n"))
		all = append(all, plain)
	}
	for i, plain := range all {
		// Almost all lines are blocks where there are many, and growing
		// their list step by step would copy it several times.
		if bytes.HasPrefix(plain, []byte(blockLine)) {
			c.Fleet.Blocks = slices.Grow(c.Fleet.Blocks, count-len(c.Fleet.Blocks))
		}
		for line := range bytes.Lines(plain) {
			if err := readLine(c, line); err != nil {
				return nil, errors.Wrapf(err, "chunk %s", h.Chunks[i])
			}
		}
	}
	return c, nil
}

func fetchPlain(d Digest, fetch func(Digest) ([]byte, error)) ([]byte, error) {
	packed, err := fetch(d)
	if err != nil {
		return nil, err
	}
	plain, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	if digest(plain) != d {
		return nil, errors.New("its content does not match its digest")
	}
	return plain, nil
}

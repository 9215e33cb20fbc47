// Package pattern makes and checks bodies of any size whose bytes depend on
// their position, so that a missing, doubled or moved part shows.
package pattern

import (
	"encoding/binary"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	wordSize = 8
	// multiplier is odd, so that words differ at all positions.
	multiplier = 0x9e3779b97f4a7c15
)

type (
	// Reader yields the first bytes of the pattern.
	Reader struct {
		at, size int64
	}

	// Checker is a writer that compares what it is given with the pattern.
	Checker struct {
		at int64
	}
)

// New returns a reader of size bytes.
func New(size int64) *Reader { return &Reader{size: size} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.at >= r.size {
		return 0, io.EOF
	}
	if left := r.size - r.at; int64(len(p)) > left {
		p = p[:left]
	}
	for n := 0; n < len(p); {
		word := wordAt(r.at + int64(n))
		n += copy(p[n:], word[(r.at+int64(n))%wordSize:])
	}
	r.at += int64(len(p))
	return len(p), nil
}

// Write implements io.Writer. It returns an error that names the position of
// the first byte that differs.
func (c *Checker) Write(p []byte) (int, error) {
	for n := 0; n < len(p); {
		word := wordAt(c.at + int64(n))
		for _, b := range word[(c.at+int64(n))%wordSize:] {
			if n == len(p) {
				break
			}
			if p[n] != b {
				return n, errors.New("byte " + strconv.FormatInt(c.at+int64(n), 10) + " differs")
			}
			n++
		}
	}
	c.at += int64(len(p))
	return len(p), nil
}

// Size returns how many bytes have been checked.
func (c *Checker) Size() int64 { return c.at }

// wordAt returns the word that holds the byte at the position.
func wordAt(at int64) [wordSize]byte {
	var w [wordSize]byte
	binary.LittleEndian.PutUint64(w[:], uint64(at/wordSize+1)*multiplier)
	return w
}

// Package pattern generates and verifies bodies of any size whose bytes depend on
// their offset, so that missing, repeated and misplaced parts are detected.
package pattern

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// wordSize is the size of a word in bytes.
	wordSize = 8
	// multiplier is odd, so that no two words of the pattern are equal.
	multiplier = 0x9e3779b97f4a7c15
)

type (
	// Reader reads a prefix of the pattern.
	Reader struct {
		offset, size int64
	}

	// Checker is a writer that compares the bytes written to it with the
	// pattern. The zero value expects the start of the pattern.
	Checker struct {
		offset int64
	}
)

// ErrMismatch is the error for a body that does not match the pattern.
var ErrMismatch = errors.New("body differs")

// New returns a reader of the first size bytes of the pattern.
func New(size int64) *Reader { return &Reader{size: size} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.offset >= r.size {
		return 0, io.EOF
	}
	if left := r.size - r.offset; int64(len(p)) > left {
		p = p[:left]
	}
	for n := 0; n < len(p); {
		word := wordAt(r.offset + int64(n))
		n += copy(p[n:], word[(r.offset+int64(n))%wordSize:])
	}
	r.offset += int64(len(p))
	return len(p), nil
}

// Write implements io.Writer. It returns ErrMismatch with the offset of the first
// byte that differs.
func (c *Checker) Write(p []byte) (int, error) {
	for n := 0; n < len(p); {
		word := wordAt(c.offset + int64(n))
		for _, b := range word[(c.offset+int64(n))%wordSize:] {
			if n == len(p) {
				break
			}
			if p[n] != b {
				return n, errors.Wrapf(ErrMismatch, "byte %d", c.offset+int64(n))
			}
			n++
		}
	}
	c.offset += int64(len(p))
	return len(p), nil
}

// Size returns the number of bytes verified so far.
func (c *Checker) Size() int64 { return c.offset }

// wordAt returns the word that contains the byte at the offset.
func wordAt(offset int64) [wordSize]byte {
	var w [wordSize]byte
	binary.LittleEndian.PutUint64(w[:], uint64(offset/wordSize+1)*multiplier)
	return w
}

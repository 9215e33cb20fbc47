package pattern_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"sassafrastray/internal/standin/pattern"
)

// TestPattern checks that Checker accepts the pattern in parts of any size, and
// that it reports the offset of a changed byte.
func TestPattern(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(1, 5000).Draw(t, "size")
		whole, err := io.ReadAll(iotest.OneByteReader(pattern.New(size)))
		if err != nil || int64(len(whole)) != size {
			t.Fatalf("%d bytes of %d: %v", len(whole), size, err)
		}
		var c pattern.Checker
		for rest := whole; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			if _, err := c.Write(rest[:n]); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		if c.Size() != size {
			t.Fatalf("checked %d of %d", c.Size(), size)
		}
		offset := rapid.IntRange(0, int(size)-1).Draw(t, "offset")
		changed := bytes.Clone(whole)
		changed[offset] ^= 1
		if n, err := new(pattern.Checker).Write(changed); !errors.Is(err, pattern.ErrMismatch) || n != offset {
			t.Fatalf("changed byte %d: %d, %v", offset, n, err)
		}
	})
}

// TestMissingBytes checks that Checker detects missing bytes by those that follow.
func TestMissingBytes(t *testing.T) {
	whole, err := io.ReadAll(pattern.New(1 << 16))
	if err != nil {
		t.Fatal(err)
	}
	for _, gap := range []int{1, 8, 512, 4096, 16384} {
		shortened := append(bytes.Clone(whole[:100]), whole[100+gap:]...)
		if _, err := new(pattern.Checker).Write(shortened); !errors.Is(err, pattern.ErrMismatch) {
			t.Errorf("gap of %d bytes: %v", gap, err)
		}
	}
}

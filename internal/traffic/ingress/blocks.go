package ingress

import (
	"bytes"
	"io"
)

// minBlock and maxBlock are the sizes in bytes of the first and the largest blocks of a
// body of unknown length.
const (
	minBlock = 4 << 10
	maxBlock = 64 << 10
)

// blocks is a body in memory. It grows without being copied, so that it takes about as
// much memory as was reserved for it.
type blocks [][]byte

// readBlocks reads a body to its end, or its first limit bytes. A negative size means
// that its length is unknown.
func readBlocks(r io.Reader, size, limit int) (blocks, error) {
	var b blocks
	// One byte more than the size lets the read that meets the end fit in.
	block, next := make([]byte, 0, min(size+1, limit)), minBlock
	if size < 0 {
		block = make([]byte, 0, min(next, limit))
	}
	for left := limit; left > 0; {
		if len(block) == cap(block) {
			b = append(b, block)
			next = min(2*next, maxBlock)
			block = make([]byte, 0, min(next, left))
		}
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		left -= n
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if len(block) > 0 {
		b = append(b, block)
	}
	return b, nil
}

func (b blocks) size() int {
	n := 0
	for _, block := range b {
		n += len(block)
	}
	return n
}

func (b blocks) reader() io.Reader {
	readers := make([]io.Reader, len(b))
	for i, block := range b {
		readers[i] = bytes.NewReader(block)
	}
	return io.MultiReader(readers...)
}

// join returns the body as one slice.
func (b blocks) join() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}

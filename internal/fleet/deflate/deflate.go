// Package deflate compresses the messages between VMs.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Encoding is the content encoding of a compressed message.
const Encoding = "deflate"

// compressors is a pool, because a compressor takes too much memory to create
// one for each message.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic("deflate: compression level not accepted: " + err.Error())
	}
	return w
}}

// Compress compresses a message.
func Compress(b []byte) []byte {
	var out bytes.Buffer
	w, ok := compressors.Get().(*flate.Writer)
	if !ok {
		panic("deflate: the pool holds a value that is not a compressor")
	}
	defer compressors.Put(w)
	w.Reset(&out)
	_, _ = w.Write(b)
	_ = w.Close()
	return out.Bytes()
}

// Decompress reverses Compress. It returns an error if the result exceeds limit
// bytes.
func Decompress(b []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(b))
	out, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err == nil && len(out) > limit {
		err = errors.New("message too large")
	}
	return out, errors.Wrap(err, "decompress")
}

package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// minCompressSize is the size in bytes above which a heartbeat of a sparse
	// fleet is compressed.
	minCompressSize = 512

	// compressedEncoding is the content encoding of a compressed body.
	compressedEncoding = "deflate"
)

// compressors is a pool, because a compressor takes too much memory to create
// one for each message.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic("peer: compression level not accepted: " + err.Error())
	}
	return w
}}

// compress compresses a message.
func compress(b []byte) []byte {
	var out bytes.Buffer
	w, ok := compressors.Get().(*flate.Writer)
	if !ok {
		panic("peer: the pool holds a value that is not a compressor")
	}
	defer compressors.Put(w)
	w.Reset(&out)
	_, _ = w.Write(b)
	_ = w.Close()
	return out.Bytes()
}

// decompress reverses compress. It returns an error if the result exceeds
// maxMessageSize.
func decompress(b []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(b))
	out, err := io.ReadAll(io.LimitReader(r, maxMessageSize+1))
	if err == nil && len(out) > maxMessageSize {
		err = errors.New("message too large")
	}
	return out, errors.Wrap(err, "decompress")
}

// Encode returns a heartbeat as it is sent. Those of sparse fleets are
// compressed above minCompressSize.
func Encode(h *Heartbeat) []byte {
	b, err := json.Marshal(h)
	if err != nil {
		panic("peer: a heartbeat can't be encoded: " + err.Error())
	}
	if h.Relay == nil || len(b) <= minCompressSize {
		return b
	}
	return compress(b)
}

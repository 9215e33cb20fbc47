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
	// packAbove is the size in bytes above which a heartbeat of a large
	// fleet travels compressed.
	packAbove = 512

	// encoding marks a compressed body.
	encoding = "deflate"
)

// packers holds compressors, which take too much memory to make for each
// message.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic("peer: compression level not accepted: " + err.Error())
	}
	return w
}}

// pack compresses a message.
func pack(b []byte) []byte {
	var out bytes.Buffer
	w, ok := packers.Get().(*flate.Writer)
	if !ok {
		panic("peer: pool holds something else than compressors")
	}
	defer packers.Put(w)
	w.Reset(&out)
	_, _ = w.Write(b)
	_ = w.Close()
	return out.Bytes()
}

// unpack undoes pack. A message that is too large unpacked is an error.
func unpack(b []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(b))
	out, err := io.ReadAll(io.LimitReader(r, maxMessage+1))
	if err == nil && len(out) > maxMessage {
		err = errors.New("message too large")
	}
	return out, errors.Wrap(err, "unpack")
}

// Encode returns a heartbeat as it travels. Those of large fleets are
// compressed.
func Encode(h *Heartbeat) []byte {
	b, err := json.Marshal(h)
	if err != nil {
		panic("peer: a heartbeat can't be encoded: " + err.Error())
	}
	if h.Relay == nil || len(b) <= packAbove {
		return b
	}
	return pack(b)
}

package peer

import (
	"encoding/json"

	"sassafrastray/internal/fleet/deflate"
)

// minCompressSize is the size in bytes above which a heartbeat of a sparse
// fleet is compressed.
const minCompressSize = 512

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
	return deflate.Compress(b)
}

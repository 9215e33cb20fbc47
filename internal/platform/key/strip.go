package key

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// Find returns the key that a request presents, or nil.
func Find(h *fasthttp.RequestHeader) []byte {
	if a := h.Peek(fasthttp.HeaderAuthorization); bytes.HasPrefix(a, []byte("Bearer ")) {
		return bytes.Clone(a[len("Bearer "):])
	}
	return nil
}

// Strip removes the key.
func Strip(h *fasthttp.RequestHeader, _ []byte) {
	h.Del(fasthttp.HeaderAuthorization)
}

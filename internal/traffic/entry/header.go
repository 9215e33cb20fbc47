package entry

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/traffic/hop"
)

// cleanHeader removes what belongs to the connection that a request came on,
// and the headers of the inner protocol.
func cleanHeader(h *fasthttp.RequestHeader) {
	hop.RemoveHeaders(h)
	for _, n := range innerHeaders(h) {
		h.Del(n)
	}
}

func innerHeaders(h *fasthttp.RequestHeader) []string {
	var found []string
	for k := range h.All() {
		if len(k) >= len(peer.Prefix) && strings.EqualFold(string(k[:len(peer.Prefix)]), peer.Prefix) {
			found = append(found, string(k))
		}
	}
	return found
}

// cleanAnswer removes what belongs to the connection that an answer came on,
// and what the system says itself.
func cleanAnswer(h *fasthttp.ResponseHeader) {
	hop.RemoveHeaders(h)
	for _, n := range []string{shedHeader, drainHeader, loadHeader, reasonHeader, resultHeader, peer.BackendHeader} {
		h.Del(n)
	}
}

func setInt(h *fasthttp.RequestHeader, name string, n int64) {
	h.Set(name, strconv.FormatInt(n, 10))
}

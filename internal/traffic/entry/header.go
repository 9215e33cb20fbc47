package entry

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"sassafrastray/internal/fleet/peer"
	"sassafrastray/internal/traffic/hop"
)

// cleanRequestHeader removes the hop-by-hop headers of a request, the headers of the
// protocol between VMs, and the given ones.
func cleanRequestHeader(h *fasthttp.RequestHeader, drop ...string) {
	hop.RemoveHeaders(h, append(peerHeaders(h), drop...)...)
}

// peerHeaders returns the names of the headers that belong to the protocol between
// VMs.
func peerHeaders(h *fasthttp.RequestHeader) []string {
	var found []string
	for k := range h.All() {
		if len(k) >= len(peer.HeaderPrefix) && strings.EqualFold(string(k[:len(peer.HeaderPrefix)]), peer.HeaderPrefix) {
			found = append(found, string(k))
		}
	}
	return found
}

// cleanResponseHeader removes the hop-by-hop headers of a response and the
// headers that the system sets itself.
func cleanResponseHeader(h *fasthttp.ResponseHeader) {
	hop.RemoveHeaders(h, shedHeader, drainHeader, loadHeader, reasonHeader, resultHeader, peer.BackendHeader)
}

func setInt(h *fasthttp.RequestHeader, name string, n int64) {
	h.Set(name, strconv.FormatInt(n, 10))
}

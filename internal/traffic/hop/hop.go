// Package hop handles hop-by-hop headers, which apply to a single connection and
// are not forwarded.
package hop

import "github.com/valyala/fasthttp"

var hopByHopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTE,
	fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
	fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
}

// RemoveHeaders deletes the hop-by-hop headers from the header of a request or
// response.
func RemoveHeaders(h interface{ Del(name string) }) {
	for _, n := range hopByHopHeaders {
		h.Del(n)
	}
}

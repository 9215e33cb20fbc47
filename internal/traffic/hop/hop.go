// Package hop knows the headers that belong to one connection and are not passed
// on.
package hop

import "github.com/valyala/fasthttp"

// headers are the names of such headers.
var headers = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTE,
	fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
	fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
}

// Clean removes the headers from a request's or an answer's header.
func Clean(h interface{ Del(name string) }) {
	for _, n := range headers {
		h.Del(n)
	}
}

package apikey

import (
	"bytes"
	"iter"
	"slices"

	"github.com/valyala/fasthttp"

	"sassafrastray/internal/traffic/hop"
)

// Strip removes the keys from a request: the headers X-Api-Key, Api-Key and
// Authorization with a Bearer token, whatever their value, and every other header,
// query parameter and cookie that contains one of the keys. Everything else stays
// unchanged, including a query parameter "key" whose value is too short to be a
// key. It returns false if the keys cannot be removed, because there are too many
// or one is in the path, the host or the method; such a request must not reach a
// backend server.
//
// The keys in rk point into the request, so rk is invalid afterwards.
func Strip(req *fasthttp.Request, rk RequestKeys) bool {
	if rk.tooMany {
		return false
	}
	for i, k := range rk.keys[:rk.count] {
		rk.keys[i] = bytes.Clone(k)
	}
	h := &req.Header
	if rk.presentIn(h.Host()) || rk.presentIn(h.Method()) {
		return false
	}
	uri, ok := rk.cleanURI(h.RequestURI())
	if !ok {
		return false
	}
	if len(uri) != len(h.RequestURI()) {
		req.SetRequestURIBytes(uri)
	}
	rk.stripCookies(h)
	rk.stripHeaders(h)
	return true
}

func (rk *RequestKeys) stripCookies(h *fasthttp.RequestHeader) {
	var drop []string
	for name, value := range h.Cookies() {
		if rk.presentIn(name) || rk.presentIn(value) {
			drop = append(drop, string(name))
		}
	}
	for _, name := range drop {
		h.DelCookie(name)
	}
}

func (rk *RequestKeys) stripHeaders(h *fasthttp.RequestHeader) {
	var drop []string
	for name, value := range h.All() {
		if rk.mustDrop(name, value) {
			drop = append(drop, string(name))
		}
	}
	hop.Delete(h, drop...)
}

// mustDrop reports whether a header has to be removed.
func (rk *RequestKeys) mustDrop(name, value []byte) bool {
	if slices.ContainsFunc(headerNames, func(s string) bool { return equalFold(name, s) }) {
		return true
	}
	if equalFold(name, headerAuthorization) {
		if _, bearer := cutScheme(value, schemeBearer); bearer || rk.presentInBasic(value) {
			return true
		}
	}
	return rk.presentIn(name) || rk.presentIn(value)
}

// cleanURI returns a request URI without the query parameters that contain a key,
// and without the fragment, which servers do not use. It returns false if a key
// remains.
func (rk *RequestKeys) cleanURI(uri []byte) ([]byte, bool) {
	uri, _, _ = bytes.Cut(uri, []byte("#"))
	path, rest, has := bytes.Cut(uri, []byte("?"))
	if rk.presentIn(path) {
		return nil, false
	}
	if !has {
		return path, true
	}
	out := make([]byte, 0, len(uri))
	out = append(out, path...)
	separator := byte('?')
	for part := range parts(rest) {
		if rk.presentIn(part) || rk.presentIn(formValue(part)) {
			continue
		}
		out = append(append(out, separator), part...)
		separator = '&'
	}
	// A key may span two parameters, neither of which contains it alone.
	return out, !rk.presentIn(out)
}

func query(uri []byte) []byte {
	uri, _, _ = bytes.Cut(uri, []byte("#"))
	_, q, _ := bytes.Cut(uri, []byte("?"))
	return q
}

// parts yields the parameters of a query without decoding them.
func parts(query []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(query) > 0 {
			part, rest, _ := bytes.Cut(query, []byte("&"))
			if !yield(part) {
				return
			}
			query = rest
		}
	}
}

// formValue decodes a name or value of a query parameter.
func formValue(b []byte) []byte {
	if bytes.IndexByte(b, '+') >= 0 {
		b = bytes.ReplaceAll(b, []byte("+"), []byte(" "))
	}
	return unescape(b)
}

// unescape replaces percent escapes. It returns b itself if there are none.
func unescape(b []byte) []byte {
	if bytes.IndexByte(b, '%') < 0 {
		return b
	}
	out := make([]byte, 0, len(b))
	for i := 0; i < len(b); i++ {
		if b[i] == '%' && i+2 < len(b) && hexValue(b[i+1]) >= 0 && hexValue(b[i+2]) >= 0 {
			out = append(out, byte(hexValue(b[i+1])<<4|hexValue(b[i+2])))
			i += 2
			continue
		}
		out = append(out, b[i])
	}
	return out
}

func hexValue(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

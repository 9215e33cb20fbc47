package key

import (
	"bytes"
	"iter"
	"slices"

	"github.com/valyala/fasthttp"
)

// Strip removes the keys from a request: the headers that can carry one,
// whatever their value, and every other header, query parameter and cookie that
// holds one of them. What stays keeps its bytes, as does a parameter key whose
// value is too short for a key. It returns false if the request can't be
// cleaned, because a key is in its path or host; such a request must not reach
// a backend server.
//
// The keys that f holds point into the request, so f is of no use afterwards.
func Strip(req *fasthttp.Request, f Found) bool {
	if f.tooMany {
		return false
	}
	for i, k := range f.keys[:f.count] {
		f.keys[i] = bytes.Clone(k)
	}
	h := &req.Header
	if f.in(h.Host()) || f.in(h.Method()) {
		return false
	}
	uri, ok := f.cleanURI(h.RequestURI())
	if !ok {
		return false
	}
	if len(uri) != len(h.RequestURI()) {
		req.SetRequestURIBytes(uri)
	}
	f.stripCookies(h)
	f.stripHeaders(h)
	return true
}

func (f *Found) stripCookies(h *fasthttp.RequestHeader) {
	var drop []string
	for name, value := range h.Cookies() {
		if f.in(name) || f.in(value) {
			drop = append(drop, string(name))
		}
	}
	for _, name := range drop {
		h.DelCookie(name)
	}
}

func (f *Found) stripHeaders(h *fasthttp.RequestHeader) {
	var drop []string
	for name, value := range h.All() {
		if f.carries(name, value) {
			drop = append(drop, string(name))
		}
	}
	for _, name := range drop {
		h.Del(name)
	}
}

// carries tells whether a header has to go.
func (f *Found) carries(name, value []byte) bool {
	if slices.ContainsFunc(headerNames, func(s string) bool { return equalFold(name, s) }) {
		return true
	}
	if equalFold(name, headerAuthorization) {
		if _, bearer := cutScheme(value, schemeBearer); bearer || f.inCredentials(value) {
			return true
		}
	}
	return f.in(name) || f.in(value)
}

// cleanURI returns a request URI without the query parameters that carry a
// key, and without a fragment, which no server has a use for.
func (f *Found) cleanURI(uri []byte) ([]byte, bool) {
	uri, _, _ = bytes.Cut(uri, []byte("#"))
	path, rest, has := bytes.Cut(uri, []byte("?"))
	if f.in(path) {
		return nil, false
	}
	if !has {
		return path, true
	}
	out := make([]byte, 0, len(uri))
	out = append(out, path...)
	separator := byte('?')
	for part := range parts(rest) {
		if f.in(part) || f.in(formValue(part)) {
			continue
		}
		out = append(append(out, separator), part...)
		separator = '&'
	}
	// A key may span two parameters that are harmless each.
	return out, !f.in(out)
}

func query(uri []byte) []byte {
	uri, _, _ = bytes.Cut(uri, []byte("#"))
	_, q, _ := bytes.Cut(uri, []byte("?"))
	return q
}

// parts yields the parameters of a query as they stand in it.
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

// formValue decodes a name or value of a query.
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

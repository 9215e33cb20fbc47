package apikey

import (
	"bytes"
	"encoding/base64"
	"strings"

	"github.com/valyala/fasthttp"
)

// Names of the headers, schemes and cookie that can carry a key. On a route that
// requires a key, these headers never reach a backend server.
const (
	headerAuthorization = "Authorization"
	schemeBearer        = "bearer "
	schemeBasic         = "basic "
	cookieKey           = "key"
)

// maxKeys bounds the different keys that are kept of one request. No legitimate
// caller sends more.
const maxKeys = 4

var (
	headerNames = []string{"X-Api-Key", "Api-Key"}
	queryNames  = []string{"key", "api_key"}
)

// RequestKeys holds the keys that came with a request. The first identifies the
// team; the others are kept so that Strip removes them too. They point into the
// request and are valid as long as its header is not changed.
type RequestKeys struct {
	keys  [maxKeys][]byte
	count int
	// tooMany is set if the request has more than maxKeys keys.
	tooMany bool
}

// Find returns the keys of a request. The order of precedence is: the header
// Authorization with the scheme Bearer, the headers X-Api-Key and Api-Key, the
// query parameters key and api_key, and the cookie key.
func Find(req *fasthttp.Request) RequestKeys {
	var rk RequestKeys
	h := &req.Header
	for name, value := range h.All() {
		if equalFold(name, headerAuthorization) {
			if token, ok := cutScheme(value, schemeBearer); ok {
				rk.add(token)
			}
		}
	}
	for _, carrier := range headerNames {
		for name, value := range h.All() {
			if equalFold(name, carrier) {
				rk.add(bytes.TrimSpace(value))
			}
		}
	}
	for _, carrier := range queryNames {
		for part := range parts(query(h.RequestURI())) {
			if name, value, _ := bytes.Cut(part, []byte("=")); string(formValue(name)) == carrier {
				rk.add(formValue(value))
			}
		}
	}
	for name, value := range h.Cookies() {
		if string(name) == cookieKey {
			rk.add(value)
		}
	}
	return rk
}

// Key returns the key that identifies the team. It returns false if the request
// has no key, or too many for Strip to remove.
func (rk *RequestKeys) Key() ([]byte, bool) {
	if rk.count == 0 || rk.tooMany {
		return nil, false
	}
	return rk.keys[0], true
}

func (rk *RequestKeys) add(k []byte) {
	if len(k) < MinLen {
		return
	}
	for _, have := range rk.keys[:rk.count] {
		if bytes.Equal(have, k) {
			return
		}
	}
	if rk.count == maxKeys {
		rk.tooMany = true
		return
	}
	rk.keys[rk.count] = k
	rk.count++
}

// presentIn reports whether b contains one of the keys, verbatim or with percent
// escapes.
func (rk *RequestKeys) presentIn(b []byte) bool {
	if rk.presentVerbatim(b) {
		return true
	}
	// Each round removes one layer of escapes.
	for range 3 {
		if bytes.IndexByte(b, '%') < 0 {
			return false
		}
		if b = unescape(b); rk.presentVerbatim(b) {
			return true
		}
	}
	return false
}

func (rk *RequestKeys) presentVerbatim(b []byte) bool {
	for _, k := range rk.keys[:rk.count] {
		if bytes.Contains(b, k) {
			return true
		}
	}
	return false
}

// presentInBasic reports whether credentials of the scheme Basic contain a key.
// Credentials that cannot be decoded are assumed to contain one.
func (rk *RequestKeys) presentInBasic(value []byte) bool {
	text, ok := cutScheme(value, schemeBasic)
	if !ok {
		return false
	}
	plain, err := base64.StdEncoding.DecodeString(string(text))
	return err != nil || rk.presentIn(plain)
}

// cutScheme returns the part of value after the scheme, which must be given in
// lower case with a space at the end.
func cutScheme(value []byte, scheme string) ([]byte, bool) {
	value = bytes.TrimSpace(value)
	if len(value) < len(scheme) || !equalFold(value[:len(scheme)], scheme) {
		return nil, false
	}
	return bytes.TrimSpace(value[len(scheme):]), true
}

func equalFold(b []byte, s string) bool {
	return len(b) == len(s) && strings.EqualFold(string(b), s)
}

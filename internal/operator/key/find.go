package key

import (
	"bytes"
	"encoding/base64"
	"strings"

	"github.com/valyala/fasthttp"
)

// Names of what can carry a key. On a route that asks for a key, the headers
// are the system's own: they never reach a backend server.
const (
	headerAuthorization = "Authorization"
	schemeBearer        = "bearer "
	schemeBasic         = "basic "
	cookieKey           = "key"
)

// maxFound is how many different keys of one request are looked after. A
// request with more is not a caller's honest one.
const maxFound = 4

var (
	headerNames = []string{"X-Api-Key", "Api-Key"}
	queryNames  = []string{"key", "api_key"}
)

// Found are the keys that came with a request. The first is the one that
// counts; the others are only there to be removed. They point into the
// request and are valid as long as its header is not changed.
type Found struct {
	keys  [maxFound][]byte
	count int
	// tooMany is set if the request has more keys than fit.
	tooMany bool
}

// Find returns the keys of a request. The order of precedence is the header
// Authorization with the scheme Bearer, the headers X-Api-Key and Api-Key, the
// query parameters key and api_key, and the cookie key.
func Find(req *fasthttp.Request) Found {
	var f Found
	h := &req.Header
	for name, value := range h.All() {
		if equalFold(name, headerAuthorization) {
			if token, ok := cutScheme(value, schemeBearer); ok {
				f.add(token)
			}
		}
	}
	for _, carrier := range headerNames {
		for name, value := range h.All() {
			if equalFold(name, carrier) {
				f.add(bytes.TrimSpace(value))
			}
		}
	}
	for _, carrier := range queryNames {
		for part := range parts(query(h.RequestURI())) {
			if name, value, _ := bytes.Cut(part, []byte("=")); string(formValue(name)) == carrier {
				f.add(formValue(value))
			}
		}
	}
	for name, value := range h.Cookies() {
		if string(name) == cookieKey {
			f.add(value)
		}
	}
	return f
}

// Key returns the key that counts. It is false if the request has none, or so
// many that it can't be cleaned of them.
func (f *Found) Key() ([]byte, bool) {
	if f.count == 0 || f.tooMany {
		return nil, false
	}
	return f.keys[0], true
}

func (f *Found) add(k []byte) {
	if len(k) < MinLen {
		return
	}
	for _, have := range f.keys[:f.count] {
		if bytes.Equal(have, k) {
			return
		}
	}
	if f.count == maxFound {
		f.tooMany = true
		return
	}
	f.keys[f.count] = k
	f.count++
}

// in tells whether b holds one of the keys, as it is or with percent escapes.
func (f *Found) in(b []byte) bool {
	if f.inside(b) {
		return true
	}
	// Each round takes one layer of escapes away.
	for range 3 {
		if bytes.IndexByte(b, '%') < 0 {
			return false
		}
		if b = unescape(b); f.inside(b) {
			return true
		}
	}
	return false
}

func (f *Found) inside(b []byte) bool {
	for _, k := range f.keys[:f.count] {
		if bytes.Contains(b, k) {
			return true
		}
	}
	return false
}

// inCredentials tells whether credentials of the scheme Basic hold a key.
func (f *Found) inCredentials(value []byte) bool {
	text, ok := cutScheme(value, schemeBasic)
	if !ok {
		return false
	}
	plain, err := base64.StdEncoding.DecodeString(string(text))
	return err != nil || f.in(plain)
}

// cutScheme returns what follows the scheme, which is in lower case and ends
// with a space.
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

// Package hop handles hop-by-hop headers, which apply to a single connection and
// are not forwarded.
package hop

import (
	"bytes"
	"iter"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

var hopByHopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTE,
	fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
	fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
}

type (
	// Header is the header of a request or response.
	Header interface {
		All() iter.Seq2[[]byte, []byte]
		PeekAll(name string) [][]byte
		Add(name, value string)
		Del(name string)
	}

	field struct{ name, value string }
)

// RemoveHeaders deletes the hop-by-hop headers from the header of a request or
// response, including those that Connection names, and the given ones.
func RemoveHeaders(h Header, names ...string) {
	remove(h, hopByHopHeaders, namedFields(h), names)
}

// namedFields returns the fields that Connection names, without Host.
func namedFields(h Header) []string {
	var named []string
	found := false
	add := func(value []byte) {
		for name := range bytes.SplitSeq(value, []byte{','}) {
			if name = bytes.TrimSpace(name); len(name) > 0 && !strings.EqualFold(string(name), fasthttp.HeaderHost) {
				named = append(named, string(name))
			}
		}
	}
	for name, value := range h.All() {
		if string(name) == fasthttp.HeaderConnection {
			found = true
			add(value)
		}
	}
	if r, ok := h.(interface{ RawHeaders() []byte }); ok && found {
		// Of several fields fasthttp keeps the last one, which may name no field to remove.
		inside := false
		for line := range bytes.Lines(r.RawHeaders()) {
			name, value, _ := bytes.Cut(line, []byte{':'})
			if folded := line[0] == ' ' || line[0] == '\t'; folded {
				value = line
			} else {
				inside = strings.EqualFold(string(name), fasthttp.HeaderConnection)
			}
			if inside {
				add(value)
			}
		}
	}
	return named
}

// Delete deletes fields from a header. The values of fields that stay keep their order,
// which they lose in Del.
func Delete(h Header, names ...string) { remove(h, names) }

func remove(h Header, lists ...[]string) {
	repeated := repeatedFields(h)
	for _, names := range lists {
		for _, name := range names {
			h.Del(name)
		}
	}
	repeated = slices.DeleteFunc(repeated, func(f field) bool { return len(h.PeekAll(f.name)) == 0 })
	for _, f := range repeated {
		h.Del(f.name)
	}
	for _, f := range repeated {
		h.Add(f.name, f.value)
	}
}

// repeatedFields returns the fields whose names occur more than once.
func repeatedFields(h Header) []field {
	var buf [24][]byte
	names, repeats := buf[:0], false
	for name := range h.All() {
		repeats = repeats || slices.ContainsFunc(names, func(n []byte) bool { return bytes.Equal(n, name) })
		names = append(names, name)
	}
	if !repeats {
		return nil
	}
	count := make(map[string]int)
	var fields []field
	for name, value := range h.All() {
		count[string(name)]++
		fields = append(fields, field{string(name), string(value)})
	}
	return slices.DeleteFunc(fields, func(f field) bool { return count[f.name] == 1 })
}

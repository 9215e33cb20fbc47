package route

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sassafrastray"
)

func segments(path string) []string {
	return strings.FieldsFunc(path, func(c rune) bool { return c == '/' })
}

// matchSegments is the oracle: it finds a route by comparing path segments.
func matchSegments(s *sassafrastray.Service, path, method string) (sassafrastray.RouteName, sassafrastray.Reason) {
	best, found, reason := -1, sassafrastray.RouteName(""), sassafrastray.ReasonPath
	for _, r := range s.Routes {
		want, have := segments(r.Path), segments(path)
		if len(want) > len(have) || !slices.Equal(want, have[:len(want)]) {
			continue
		}
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			if reason == sassafrastray.ReasonPath {
				reason = sassafrastray.ReasonMethod
			}
			continue
		}
		reason = sassafrastray.ReasonOK
		if len(want) > best {
			best, found = len(want), r.Name
		}
	}
	return found, reason
}

func drawPath(t *rapid.T) string {
	return "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "ab", "b"}), 0, 3).Draw(t, "path"), "/")
}

// TestMatchAgainstSegments compares the table with matchSegments.
func TestMatchAgainstSegments(t *testing.T) {
	methods := []string{"GET", "POST", "PUT"}
	rapid.Check(t, func(t *rapid.T) {
		s := sassafrastray.Service{Name: "orders", Hosts: []string{"orders.example"}}
		seen := map[string]bool{}
		for i := range rapid.IntRange(0, 6).Draw(t, "routes") {
			r := sassafrastray.Route{Name: sassafrastray.RouteName(rune('a' + i)), Path: drawPath(t)}
			r.Methods = rapid.SliceOfNDistinct(rapid.SampledFrom(methods), 0, 2, rapid.ID[string]).Draw(t, "methods")
			// Routes that the configuration loader would reject as
			// overlapping are left out.
			allowed := r.Methods
			if len(allowed) == 0 {
				allowed = methods
			}
			if slices.ContainsFunc(allowed, func(m string) bool { return seen[r.Path+m] }) {
				continue
			}
			for _, m := range allowed {
				seen[r.Path+m] = true
			}
			s.Routes = append(s.Routes, r)
		}
		table := New(&sassafrastray.Config{Services: []sassafrastray.Service{s}})
		path, method := drawPath(t), rapid.SampledFrom(methods).Draw(t, "method")
		if rapid.Bool().Draw(t, "slash") {
			path += "/"
		}
		got := table.Match("orders.example", path, method)
		name, reason := matchSegments(&s, path, method)
		if got.Reason != reason || (got.Route == nil) != (name == "") || got.Route != nil && got.Route.Name != name {
			t.Fatalf("%s %s: %+v, want %q %s, of %+v", method, path, got, name, reason, s.Routes)
		}
	})
}

func TestMatchHost(t *testing.T) {
	table := New(&sassafrastray.Config{Services: []sassafrastray.Service{{
		Name: "orders", Hosts: []string{"orders.example", "localhost"},
		Routes: []sassafrastray.Route{{Name: "all", Path: "/"}},
	}}})
	tests := map[string]sassafrastray.Reason{
		"orders.example":      sassafrastray.ReasonOK,
		"orders.example:8080": sassafrastray.ReasonOK,
		"Orders.Example":      sassafrastray.ReasonOK,
		"orders.example.":     sassafrastray.ReasonOK,
		"localhost:1":         sassafrastray.ReasonOK,
		"":                    sassafrastray.ReasonHost,
		"example":             sassafrastray.ReasonHost,
		"xorders.example":     sassafrastray.ReasonHost,
		"[::1]:80":            sassafrastray.ReasonHost,
		":80":                 sassafrastray.ReasonHost,
	}
	for host, want := range tests {
		if m := table.Match(host, "/x", "GET"); m.Reason != want {
			t.Errorf("%q: %s, want %s", host, m.Reason, want)
		}
	}
	if n := testing.AllocsPerRun(100, func() { table.Match("orders.example:8080", "/x", "GET") }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

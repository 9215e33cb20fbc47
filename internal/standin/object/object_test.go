package object_test

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"sassafrastray"
	"sassafrastray/internal/standin/object"
)

// model is the oracle: every write that took effect, in order, and what a
// reader that follows the changes of each prefix has pieced together.
type model struct {
	table  *object.Table
	log    []sassafrastray.Object
	mirror map[string]map[string]string
	seen   map[string]int64
}

var (
	keys     = rapid.SampledFrom([]string{"a", "a/1", "a/2", "b/1", "b/2"})
	prefixes = rapid.SampledFrom([]string{"", "a", "a/", "b/"})
)

// TestTable holds that writes take effect only on the version that they name,
// that versions grow, and that reads and changes show just the writes that took
// effect.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{object.New(), nil, map[string]map[string]string{}, map[string]int64{}}
		t.Repeat(map[string]func(*rapid.T){
			"put":    m.put,
			"delete": m.delete,
			"follow": m.follow,
			"":       m.check,
		})
	})
}

// last returns the last write of the key, a deletion if there was none.
func (m *model) last(key string) sassafrastray.Object {
	for _, o := range slices.Backward(m.log) {
		if o.Key == key {
			return o
		}
	}
	return sassafrastray.Object{Key: key, Deleted: true}
}

// expected draws the version that a writer has in mind: mostly the true one.
func (m *model) expected(t *rapid.T, key string) int64 {
	if rapid.IntRange(0, 2).Draw(t, "guess") == 0 {
		return rapid.Int64Range(0, int64(len(m.log)+1)).Draw(t, "version")
	}
	return m.current(key)
}

func (m *model) current(key string) int64 {
	if o := m.last(key); !o.Deleted {
		return o.Version
	}
	return 0
}

func (m *model) put(t *rapid.T) {
	key, value := keys.Draw(t, "key"), rapid.StringN(0, 3, 3).Draw(t, "value")
	expected := m.expected(t, key)
	v, err := m.table.Put(key, []byte(value), expected)
	if (err == nil) != (expected == m.current(key)) {
		t.Fatalf("put %s at %d, is at %d: %v", key, expected, m.current(key), err)
	}
	if err == nil {
		m.write(t, sassafrastray.Object{Key: key, Version: v, Value: []byte(value)})
	} else if !errors.Is(err, sassafrastray.ErrConflict) {
		t.Fatal(err)
	}
}

func (m *model) delete(t *rapid.T) {
	key := keys.Draw(t, "key")
	expected, current := m.expected(t, key), m.current(key)
	v, err := m.table.Delete(key, expected)
	switch {
	case current == 0 && errors.Is(err, sassafrastray.ErrNotFound):
	case current != 0 && expected != current && errors.Is(err, sassafrastray.ErrConflict):
	case current != 0 && expected == current && err == nil:
		m.write(t, sassafrastray.Object{Key: key, Version: v, Deleted: true})
	default:
		t.Fatalf("delete %s at %d, is at %d: %v", key, expected, current, err)
	}
}

func (m *model) write(t *rapid.T, o sassafrastray.Object) {
	if n := len(m.log); n > 0 && o.Version <= m.log[n-1].Version {
		t.Fatalf("version %d after %d", o.Version, m.log[n-1].Version)
	}
	m.log = append(m.log, o)
}

// follow applies the changes since the last time to the mirror of a prefix,
// which then has to be what the log says.
func (m *model) follow(t *rapid.T) {
	prefix := prefixes.Draw(t, "prefix")
	mirror := m.mirror[prefix]
	if mirror == nil {
		mirror = map[string]string{}
		m.mirror[prefix] = mirror
	}
	for _, o := range m.table.Changes(prefix, m.seen[prefix]) {
		if o.Deleted {
			delete(mirror, o.Key)
		} else {
			mirror[o.Key] = string(o.Value)
		}
	}
	m.seen[prefix] = m.table.Revision()
	if want := m.values(prefix); !maps.Equal(mirror, want) {
		t.Fatalf("below %q: followed %v, want %v", prefix, mirror, want)
	}
	if again := m.table.Changes(prefix, m.seen[prefix]); m.seen[prefix] > 0 && len(again) > 0 {
		t.Fatalf("changes without a write: %v", again)
	}
}

func (m *model) check(t *rapid.T) {
	listed := map[string]string{}
	for _, o := range m.table.List("") {
		listed[o.Key] = string(o.Value)
		got, err := m.table.Get(o.Key)
		if err != nil || got.Version != m.last(o.Key).Version {
			t.Fatalf("get %s: %+v, %v", o.Key, got, err)
		}
	}
	if want := m.values(""); !maps.Equal(listed, want) {
		t.Fatalf("listed %v, want %v", listed, want)
	}
}

func (m *model) values(prefix string) map[string]string {
	values := map[string]string{}
	for _, o := range m.log {
		if o.Deleted {
			delete(values, o.Key)
		} else if strings.HasPrefix(o.Key, prefix) {
			values[o.Key] = string(o.Value)
		}
	}
	return values
}

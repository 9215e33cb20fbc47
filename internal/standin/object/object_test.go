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

// model is the reference that the table is compared with: every write that
// took effect, in order, and for each prefix the replica that a reader builds
// from the changes, with the revision up to which it has read.
type model struct {
	table    *object.Table
	log      []sassafrastray.Object
	replicas map[string]map[string]string
	seen     map[string]int64
}

var (
	keys     = rapid.SampledFrom([]string{"a", "a/1", "a/2", "b/1", "b/2"})
	prefixes = rapid.SampledFrom([]string{"", "a", "a/", "b/"})
)

// TestTable checks that a write takes effect only if it names the current
// version, that versions increase, and that reads and changes show exactly the
// writes that took effect.
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

// last returns the last write of the key, or a deletion if there was none.
func (m *model) last(key string) sassafrastray.Object {
	for _, o := range slices.Backward(m.log) {
		if o.Key == key {
			return o
		}
	}
	return sassafrastray.Object{Key: key, Deleted: true}
}

// expected draws the version that a writer names: the current one in most cases.
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
		t.Fatalf("put %s with version %d, current version %d: %v", key, expected, m.current(key), err)
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
		t.Fatalf("delete %s with version %d, current version %d: %v", key, expected, current, err)
	}
}

func (m *model) write(t *rapid.T, o sassafrastray.Object) {
	if n := len(m.log); n > 0 && o.Version <= m.log[n-1].Version {
		t.Fatalf("version %d after %d", o.Version, m.log[n-1].Version)
	}
	m.log = append(m.log, o)
}

// follow applies the changes since the last call to the replica of a prefix
// and compares the replica with the log.
func (m *model) follow(t *rapid.T) {
	prefix := prefixes.Draw(t, "prefix")
	replica := m.replicas[prefix]
	if replica == nil {
		replica = map[string]string{}
		m.replicas[prefix] = replica
	}
	for _, o := range m.table.Changes(prefix, m.seen[prefix]) {
		if o.Deleted {
			delete(replica, o.Key)
		} else {
			replica[o.Key] = string(o.Value)
		}
	}
	m.seen[prefix] = m.table.Revision()
	if want := m.values(prefix); !maps.Equal(replica, want) {
		t.Fatalf("prefix %q: replica %v, want %v", prefix, replica, want)
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

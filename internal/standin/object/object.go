// Package object is an in-memory, versioned object store: the storage of the
// simulated platform.
package object

import (
	"slices"
	"strings"

	"sassafrastray"
)

// Table is the state of an object store: objects by key, and tombstones of
// those that were deleted. An object's version is the revision of the whole
// table at its last write. Table is not safe for concurrent use.
type Table struct {
	objects  map[string]sassafrastray.Object
	revision int64
}

// New returns an empty table.
func New() *Table { return &Table{objects: map[string]sassafrastray.Object{}} }

// Revision returns the version of the last write, 0 before the first.
func (t *Table) Revision() int64 { return t.revision }

// Get returns the object, or ErrNotFound if it is absent or deleted.
func (t *Table) Get(key string) (sassafrastray.Object, error) {
	o, ok := t.objects[key]
	if !ok || o.Deleted {
		return sassafrastray.Object{}, sassafrastray.ErrNotFound
	}
	return o, nil
}

// Put writes the value if the object's version is version (0 for an absent
// key) and returns the new version, or ErrConflict. The table retains value;
// the caller must not change it afterwards.
func (t *Table) Put(key string, value []byte, version int64) (int64, error) {
	if o, err := t.Get(key); (err == nil && o.Version != version) || (err != nil && version != 0) {
		return 0, sassafrastray.ErrConflict
	}
	t.revision++
	t.objects[key] = sassafrastray.Object{Key: key, Version: t.revision, Value: value}
	return t.revision, nil
}

// Delete removes the object if its version is version and returns the
// deletion's own version, or ErrConflict, or ErrNotFound for an absent key.
func (t *Table) Delete(key string, version int64) (int64, error) {
	o, err := t.Get(key)
	if err != nil {
		return 0, err
	}
	if o.Version != version {
		return 0, sassafrastray.ErrConflict
	}
	t.revision++
	t.objects[key] = sassafrastray.Object{Key: key, Version: t.revision, Deleted: true}
	return t.revision, nil
}

// List returns the objects whose keys have the prefix, sorted by key.
func (t *Table) List(prefix string) []sassafrastray.Object { return t.Changes(prefix, 0) }

// Changes returns the objects whose keys have the prefix and which were written
// after the revision, sorted by key. Deletions are included unless after is 0.
func (t *Table) Changes(prefix string, after int64) []sassafrastray.Object {
	found := []sassafrastray.Object{}
	for key, o := range t.objects {
		if strings.HasPrefix(key, prefix) && o.Version > after && (after > 0 || !o.Deleted) {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b sassafrastray.Object) int { return strings.Compare(a.Key, b.Key) })
	return found
}

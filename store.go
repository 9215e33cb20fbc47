package sassafrastray

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Store and MetadataStore, to be checked with errors.Is.
var (
	// ErrConflict means that the object's version was not the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("not found")
	// ErrUnknown means that it is not known whether a write took effect.
	ErrUnknown = errors.New("unknown outcome")
	// ErrUnavailable means that the store did not accept the call.
	ErrUnavailable = errors.New("store unavailable")
)

type (
	// Object is a value in the platform's object store. Version is unique
	// to each write of the key and grows; 0 means that the key is absent.
	Object struct {
		Key     string `json:"key"`
		Version int64  `json:"version"`
		Value   []byte `json:"value,omitempty"`
		Deleted bool   `json:"deleted,omitempty"`
	}

	// Store is the platform's object store. Keys are paths with slashes,
	// values have at most MaxObjectBytes bytes.
	Store interface {
		// Get returns the object or ErrNotFound.
		Get(ctx context.Context, key string) (Object, error)
		// Put writes value if the object's version still equals version (0 for
		// an absent key) and returns the new version. It returns ErrConflict
		// if the version differs, and ErrUnknown if no response arrived.
		Put(ctx context.Context, key string, value []byte, version int64) (int64, error)
		// Delete removes the key under the same condition as Put.
		Delete(ctx context.Context, key string, version int64) error
		// List returns the objects whose keys have the prefix, sorted by key.
		List(ctx context.Context, prefix string) ([]Object, error)
		// Watch waits until objects with the prefix have changed since the
		// store's revision after, and returns them with the revision to
		// continue from. It returns no objects when wait has passed.
		Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Object, int64, error)
	}

	// VMList is the platform's list of VMs. It may be out of date.
	VMList interface {
		VMs(ctx context.Context) ([]VM, error)
	}
)

// MaxObjectBytes is the size of the largest value that the store accepts.
const MaxObjectBytes = 1 << 20

// Outcome returns the label that metrics use for the result of a store call.
func Outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrNotFound):
		return "absent"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrUnknown):
		return "unknown"
	}
	return "unavailable"
}

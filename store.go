package sassafrastray

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcomes of calls to the object store that callers act on.
var (
	// ErrConflict means that the object's version was not the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("not found")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("unknown outcome")
	// ErrUnavailable means that the store did not take the call.
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
	// values are at most MaxObject bytes.
	Store interface {
		// Get returns the object or ErrNotFound.
		Get(ctx context.Context, key string) (Object, error)
		// Put writes value if the object's version is still version (0 for
		// an absent key) and returns the new version. It returns
		// ErrConflict if it is not, and ErrUnknown if no answer came.
		Put(ctx context.Context, key string, value []byte, version int64) (int64, error)
		// Delete removes the key under the same condition as Put.
		Delete(ctx context.Context, key string, version int64) error
		// List returns the objects whose keys have the prefix, by key.
		List(ctx context.Context, prefix string) ([]Object, error)
		// Watch waits until objects below prefix have changed since the
		// store's revision after, and returns them with the revision to
		// continue from. It returns no objects when wait has passed.
		Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Object, int64, error)
	}

	// VMList is the platform's list of VMs. It lags behind the truth.
	VMList interface {
		VMs(ctx context.Context) ([]VM, error)
	}
)

// MaxObject is the size of the largest value that the store holds, in bytes.
const MaxObject = 1 << 20

// Outcome names the outcome of a call to the store, for metrics.
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

package sassafrastray

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Topics of the platform.
const (
	TopicConfig      Topic = "config"
	TopicBackends    Topic = "backends"
	TopicRollouts    Topic = "rollouts"
	TopicEvacuations Topic = "evacuations"
	TopicVMs         Topic = "vms"
)

// ErrCompacted means that the history to continue from is gone, so that the
// topic has to be read anew.
var ErrCompacted = errors.New("history is gone")

type (
	// Topic is one kind of entry that the platform keeps.
	Topic string

	// Entry is one entry of a topic. The field for its topic is set, unless
	// the entry is gone or could not be read; then Fault says why.
	Entry struct {
		Name string `json:"name"`
		// Revision is the store's revision at the entry's last change.
		Revision int64          `json:"revision"`
		Gone     bool           `json:"gone,omitempty"`
		Fault    string         `json:"fault,omitempty"`
		Config   *Config        `json:"config,omitempty"`
		Backend  *BackendServer `json:"backend,omitempty"`
		Rollout  *Rollout       `json:"rollout,omitempty"`
		VM       *VM            `json:"vm,omitempty"`
	}

	// Batch is what one read or watch of a topic brought.
	Batch struct {
		Topic Topic `json:"topic"`
		// Revision is the store's revision to continue from.
		Revision int64 `json:"revision"`
		// Whole means that entries which are not in the batch do not exist.
		Whole bool `json:"whole,omitempty"`
		// After is the revision of the latest change before those of a batch
		// that one VM passes on to another.
		After int64 `json:"after,omitempty"`
		// Mended is how long ago the VM that passes the batch on reached the
		// store again after an outage, or zero if there was none lately.
		Mended  time.Duration `json:"mended,omitempty"`
		Entries []Entry       `json:"entries"`
	}

	// Feed is the platform as one entry VM uses it: what operators and
	// backend servers say, and the few things that VMs write. All calls
	// return ErrUnavailable, ErrUnknown, ErrConflict or ErrNotFound, as
	// Store does.
	Feed interface {
		// Read returns all entries of a topic. With stale set, it may be
		// seconds old and costs little.
		Read(ctx context.Context, t Topic, stale bool) (Batch, error)
		// Follow waits until entries have changed since the revision after.
		// It returns an empty batch when wait has passed, and ErrCompacted
		// if the changes are no longer known.
		Follow(ctx context.Context, t Topic, after int64, wait time.Duration) (Batch, error)
		// Report writes a rollout's state and share if the entry's revision
		// is still revision, and returns the new one.
		Report(ctx context.Context, r Rollout, revision int64) (int64, error)
		// Register makes the VM known to VMs that start later.
		Register(ctx context.Context, vm VM) error
		// Retire removes a VM that is gone for good.
		Retire(ctx context.Context, name VMName) error
	}
)

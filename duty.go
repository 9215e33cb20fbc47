package sassafrastray

import (
	"context"

	"github.com/cockroachdb/errors"
)

// DutyUsageReport is the duty to send usage reports.
const DutyUsageReport DutyName = "usage"

// ErrLimited means that the receiver had too many calls within a second and did not
// accept this one.
var ErrLimited = errors.New("rate limit of the receiver exceeded")

type (
	// DutyName names a duty that one VM of the fleet performs at a time.
	DutyName string

	// DutyStore holds the record of each duty. Its methods return ErrUnavailable,
	// ErrUnknown, ErrConflict or ErrNotFound, as MetadataStore does.
	DutyStore interface {
		// ReadDuty returns the record, a JSON value, and its position. With ErrNotFound,
		// the position is the one at which the record can be created.
		ReadDuty(ctx context.Context, name DutyName) (record []byte, at Position, err error)
		// WriteDuty writes the record if its position is still at, or creates it if the
		// revision of at is zero, and returns the new position.
		WriteDuty(ctx context.Context, name DutyName, record []byte, at Position) (Position, error)
	}

	// UsageReport is the number of requests of each team that began to run at backend
	// servers within one window of the wall clock.
	UsageReport struct {
		// Holder is the VM that sends the report, and Generation its fencing token.
		Holder     VMName
		Generation int64
		// Window counts the windows since 1970.
		Window int64
		Counts map[TeamName]int64
	}

	// UsageReporter sends usage reports to the platform.
	UsageReporter interface {
		// ReportUsage returns nil if the platform accepted the report, ErrLimited if it
		// was sent too soon after others, ErrUnavailable if it was not sent,
		// ErrUnknown if its outcome is not known, and another error if the platform
		// rejected it. It asks mayWrite right before it writes, after the
		// connection is made, and writes nothing once that returns false.
		ReportUsage(ctx context.Context, r UsageReport, mayWrite func() bool) error
	}
)

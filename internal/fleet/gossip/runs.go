package gossip

import (
	"encoding/base64"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/traffic/report"
)

// SetRuns sets the runs that the heartbeat has.
func (h *Heartbeat) SetRuns(runs []report.Run) {
	h.Runs = base64.StdEncoding.EncodeToString(report.Encode(runs))
}

// DecodeRuns returns the runs that the heartbeat has. Runs is a string, since a field of
// bytes that cannot be decoded would make the whole heartbeat undecodable.
func (h *Heartbeat) DecodeRuns() ([]report.Run, error) {
	if len(h.Runs) > base64.StdEncoding.EncodedLen(report.MaxRuns*report.Size) {
		return nil, errors.Newf("runs of %d characters", len(h.Runs))
	}
	b, err := base64.StdEncoding.DecodeString(h.Runs)
	if err != nil {
		return nil, errors.Wrap(err, "runs")
	}
	return report.Decode(b)
}

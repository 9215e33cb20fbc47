package load

import (
	"context"
	"time"

	"sassafrastray"
)

// SystemPacer is a Pacer that uses the system clock.
type SystemPacer struct{ sassafrastray.SystemClock }

// Sleep implements Pacer.
func (p SystemPacer) Sleep(ctx context.Context, until time.Time) error {
	d := until.Sub(p.Now())
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

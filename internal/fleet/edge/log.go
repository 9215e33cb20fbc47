package edge

import (
	"strconv"

	"sassafrastray/internal/operator/message"
	"sassafrastray/internal/traffic/placement"
	"sassafrastray/internal/traffic/quarantine"
)

// logQuarantine logs the requests that are kept from backend servers, the trials and the
// ends.
func (v *VM) logQuarantine(events []quarantine.Event) {
	for _, e := range events {
		args := []any{"fingerprint", strconv.FormatUint(uint64(e.Fingerprint), 16), "service", e.Service, "crashes", e.Crashes, "from", e.From}
		switch e.Kind {
		case quarantine.Begun:
			v.log.Warn(message.QuarantineBegun, append(args, "for", e.Term)...)
		case quarantine.Trial:
			v.log.Warn(message.QuarantineTrial, args...)
		case quarantine.Ended:
			v.log.Info(message.QuarantineEnded, args...)
		}
	}
}

// logServerEvents logs the backend servers that placement stopped or resumed using, and
// the limits that they name.
func (v *VM) logServerEvents(events []placement.Event) {
	for _, e := range events {
		switch {
		case e.Limit > 0:
			v.log.Warn(message.ServerLimited, "backend", e.Server, "service", e.Service, "limit", e.Limit)
		case e.LimitEnded:
			v.log.Info(message.ServerUnlimited, "backend", e.Server, "service", e.Service)
		case e.Leaving:
			v.log.Info(message.ServerLeaving, "backend", e.Server, "service", e.Service)
		case e.PausedFor > 0:
			v.log.Warn(message.ServerPaused, "backend", e.Server, "service", e.Service, "for", e.PausedFor)
			v.metrics.pauses.WithLabelValues(string(e.Service)).Inc()
		case e.BlockedFor > 0:
			v.log.Warn(message.ServerExcluded, "backend", e.Server, "service", e.Service, "end", e.End, "for", e.BlockedFor)
		default:
			v.log.Info(message.ServerReadmitted, "backend", e.Server, "service", e.Service)
		}
	}
}

package sassafrastray

import "time"

// Bounds are the limits that a deployment guarantees, as its settings state them.
type Bounds struct {
	// MaxDrain is how long a leaving backend server may still receive requests.
	MaxDrain time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// MaxApply is the longest time until an accepted configuration is in
	// force on every VM.
	MaxApply time.Duration
	// MaxRollback is the longest time until no VM uses a version that was
	// found bad.
	MaxRollback time.Duration
	// MaxEvacuation is the longest time until no VM uses an evacuated failure
	// domain.
	MaxEvacuation time.Duration
	// MaxExposure is the largest fraction of a service's requests that a new
	// version may receive before it has been found good.
	MaxExposure float64
	// RetryRatio is the largest ratio of retries to requests of a service,
	// over all VMs in any RetryWindow. RetryReserve is the number of retries
	// that are allowed in addition.
	RetryRatio   float64
	RetryWindow  time.Duration
	RetryReserve int
	// In any QuotaWindow, a team's limit is its rate over the window plus its
	// burst. While VMs learn of each other's demand, it may exceed the limit
	// by the fraction QuotaOvershoot plus QuotaOvershootRequests.
	QuotaWindow            time.Duration
	QuotaOvershoot         float64
	QuotaOvershootRequests int
	// ColdFactor and ColdReserve bound the requests that a cold backend server
	// receives in a second: its cold rate times the factor, plus the reserve.
	ColdFactor  float64
	ColdReserve float64
	// LookupTTL bounds how long callers cache the response to a look-up.
	LookupTTL time.Duration
	// MaxRegionShift is the largest fraction of a region's requests that may
	// move to another region between two windows of two seconds.
	MaxRegionShift float64
	// UsageWindow is the length of the windows of usage reports. A report is due
	// UsageLateness after the end of its window, and its counts may be off by the
	// fraction UsageError. Zero means that no usage is reported.
	UsageWindow   time.Duration
	UsageLateness time.Duration
	UsageError    float64
	// Lease is the time for which a VM that performs a duty may rely on having
	// confirmed it, and ThawSlack how long after a pause of its process a call that was
	// being sent may still arrive.
	Lease     time.Duration
	ThawSlack time.Duration
	// RequireFence means that the platform rejects calls with an outdated fencing token.
	RequireFence bool
}

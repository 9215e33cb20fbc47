package sassafrastray

import "time"

// Bounds are the promises that a deployment makes, as its settings state them.
type Bounds struct {
	// Drain is how long a leaving backend server may still get requests.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Apply is how soon an accepted configuration is in force on every VM.
	Apply time.Duration
	// Rollback is how soon no VM uses a version that proved bad.
	Rollback time.Duration
	// Evacuate is how soon no VM uses an evacuated failure domain.
	Evacuate time.Duration
	// Exposure is the greatest part of a service's requests that a version
	// may get before it has proved good.
	Exposure float64
	// RetryRatio is the greatest ratio of retries to requests of a service,
	// over all VMs in any RetryWindow, and RetryReserve how many may come on
	// top of it.
	RetryRatio   float64
	RetryWindow  time.Duration
	RetryReserve int
	// In any QuotaWindow, a team gets at most its rate over the window and its
	// burst, and QuotaOver of that and QuotaReserve requests on top while VMs
	// learn of each other's demand.
	QuotaWindow  time.Duration
	QuotaOver    float64
	QuotaReserve int
	// ColdFactor and ColdReserve bound what a cold backend server gets in a
	// second: its rate times the factor, plus the reserve.
	ColdFactor  float64
	ColdReserve float64
	// TTL bounds how long callers keep the answer to a look-up.
	TTL time.Duration
	// Shift is the greatest part of a region's requests that may change the
	// region in which they run between two windows of two seconds.
	Shift float64
}
